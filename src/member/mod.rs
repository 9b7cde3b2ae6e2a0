//! Membership: which routers are alive, from heartbeats and the platform's lagging list.

use crate::unit::Span;

mod action;
mod event;
mod membership;
mod view;

pub use self::{
    action::Action,
    event::{Event, Local},
    membership::Membership,
    view::{Member, View},
};

/// Time between two [`Event::Tick`]s.
pub const TICK: Span = Span::from_millis(50);
