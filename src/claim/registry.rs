//! State machine that decides claims.

use super::{
    Action, End, Event, Issuer, Key, Settings, Verdict, batch::Batch, key, remote::Remote,
    sweep::Sweep,
};
use crate::{id, unit::Time, wire};
use rand_chacha::{ChaCha8Rng, rand_core::Rng};
use std::collections::BTreeMap;

/// Decides the claims of this router's attempts, and those of other routers on keys that it issued.
#[derive(Debug)]
pub struct Registry {
    router: id::Router,
    settings: Settings,
    batch: Batch,
    sweep: Sweep,
    issuer: Issuer,
    remote: Remote,
    /// Issued keys held by attempts of this router, each with its issuer.
    held: BTreeMap<id::Attempt, (id::Router, Box<str>)>,
    calls: u64,
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
            batch: Batch::open(router.clone(), settings, unix_millis),
            sweep: Sweep::open(router.clone(), settings, unix_millis, seed),
            issuer: Issuer::open(router.clone(), incarnation, settings, random),
            remote: Remote::default(),
            held: BTreeMap::new(),
            calls: 0,
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
        self.batch.is_settled()
    }

    /// Returns the time at which the next tick is due, or `None` if there is nothing to do until
    /// another event arrives.
    pub fn wake_at(&self) -> Option<Time> {
        let times = [self.batch.wake_at(), self.remote.wake_at()];
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
                    self.batch.claim(now, attempt, row, out);
                }
                Key::Issued { issuer, text } => {
                    self.claim_issued(now, attempt, issuer, text, out);
                }
            },
            Event::Settle { attempt, end } => self.settle(now, attempt, end, out),
            Event::Written { call, result } => {
                if !self.sweep.removed(call) {
                    self.batch.written(now, call, result, out);
                }
            }
            Event::Read { call, result } => {
                if !self.sweep.scanned(now, call, &result) {
                    self.batch.read(now, call, result, out);
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
            } => self.answer_issued(&from, attempt, granted, out),
            Event::KeyRelease { attempt, key } => self.issuer.release(attempt, &key),
            Event::RouterLost { router } => self.remote.lose(&router, out),
            Event::Resync { from } => self.remote.resync(&from, out),
            Event::Tick => {
                self.batch.expire(now, out);
                self.remote.expire(now, out);
            }
        }
        self.pump(now, out);
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
            let until = now + self.settings.wait;
            return self.remote.claim(attempt, issuer, key, until, out);
        }
        let verdict = if self.issuer.claim(now, attempt, &key) {
            self.held.insert(attempt, (issuer, key));
            Verdict::Granted
        } else {
            Verdict::Unknown
        };
        out.push(Action::Verdict { attempt, verdict });
    }

    fn answer_issued(
        &mut self,
        from: &id::Router,
        attempt: id::Attempt,
        granted: bool,
        out: &mut Vec<Action>,
    ) {
        let Some(key) = self.remote.answer(from, attempt) else {
            return;
        };
        let verdict = if granted {
            self.held.insert(attempt, (from.clone(), key));
            Verdict::Granted
        } else {
            Verdict::Unknown
        };
        out.push(Action::Verdict { attempt, verdict });
    }

    fn settle(&mut self, now: Time, attempt: id::Attempt, end: End, out: &mut Vec<Action>) {
        let Some((issuer, key)) = self.held.remove(&attempt) else {
            return self.batch.settle(now, attempt, end);
        };
        if end != End::NotRun {
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
    fn pump(&mut self, now: Time, out: &mut Vec<Action>) {
        if self.sweep.is_calling() {
            return;
        }
        let call = self.calls + 1;
        if self.batch.pump(now, call, out) {
            self.calls = call;
        } else if self.batch.is_idle(now)
            && let Some(action) = self.sweep.pump(now, call)
        {
            self.calls = call;
            self.batch.hold(now);
            out.push(action);
        }
    }
}
