//! Durations of runs, from the responses that this router received.

use super::Request;
use crate::{id, routing::Kind, unit::Span};
use std::collections::{BTreeMap, VecDeque};

/// Number of runs of a class that are remembered.
const RECENT_RUNS: usize = 32;

/// Requests whose runs take about as long.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Class {
    service: id::Service,
    kind: Kind,
    /// Binary logarithm of the expected output tokens; 0 without a prompt.
    size: u32,
}

impl Class {
    fn of(request: &Request) -> Self {
        let output = request
            .prompt
            .as_ref()
            .map_or(0, |prompt| prompt.expected_output);
        Self {
            service: request.service.clone(),
            kind: request.kind,
            size: output.checked_ilog2().unwrap_or(0),
        }
    }
}

/// Durations of recent runs by class, without the time until they began: that one depends on the target.
#[derive(Clone, Debug, Default)]
pub(super) struct Durations {
    recent: BTreeMap<Class, VecDeque<Span>>,
}

impl Durations {
    /// Records a run that ended with a whole response.
    pub(super) fn record(&mut self, request: &Request, duration: Span) {
        let recent = self.recent.entry(Class::of(request)).or_default();
        recent.truncate(RECENT_RUNS - 1);
        recent.push_front(duration);
    }

    /// Returns the longest recent duration of such requests, or of the next larger ones if there were none;
    /// `None` if neither is known.
    pub(super) fn longest(&self, request: &Request) -> Option<Span> {
        let class = Class::of(request);
        let (found, recent) = self.recent.range(&class..).next()?;
        let is_alike = found.service == class.service && found.kind == class.kind;
        recent.iter().max().copied().filter(|_| is_alike)
    }
}
