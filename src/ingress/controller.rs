//! State machine that drives requests from arrival to their final response.

use super::{
    Action, Cause, Event, Placement, Rejection, Request, Resume, Settings,
    backoff::Backoff,
    budget::Budget,
    context::Context,
    job::{Claim, Job, Run, State},
    slot::Slot,
};
use crate::{
    claim, id,
    unit::{Cost, Span, Time},
    wire,
};
use rand_chacha::ChaCha8Rng;
use std::{
    collections::{BTreeMap, BTreeSet},
    mem,
};

/// Retry delay told to the caller of a request that this router refuses by itself.
const DEFAULT_RETRY_AFTER: Span = Span::from_secs(1);

/// Drives each request that this router accepted from its arrival to its single final response.
#[derive(Debug)]
pub struct Controller {
    incarnation: id::Incarnation,
    settings: Settings,
    /// Sequence number of the last attempt.
    sequence: u64,
    /// Requests without a final response, by number.
    jobs: BTreeMap<u64, Job>,
    /// Request number of each attempt that waits for or holds a slot.
    attempts: BTreeMap<id::Attempt, u64>,
    /// Request number of each pending claim, by the identifier of the claim.
    claims: BTreeMap<id::Attempt, u64>,
    /// Deadlines and ends of backoffs, with the request number.
    timers: BTreeSet<(Time, u64)>,
    budget: Budget,
    backoff: Backoff,
    last_report: Time,
    draining: bool,
}

impl Controller {
    /// Returns a controller without requests; `random` drives its backoff and target selection.
    pub fn open(incarnation: id::Incarnation, settings: Settings, random: ChaCha8Rng) -> Self {
        Self {
            incarnation,
            settings,
            sequence: 0,
            jobs: BTreeMap::new(),
            attempts: BTreeMap::new(),
            claims: BTreeMap::new(),
            timers: BTreeSet::new(),
            budget: Budget::new(settings.retry_permille, settings.retry_burst),
            backoff: Backoff::new(settings.base_backoff, settings.max_backoff, random),
            last_report: Time::default(),
            draining: false,
        }
    }

    /// Returns the number of requests without a final response.
    pub fn len(&self) -> usize {
        self.jobs.len()
    }

    /// Reports whether every request has its final response.
    pub fn is_empty(&self) -> bool {
        self.jobs.is_empty()
    }

    /// Handles an event and appends the resulting actions to `out`.
    pub fn step(
        &mut self,
        now: Time,
        event: Event,
        placement: &dyn Placement,
        out: &mut Vec<Action>,
    ) {
        let context = &mut Context {
            now,
            placement,
            out,
        };
        match event {
            Event::Request(request) => self.handle_request(request, context),
            Event::Cancelled { request } => self.handle_cancel(request, context),
            Event::Granted {
                from,
                attempt,
                target,
            } => self.handle_grant(from, attempt, target, context),
            Event::Refused {
                from,
                attempt,
                refusal,
            } => self.handle_refusal(from, attempt, refusal, context),
            Event::Moved {
                from,
                attempt,
                target,
            } => self.handle_move(from, attempt, target, context),
            Event::Claimed { attempt, verdict } => self.handle_verdict(attempt, verdict, context),
            Event::Sent { attempt } => self.update_run(attempt, |run| run.sent = true),
            Event::Progress { attempt, cost } => {
                self.update_run(attempt, |run| run.cost = run.cost.max(cost));
            }
            Event::Ended {
                attempt,
                cost,
                outcome,
                resume,
                answer,
            } => self.handle_end(attempt, cost, outcome, resume, answer, context),
            Event::PlacementChanged => self.update_owners(None, context),
            Event::RouterLost { router } => self.update_owners(Some(&router), context),
            Event::Resync { from } => self.handle_resync(&from, context),
            Event::Paused => self.handle_pause(context),
            Event::Drain => self.draining = true,
            Event::Tick => self.handle_tick(context),
        }
    }

    fn handle_request(&mut self, request: Request, context: &mut Context<'_>) {
        let refused = if self.draining {
            Some(wire::Reason::Draining)
        } else if request.deadline <= context.now {
            Some(wire::Reason::Deadline)
        } else {
            None
        };
        let job = Job::new(request, context.now);
        if let Some(reason) = refused {
            return self.reject(job, reason, DEFAULT_RETRY_AFTER, context);
        }
        self.budget.deposit();
        self.timers
            .insert((job.request.deadline, job.request.number));
        self.place(job, context);
    }

    /// Selects a target and requests a slot there.
    fn place(&mut self, job: Job, context: &mut Context<'_>) {
        let seed = self.backoff.next_seed();
        let choice = job.pick(context.placement, seed);
        match choice {
            Some((target, owner)) => self.request_slot(job, target, owner, context),
            None => self.reject(job, wire::Reason::NoTarget, DEFAULT_RETRY_AFTER, context),
        }
    }

    /// Requests a slot from an owner under a new attempt, so that late messages for an earlier
    /// attempt cannot be mistaken for replies to this one.
    fn request_slot(
        &mut self,
        mut job: Job,
        target: id::Target,
        owner: id::Router,
        context: &mut Context<'_>,
    ) {
        let attempt = self.next_attempt();
        let request = &job.request;
        let ask = wire::Ask {
            attempt,
            workspace: request.workspace.clone(),
            service: request.service.clone(),
            target,
            class: request.class,
            estimate: request.estimate,
            waited: context.now.since(job.arrived),
            remaining: request.deadline.since(context.now),
            hops: job.hops,
        };
        job.state = State::Waiting(Slot::ask(owner, ask, context));
        self.store_job(job);
    }

    fn next_attempt(&mut self) -> id::Attempt {
        self.sequence += 1;
        id::Attempt {
            incarnation: self.incarnation,
            sequence: self.sequence,
        }
    }

    fn store_job(&mut self, job: Job) {
        let number = job.request.number;
        if let Some(attempt) = job.attempt() {
            self.attempts.insert(attempt, number);
        }
        self.jobs.insert(number, job);
    }

    fn take_job(&mut self, number: u64) -> Option<Job> {
        let job = self.jobs.remove(&number)?;
        if let Some(attempt) = job.attempt() {
            self.attempts.remove(&attempt);
        }
        Some(job)
    }

    fn take_by_attempt(&mut self, attempt: id::Attempt) -> Option<Job> {
        let number = *self.attempts.get(&attempt)?;
        self.take_job(number)
    }

    /// Removes and returns the request whose attempt waits at `owner`.
    fn take_waiting(&mut self, owner: &id::Router, attempt: id::Attempt) -> Option<(Job, Slot)> {
        let job = self.take_by_attempt(attempt)?;
        match &job.state {
            State::Waiting(slot) if slot.owner == *owner => {
                let slot = slot.clone();
                Some((job, slot))
            }
            _ => {
                self.store_job(job);
                None
            }
        }
    }

    fn handle_grant(
        &mut self,
        from: id::Router,
        attempt: id::Attempt,
        target: id::Target,
        context: &mut Context<'_>,
    ) {
        let Some((mut job, mut slot)) = self.take_waiting(&from, attempt) else {
            if !self.holds_slot(&from, attempt) {
                context.send(&from, release_message(attempt, target));
            }
            return;
        };
        slot.ask.target = target;
        if job.request.deadline <= context.now {
            slot.release(context);
            job.state = State::Backoff { until: context.now };
            return self.reject(job, wire::Reason::Deadline, DEFAULT_RETRY_AFTER, context);
        }
        if !job.needs_claim() {
            return self.start_attempt(job, slot, context);
        }
        self.claim_key(&mut job, context);
        let granted = context.now;
        job.state = State::Claiming { slot, granted };
        self.store_job(job);
    }

    /// Reports whether the attempt holds a slot that `owner` counts as taken.
    fn holds_slot(&self, owner: &id::Router, attempt: id::Attempt) -> bool {
        let number = self.attempts.get(&attempt);
        let job = number.and_then(|n| self.jobs.get(n));
        match job.map(|job| &job.state) {
            Some(State::Claiming { slot, .. }) => slot.is_recorded_by(owner),
            Some(State::Running(run)) => run.slot.is_recorded_by(owner),
            _ => false,
        }
    }

    /// Claims the idempotency key of a request, unless that was done before.
    fn claim_key(&mut self, job: &mut Job, context: &mut Context<'_>) {
        let Some(key) = job.request.key.clone() else {
            return;
        };
        if job.claim != Claim::None {
            return;
        }
        let attempt = self.next_attempt();
        job.claim = Claim::Pending(attempt);
        self.claims.insert(attempt, job.request.number);
        context.out.push(Action::Claim {
            attempt,
            workspace: job.request.workspace.clone(),
            service: job.request.service.clone(),
            key,
        });
    }

    fn start_attempt(&mut self, mut job: Job, slot: Slot, context: &mut Context<'_>) {
        job.attempt_count += 1;
        context.out.push(Action::Start {
            request: job.request.number,
            attempt: slot.ask.attempt,
            target: slot.ask.target.clone(),
            resume: job.resume.clone(),
            not_after: context.now + self.settings.start_timeout,
            deadline: job.request.deadline,
        });
        job.state = State::Running(Run::new(slot));
        self.store_job(job);
    }

    /// Handles the decision on the claim of a request.
    fn handle_verdict(
        &mut self,
        attempt: id::Attempt,
        verdict: claim::Verdict,
        context: &mut Context<'_>,
    ) {
        let Some(number) = self.claims.remove(&attempt) else {
            return;
        };
        let Some(mut job) = self.take_job(number) else {
            if verdict == claim::Verdict::Granted {
                let outcome = claim::Outcome::NotRun;
                context.out.push(Action::Settle { attempt, outcome });
            }
            return;
        };
        let rejection = match verdict {
            claim::Verdict::Granted => {
                job.claim = Claim::Held(attempt);
                return self.continue_claimed(job, context);
            }
            claim::Verdict::Running => Rejection::Unknown {
                cause: Cause::Running,
            },
            claim::Verdict::Unknown => Rejection::Unknown {
                cause: Cause::Claim,
            },
            claim::Verdict::Finished(answer) => Rejection::Finished { answer },
        };
        job.claim = Claim::None;
        self.close(job, rejection, context);
    }

    /// Continues a request whose claim was granted: starts an attempt if its slot was granted at
    /// most `start_timeout` ago, and requests another slot if not.
    fn continue_claimed(&mut self, mut job: Job, context: &mut Context<'_>) {
        if let State::Refusing(refusal) = job.state {
            return self.close(job, Rejection::NotRun { refusal }, context);
        }
        let State::Claiming { slot, granted } = &job.state else {
            return self.store_job(job);
        };
        if job.request.deadline <= context.now {
            return self.reject(job, wire::Reason::Deadline, DEFAULT_RETRY_AFTER, context);
        }
        let (slot, granted) = (slot.clone(), *granted);
        if context.now.since(granted) <= self.settings.start_timeout {
            return self.start_attempt(job, slot, context);
        }
        slot.release(context);
        job.state = State::Backoff { until: context.now };
        self.place(job, context);
    }

    fn handle_refusal(
        &mut self,
        from: id::Router,
        attempt: id::Attempt,
        refusal: wire::Refusal,
        context: &mut Context<'_>,
    ) {
        let Some((mut job, slot)) = self.take_waiting(&from, attempt) else {
            return;
        };
        job.state = State::Backoff { until: context.now };
        let try_elsewhere = matches!(
            refusal.reason,
            wire::Reason::NotOwner | wire::Reason::Draining | wire::Reason::NoTarget
        );
        if !try_elsewhere {
            return self.reject(job, refusal.reason, refusal.retry_after, context);
        }
        if job.hops >= self.settings.max_hops {
            return self.reject(job, wire::Reason::NoTarget, DEFAULT_RETRY_AFTER, context);
        }
        job.hops += 1;
        let target = slot.ask.target;
        match context.placement.owner_of(&target) {
            Some(owner) if owner != from => self.request_slot(job, target, owner, context),
            _ => {
                // Routers learn of ownership changes at different times, so that an immediate
                // second request could be refused again.
                let until = context.now + self.backoff.delay(u32::from(job.hops));
                self.back_off(job, until);
            }
        }
    }

    fn handle_move(
        &mut self,
        from: id::Router,
        attempt: id::Attempt,
        target: id::Target,
        context: &mut Context<'_>,
    ) {
        let Some((mut job, _)) = self.take_waiting(&from, attempt) else {
            return;
        };
        job.hops = job.hops.saturating_add(1);
        job.state = State::Backoff { until: context.now };
        match context.placement.owner_of(&target) {
            Some(owner) => self.request_slot(job, target, owner, context),
            None => self.place(job, context),
        }
    }

    fn update_run(&mut self, attempt: id::Attempt, change: impl FnOnce(&mut Run)) {
        let number = self.attempts.get(&attempt);
        let job = number.and_then(|n| self.jobs.get_mut(n));
        if let Some(State::Running(run)) = job.map(|job| &mut job.state) {
            change(run);
        }
    }

    fn handle_end(
        &mut self,
        attempt: id::Attempt,
        cost: Cost,
        outcome: wire::Outcome,
        resume: Resume,
        answer: Option<Box<str>>,
        context: &mut Context<'_>,
    ) {
        let Some(mut job) = self.take_by_attempt(attempt) else {
            return;
        };
        let until = context.now;
        let run = match mem::replace(&mut job.state, State::Backoff { until }) {
            State::Running(run) => run,
            state => {
                job.state = state;
                return self.store_job(job);
            }
        };
        run.slot.finish(cost, outcome, context);
        match outcome {
            wire::Outcome::Answered => {
                self.settle_claim(&job, claim::Outcome::Finished(answer), context);
            }
            wire::Outcome::NotRun => self.retry(job, &run, context),
            wire::Outcome::Unreachable if !run.sent => self.retry(job, &run, context),
            wire::Outcome::Cancelled if !run.sent && !run.aborted => self.place(job, context),
            wire::Outcome::Cancelled if !run.sent => {
                self.reject(job, wire::Reason::Deadline, DEFAULT_RETRY_AFTER, context);
            }
            wire::Outcome::Cancelled => {
                job.may_have_run = true;
                self.close_unknown(job, Cause::Deadline, context);
            }
            wire::Outcome::Unreachable | wire::Outcome::Broken => {
                job.may_have_run = true;
                self.retry_if_idempotent(job, &run, resume, context);
            }
        }
    }

    /// Retries a request that its target certainly did not run, preferably at another target.
    fn retry(&mut self, mut job: Job, run: &Run, context: &mut Context<'_>) {
        job.failed_targets.push(run.slot.ask.target.clone());
        if run.aborted {
            self.reject(job, wire::Reason::Deadline, DEFAULT_RETRY_AFTER, context);
        } else if let Some(until) = self.next_attempt_at(&job, context.now) {
            self.back_off(job, until);
        } else {
            self.reject(job, wire::Reason::NoTarget, DEFAULT_RETRY_AFTER, context);
        }
    }

    /// Retries a request that its target may have run, if it is idempotent and can be resumed.
    fn retry_if_idempotent(
        &mut self,
        mut job: Job,
        run: &Run,
        resume: Resume,
        context: &mut Context<'_>,
    ) {
        job.failed_targets.push(run.slot.ask.target.clone());
        if run.aborted || !job.request.idempotent || resume == Resume::Never {
            return self.close_unknown(job, Cause::Broken, context);
        }
        let Some(until) = self.next_attempt_at(&job, context.now) else {
            return self.close_unknown(job, Cause::Broken, context);
        };
        if let Resume::After(event) = resume {
            job.resume = Some(event);
        }
        self.back_off(job, until);
    }

    /// Returns the time of the next attempt, or `None` if the attempts, the retry budget or the
    /// time to the deadline are used up. Takes one retry from the budget.
    fn next_attempt_at(&mut self, job: &Job, now: Time) -> Option<Time> {
        if job.attempt_count >= self.settings.max_attempts {
            return None;
        }
        let until = now + self.backoff.delay(job.attempt_count);
        let in_time = until < job.request.deadline;
        (in_time && self.budget.try_withdraw()).then_some(until)
    }

    fn back_off(&mut self, mut job: Job, until: Time) {
        job.state = State::Backoff { until };
        self.timers.insert((until, job.request.number));
        self.store_job(job);
    }

    /// Refuses a request that has no attempt in progress and gets no further one.
    ///
    /// If its idempotency key is not claimed yet, an earlier request with that key may have run:
    /// the key is claimed first, and the refusal waits for the verdict.
    fn reject(
        &mut self,
        mut job: Job,
        reason: wire::Reason,
        retry_after: Span,
        context: &mut Context<'_>,
    ) {
        if job.may_have_run {
            return self.close_unknown(job, Cause::Broken, context);
        }
        let refusal = wire::Refusal {
            reason,
            retry_after,
        };
        if job.cancelled || !job.needs_claim() {
            return self.close(job, Rejection::NotRun { refusal }, context);
        }
        job.release_slot(context);
        self.claim_key(&mut job, context);
        job.state = State::Refusing(refusal);
        self.store_job(job);
    }

    /// Ends a request whose outcome is unknown.
    fn close_unknown(&mut self, job: Job, cause: Cause, context: &mut Context<'_>) {
        self.close(job, Rejection::Unknown { cause }, context);
    }

    /// Sends the final response to a request and releases its slot and its claim.
    fn close(&mut self, mut job: Job, rejection: Rejection, context: &mut Context<'_>) {
        job.release_slot(context);
        let outcome = if job.may_have_run {
            claim::Outcome::Unknown
        } else {
            claim::Outcome::NotRun
        };
        self.settle_claim(&job, outcome, context);
        if !job.cancelled {
            let request = job.request.number;
            context.out.push(Action::Reject { request, rejection });
        }
    }

    /// Cancels the deadline timer of a request and records how its claim ended.
    fn settle_claim(&mut self, job: &Job, outcome: claim::Outcome, context: &mut Context<'_>) {
        let timer = (job.request.deadline, job.request.number);
        self.timers.remove(&timer);
        if let Claim::Held(attempt) = job.claim {
            context.out.push(Action::Settle { attempt, outcome });
        }
    }

    fn handle_cancel(&mut self, number: u64, context: &mut Context<'_>) {
        let Some(mut job) = self.take_job(number) else {
            return;
        };
        job.cancelled = true;
        match &mut job.state {
            State::Running(run) => {
                run.abort(context);
                self.store_job(job);
            }
            // The cause has no effect: a cancelled request gets no response.
            _ => self.close_unknown(job, Cause::Broken, context),
        }
    }

    fn handle_tick(&mut self, context: &mut Context<'_>) {
        while let Some(&(at, number)) = self.timers.first() {
            if at > context.now {
                break;
            }
            self.timers.pop_first();
            self.handle_timer(number, context);
        }
        if context.now.since(self.last_report) >= self.settings.progress_interval {
            self.last_report = context.now;
            self.report_progress(context);
        }
    }

    /// Handles an expired timer of a request: its deadline or the end of its backoff.
    fn handle_timer(&mut self, number: u64, context: &mut Context<'_>) {
        let Some(mut job) = self.take_job(number) else {
            return;
        };
        if job.request.deadline <= context.now {
            return match &mut job.state {
                State::Running(run) => {
                    run.abort(context);
                    self.store_job(job);
                }
                State::Refusing(_) => self.store_job(job),
                _ => self.reject(job, wire::Reason::Deadline, DEFAULT_RETRY_AFTER, context),
            };
        }
        match job.state {
            State::Backoff { until } if until <= context.now => self.place(job, context),
            _ => self.store_job(job),
        }
    }

    fn report_progress(&mut self, context: &mut Context<'_>) {
        let mut batches = BTreeMap::<id::Router, Vec<(id::Attempt, Cost)>>::new();
        for job in self.jobs.values_mut() {
            let State::Running(run) = &mut job.state else {
                continue;
            };
            if run.cost > run.reported {
                run.reported = run.cost;
                let batch = batches.entry(run.slot.owner.clone()).or_default();
                batch.push((run.slot.ask.attempt, run.cost));
            }
        }
        for (owner, batch) in batches {
            context.send(&owner, wire::Message::Progress(batch));
        }
    }

    /// Updates the owner of every slot; `lost` is a router that failed or left.
    fn update_owners(&mut self, lost: Option<&id::Router>, context: &mut Context<'_>) {
        let numbers: Vec<u64> = self.jobs.keys().copied().collect();
        for number in numbers {
            self.update_owner(number, lost, context);
        }
    }

    fn update_owner(&mut self, number: u64, lost: Option<&id::Router>, context: &mut Context<'_>) {
        let Some(mut job) = self.take_job(number) else {
            return;
        };
        match &mut job.state {
            State::Waiting(slot) => {
                let slot = slot.clone();
                self.update_waiting_owner(job, slot, lost, context);
            }
            State::Claiming { slot, .. } => {
                slot.notify_new_owner(Cost(0), context);
                self.store_job(job);
            }
            State::Running(run) => {
                run.slot.notify_new_owner(run.cost, context);
                self.store_job(job);
            }
            State::Refusing(_) | State::Backoff { .. } => self.store_job(job),
        }
    }

    fn update_waiting_owner(
        &mut self,
        mut job: Job,
        slot: Slot,
        lost: Option<&id::Router>,
        context: &mut Context<'_>,
    ) {
        let owner = context.placement.owner_of(&slot.ask.target);
        let owner_lost = lost == Some(&slot.owner);
        match owner {
            Some(owner) if owner != slot.owner => {
                slot.withdraw(context);
                job.hops = job.hops.saturating_add(1);
                self.request_slot(job, slot.ask.target, owner, context);
            }
            Some(_) => self.store_job(job),
            None => {
                let seed = self.backoff.next_seed();
                let choice = job.pick(context.placement, seed);
                match choice {
                    Some((target, owner)) => {
                        slot.withdraw(context);
                        job.hops = job.hops.saturating_add(1);
                        self.request_slot(job, target, owner, context);
                    }
                    None if owner_lost => {
                        self.reject(job, wire::Reason::NoTarget, DEFAULT_RETRY_AFTER, context)
                    }
                    None => self.store_job(job),
                }
            }
        }
    }

    /// Repeats the messages that a peer may have missed.
    fn handle_resync(&mut self, from: &id::Router, context: &mut Context<'_>) {
        for job in self.jobs.values_mut() {
            match &mut job.state {
                State::Waiting(slot) if slot.owner == *from => {
                    slot.ask.waited = context.now.since(job.arrived);
                    slot.ask.remaining = job.request.deadline.since(context.now);
                    slot.repeat_ask(context);
                }
                State::Claiming { slot, .. } if slot.owner == *from => {
                    slot.send_held(Cost(0), context)
                }
                State::Running(run) if run.slot.owner == *from => {
                    run.slot.send_held(run.cost, context)
                }
                _ => {}
            }
        }
    }

    /// Releases grants that may have expired while this process was suspended, and requests new
    /// slots.
    fn handle_pause(&mut self, context: &mut Context<'_>) {
        let numbers: Vec<u64> = self.jobs.keys().copied().collect();
        for number in numbers {
            let Some(mut job) = self.take_job(number) else {
                continue;
            };
            if let State::Claiming { slot, .. } = &job.state {
                slot.release(context);
                job.state = State::Backoff { until: context.now };
                self.place(job, context);
            } else {
                self.store_job(job);
            }
        }
    }
}

/// Returns the message that releases a granted slot unused.
fn release_message(attempt: id::Attempt, target: id::Target) -> wire::Message {
    wire::Message::Done {
        attempt,
        target,
        cost: Cost(0),
        outcome: wire::Outcome::Cancelled,
    }
}
