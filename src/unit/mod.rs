//! Quantities with their units.

mod cost;
mod era;
mod rate;
mod span;
mod time;
mod version;
mod weight;

pub use self::{
    cost::Cost, era::Era, rate::Rate, span::Span, time::Time, version::Version, weight::Weight,
};

/// Error of a text that is not a quantity.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{text:?} is not {expected}")]
pub struct Invalid {
    /// Text that was given.
    pub text: Box<str>,
    /// Form that was expected.
    pub expected: &'static str,
}
