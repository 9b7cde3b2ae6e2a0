//! State machine that drives requests from arrival to their final response.

use super::{
    Action, Doubt, Event, Placement, Rejection, Request, Resume, Settings,
    backoff::Backoff,
    budget::Budget,
    job::{Claim, Job, Run, State},
    slot::Slot,
    turn::Turn,
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
const RETRY_AFTER: Span = Span::from_secs(1);

/// Drives each request that this router accepted from its arrival to its single final response.
#[derive(Debug)]
pub struct Controller {
    incarnation: id::Incarnation,
    settings: Settings,
    sequence: u64,
    jobs: BTreeMap<u64, Job>,
    attempts: BTreeMap<id::Attempt, u64>,
    claims: BTreeMap<id::Attempt, u64>,
    timers: BTreeSet<(Time, u64)>,
    budget: Budget,
    backoff: Backoff,
    reported: Time,
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
            backoff: Backoff::new(settings.backoff_base, settings.backoff_max, random),
            reported: Time::default(),
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
        let turn = &mut Turn {
            now,
            placement,
            out,
        };
        match event {
            Event::Request(request) => self.accept(request, turn),
            Event::Cancelled { request } => self.cancel(request, turn),
            Event::Granted {
                from,
                attempt,
                target,
            } => self.grant(from, attempt, target, turn),
            Event::Refused {
                from,
                attempt,
                refusal,
            } => self.refuse(from, attempt, refusal, turn),
            Event::Moved {
                from,
                attempt,
                target,
            } => self.hand_on(from, attempt, target, turn),
            Event::Claimed { attempt, verdict } => self.judge(attempt, verdict, turn),
            Event::Sent { attempt } => self.note(attempt, |run| run.sent = true),
            Event::Progress { attempt, cost } => {
                self.note(attempt, |run| run.cost = run.cost.max(cost));
            }
            Event::Ended {
                attempt,
                cost,
                outcome,
                resume,
                answer,
            } => self.end(attempt, cost, outcome, resume, answer, turn),
            Event::Placement => self.replace(None, turn),
            Event::RouterLost { router } => self.replace(Some(&router), turn),
            Event::Resync { from } => self.resync(&from, turn),
            Event::Paused => self.pause(turn),
            Event::Drain => self.draining = true,
            Event::Tick => self.tick(turn),
        }
    }

    fn accept(&mut self, request: Request, turn: &mut Turn<'_>) {
        let refused = if self.draining {
            Some(wire::Reason::Draining)
        } else if request.deadline <= turn.now {
            Some(wire::Reason::Deadline)
        } else {
            None
        };
        let job = Job::new(request, turn.now);
        if let Some(reason) = refused {
            return self.reject(job, reason, RETRY_AFTER, turn);
        }
        self.budget.earn();
        self.timers
            .insert((job.request.deadline, job.request.number));
        self.place(job, turn);
    }

    /// Selects a target and requests a slot there.
    fn place(&mut self, job: Job, turn: &mut Turn<'_>) {
        let seed = self.backoff.seed();
        let choice = job.pick(turn.placement, seed);
        match choice {
            Some((target, owner)) => self.ask(job, target, owner, turn),
            None => self.reject(job, wire::Reason::NoTarget, RETRY_AFTER, turn),
        }
    }

    /// Requests a slot from an owner under a new attempt, so that late messages for an earlier
    /// attempt cannot be mistaken for replies to this one.
    fn ask(&mut self, mut job: Job, target: id::Target, owner: id::Router, turn: &mut Turn<'_>) {
        let attempt = self.next_attempt();
        let request = &job.request;
        let ask = wire::Ask {
            attempt,
            workspace: request.workspace.clone(),
            service: request.service.clone(),
            target,
            class: request.class,
            estimate: request.estimate,
            waited: turn.now.since(job.arrived),
            remaining: request.deadline.since(turn.now),
            hops: job.hops,
        };
        job.state = State::Waiting(Slot::ask(owner, ask, turn));
        self.keep(job);
    }

    fn next_attempt(&mut self) -> id::Attempt {
        self.sequence += 1;
        id::Attempt {
            incarnation: self.incarnation,
            sequence: self.sequence,
        }
    }

    fn keep(&mut self, job: Job) {
        let number = job.request.number;
        if let Some(attempt) = job.attempt() {
            self.attempts.insert(attempt, number);
        }
        self.jobs.insert(number, job);
    }

    fn take(&mut self, number: u64) -> Option<Job> {
        let job = self.jobs.remove(&number)?;
        if let Some(attempt) = job.attempt() {
            self.attempts.remove(&attempt);
        }
        Some(job)
    }

    fn take_attempt(&mut self, attempt: id::Attempt) -> Option<Job> {
        let number = *self.attempts.get(&attempt)?;
        self.take(number)
    }

    /// Removes and returns the request whose attempt waits at `owner`.
    fn take_waiting(&mut self, owner: &id::Router, attempt: id::Attempt) -> Option<(Job, Slot)> {
        let job = self.take_attempt(attempt)?;
        match &job.state {
            State::Waiting(slot) if slot.owner == *owner => {
                let slot = slot.clone();
                Some((job, slot))
            }
            _ => {
                self.keep(job);
                None
            }
        }
    }

    fn grant(
        &mut self,
        from: id::Router,
        attempt: id::Attempt,
        target: id::Target,
        turn: &mut Turn<'_>,
    ) {
        let Some((mut job, mut slot)) = self.take_waiting(&from, attempt) else {
            if !self.uses(&from, attempt) {
                turn.send(&from, unused(attempt, target));
            }
            return;
        };
        slot.ask.target = target;
        if job.request.deadline <= turn.now {
            slot.release(turn);
            job.state = State::Backoff { until: turn.now };
            return self.reject(job, wire::Reason::Deadline, RETRY_AFTER, turn);
        }
        if !job.needs_claim() {
            return self.start(job, slot, turn);
        }
        self.claim(&mut job, turn);
        let granted = turn.now;
        job.state = State::Claiming { slot, granted };
        self.keep(job);
    }

    /// Reports whether the attempt holds a slot that `owner` counts as taken.
    fn uses(&self, owner: &id::Router, attempt: id::Attempt) -> bool {
        let number = self.attempts.get(&attempt);
        let job = number.and_then(|n| self.jobs.get(n));
        match job.map(|job| &job.state) {
            Some(State::Claiming { slot, .. }) => slot.is_known_to(owner),
            Some(State::Running(run)) => run.slot.is_known_to(owner),
            _ => false,
        }
    }

    /// Claims the idempotency key of a request, unless that was done before.
    fn claim(&mut self, job: &mut Job, turn: &mut Turn<'_>) {
        let Some(key) = job.request.key.clone() else {
            return;
        };
        if job.claim != Claim::None {
            return;
        }
        let attempt = self.next_attempt();
        job.claim = Claim::Pending(attempt);
        self.claims.insert(attempt, job.request.number);
        turn.out.push(Action::Claim {
            attempt,
            workspace: job.request.workspace.clone(),
            service: job.request.service.clone(),
            key,
        });
    }

    fn start(&mut self, mut job: Job, slot: Slot, turn: &mut Turn<'_>) {
        job.tries += 1;
        turn.out.push(Action::Start {
            request: job.request.number,
            attempt: slot.ask.attempt,
            target: slot.ask.target.clone(),
            resume: job.resume.clone(),
            not_after: turn.now + self.settings.start_within,
            deadline: job.request.deadline,
        });
        job.state = State::Running(Run::new(slot));
        self.keep(job);
    }

    /// Handles the decision on the claim of a request.
    fn judge(&mut self, attempt: id::Attempt, verdict: claim::Verdict, turn: &mut Turn<'_>) {
        let Some(number) = self.claims.remove(&attempt) else {
            return;
        };
        let Some(mut job) = self.take(number) else {
            if verdict == claim::Verdict::Granted {
                let end = claim::End::NotRun;
                turn.out.push(Action::Settle { attempt, end });
            }
            return;
        };
        let rejection = match verdict {
            claim::Verdict::Granted => {
                job.claim = Claim::Held(attempt);
                return self.proceed(job, turn);
            }
            claim::Verdict::Running => Rejection::Unknown {
                doubt: Doubt::Running,
            },
            claim::Verdict::Unknown => Rejection::Unknown {
                doubt: Doubt::Claim,
            },
            claim::Verdict::Finished(answer) => Rejection::Finished { answer },
        };
        job.claim = Claim::None;
        self.close(job, rejection, turn);
    }

    /// Continues a request whose claim was granted: starts an attempt if its slot was granted at
    /// most `start_within` ago, and requests another slot if not.
    fn proceed(&mut self, mut job: Job, turn: &mut Turn<'_>) {
        if let State::Refusing(refusal) = job.state {
            return self.close(job, Rejection::NotRun { refusal }, turn);
        }
        let State::Claiming { slot, granted } = &job.state else {
            return self.keep(job);
        };
        if job.request.deadline <= turn.now {
            return self.reject(job, wire::Reason::Deadline, RETRY_AFTER, turn);
        }
        let (slot, granted) = (slot.clone(), *granted);
        if turn.now.since(granted) <= self.settings.start_within {
            return self.start(job, slot, turn);
        }
        slot.release(turn);
        job.state = State::Backoff { until: turn.now };
        self.place(job, turn);
    }

    fn refuse(
        &mut self,
        from: id::Router,
        attempt: id::Attempt,
        refusal: wire::Refusal,
        turn: &mut Turn<'_>,
    ) {
        let Some((mut job, slot)) = self.take_waiting(&from, attempt) else {
            return;
        };
        job.state = State::Backoff { until: turn.now };
        let elsewhere = matches!(
            refusal.reason,
            wire::Reason::NotOwner | wire::Reason::Draining | wire::Reason::NoTarget
        );
        if !elsewhere {
            return self.reject(job, refusal.reason, refusal.retry_after, turn);
        }
        if job.hops >= self.settings.max_hops {
            return self.reject(job, wire::Reason::NoTarget, RETRY_AFTER, turn);
        }
        job.hops += 1;
        let target = slot.ask.target;
        match turn.placement.owner_of(&target) {
            Some(owner) if owner != from => self.ask(job, target, owner, turn),
            _ => {
                // Routers learn of ownership changes at different times, so that an immediate
                // second request could be refused again.
                let until = turn.now + self.backoff.delay(u32::from(job.hops));
                self.back_off(job, until);
            }
        }
    }

    fn hand_on(
        &mut self,
        from: id::Router,
        attempt: id::Attempt,
        target: id::Target,
        turn: &mut Turn<'_>,
    ) {
        let Some((mut job, _)) = self.take_waiting(&from, attempt) else {
            return;
        };
        job.hops = job.hops.saturating_add(1);
        job.state = State::Backoff { until: turn.now };
        match turn.placement.owner_of(&target) {
            Some(owner) => self.ask(job, target, owner, turn),
            None => self.place(job, turn),
        }
    }

    fn note(&mut self, attempt: id::Attempt, change: impl FnOnce(&mut Run)) {
        let number = self.attempts.get(&attempt);
        let job = number.and_then(|n| self.jobs.get_mut(n));
        if let Some(State::Running(run)) = job.map(|job| &mut job.state) {
            change(run);
        }
    }

    fn end(
        &mut self,
        attempt: id::Attempt,
        cost: Cost,
        outcome: wire::Outcome,
        resume: Resume,
        answer: Option<Box<str>>,
        turn: &mut Turn<'_>,
    ) {
        let Some(mut job) = self.take_attempt(attempt) else {
            return;
        };
        let until = turn.now;
        let run = match mem::replace(&mut job.state, State::Backoff { until }) {
            State::Running(run) => run,
            state => {
                job.state = state;
                return self.keep(job);
            }
        };
        run.slot.end(cost, outcome, turn);
        match outcome {
            wire::Outcome::Answered => {
                self.settle(&job, claim::End::Finished(answer), turn);
            }
            wire::Outcome::NotRun => self.retry(job, &run, turn),
            wire::Outcome::Unreachable if !run.sent => self.retry(job, &run, turn),
            wire::Outcome::Cancelled if !run.sent && !run.aborted => self.place(job, turn),
            wire::Outcome::Cancelled if !run.sent => {
                self.reject(job, wire::Reason::Deadline, RETRY_AFTER, turn);
            }
            wire::Outcome::Cancelled => {
                job.ran = true;
                self.doubt(job, Doubt::Deadline, turn);
            }
            wire::Outcome::Unreachable | wire::Outcome::Broken => {
                job.ran = true;
                self.recover(job, &run, resume, turn);
            }
        }
    }

    /// Retries a request that its target certainly did not run, preferably at another target.
    fn retry(&mut self, mut job: Job, run: &Run, turn: &mut Turn<'_>) {
        job.failed.push(run.slot.ask.target.clone());
        if run.aborted {
            self.reject(job, wire::Reason::Deadline, RETRY_AFTER, turn);
        } else if let Some(until) = self.retry_at(&job, turn.now) {
            self.back_off(job, until);
        } else {
            self.reject(job, wire::Reason::NoTarget, RETRY_AFTER, turn);
        }
    }

    /// Retries a request that its target may have run, if it is idempotent and can be resumed.
    fn recover(&mut self, mut job: Job, run: &Run, resume: Resume, turn: &mut Turn<'_>) {
        job.failed.push(run.slot.ask.target.clone());
        if run.aborted || !job.request.idempotent || resume == Resume::Never {
            return self.doubt(job, Doubt::Broken, turn);
        }
        let Some(until) = self.retry_at(&job, turn.now) else {
            return self.doubt(job, Doubt::Broken, turn);
        };
        if let Resume::After(event) = resume {
            job.resume = Some(event);
        }
        self.back_off(job, until);
    }

    /// Returns the time of the next attempt, or `None` if the attempts, the retry budget or the
    /// time to the deadline are used up. Takes one retry from the budget.
    fn retry_at(&mut self, job: &Job, now: Time) -> Option<Time> {
        if job.tries >= self.settings.max_attempts {
            return None;
        }
        let until = now + self.backoff.delay(job.tries);
        let in_time = until < job.request.deadline;
        (in_time && self.budget.spend()).then_some(until)
    }

    fn back_off(&mut self, mut job: Job, until: Time) {
        job.state = State::Backoff { until };
        self.timers.insert((until, job.request.number));
        self.keep(job);
    }

    /// Refuses a request that has no attempt in progress and gets no further one.
    ///
    /// If its idempotency key is not claimed yet, an earlier request with that key may have run:
    /// the refusal waits for the claim, which tells.
    fn reject(
        &mut self,
        mut job: Job,
        reason: wire::Reason,
        retry_after: Span,
        turn: &mut Turn<'_>,
    ) {
        if job.ran {
            return self.doubt(job, Doubt::Broken, turn);
        }
        let refusal = wire::Refusal {
            reason,
            retry_after,
        };
        if job.abandoned || !job.needs_claim() {
            return self.close(job, Rejection::NotRun { refusal }, turn);
        }
        job.give_back(turn);
        self.claim(&mut job, turn);
        job.state = State::Refusing(refusal);
        self.keep(job);
    }

    /// Ends a request whose outcome is unknown.
    fn doubt(&mut self, job: Job, doubt: Doubt, turn: &mut Turn<'_>) {
        self.close(job, Rejection::Unknown { doubt }, turn);
    }

    /// Sends the final response to a request and releases its slot and its claim.
    fn close(&mut self, mut job: Job, rejection: Rejection, turn: &mut Turn<'_>) {
        job.give_back(turn);
        let end = if job.ran {
            claim::End::Unknown
        } else {
            claim::End::NotRun
        };
        self.settle(&job, end, turn);
        if !job.abandoned {
            let request = job.request.number;
            turn.out.push(Action::Reject { request, rejection });
        }
    }

    /// Cancels the deadline timer of a request and records how its claim ended.
    fn settle(&mut self, job: &Job, end: claim::End, turn: &mut Turn<'_>) {
        let timer = (job.request.deadline, job.request.number);
        self.timers.remove(&timer);
        if let Claim::Held(attempt) = job.claim {
            turn.out.push(Action::Settle { attempt, end });
        }
    }

    fn cancel(&mut self, number: u64, turn: &mut Turn<'_>) {
        let Some(mut job) = self.take(number) else {
            return;
        };
        job.abandoned = true;
        match &mut job.state {
            State::Running(run) => {
                run.abort(turn);
                self.keep(job);
            }
            _ => self.doubt(job, Doubt::Broken, turn),
        }
    }

    fn tick(&mut self, turn: &mut Turn<'_>) {
        while let Some(&(at, number)) = self.timers.first() {
            if at > turn.now {
                break;
            }
            self.timers.pop_first();
            self.wake(number, turn);
        }
        if turn.now.since(self.reported) >= self.settings.progress_period {
            self.reported = turn.now;
            self.report(turn);
        }
    }

    /// Handles an expired timer of a request: its deadline or the end of its backoff.
    fn wake(&mut self, number: u64, turn: &mut Turn<'_>) {
        let Some(mut job) = self.take(number) else {
            return;
        };
        if job.request.deadline <= turn.now {
            return match &mut job.state {
                State::Running(run) => {
                    run.abort(turn);
                    self.keep(job);
                }
                State::Refusing(_) => self.keep(job),
                _ => self.reject(job, wire::Reason::Deadline, RETRY_AFTER, turn),
            };
        }
        match job.state {
            State::Backoff { until } if until <= turn.now => self.place(job, turn),
            _ => self.keep(job),
        }
    }

    fn report(&mut self, turn: &mut Turn<'_>) {
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
            turn.send(&owner, wire::Message::Progress(batch));
        }
    }

    /// Updates the owner of every slot; `lost` is a router that failed or left.
    fn replace(&mut self, lost: Option<&id::Router>, turn: &mut Turn<'_>) {
        let numbers: Vec<u64> = self.jobs.keys().copied().collect();
        for number in numbers {
            self.follow(number, lost, turn);
        }
    }

    fn follow(&mut self, number: u64, lost: Option<&id::Router>, turn: &mut Turn<'_>) {
        let Some(mut job) = self.take(number) else {
            return;
        };
        match &mut job.state {
            State::Waiting(slot) => {
                let slot = slot.clone();
                self.follow_waiting(job, slot, lost, turn);
            }
            State::Claiming { slot, .. } => {
                slot.follow(Cost(0), turn);
                self.keep(job);
            }
            State::Running(run) => {
                run.slot.follow(run.cost, turn);
                self.keep(job);
            }
            State::Refusing(_) | State::Backoff { .. } => self.keep(job),
        }
    }

    fn follow_waiting(
        &mut self,
        mut job: Job,
        slot: Slot,
        lost: Option<&id::Router>,
        turn: &mut Turn<'_>,
    ) {
        let owner = turn.placement.owner_of(&slot.ask.target);
        let gone = lost == Some(&slot.owner);
        match owner {
            Some(owner) if owner != slot.owner => {
                slot.withdraw(turn);
                job.hops = job.hops.saturating_add(1);
                self.ask(job, slot.ask.target, owner, turn);
            }
            Some(_) => self.keep(job),
            None => {
                let seed = self.backoff.seed();
                let choice = job.pick(turn.placement, seed);
                match choice {
                    Some((target, owner)) => {
                        slot.withdraw(turn);
                        job.hops = job.hops.saturating_add(1);
                        self.ask(job, target, owner, turn);
                    }
                    None if gone => self.reject(job, wire::Reason::NoTarget, RETRY_AFTER, turn),
                    None => self.keep(job),
                }
            }
        }
    }

    /// Repeats the messages that a peer may have missed.
    fn resync(&mut self, from: &id::Router, turn: &mut Turn<'_>) {
        for job in self.jobs.values_mut() {
            match &mut job.state {
                State::Waiting(slot) if slot.owner == *from => {
                    slot.ask.waited = turn.now.since(job.arrived);
                    slot.ask.remaining = job.request.deadline.since(turn.now);
                    slot.ask_again(turn);
                }
                State::Claiming { slot, .. } if slot.owner == *from => slot.hold(Cost(0), turn),
                State::Running(run) if run.slot.owner == *from => run.slot.hold(run.cost, turn),
                _ => {}
            }
        }
    }

    /// Releases grants that may have expired while this process was suspended, and requests new
    /// slots.
    fn pause(&mut self, turn: &mut Turn<'_>) {
        let numbers: Vec<u64> = self.jobs.keys().copied().collect();
        for number in numbers {
            let Some(mut job) = self.take(number) else {
                continue;
            };
            if let State::Claiming { slot, .. } = &job.state {
                slot.release(turn);
                job.state = State::Backoff { until: turn.now };
                self.place(job, turn);
            } else {
                self.keep(job);
            }
        }
    }
}

/// Returns the message that releases a granted slot unused.
fn unused(attempt: id::Attempt, target: id::Target) -> wire::Message {
    wire::Message::Done {
        attempt,
        target,
        cost: Cost(0),
        outcome: wire::Outcome::Cancelled,
    }
}
