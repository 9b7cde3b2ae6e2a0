//! Claims: at most one attempt runs an operation that must not be repeated.

mod end;
mod key;
mod verdict;

pub use self::{end::End, key::Key, verdict::Verdict};
