//! Readiness of a router that is short of processor.

use super::{Demands, Load};
use crate::{
    dispatch::Demand,
    unit::{Span, Time},
};

/// Connections refused between two observations from which the router counts as overloaded.
const MIN_REFUSED: u64 = 40;
/// Time for which an overloaded router reports at least that it is not ready: the platform's load balancer
/// takes two seconds to notice.
const HOLD: Span = Span::from_secs(10);
/// Part of a flood's demand at this router, as a divisor, from which it counts as lasting: far above what
/// the workspace asks for when the flood is over.
const LASTING_DIVISOR: u64 = 4;
/// Observations in a row with connections, from which the balancer counts as using this router. Callers that
/// were on their way, or check this router by itself, come one at a time.
const MIN_USED: u32 = 4;

/// Decides while a router reports that it is not ready because it is overloaded.
///
/// For loads of which a router with little processor gets several times its part, because the balancer
/// assigns callers by a hash. Callers of a workspace that floods move from router to router, until one
/// has the processor for them. If the first ones are ready again before the flood is over, the balancer
/// sends all callers back, and the flood goes round for as long as it lasts.
#[derive(Clone, Debug, Default)]
pub struct Overload {
    until: Time,
    /// Highest demand at this router of the workspace that overloaded it.
    flood: Option<Demand>,
    /// Observations in a row with connections.
    used: u32,
}

impl Overload {
    /// Records the load since the last call; returns whether the router is to report that it is not ready.
    pub fn observe(&mut self, now: Time, load: &Load, demands: &dyn Demands) -> bool {
        self.used = if load.connections > 0 {
            self.used.saturating_add(1)
        } else {
            0
        };
        if load.refused >= MIN_REFUSED {
            self.until = now + HOLD;
            self.record_flood(demands);
            return true;
        }
        if now < self.until {
            return true;
        }
        // The balancer uses routers that aren't ready once most of a failure domain isn't.
        let is_used = self.used >= MIN_USED;
        self.flood = self.flood.filter(|flood| {
            let total = demands.total(flood.workspace);
            !is_used && load.is_outranked && total >= flood.tokens_per_s / LASTING_DIVISOR
        });
        self.flood.is_some()
    }

    fn record_flood(&mut self, demands: &dyn Demands) {
        let Some(dominant) = demands.dominant() else {
            return;
        };
        let highest = self.flood.filter(|flood| {
            flood.workspace == dominant.workspace && flood.tokens_per_s > dominant.tokens_per_s
        });
        self.flood = Some(highest.unwrap_or(dominant));
    }
}
