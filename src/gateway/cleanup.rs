//! Removal of the list entries of routers that are gone.

use super::Registry;
use crate::{
    id, roster,
    unit::{Span, Time},
};
use std::{collections::BTreeMap, sync::Arc};

/// Time that a router has to write its entry again after another one doubted it: the list of routers reaches all within
/// some seconds.
const ANSWER_TIME: Span = Span::from_secs(5);
/// Time for which a router that has done so is not doubted again: it is alive, and only can't be heard here.
const TRUST_SPAN: Span = Span::from_secs(60);
/// Maximum number of entries that are handled at a time, so that a router that hears nobody doesn't burden the store.
const MAX_CALLS: usize = 4;

/// Removes the list entries of routers that are gone, after a notice in the entry that the router can take back: one
/// that isn't heard may reach the platform and others all the same.
pub(super) struct Cleanup {
    registry: Arc<dyn Registry>,
    /// Time at which each entry was marked as doubted.
    marked: BTreeMap<id::Router, Time>,
    /// Time from which each entry was seen as doubted, by any router.
    doubted: BTreeMap<id::Router, Time>,
    /// Time until which each router is trusted that wrote its entry again.
    trusted: BTreeMap<id::Router, Time>,
    log: slog::Logger,
}

impl Cleanup {
    /// Creates the handle without a call.
    pub(super) fn open(registry: Arc<dyn Registry>, log: slog::Logger) -> Self {
        Self {
            registry,
            marked: BTreeMap::new(),
            doubted: BTreeMap::new(),
            trusted: BTreeMap::new(),
            log,
        }
    }

    /// Marks or removes entries of routers that are lost; to be called regularly, in a running runtime.
    pub(super) fn step(&mut self, now: Time, lost: &[&roster::Entry]) {
        let is_lost = |router: &id::Router| lost.iter().any(|entry| entry.router == *router);
        self.marked.retain(|router, _| is_lost(router));
        self.doubted.retain(|router, _| is_lost(router));
        self.trusted.retain(|_, until| now < *until);
        let mut calls = 0;
        for entry in lost {
            if calls < MAX_CALLS {
                calls += usize::from(self.handle(now, entry));
            }
        }
    }

    /// Handles the entry of a router that is lost; returns whether that took a call.
    fn handle(&mut self, now: Time, entry: &roster::Entry) -> bool {
        let router = &entry.router;
        if entry.doubted {
            let since = *self.doubted.entry(router.clone()).or_insert(now);
            let is_over = now.since(since) >= ANSWER_TIME;
            if is_over {
                self.doubted.insert(router.clone(), now);
                self.remove(router.clone());
            }
            return is_over;
        }
        if let Some(marked) = self.marked.get(router) {
            if now.since(*marked) >= ANSWER_TIME {
                self.marked.remove(router);
                self.trusted.insert(router.clone(), now + TRUST_SPAN);
            }
            return false;
        }
        let is_marked = !self.trusted.contains_key(router);
        if is_marked {
            self.marked.insert(router.clone(), now);
            self.mark(entry.clone());
        }
        is_marked
    }

    fn mark(&self, entry: roster::Entry) {
        let (registry, log) = (self.registry.clone(), self.log.clone());
        tokio::spawn(async move {
            let entry = roster::Entry {
                doubted: true,
                ..entry
            };
            let router = entry.router.as_str();
            match registry.write(&entry).await {
                Ok(()) => slog::info!(log, "router entry doubted"; "peer" => router),
                Err(fault) => slog::warn!(log, "router entry not doubted"; "peer" => router,
                    "cause" => %fault),
            }
        });
    }

    fn remove(&self, router: id::Router) {
        let (registry, log) = (self.registry.clone(), self.log.clone());
        tokio::spawn(async move {
            let peer = router.as_str();
            match registry.remove(&router).await {
                Ok(()) => slog::info!(log, "entry of a lost router removed"; "peer" => peer),
                Err(fault) => {
                    slog::warn!(log, "entry of a lost router not removed"; "peer" => peer,
                    "cause" => %fault)
                }
            }
        });
    }
}
