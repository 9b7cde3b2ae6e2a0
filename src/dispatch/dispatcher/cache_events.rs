//! Application of what engines report of their caches.

use super::Dispatcher;
use crate::{
    cache_events::{Applied, Change, Item, Report},
    dispatch::{Request, cache::Eviction, target::key_of_run},
    gossip,
    unit::{Span, Time},
};

/// Time by which an eviction that another router reports may be older than the report: events arrive up to a second late,
/// readers call every 0.75 s, and summaries take some 0.2 s through leaders.
const REPORT_DELAY: Span = Span::from_millis(2_000);

impl Dispatcher {
    /// Reports whether engines of some service report changes of their caches.
    pub(super) fn follows_caches(&self) -> bool {
        self.has_cache_events
    }

    /// Applies a new configuration.
    pub(super) fn configure_cache_events(&mut self) {
        let mut services = self.routing.services.values();
        self.has_cache_events = services.any(|service| {
            service
                .engine
                .is_some_and(|engine| engine.event_readers > 0)
        });
        if !self.has_cache_events {
            self.shared_parts.clear();
        }
    }

    /// Records the shared parts that a request names.
    pub(super) fn record_shared_parts(&mut self, now: Time, request: &Request) {
        if !self.follows_caches() {
            return;
        }
        let parts = request
            .prompt
            .iter()
            .flat_map(|prompt| prompt.shared_parts());
        for part in parts {
            self.shared_parts.record(now, part.id, part.tokens);
        }
    }

    /// Records a shared part that another router names. In a small fleet, routers also report the last parts of prompts, but not
    /// as prefilled.
    pub(super) fn record_reported_part(&mut self, now: Time, prefill: &gossip::Prefill) {
        if self.follows_caches() && (prefill.prefilled || self.is_large_fleet()) {
            self.shared_parts.record(now, prefill.part, prefill.tokens);
        }
    }

    /// Applies an eviction that another router reports.
    pub(super) fn apply_reported_eviction(&mut self, now: Time, prefill: &gossip::Prefill) {
        let target = self.names.get(&prefill.target);
        if let Some(target) = target.and_then(|name| self.targets.get_mut(name)) {
            let after = Time(now.0.saturating_sub(REPORT_DELAY.0));
            let memory = target.memory();
            target.cache.evict(after, prefill.part, None, memory);
        }
    }

    /// Applies what an engine reported of its cache, and passes on what is new about shared parts.
    pub fn apply_cache_events(&mut self, now: Time, report: &Report) -> Applied {
        let mut applied = Applied::default();
        let key = key_of_run(&report.run);
        let target = self.targets.get_mut(&report.run.target);
        let Some(target) = target.filter(|target| target.key == key) else {
            return applied;
        };
        if let Some(reset) = report.reset {
            target.cache.forget_events(report.after, reset);
        }
        let memory = target.memory();
        for item in &report.items {
            let shared = self.shared_parts.tokens(item.part);
            let change = match item.change {
                Change::Cached => {
                    // Of a part that is cached partially, the rest would be processed again.
                    let whole = shared.filter(|tokens| item.tokens >= u64::from(*tokens));
                    let is_news =
                        whole.is_some_and(|tokens| target.cache.confirm(now, item, tokens, memory));
                    applied.confirmed += u64::from(is_news);
                    is_news
                }
                Change::Evicted => {
                    let model = Some(item.model);
                    let eviction = target.cache.evict(report.after, item.part, model, memory);
                    count_eviction(&mut applied, shared.is_some(), eviction);
                    matches!(eviction, Eviction::New { .. })
                }
            };
            if let (true, Some(tokens)) = (change, shared) {
                self.prefills.push((None, announcement(key, item, tokens)));
            }
        }
        applied
    }
}

/// Counts an eviction. What this router assumed of parts that no other request shares doesn't matter for placement.
fn count_eviction(applied: &mut Applied, is_shared: bool, eviction: Eviction) {
    if !is_shared {
        return;
    }
    match eviction {
        Eviction::New { was_cached } => {
            applied.evicted += 1;
            applied.wrongly_cached += u64::from(was_cached);
            applied.wrongly_evicted += u64::from(!was_cached);
        }
        Eviction::Known => applied.known += 1,
        Eviction::Late => applied.late += 1,
        Eviction::Unknown => {}
    }
}

fn announcement(target: u64, item: &Item, tokens: u32) -> gossip::Prefill {
    let evicted = item.change == Change::Evicted;
    gossip::Prefill {
        target,
        part: item.part,
        tokens,
        prefilled: !evicted,
        evicted,
    }
}
