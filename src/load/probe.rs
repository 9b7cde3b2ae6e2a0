//! Use of the targets, as their stand-ins tell it.

use super::{Target, client::Client};
use crate::{
    standin::{Load, Runs, Total},
    unit::Time,
};

/// Account of one target at one point in time.
#[derive(Clone, Copy, Debug)]
pub(super) struct Reading {
    /// Time of the reading on the clock of this process.
    pub(super) at: Time,
    pub(super) total: Total,
}

/// Accounts of one target over time.
#[derive(Clone, Debug)]
pub(super) struct Probe {
    pub(super) target: Target,
    pub(super) slots: u32,
    pub(super) readings: Vec<Reading>,
}

impl Probe {
    /// Opens the probe of a target; one that does not answer counts as without slots.
    pub(super) async fn open(client: &Client, target: Target) -> Self {
        let load: Option<Load> = client.get(target.address, "/load").await;
        Self {
            slots: load.unwrap_or_default().slots,
            readings: Vec::new(),
            target,
        }
    }

    /// Reads the target's account, if it answers.
    pub(super) async fn read(&mut self, client: &Client, now: Time) {
        if let Some(total) = client.get(self.target.address, "/stats").await {
            self.readings.push(Reading { at: now, total });
        }
    }

    /// Reads the runs of the target, or none if it does not answer.
    pub(super) async fn runs(&self, client: &Client) -> Runs {
        let runs = client.get(self.target.address, "/runs").await;
        runs.unwrap_or_default()
    }
}
