//! Local state as advertised to peers.

use crate::{
    id,
    wire::{Load, State},
};

/// Significant bits of a level below the leading one: changes by a sixteenth are advertised.
const LEVEL_PRECISION_BITS: u32 = 4;

/// Local state as advertised to peers; small changes are not advertised.
#[derive(Debug, Default)]
pub(super) struct Advertisement {
    /// Version of the advertised state; larger is later.
    pub(super) version: u64,
    /// Advertised state.
    pub(super) state: State,
}

impl Advertisement {
    /// Advertises a state under a new version if it differs enough from the advertised one.
    pub(super) fn update(&mut self, state: &State) {
        if differs_significantly(state, &self.state) {
            self.version += 1;
            self.state = state.clone();
        }
    }
}

/// Reports whether two states differ enough to be advertised.
fn differs_significantly(new: &State, old: &State) -> bool {
    let load = |load: &Load| {
        let waiting = load.waiting.0.checked_ilog2();
        (load.target.clone(), load.free.checked_ilog2(), waiting)
    };
    let floor = |(service, level): &(id::Service, u64)| (service.clone(), quantize(*level));
    new.unfit != old.unfit
        || !new.loads.iter().map(load).eq(old.loads.iter().map(load))
        || !new
            .floors
            .iter()
            .map(floor)
            .eq(old.floors.iter().map(floor))
}

/// Returns the leading bits of a level, with their scale.
fn quantize(level: u64) -> (u32, u64) {
    let scale = level.checked_ilog2().unwrap_or(0);
    let scale = scale.saturating_sub(LEVEL_PRECISION_BITS);
    (scale, level >> scale)
}
