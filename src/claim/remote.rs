//! Claims on keys issued by other routers.

use super::{Action, Verdict};
use crate::{id, unit::Time, wire};
use std::collections::BTreeMap;

/// A claim that its issuer has not decided yet.
#[derive(Clone, Debug)]
struct Pending {
    issuer: id::Router,
    key: Box<str>,
    until: Time,
}

/// Claims on keys issued by other routers.
#[derive(Debug, Default)]
pub(super) struct Remote {
    pending: BTreeMap<id::Attempt, Pending>,
}

impl Remote {
    /// Sends a claim to the issuer; without a decision by `until` the verdict is `Unknown`.
    pub(super) fn claim(
        &mut self,
        attempt: id::Attempt,
        issuer: id::Router,
        key: Box<str>,
        until: Time,
        out: &mut Vec<Action>,
    ) {
        let pending = Pending { issuer, key, until };
        out.push(pending.ask(attempt));
        self.pending.insert(attempt, pending);
    }

    /// Handles the decision of an issuer; returns the key if the claim was pending there.
    pub(super) fn answer(&mut self, from: &id::Router, attempt: id::Attempt) -> Option<Box<str>> {
        let pending = self.pending.get(&attempt)?;
        if pending.issuer != *from {
            return None;
        }
        self.pending.remove(&attempt).map(|pending| pending.key)
    }

    /// Fails the pending claims at a router that failed or left.
    pub(super) fn lose(&mut self, router: &id::Router, out: &mut Vec<Action>) {
        self.give_up(|pending| pending.issuer == *router, out);
    }

    /// Fails the claims that have timed out.
    pub(super) fn expire(&mut self, now: Time, out: &mut Vec<Action>) {
        self.give_up(|pending| pending.until <= now, out);
    }

    /// Repeats the claims that a peer may have missed.
    pub(super) fn resync(&self, from: &id::Router, out: &mut Vec<Action>) {
        let lost = self.pending.iter().filter(|(_, p)| p.issuer == *from);
        out.extend(lost.map(|(attempt, pending)| pending.ask(*attempt)));
    }

    fn give_up(&mut self, over: impl Fn(&Pending) -> bool, out: &mut Vec<Action>) {
        self.pending.retain(|attempt, pending| {
            let over = over(pending);
            if over {
                out.push(Action::Verdict {
                    attempt: *attempt,
                    verdict: Verdict::Unknown,
                });
            }
            !over
        });
    }

    /// Returns the time of the next timeout, if any claim is pending.
    pub(super) fn wake_at(&self) -> Option<Time> {
        self.pending.values().map(|pending| pending.until).min()
    }
}

impl Pending {
    fn ask(&self, attempt: id::Attempt) -> Action {
        Action::Send(wire::Envelope {
            to: self.issuer.clone(),
            message: wire::Message::KeyClaim {
                attempt,
                key: self.key.clone(),
            },
        })
    }
}
