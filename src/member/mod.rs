//! Membership: which routers are alive, from heartbeats and the platform's lagging list.

mod action;
mod cadence;
mod contact;
mod event;
mod membership;
mod newcomer;
mod news;
mod ring;
mod rumor;
mod stranger;
mod view;

pub use self::{
    action::Action,
    event::{Event, Local},
    membership::Membership,
    view::{Member, View},
};
use crate::unit::Span;

/// Time between two [`Event::Tick`]s.
pub const TICK: Span = Span::from_millis(50);
/// Time within which the peers of a failure domain drop a router that died, if datagrams are not lost.
pub const DETECTION: Span = Span::from_millis(1_000);
