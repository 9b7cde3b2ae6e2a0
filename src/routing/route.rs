//! Routes of the configuration.

use super::{Kind, Share};
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
    pub aim: Span,
    /// Priority of the requests; 0 is the highest.
    pub rank: u32,
    /// Services that the requests are split between.
    pub shares: Vec<Share>,
    /// Maximum number of targets that one request is sent to.
    pub attempts: u32,
    /// Whether requests without a key are accepted.
    pub public: bool,
}

impl Route {
    /// Returns the service of a request, chosen by weight; `draw` must be uniformly distributed,
    /// such as a hash. Returns `None` if the route has no service.
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
