//! Routes of the configuration.

use super::{Kind, Split};
use crate::{id, unit::Span};

/// A route: how requests to one host below one path prefix are handled.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Name.
    pub name: Box<str>,
    /// Host.
    pub host: Box<str>,
    /// Path prefix of the requests; it begins and ends with a slash.
    pub prefix: Box<str>,
    /// Kind of the requests.
    pub kind: Kind,
    /// Maximum time until the final response.
    pub timeout: Span,
    /// Latency objective of the response, or of the first event of a stream.
    pub slo: Span,
    /// Longest pause between two events of a stream that is on time; `None` if any pause is.
    pub max_pause: Option<Span>,
    /// Priority of the requests; 0 is the highest.
    pub priority: u32,
    /// Services that the requests are split between.
    pub splits: Vec<Split>,
    /// Maximum number of targets that one request is sent to.
    pub max_attempts: u32,
    /// Whether requests without a key are accepted.
    pub public: bool,
    /// Regions whose targets may run the requests; `None` if all may.
    pub allowed_regions: Option<Box<[id::Region]>>,
}

impl Route {
    /// Returns the service of a request, chosen by weight; `hash` must be uniformly distributed.
    /// Returns the first service if all weights are 0, and `None` if the route has no service.
    pub fn pick(&self, hash: u64) -> Option<&id::Service> {
        let total: u64 = self.splits.iter().map(|s| u64::from(s.weight)).sum();
        if total == 0 {
            return self.splits.first().map(|split| &split.service);
        }
        let mut rest = hash % total;
        for split in &self.splits {
            match rest.checked_sub(u64::from(split.weight)) {
                Some(left) => rest = left,
                None => return Some(&split.service),
            }
        }
        None
    }
}
