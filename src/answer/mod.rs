//! Checks that an answer is whole and is the answer to its own request.

mod fault;
mod framing;
mod stream;
mod usage;

pub use self::{fault::Fault, framing::check_framing, stream::Stream, usage::tokens_used};
