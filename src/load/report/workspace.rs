//! Report on one workspace.

use super::Findings;
use crate::{
    id,
    load::{Counts, Lane, Latency, Settings, Workspace as Sender, account::Book},
    unit::{Cost, Weight},
};
use std::collections::BTreeMap;

/// Report on one workspace.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Workspace {
    /// Workspace.
    pub workspace: id::Workspace,
    /// Weight.
    pub weight: Weight,
    /// Requests by how they ended.
    pub counts: Counts,
    /// Service after the warmup, by service.
    pub served: BTreeMap<id::Service, Cost>,
    /// Part of the samples at which it was backlogged, by service.
    pub backlogged: BTreeMap<id::Service, f64>,
    /// Waits of its quick requests.
    pub quick_wait: Latency,
    /// Times to the first byte of its streams.
    pub first_byte: Latency,
}

impl Workspace {
    pub(super) fn of(settings: &Settings, findings: &Findings, workspace: &Sender) -> Self {
        let series = &findings.series;
        let samples = series.from(settings.warmup);
        let numbered = series.lanes.iter().enumerate();
        let lanes = || {
            let own = |lane: &Lane| lane.workspace == workspace.name;
            numbered.clone().filter(move |(_, lane)| own(lane))
        };
        let served = |number: usize| match (samples.first(), samples.last()) {
            (Some(first), Some(last)) => last.served[number].saturating_sub(first.served[number]),
            _ => Cost(0),
        };
        let backlogged = |number: usize| {
            let count = samples.iter().filter(|s| s.backlogged[number]).count();
            count as f64 / samples.len().max(1) as f64
        };
        let book: Option<&Book> = findings.account.workspaces.get(&workspace.name);
        let book = book.cloned().unwrap_or_default();
        Self {
            workspace: workspace.name.clone(),
            weight: workspace.weight,
            counts: book.counts,
            served: lanes()
                .map(|(number, lane)| (lane.service.clone(), served(number)))
                .collect(),
            backlogged: lanes()
                .map(|(number, lane)| (lane.service.clone(), backlogged(number)))
                .collect(),
            quick_wait: book.quick.latency(),
            first_byte: book.first.latency(),
        }
    }
}
