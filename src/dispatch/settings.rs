//! Settings of the dispatcher.

use super::{Policy, Price};
use crate::{id, unit::Span};
use std::{collections::BTreeMap, sync::Arc};

/// Settings of the dispatcher.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of this router.
    pub router: id::Router,
    /// Identifies this run of the router.
    pub incarnation: id::Incarnation,
    /// Failure domain that this router is in.
    pub domain: id::Domain,
    /// Region of each failure domain; domains without an entry are in no region.
    pub regions: Arc<BTreeMap<id::Domain, id::Region>>,
    /// Load-balancing policy.
    pub policy: Policy,
    /// Window over which the capacity is shared among workspaces.
    pub share_window: Span,
    /// Retries that the fleet may send for each thousand requests of a service.
    pub retry_permille: u32,
    /// Retries that the fleet may send to a service in addition.
    pub retry_extra: u32,
    /// Window over which retries are compared with requests.
    pub retry_window: Span,
    /// Maximum time that a request waits in the queue.
    pub max_queue_time: Span,
    /// Age up to which the list of targets is current.
    pub list_bound: Span,
    /// What routers remembered is read after the start ([`super::Event::Recalled`]). Until then the builds
    /// of before are unknown.
    pub awaits_history: bool,
    /// Price of bytes between failure domains.
    pub domain_price: Price,
    /// Factor on the rate of requests that a cold target tolerates.
    pub warm_up_factor: f64,
    /// Requests that a cold target tolerates in a second in addition.
    pub warm_up_slack: u32,
}

impl Settings {
    /// Returns the settings of a router, with defaults for everything that is not a parameter.
    pub fn new(router: id::Router, incarnation: id::Incarnation, domain: id::Domain) -> Self {
        Self {
            router,
            incarnation,
            domain,
            policy: Policy::default(),
            // The platform measures shares over four seconds.
            share_window: Span::from_secs(4),
            // One retry for five requests, as the platform allows; `retry_extra` covers bursts.
            retry_permille: 200,
            retry_extra: 50,
            // The platform measures retries over ten seconds.
            retry_window: Span::from_secs(10),
            // Requests that wait longer mostly end late; a caller that is refused earlier can retry
            // in time.
            max_queue_time: Span::from_millis(1_500),
            // The platform tells of changes within two seconds.
            list_bound: Span::from_secs(2),
            awaits_history: false,
            regions: Arc::default(),
            domain_price: Price::default(),
            warm_up_factor: 1.0,
            warm_up_slack: 0,
        }
    }
}
