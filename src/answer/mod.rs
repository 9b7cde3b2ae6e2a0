//! Checks that a target's response is complete, and reads its cost.

mod fault;
mod framing;
mod status;
mod stream;
mod usage;

pub use self::{
    fault::Fault, framing::check_framing, status::Meaning, stream::Stream, usage::tokens_used,
};
