//! Watches a list kept by the platform, through outages and gaps in its change history.

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
