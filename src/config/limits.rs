//! Limits of a service at one site.

use super::{
    Service,
    section::{At, Section, narrow, override_value},
};
use crate::unit::{Cost, Span};

/// Limits of a service that a site overrides; `None` keeps the base file's value.
#[derive(Clone, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Limits {
    /// Largest estimated cost of a quick call.
    pub quick: Option<Cost>,
    /// Cost assumed for a call with no hint and no history.
    pub estimate: Option<Cost>,
    /// Maximum duration of a call.
    pub timeout: Option<Span>,
    /// Requests of one workspace that may wait at one owner.
    pub max_waiting: Option<u32>,
}

impl Limits {
    pub(super) fn apply(&self, service: &mut Service) {
        service.quick = self.quick.unwrap_or(service.quick);
        service.estimate = self.estimate.unwrap_or(service.estimate);
        service.timeout = self.timeout.unwrap_or(service.timeout);
        service.max_waiting = self.max_waiting.unwrap_or(service.max_waiting);
    }

    /// Reads the limits of one service in an overlay.
    pub(super) fn read(section: Section<'_>, base: &Service) -> Self {
        let quick = section.number("quick", 0, u64::MAX).map(cost);
        let estimate = section.number("estimate", 1, u64::MAX).map(cost);
        let timeout = section.text("timeout");
        let max_waiting = section.number("max_waiting", 1, u32::MAX.into());
        let limits = Self {
            quick: override_value(&section, "quick", quick, Some(&base.quick)),
            estimate: override_value(&section, "estimate", estimate, Some(&base.estimate)),
            timeout: override_value(&section, "timeout", timeout, Some(&base.timeout)),
            max_waiting: override_value(
                &section,
                "max_waiting",
                max_waiting.map(narrow),
                Some(&base.max_waiting),
            ),
        };
        section.require_nonempty();
        section.finish(&["kind", "hosts", "idempotent", "engine", "listed_slots"]);
        limits
    }
}

fn cost(number: At<u64>) -> At<Cost> {
    At {
        value: Cost(number.value),
        offset: number.offset,
    }
}
