//! Own state as peers are told it.

use crate::{
    id,
    wire::{Load, State},
};

/// Bits of a level that matter: peers hear of a change by a sixteenth.
const LEVEL_BITS: u32 = 4;

/// Own state that changes for peers only when it differs much.
#[derive(Debug, Default)]
pub(super) struct News {
    /// Number of the state; larger is later.
    pub(super) version: u64,
    /// State as it was at that version.
    pub(super) state: State,
}

impl News {
    /// Takes the state of now; it is news if it differs much from the one that is told.
    pub(super) fn update(&mut self, state: &State) {
        if differs(state, &self.state) {
            self.version += 1;
            self.state = state.clone();
        }
    }
}

/// Reports whether peers should hear of the difference between two states.
fn differs(new: &State, old: &State) -> bool {
    let load = |load: &Load| {
        let waiting = load.waiting.0.checked_ilog2();
        (load.target.clone(), load.free.checked_ilog2(), waiting)
    };
    let floor = |(service, level): &(id::Service, u64)| (service.clone(), coarse(*level));
    new.unfit != old.unfit
        || !new.loads.iter().map(load).eq(old.loads.iter().map(load))
        || !new
            .floors
            .iter()
            .map(floor)
            .eq(old.floors.iter().map(floor))
}

/// Returns the leading bits of a level.
fn coarse(level: u64) -> (u32, u64) {
    let scale = level.checked_ilog2().unwrap_or(0);
    let scale = scale.saturating_sub(LEVEL_BITS);
    (scale, level >> scale)
}
