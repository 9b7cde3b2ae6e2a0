//! Account of the requests sent.

use super::{Counts, Kind, Outcome, client::Watch, latency::Times, request::Request};
use crate::id;
use std::collections::BTreeMap;

/// Request as it ended, for the comparison with the targets' accounts.
#[derive(Clone, Debug)]
pub(super) struct Ended {
    pub(super) outcome: Outcome,
    /// The request may have run more than once.
    pub(super) repeatable: bool,
}

/// Requests of one workspace.
#[derive(Clone, Debug, Default)]
pub(super) struct Book {
    pub(super) counts: Counts,
    /// Waits of quick requests, without their own run time.
    pub(super) quick: Times,
    /// Times to the first byte of streams.
    pub(super) first: Times,
}

/// Account of all requests sent.
#[derive(Clone, Debug, Default)]
pub(super) struct Account {
    pub(super) workspaces: BTreeMap<id::Workspace, Book>,
    pub(super) between: Times,
    pub(super) transit: Times,
    /// Requests by the name under which targets count them.
    pub(super) ended: BTreeMap<Box<str>, Ended>,
    /// What was wrong with the first wrong answers.
    pub(super) wrong: Vec<Box<str>>,
}

/// Wrong answers that are described.
const MAX_WRONG: usize = 20;

impl Account {
    /// Counts a request that has ended.
    pub(super) fn add(&mut self, entry: Entry<'_>) {
        let book = self.workspaces.entry(entry.workspace.clone()).or_default();
        book.counts.add(&entry.outcome);
        if let Some(first) = entry.watch.first {
            if entry.quick {
                let run_time = entry.request.run_time;
                book.quick.add(first.saturating_sub(run_time));
            }
            if entry.kind == Kind::Stream {
                book.first.add(first);
            }
        }
        let watch = entry.watch;
        watch
            .between
            .iter()
            .for_each(|span| self.between.add(*span));
        watch
            .transit
            .iter()
            .for_each(|span| self.transit.add(*span));
        if let Outcome::Wrong(wrong) = &entry.outcome
            && self.wrong.len() < MAX_WRONG
        {
            self.wrong
                .push(format!("{}: {wrong}", entry.workspace).into());
        }
        let is_safe = matches!(&*entry.request.method, "GET" | "HEAD" | "OPTIONS");
        let ended = Ended {
            outcome: entry.outcome,
            repeatable: is_safe || entry.kind != Kind::Call,
        };
        self.ended.insert(entry.request.content(), ended);
    }
}

/// A request that has ended.
pub(super) struct Entry<'a> {
    pub(super) workspace: &'a id::Workspace,
    pub(super) kind: Kind,
    pub(super) quick: bool,
    pub(super) request: &'a Request,
    pub(super) watch: &'a Watch,
    pub(super) outcome: Outcome,
}
