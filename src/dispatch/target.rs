//! A target with its load and the estimates about it.

use super::{
    Cause, Estimate, Prompt, Request, View,
    allowance::Allowance,
    attempt::Attempt,
    breakage::Breakage,
    cache::{Cache, Prefilled},
    health::Health,
    pause::Pause,
    source,
    speed::Speed,
    typical::Typical,
    warm_up::WarmUp,
};
use crate::{
    catalog, id,
    placement::hash,
    routing::Engine,
    unit::{Span, Time},
};
use std::collections::HashMap;

/// Percentage of an engine's memory that requests may fill. An engine that runs out of memory
/// preempts its newest request and processes the prompt again, and estimates of output are rough.
const MAX_MEMORY_PERCENT: u64 = 90;
/// Requests that may wait inside a plain target, per slot. One hides the gap between two requests;
/// more would only wait there instead of here.
const MAX_PLAIN_QUEUE_PER_SLOT: u32 = 1;
/// Weight of processing a prompt against waiting in the score: prefill delays every request that
/// comes after.
const PREFILL_WEIGHT: u64 = 12;
/// The same for copying cached parts of a prompt, which occupies the links of two engines but not their processors.
const COPY_WEIGHT: u64 = 4;
/// Penalty for each request in flight at the target: each one slows down the tokens of the others.
const RUNNING_PENALTY: Span = Span(700);

/// Penalty for each running stream that a prompt makes pause for too long: a stream that turns late has lost
/// about half of the engine time spent on it.
const INTERRUPTION_PENALTY: Span = Span::from_millis(25);
/// Percentage of the longest pause that processing prompts may take without a break. The rest is left for the
/// steps in which the engine generates the tokens of one event.
const MAX_INTERRUPTION_PERCENT: u64 = 75;

/// Time after connections ended within which responses may still be read that were sent before.
const READ_TIME: Span = Span::from_millis(50);

/// A target with its load and the estimates about it.
#[derive(Clone, Debug)]
pub(super) struct Target {
    pub(super) entry: catalog::Target,
    /// Hash of the name and start time, by which routers refer to the target.
    pub(super) key: u64,
    pub(super) engine: Option<Engine>,
    /// Longest pause between two events with which the streams of its service are on time.
    pub(super) max_pause: Option<Span>,
    /// Maximum number of requests in flight from this router: its part of the target's connections.
    pub(super) max_own_running: u32,
    pub(super) own: View,
    pub(super) others: View,
    pub(super) speed: Speed,
    pub(super) health: Health,
    pub(super) cache: Cache,
    /// Prompt parts of this router's requests in flight there, each with its number of users and
    /// its tokens.
    parts_in_use: HashMap<u64, (u32, u32)>,
    /// Last time at which another router reported the target as failing.
    pub(super) suspected_at: Option<Time>,
    /// A response is overdue, and none has started meanwhile. Others are preferred until one does.
    pub(super) quiet: bool,
    /// It announced in a response that it leaves; the list may still have it as ready.
    pub(super) announced_leaving: bool,
    /// Its failure domain is evacuated.
    pub(super) is_barred: bool,
    /// Region of its failure domain; `None` if that is in no region.
    pub(super) region: Option<id::Region>,
    pub(super) pause: Pause,
    /// Requests that this router may send there, if the target named a limit.
    pub(super) allowance: Option<Allowance>,
    /// Whether it is cold, if its service has a warm-up.
    pub(super) warm_up: Option<WarmUp>,
    /// Connections that ended a moment ago; it may have crashed.
    pub(super) breakage: Option<Breakage>,
}

/// Condition that a target must meet to be sent a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Condition {
    /// The first event comes by the due time.
    OnTime,
    /// The first event comes by the due time with this multiple of the wait added as a margin.
    OnTimeWithMargin(f64),
    /// The wait is at most this. For requests that cannot be on time.
    MaxWait(Span),
}

impl Target {
    pub(super) fn new(
        entry: catalog::Target,
        engine: Option<Engine>,
        max_own_running: u32,
    ) -> Self {
        let key = key_of(&entry);
        Self {
            entry,
            key,
            engine,
            max_pause: None,
            max_own_running,
            own: View::default(),
            others: View::default(),
            speed: Speed::default(),
            health: Health::default(),
            cache: Cache::default(),
            parts_in_use: HashMap::new(),
            suspected_at: None,
            quiet: false,
            announced_leaving: false,
            is_barred: false,
            region: None,
            pause: Pause::default(),
            allowance: None,
            warm_up: None,
            breakage: None,
        }
    }

    /// Reports whether the target belongs to the service of a request, can continue its stream, and is in
    /// a region that it is restricted to.
    pub(super) fn matches(&self, request: &Request) -> bool {
        self.serves(request) && self.is_allowed(request)
    }

    /// Reports whether the target belongs to the service of a request, and can continue its stream.
    pub(super) fn serves(&self, request: &Request) -> bool {
        let build = request.build.as_ref();
        self.entry.service == request.service && build.is_none_or(|b| *b == self.entry.build)
    }

    /// Reports whether the target is in a region that a request is restricted to.
    pub(super) fn is_allowed(&self, request: &Request) -> bool {
        let regions = request.regions.as_ref();
        let region = self.region.as_ref();
        regions.is_none_or(|regions| region.is_some_and(|region| regions.contains(region)))
    }

    /// Returns a hash of the target's service and build.
    pub(super) fn software(&self) -> u64 {
        hash(self.entry.service.as_str()) ^ self.entry.build.key().rotate_left(32)
    }

    /// Reports whether the target leaves and takes no new requests.
    pub(super) fn is_leaving(&self) -> bool {
        self.entry.draining || self.announced_leaving
    }

    /// Reports whether the target may get new requests: it doesn't leave, and its failure domain is not
    /// evacuated. Every path that sends depends on it, also where the target has room.
    pub(super) fn may_get_new(&self) -> bool {
        !self.is_leaving() && !self.is_barred
    }

    /// Reports whether the target takes new requests.
    pub(super) fn accepts(&self, now: Time) -> bool {
        self.may_get_new() && !self.pause.is_active(now)
    }

    /// Reports whether a further request may be sent, also if the target's pause ended just now.
    pub(super) fn allows_send(&self, now: Time) -> bool {
        self.may_get_new() && self.pause.allows_send(now) && self.is_within_limit(now)
    }

    /// Reports whether its limit and its warm-up allow a further request of this router.
    pub(super) fn is_within_limit(&self, now: Time) -> bool {
        let allowance = self.allowance.as_ref();
        let warm_up = self.warm_up.as_ref();
        allowance.is_none_or(|allowance| allowance.allows_send(now))
            && warm_up.is_none_or(|warm_up| warm_up.allows_send(now))
    }

    /// Reports whether it is treated as cold.
    pub(super) fn is_cold(&self, now: Time) -> bool {
        let warm_up = self.warm_up.as_ref();
        warm_up.is_some_and(|warm_up| warm_up.is_cold(now))
    }

    /// Records that it was reached.
    pub(super) fn record_reached(&mut self, now: Time) {
        if let Some(warm_up) = &mut self.warm_up {
            warm_up.record_reached(now);
        }
    }

    /// Treats it as cold until known otherwise, if its service has a warm-up.
    pub(super) fn doubt_warm(&mut self, now: Time, cause: Cause) {
        if let Some(warm_up) = &mut self.warm_up {
            warm_up.doubt(now, cause);
        }
    }

    /// Returns the number of requests that its limit and its warm-up allow this router within some time, and per
    /// second; `None` if there is no limit by then.
    pub(super) fn within(&self, now: Time, span: Span) -> Option<(usize, f64)> {
        let limited = self.allowance.as_ref();
        let limited = limited.map(|allowance| (allowance.within(now, span), allowance.per_s()));
        let warm_up = self.warm_up.as_ref();
        let cold = warm_up.and_then(|warm_up| warm_up.within(now, span));
        match (limited, cold) {
            (Some(limited), Some(cold)) => Some((limited.0.min(cold.0), limited.1.min(cold.1))),
            (limited, cold) => limited.or(cold),
        }
    }

    /// Returns the requests that it takes at a time, and those that it runs, or the memory of these in the same unit.
    pub(super) fn room(&self) -> (u32, u32) {
        let view = self.own.plus(self.others);
        let Some(engine) = &self.engine else {
            return (self.slots() * (1 + MAX_PLAIN_QUEUE_PER_SLOT), view.running);
        };
        let memory = (engine.memory_tokens * MAX_MEMORY_PERCENT / 100).max(1);
        let by_memory = view.memory.saturating_mul(engine.slots.into()) / memory;
        let used = u64::from(view.running).max(by_memory);
        (engine.slots, used.min(engine.slots.into()) as u32)
    }

    fn memory(&self) -> u64 {
        self.engine.map_or(0, |engine| engine.memory_tokens)
    }

    fn slots(&self) -> u32 {
        let declared = self.engine.map_or(self.entry.slots, |engine| engine.slots);
        declared.max(1)
    }

    /// Returns the estimate for a request, or `None` if there is no slot or memory for it. The target copies up to
    /// `copyable` tokens of the prompt's shared parts from another engine.
    pub(super) fn estimate(
        &self,
        request: &Request,
        leaving_cost: Span,
        view_age: Span,
        copyable: u64,
        is_cold: bool,
    ) -> Option<Estimate> {
        let view = self.own.plus(self.others);
        if self.own.running >= self.max_own_running {
            return None;
        }
        let mut estimate = Estimate {
            target: self.entry.name.clone(),
            build: self.entry.build.clone(),
            view,
            view_age,
            uncached_tokens: 0,
            copied_tokens: 0,
            source: None,
            wait: Span(0),
            first_event: Span(0),
            crossing: None,
            score: leaving_cost.0,
        };
        let (Some(engine), Some(_)) = (&self.engine, &request.prompt) else {
            let slots = self.slots();
            if view.running >= slots * (1 + MAX_PLAIN_QUEUE_PER_SLOT) {
                return None;
            }
            let rounds = u64::from(view.running / slots);
            estimate.wait = Span(rounds * self.speed.service_time().0);
            estimate.first_event = Span(estimate.wait.0 + self.speed.service_time().0);
            estimate.score += estimate.first_event.0 + u64::from(view.running) * RUNNING_PENALTY.0;
            return Some(estimate);
        };
        estimate.copied_tokens = self.copied_tokens(request, copyable);
        estimate.uncached_tokens = self.uncached_tokens(request) - estimate.copied_tokens;
        let need = self.memory_needed(request);
        let full = view.memory + need > engine.memory_tokens * MAX_MEMORY_PERCENT / 100;
        if view.running >= engine.slots || (full && view.running > 0) {
            return None;
        }
        estimate.wait = self.speed.prefill_time(view.backlog);
        let prefill = self.speed.prefill_time(estimate.uncached_tokens);
        let copy = source::copy_time(engine, estimate.copied_tokens);
        let first_event = self.speed.base_time().0 + estimate.wait.0 + prefill.0 + copy.0;
        estimate.first_event = Span(first_event);
        // What a target with a limit, or a cold one, processes delays hardly any other request.
        let weight = if self.allowance.is_some() || is_cold {
            1
        } else {
            PREFILL_WEIGHT
        };
        estimate.score += estimate.wait.0
            + weight * prefill.0
            + COPY_WEIGHT * copy.0
            + u64::from(view.running) * RUNNING_PENALTY.0;
        if self.interrupts_streams(estimate.wait, prefill) {
            estimate.score += u64::from(view.running) * INTERRUPTION_PENALTY.0;
        }
        Some(estimate)
    }

    /// Reports whether a prompt that takes so long to process after the wait makes the running streams pause
    /// for too long. Prompts that are processed one after the other are a single interruption: streams that
    /// those ahead interrupt for too long already lose nothing more.
    fn interrupts_streams(&self, wait: Span, prefill: Span) -> bool {
        let Some(max_pause) = self.max_pause else {
            return false;
        };
        let limit = Span(max_pause.0 * MAX_INTERRUPTION_PERCENT / 100);
        wait <= limit && wait.0 + prefill.0 > limit.0
    }

    /// Reports whether a typical generation could not be on time at this engine.
    pub(super) fn is_crowded(&self, typical: &Typical) -> bool {
        let view = self.own.plus(self.others);
        let tokens = view.backlog + typical.uncached_tokens();
        let first_event = Span(self.speed.base_time().0 + self.speed.prefill_time(tokens).0);
        let is_late = typical.limit().is_some_and(|limit| first_event > limit);
        view.running >= self.slots() || is_late
    }

    /// Returns the prompt tokens of a request that are probably not cached here.
    pub(super) fn uncached_tokens(&self, request: &Request) -> u64 {
        let Some(prompt) = &request.prompt else {
            return 0;
        };
        u64::from(prompt.tokens).saturating_sub(self.cached_tokens(prompt))
    }

    /// Returns the tokens that the target copies for a request, if others have so many of its shared parts.
    fn copied_tokens(&self, request: &Request, copyable: u64) -> u64 {
        let cached = request
            .prompt
            .as_ref()
            .map_or(0, |prompt| self.cached_tokens(prompt));
        let copied = copyable.saturating_sub(cached);
        if copied < source::MIN_TOKENS {
            return 0;
        }
        copied.min(self.uncached_tokens(request))
    }

    /// Returns the tokens of a prompt that are probably cached here.
    pub(super) fn cached_tokens(&self, prompt: &Prompt) -> u64 {
        self.cache.cached(&prompt.parts, self.memory())
    }

    /// Returns the leading shared parts of a request that another engine can copy from here.
    pub(super) fn prefilled(&self, now: Time, request: &Request) -> Prefilled {
        let parts = request
            .prompt
            .as_ref()
            .map_or(&[][..], Prompt::shared_parts);
        self.cache.prefilled(now, parts, self.memory())
    }

    /// Reports whether other engines may copy from it, as far as this router knows; others may have reported it as
    /// failing. One failure is enough, because there are usually other sources.
    pub(super) fn is_source(&self, now: Time) -> bool {
        self.accepts(now)
            && self.entry.warm_up == Span(0)
            && self.breakage.is_none()
            && self.health.is_sound()
    }

    /// Reports whether an estimate meets a condition.
    pub(super) fn meets(
        &self,
        estimate: &Estimate,
        request: &Request,
        condition: Condition,
        now: Time,
    ) -> bool {
        match condition {
            Condition::OnTime => now + estimate.first_event <= request.due,
            Condition::OnTimeWithMargin(factor) => {
                let margin = Span((estimate.wait.0 as f64 * factor) as u64);
                now + estimate.first_event + margin <= request.due
            }
            Condition::MaxWait(max) => estimate.wait <= max,
        }
    }

    /// Returns the memory that a request takes here, in tokens, without the parts that other
    /// requests in flight use.
    fn memory_needed(&self, request: &Request) -> u64 {
        let Some(prompt) = &request.prompt else {
            return 0;
        };
        let used = prompt
            .parts
            .iter()
            .take_while(|part| self.parts_in_use.contains_key(&part.id));
        let used: u64 = used.map(|part| u64::from(part.tokens)).sum();
        u64::from(prompt.tokens).saturating_sub(used) + u64::from(prompt.expected_output)
    }

    /// Records a response: the target has not crashed.
    pub(super) fn record_life(&mut self, now: Time) {
        self.breakage
            .take_if(|breakage| now.since(breakage.at) >= READ_TIME);
    }

    /// Adds a request; returns the memory that it adds, and the prompt tokens that the target has
    /// to process before its first event.
    pub(super) fn start(
        &mut self,
        request: &Request,
        uncached_tokens: u64,
        now: Time,
    ) -> (u64, u64) {
        self.health.record_send(now);
        self.pause.record_send(now);
        self.own.running += 1;
        let Some(prompt) = &request.prompt else {
            return (0, 0);
        };
        let need = self.memory_needed(request);
        let memory = self.memory();
        for part in &prompt.parts {
            self.parts_in_use
                .entry(part.id)
                .or_insert((0, part.tokens))
                .0 += 1;
            self.cache.touch(now, part.id, part.tokens, memory);
        }
        self.own.memory += need;
        self.own.backlog += uncached_tokens;
        (need, self.own.plus(self.others).backlog)
    }

    /// Records the first event of a response: the prompt of its request was processed.
    pub(super) fn record_first_event(&mut self, now: Time, attempt: &Attempt) {
        self.finish_prefill(attempt);
        if let Some(prompt) = &attempt.request.prompt {
            prompt
                .parts
                .iter()
                .for_each(|part| self.cache.finish(now, part.id));
        }
    }

    /// Removes the prompt of a request from what the target has to process.
    fn finish_prefill(&mut self, attempt: &Attempt) {
        self.own.backlog = self
            .own
            .backlog
            .saturating_sub(attempt.estimate.uncached_tokens);
    }

    /// Releases what a request took.
    pub(super) fn finish(&mut self, attempt: &Attempt) {
        self.own.running = self.own.running.saturating_sub(1);
        self.own.memory = self.own.memory.saturating_sub(attempt.memory);
        if !attempt.response_started {
            self.finish_prefill(attempt);
        }
        let copies = self.engine.and_then(|engine| engine.transfer).is_some();
        for part in attempt
            .request
            .prompt
            .iter()
            .flat_map(|prompt| &prompt.parts)
        {
            if let Some(users) = self.parts_in_use.get_mut(&part.id) {
                users.0 -= 1;
                if users.0 == 0 {
                    self.parts_in_use.remove(&part.id);
                    // Where it failed, was refused or never arrived, nobody knows how far it was processed.
                    if copies && !attempt.response_started {
                        self.cache.forget_unfinished(part.id);
                    }
                }
            }
        }
    }
}

/// Returns the hash by which routers refer to a target. A target that restarts gets another one.
pub(super) fn key_of(entry: &catalog::Target) -> u64 {
    key_of_run(&entry.into())
}

/// Returns the same for a run of a target.
pub(super) fn key_of_run(run: &catalog::Run) -> u64 {
    hash(run.target.as_str()) ^ run.started_at_ms.rotate_left(32)
}
