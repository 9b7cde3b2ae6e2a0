//! State kept for one peer.

use super::Member;
use crate::{
    id,
    unit::{Span, Time},
    wire::{Echo, Heartbeat, Origin},
};

/// Maximum age of an echo that still proves that both directions work.
const FRESH: Span = Span::from_secs(2);
/// Allowance for late heartbeats, added to twice the announced interval.
const SLACK: Span = Span::from_millis(50);
/// Interval between the attempts of a probe.
const PROBE_RETRY: Span = Span::from_millis(100);
/// Heartbeats sent per probe.
const PROBE_TRIES: u32 = 3;
/// Time within which a probe must be answered; leaves the last attempt enough time for a round
/// trip within a region.
const PROBE_LIMIT: Span = Span::from_millis(300);
/// Age of an echo below which a suspicion by other routers does not trigger a probe.
const PROVED_LATELY: Span = Span::from_millis(200);

/// Retention of the last incarnation of a dead router, so that delayed heartbeats are recognized.
const KEPT: Span = Span::from_secs(24 * 3_600);
/// Copies of a state version to send. The peer is taken to have the version once it echoes the last
/// of these copies or a later heartbeat.
const COPIES: u32 = 2;
/// Minimum interval between copies, except in heartbeats that request a reply.
const COPY_GAP: Span = Span::from_secs(1);

/// Delivery of one version of the local state to a peer.
#[derive(Clone, Copy, Debug, Default)]
struct Telling {
    version: u64,
    /// Heartbeats sent with this version.
    copies: u32,
    /// Sequence number of the heartbeat with the last required copy.
    sequence: u64,
    /// Time of the last copy.
    last: Time,
}

/// Reason for a probe.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Cause {
    /// A heartbeat of the peer is overdue, the peer does not echo this router's heartbeats, the link
    /// to it broke, or the router that monitored it died.
    Silence,
    /// Other routers suspect the peer, it must receive new state, or it is in another failure domain
    /// and its regular heartbeat is due.
    Check,
    /// This process was stopped or starved for a while.
    Stall,
}

/// Request for an immediate reply; the peer is dropped if none arrives in time.
#[derive(Clone, Copy, Debug)]
pub(super) struct Probe {
    pub(super) cause: Cause,
    pub(super) since: Time,
    pub(super) tries: u32,
}

/// Next step of a probe.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Step {
    /// Nothing is due.
    Wait,
    /// Another attempt is due.
    Retry,
    /// The peer did not answer in time.
    Fail,
}

/// State kept for one peer.
#[derive(Debug)]
pub(super) struct Contact {
    /// Latest incarnation and its state.
    pub(super) member: Member,
    /// Sequence number of the last heartbeat of that incarnation.
    sequence: u64,
    /// Heartbeats have passed in both directions, and no probe has failed since.
    pub(super) live: bool,
    /// Arrival time of the last heartbeat.
    heard: Time,
    /// Interval until the next heartbeat, as announced by the peer.
    pub(super) next: Span,
    /// Send time of the latest own heartbeat that the peer echoed.
    proof: Option<Time>,
    /// Interval between own heartbeats to the peer.
    pub(super) period: Span,
    /// Time at which the next own heartbeat is due.
    pub(super) due: Time,
    /// Open probe.
    pub(super) probe: Option<Probe>,
    /// Version of the local state that the peer has.
    told: u64,
    /// Delivery of a later version.
    telling: Telling,
}

impl Contact {
    /// Creates the state of a peer from the first heartbeat of an incarnation and its origin.
    pub(super) fn new(now: Time, heartbeat: &Heartbeat, origin: Origin) -> Self {
        let member = Member {
            router: heartbeat.router.clone(),
            incarnation: heartbeat.incarnation,
            domain: origin.domain,
            address: origin.address,
            leaving: heartbeat.leaving,
            version: heartbeat.version,
            loads: Vec::new(),
            floors: Vec::new(),
            unfit: Vec::new(),
        };
        Self {
            member,
            sequence: 0,
            live: false,
            heard: now,
            next: heartbeat.next,
            proof: None,
            period: Span(0),
            due: now,
            probe: None,
            told: 0,
            telling: Telling::default(),
        }
    }

    /// Reports whether a heartbeat is newer than all accepted ones.
    pub(super) fn precedes(&self, heartbeat: &Heartbeat) -> bool {
        let last = (self.member.incarnation, self.sequence);
        last < (heartbeat.incarnation, heartbeat.sequence)
    }

    /// Accepts a newer heartbeat of the same incarnation; `echoed` is the sequence number of the own
    /// heartbeat that it echoes.
    pub(super) fn hear(&mut self, now: Time, heartbeat: Heartbeat, echoed: Option<u64>) {
        self.sequence = heartbeat.sequence;
        self.heard = now;
        self.next = heartbeat.next;
        self.member.leaving = heartbeat.leaving;
        self.member.version = heartbeat.version;
        if let Some(state) = heartbeat.state {
            self.member.loads = state.loads;
            self.member.floors = state.floors;
            self.member.unfit = state.unfit;
        }
        if let Some(sequence) = echoed {
            self.echo(sequence);
        }
    }

    fn echo(&mut self, sequence: u64) {
        let sent = Time(sequence);
        self.proof = self.proof.max(Some(sent));
        if self.probe.is_some_and(|probe| sent >= probe.since) {
            self.probe = None;
        }
        if self.telling.copies >= COPIES && sequence >= self.telling.sequence {
            self.told = self.told.max(self.telling.version);
        }
    }

    /// Reports whether the peer has recently echoed a heartbeat of this router.
    pub(super) fn proved(&self, now: Time) -> bool {
        self.proof.is_some_and(|proof| now.since(proof) <= FRESH)
    }

    /// Reports whether the peer's heartbeats are overdue, or it has stopped echoing this router's.
    pub(super) fn is_silent(&self, now: Time) -> bool {
        let both = Span(self.period.0 + self.next.0);
        let silence = Span(2 * self.next.0 + SLACK.0);
        let deafness = Span(2 * both.0 + FRESH.0);
        let deaf = self.proof.is_none_or(|proof| now.since(proof) > deafness);
        deaf || now.since(self.heard) > silence
    }

    /// Reports whether a suspicion of an incarnation by other routers warrants a probe.
    pub(super) fn is_doubtful(&self, now: Time, incarnation: id::Incarnation) -> bool {
        let lately = self
            .proof
            .is_some_and(|proof| now.since(proof) < PROVED_LATELY);
        self.live && self.probe.is_none() && !lately && self.member.incarnation <= incarnation
    }

    /// Starts a probe, unless one is open.
    pub(super) fn demand(&mut self, now: Time, cause: Cause) {
        self.probe.get_or_insert(Probe {
            cause,
            since: now,
            tries: 0,
        });
    }

    /// Cancels an open check, so that the next probe carries the new state.
    pub(super) fn supersede(&mut self) {
        self.probe = self.probe.filter(|probe| probe.cause != Cause::Check);
    }

    /// Returns the next step of the open probe.
    pub(super) fn progress(&self, now: Time) -> Step {
        let Some(probe) = self.probe else {
            return Step::Wait;
        };
        let waited = now.since(probe.since);
        if waited >= PROBE_LIMIT {
            return Step::Fail;
        }
        let due = Span(u64::from(probe.tries) * PROBE_RETRY.0);
        if probe.tries < PROBE_TRIES && waited >= due {
            return Step::Retry;
        }
        Step::Wait
    }

    /// Returns the echo to put into a heartbeat to the peer.
    pub(super) fn heard(&self) -> Echo {
        Echo::of(self.member.incarnation, self.sequence)
    }

    /// Reports whether a heartbeat must carry a version of the local state, and counts the copy if so.
    ///
    /// Until the peer has the version, each heartbeat that requests a reply carries it, others only
    /// at intervals.
    pub(super) fn tell(&mut self, now: Time, version: u64, sequence: u64, ask: bool) -> bool {
        let telling = &mut self.telling;
        let early = !ask && now.since(telling.last) < COPY_GAP;
        if self.told >= version || early {
            return false;
        }
        if telling.version != version {
            *telling = Telling {
                version,
                ..Telling::default()
            };
        }
        telling.last = now;
        telling.copies += 1;
        if telling.copies == COPIES {
            telling.sequence = sequence;
        }
        true
    }

    /// Reports whether the peer has been dead for so long that no delayed heartbeat can arrive.
    pub(super) fn is_forgotten(&self, now: Time) -> bool {
        !self.live && now.since(self.heard) > KEPT
    }

    /// Reports whether a heartbeat to the peer or a step of a probe may be due.
    pub(super) fn wants(&self, now: Time) -> bool {
        self.live && (self.probe.is_some() || self.due <= now || self.is_silent(now))
    }
}
