//! Faults that a target stand-in is told to show.

use crate::unit::Span;

/// Faults in force at a target; the default shows none.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Script {
    /// Number of next requests that the faults below hit; `None` hits all until the next script.
    pub requests: Option<u32>,
    /// Tokens of an engine, or bytes of a plain service, after which the answer is cut off.
    pub cut_after: Option<u64>,
    /// Time that passes before the first byte of the answer.
    pub first_byte_delay: Span,
    /// The answer carries the identifier of another attempt.
    pub wrong_attempt: bool,
    /// A whole answer is shorter than its `Content-Length` says.
    pub short_body: bool,
    /// Requests are run and the connection is closed without an answer.
    pub lose_answer: bool,
    /// Requests are refused with status 503 and `marlrun-outcome: not-run`.
    pub not_run: bool,
    /// Connections are refused for this long, once, from the arrival of the script.
    pub refuse_for: Span,
}

impl Script {
    /// Returns the faults that hit the next request and counts it.
    pub(super) fn next(&mut self) -> Script {
        match &mut self.requests {
            None => self.clone(),
            Some(0) => Script::default(),
            Some(left) => {
                *left -= 1;
                self.clone()
            }
        }
    }
}
