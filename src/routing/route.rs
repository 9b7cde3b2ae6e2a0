//! What the configuration says of the requests below one path of a host.

use super::{Kind, Share};
use crate::{id, unit::Span};

/// What the configuration says of the requests below one path of a host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Name.
    pub name: Box<str>,
    /// Host.
    pub host: Box<str>,
    /// Path that requests begin with; it begins and ends with a slash.
    pub prefix: Box<str>,
    /// How often a request may run.
    pub kind: Kind,
    /// Longest time until the final answer.
    pub timeout: Span,
    /// Time in which the answer, or the first event of a stream, is on time.
    pub aim: Span,
    /// Rank among routes; 0 goes first.
    pub rank: u32,
    /// Services that share the requests.
    pub shares: Vec<Share>,
    /// Targets that one request may be sent to.
    pub attempts: u32,
    /// Takes requests without a key.
    pub public: bool,
}

impl Route {
    /// Returns the service of a request; `draw` is evenly spread over all numbers.
    pub fn pick(&self, draw: u64) -> Option<&id::Service> {
        let total: u64 = self.shares.iter().map(|s| u64::from(s.weight)).sum();
        if total == 0 {
            return self.shares.first().map(|share| &share.service);
        }
        let mut rest = draw % total;
        for share in &self.shares {
            match rest.checked_sub(u64::from(share.weight)) {
                Some(left) => rest = left,
                None => return Some(&share.service),
            }
        }
        None
    }
}
