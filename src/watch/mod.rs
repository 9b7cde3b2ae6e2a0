//! Follows a list that the platform keeps, through outages and gaps in its history.

mod event;
mod fault;
mod follower;
mod page;
mod source;

pub use self::{
    event::Event,
    fault::Fault,
    follower::{Follower, Settings},
    page::Page,
    source::Source,
};
