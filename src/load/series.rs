//! Service of the workspaces over time.

use super::{Lane, Sample};
use crate::{id, unit::Span};

/// Service of the workspaces over time.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Series {
    /// Lanes.
    pub lanes: Vec<Lane>,
    /// Samples, oldest first, one interval apart.
    pub samples: Vec<Sample>,
}

impl Series {
    /// Returns the numbers of the lanes of a service.
    pub fn lanes_of(&self, service: &id::Service) -> Vec<usize> {
        let numbered = self.lanes.iter().enumerate();
        let own = numbered.filter(|(_, lane)| lane.service == *service);
        own.map(|(number, _)| number).collect()
    }

    /// Returns the samples from `start` on.
    pub fn from(&self, start: Span) -> &[Sample] {
        let first = self
            .samples
            .partition_point(|s| s.at_ms < start.as_millis());
        &self.samples[first..]
    }
}
