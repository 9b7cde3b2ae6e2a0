//! A kind of requests of a workspace.

use super::{Arrival, Kind, Length};
use crate::{id, unit::Span};

/// A kind of requests of a workspace.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Flow {
    /// Service: the model of a chat completion, or the name of a plain service.
    pub service: id::Service,
    /// Interface.
    pub kind: Kind,
    /// When requests arrive.
    pub arrival: Arrival,
    /// Lengths of the answers.
    pub length: Length,
    /// The waits are reported among the quick ones.
    #[serde(default)]
    pub quick: bool,
    /// Factor by which the hint at the cost is at most too large or too small; 1 makes it right.
    #[serde(default = "default_hint_error")]
    pub hint_error: f64,
    /// Method of a call.
    #[serde(default = "default_method")]
    pub method: Box<str>,
    /// Calls carry an idempotency key.
    #[serde(default)]
    pub keyed: bool,
    /// Time from the start of the load to the first request.
    #[serde(default)]
    pub from: Span,
    /// Time from the start of the load after which no request is sent; the end if it is left out.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub until: Option<Span>,
}

fn default_hint_error() -> f64 {
    1.0
}

fn default_method() -> Box<str> {
    "POST".into()
}
