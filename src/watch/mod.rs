//! Follows a list that the platform keeps, through outages and gaps in its history.

mod decoded;
mod event;
mod fault;
mod follower;
mod page;
mod row;
mod source;

pub use self::{
    decoded::decode,
    event::Event,
    fault::Fault,
    follower::{Follower, Settings},
    page::Page,
    row::Row,
    source::Source,
};
