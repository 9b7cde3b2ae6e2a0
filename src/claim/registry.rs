//! State machine that decides claims.

use super::{
    Action, Event, Issuer, Key, Outcome, Settings, Verdict, batcher::Batcher, key, remote::Remote,
    sweep::Sweep,
};
use crate::{id, unit::Time, wire};
use rand_chacha::{ChaCha8Rng, rand_core::Rng};
use std::collections::BTreeMap;

/// Decides the claims of this router's requests, and those of other routers on keys that it issued.
#[derive(Debug)]
pub struct Registry {
    router: id::Router,
    settings: Settings,
    batcher: Batcher,
    sweep: Sweep,
    issuer: Issuer,
    remote: Remote,
    /// Issued keys held by this router's claims, each with its issuer.
    held_keys: BTreeMap<id::Attempt, (id::Router, Box<str>)>,
    last_call: u64,
}

impl Registry {
    /// Returns a registry without claims; `unix_millis` is the Unix time at `Time(0)`, and `random`
    /// generates the secrets of issued keys.
    pub fn open(
        router: id::Router,
        incarnation: id::Incarnation,
        settings: Settings,
        unix_millis: u64,
        mut random: ChaCha8Rng,
    ) -> Self {
        let seed = random.next_u64();
        Self {
            batcher: Batcher::open(router.clone(), settings, unix_millis),
            sweep: Sweep::open(router.clone(), settings, unix_millis, seed),
            issuer: Issuer::open(router.clone(), incarnation, settings, random),
            remote: Remote::default(),
            held_keys: BTreeMap::new(),
            last_call: 0,
            router,
            settings,
        }
    }

    /// Issues a key for one request.
    pub fn issue(&mut self, now: Time) -> Box<str> {
        self.issuer.issue(now)
    }

    /// Reports whether the ends of all claims are recorded in the table; a router waits for this
    /// before it stops.
    pub fn is_settled(&self) -> bool {
        self.batcher.is_settled()
    }

    /// Returns the time at which a tick is needed, if it may be before the regular one. The sweep
    /// relies on the regular ticks.
    pub fn wake_at(&self) -> Option<Time> {
        let times = [self.batcher.wake_at(), self.remote.wake_at()];
        times.into_iter().flatten().min()
    }

    /// Handles an event and appends the resulting actions to `out`.
    pub fn step(&mut self, now: Time, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Claim {
                attempt,
                workspace,
                service,
                key,
            } => match key {
                Key::Caller(text) => {
                    let row = key::row_key(&workspace, &service, &text);
                    self.batcher.claim(now, attempt, row, out);
                }
                Key::Issued { issuer, text } => {
                    self.claim_issued(now, attempt, issuer, text, out);
                }
            },
            Event::Settle { attempt, outcome } => self.settle(now, attempt, outcome, out),
            Event::Written { call, result } => {
                if !self.sweep.handle_removal(call) {
                    self.batcher.handle_write(now, call, result, out);
                }
            }
            Event::Read { call, result } => {
                if !self.sweep.handle_scan(now, call, &result) {
                    self.batcher.handle_read(now, call, result, out);
                }
            }
            Event::KeyClaim { from, attempt, key } => {
                let granted = self.issuer.claim(now, attempt, &key);
                let message = wire::Message::KeyVerdict { attempt, granted };
                out.push(Action::Send(wire::Envelope { to: from, message }));
            }
            Event::KeyVerdict {
                from,
                attempt,
                granted,
            } => self.handle_issuer_verdict(&from, attempt, granted, out),
            Event::KeyRelease { attempt, key } => self.issuer.release(attempt, &key),
            Event::RouterLost { router } => self.remote.fail_router(&router, out),
            Event::Resync { from } => self.remote.resync(&from, out),
            Event::Tick => {
                self.batcher.expire(now, out);
                self.remote.expire(now, out);
            }
        }
        self.start_call(now, out);
    }

    fn claim_issued(
        &mut self,
        now: Time,
        attempt: id::Attempt,
        issuer: id::Router,
        key: Box<str>,
        out: &mut Vec<Action>,
    ) {
        if issuer != self.router {
            let deadline = now + self.settings.timeout;
            return self.remote.claim(attempt, issuer, key, deadline, out);
        }
        let verdict = if self.issuer.claim(now, attempt, &key) {
            self.held_keys.insert(attempt, (issuer, key));
            Verdict::Granted
        } else {
            Verdict::Unknown
        };
        out.push(Action::Verdict { attempt, verdict });
    }

    fn handle_issuer_verdict(
        &mut self,
        from: &id::Router,
        attempt: id::Attempt,
        granted: bool,
        out: &mut Vec<Action>,
    ) {
        let Some(key) = self.remote.handle_verdict(from, attempt) else {
            return;
        };
        let verdict = if granted {
            self.held_keys.insert(attempt, (from.clone(), key));
            Verdict::Granted
        } else {
            Verdict::Unknown
        };
        out.push(Action::Verdict { attempt, verdict });
    }

    fn settle(&mut self, now: Time, attempt: id::Attempt, outcome: Outcome, out: &mut Vec<Action>) {
        let Some((issuer, key)) = self.held_keys.remove(&attempt) else {
            return self.batcher.settle(now, attempt, outcome);
        };
        if outcome != Outcome::NotRun {
            return;
        }
        if issuer == self.router {
            return self.issuer.release(attempt, &key);
        }
        let message = wire::Message::KeyRelease { attempt, key };
        let to = issuer;
        out.push(Action::Send(wire::Envelope { to, message }));
    }

    /// Starts the next call to the table if none is in progress and one is due.
    fn start_call(&mut self, now: Time, out: &mut Vec<Action>) {
        if self.sweep.is_calling() {
            return;
        }
        let call = self.last_call + 1;
        if self.batcher.start_call(now, call, out) {
            self.last_call = call;
        } else if self.batcher.is_idle(now)
            && let Some(action) = self.sweep.start_call(now, call)
        {
            self.last_call = call;
            self.batcher.delay_next_call(now);
            out.push(action);
        }
    }
}
