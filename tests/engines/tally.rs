//! What workspaces asked for and got, by second, as their callers and the engines see it.

use std::collections::BTreeMap;

/// Seconds over which the users compare workspaces.
const WINDOW: u64 = 6;

/// What one workspace asked for and got in one second.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Second {
    /// Tokens of requests that arrived.
    pub(crate) asked: u64,
    /// Tokens of requests whose first event came.
    pub(crate) begun: u64,
    pub(crate) requests: u64,
    /// Requests that were refused or late.
    pub(crate) unmet: u64,
}

/// What workspaces asked for and got, by second.
#[derive(Debug, Default)]
pub(crate) struct Tally {
    seconds: BTreeMap<(usize, u64), Second>,
    /// Tokens of the largest request.
    pub(crate) largest: u64,
}

impl Tally {
    pub(crate) fn at(&mut self, workspace: usize, now_ms: u64) -> &mut Second {
        self.seconds.entry((workspace, now_ms / 1_000)).or_default()
    }

    pub(crate) fn get(&self, workspace: usize, second: u64) -> Second {
        let second = self.seconds.get(&(workspace, second));
        second.copied().unwrap_or_default()
    }

    /// Returns the mean tokens of a request.
    pub(crate) fn mean_cost(&self) -> u64 {
        let seconds = self.seconds.values();
        let asked = seconds.clone().map(|second| second.asked).sum::<u64>();
        asked / seconds.map(|second| second.requests).sum::<u64>().max(1)
    }

    /// Returns the tokens that a workspace got in each of some seconds.
    pub(crate) fn begun(&self, workspace: usize, seconds: std::ops::Range<u64>) -> Vec<u64> {
        seconds.map(|at| self.get(workspace, at).begun).collect()
    }

    /// Returns the windows in which a workspace had unmet requests in each second and got less than half
    /// of what it asked for or another one got, whichever was less in each second, by more than
    /// three of the largest requests.
    pub(crate) fn unfair(&self, seconds: std::ops::Range<u64>) -> Vec<String> {
        let workspaces: std::collections::BTreeSet<usize> = self
            .seconds
            .keys()
            .map(|(workspace, _)| *workspace)
            .collect();
        let mut found = Vec::new();
        for start in seconds.start..seconds.end.saturating_sub(WINDOW - 1) {
            let window = start..start + WINDOW;
            for &behind in &workspaces {
                let in_window = window.clone().map(|at| self.get(behind, at));
                if in_window.clone().any(|second| second.unmet == 0) {
                    continue;
                }
                let got: u64 = in_window.map(|second| second.begun).sum();
                for &best in &workspaces {
                    let owed = window.clone().map(|at| {
                        let asked = self.get(behind, at).asked;
                        asked.min(self.get(best, at).begun)
                    });
                    let owed: u64 = owed.sum();
                    if 2 * (got + 3 * self.largest) < owed {
                        found.push(format!(
                            "from {start} s: w{behind} got {got} tokens, {owed} were due beside w{best}"
                        ));
                    }
                }
            }
        }
        found
    }
}
