//! Checks that an answer is whole and is the answer to its own request.

mod fault;
mod stream;
mod usage;

pub use self::{fault::Fault, stream::Stream, usage::tokens_used};
