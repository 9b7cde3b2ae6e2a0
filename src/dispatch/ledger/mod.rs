//! What each workspace asked for, was granted and lost at this router.

mod amount;
mod entry;
mod loss;

pub use self::{amount::Amount, entry::Entry, loss::Loss};

use super::Request;
use crate::id;
use std::collections::BTreeMap;

/// What each workspace asked for, was granted and lost at this router since the ledger was last
/// taken. Only generations count.
#[derive(Clone, Debug, Default)]
pub(super) struct Ledger {
    entries: BTreeMap<id::Workspace, Entry>,
}

impl Ledger {
    /// Records a generation that arrived.
    pub(super) fn record_asked(&mut self, request: &Request) {
        self.add(request, |entry| &mut entry.asked);
    }

    /// Records a generation that was sent to its first target.
    pub(super) fn record_sent(&mut self, request: &Request) {
        self.add(request, |entry| &mut entry.sent);
    }

    /// Records the first response of a target to a generation.
    pub(super) fn record_begun(&mut self, request: &Request) {
        self.add(request, |entry| &mut entry.begun);
    }

    /// Records a generation that ended before a target began it.
    pub(super) fn record_lost(&mut self, request: &Request, loss: Loss) {
        self.add(request, |entry| entry.lost.entry(loss).or_default());
    }

    /// Records a generation that arrived and was refused by the gateway.
    pub(super) fn record_busy(&mut self, workspace: &id::Workspace, tokens: u64) {
        let entry = self.entries.entry(workspace.clone()).or_default();
        entry.asked.add(tokens);
        entry.lost.entry(Loss::Busy).or_default().add(tokens);
    }

    /// Returns the entries and empties the ledger.
    pub(super) fn take(&mut self) -> BTreeMap<id::Workspace, Entry> {
        std::mem::take(&mut self.entries)
    }

    fn add(&mut self, request: &Request, amount: impl FnOnce(&mut Entry) -> &mut Amount) {
        let (Some(workspace), Some(prompt)) = (&request.workspace, &request.prompt) else {
            return;
        };
        let entry = self.entries.entry(workspace.clone()).or_default();
        amount(entry).add(prompt.cost());
    }
}
