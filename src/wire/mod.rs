//! Messages between routers.

mod ask;
mod envelope;
mod heartbeat;
mod message;
mod outcome;
mod refusal;
mod report;

pub use self::{
    ask::{Ask, Class},
    envelope::Envelope,
    heartbeat::{Heartbeat, Load},
    message::Message,
    outcome::Outcome,
    refusal::{Reason, Refusal},
    report::{Level, Report, Usage},
};
