//! Checks that an answer is whole and is the answer to its own request.

mod fault;
mod stream;

pub use self::{fault::Fault, stream::Stream};
