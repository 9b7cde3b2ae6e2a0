//! Messages between routers and their encoding.

mod ask;
pub mod codec;
mod envelope;
mod heartbeat;
#[allow(
    clippy::all,
    missing_docs,
    rust_2018_idioms,
    unreachable_pub,
    unused_qualifications
)]
#[rustfmt::skip]
pub mod marlrun_capnp;
mod message;
mod outcome;
mod refusal;
mod report;

pub use self::{
    ask::{Ask, Class},
    envelope::Envelope,
    heartbeat::{Contact, Echo, Heartbeat, Load, Origin, State},
    message::Message,
    outcome::Outcome,
    refusal::{Reason, Refusal},
    report::{Level, Report, Usage},
};
