//! Fleet membership: detects which routers are alive, from heartbeats and the platform's list of
//! VMs, which may lag.
//!
//! The routers form a ring. Each sends frequent heartbeats to the next two of its failure domain,
//! its monitors, and less frequent ones to all other routers. A router with an overdue heartbeat is
//! probed, and dropped if it does not answer. Its prober sends a suspicion to other routers, which
//! then probe it themselves. Heartbeats also name members that the receiver may not know: those
//! that joined recently, or a finger table as in Chord.

mod action;
mod advertisement;
mod discovery;
mod event;
mod interval;
mod join;
mod membership;
mod peer;
mod ring;
mod suspicion;
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
pub const DETECTION_LIMIT: Span = Span::from_millis(1_000);
