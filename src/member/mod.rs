//! Fleet membership: detects which routers are alive, from heartbeats and the platform's list of
//! VMs, which may lag.

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

/// Interval between two [`Event::Tick`]s.
pub const TICK: Span = Span::from_millis(50);
/// Time within which the routers of a failure domain drop a dead peer, if no datagrams are lost.
pub const DETECTION: Span = Span::from_millis(1_000);
