//! What is known of one peer.

use super::Member;
use crate::{
    id,
    unit::{Span, Time},
    wire::{Echo, Heartbeat, Origin},
};

/// Age up to which an echo proves that both directions work now.
const FRESH: Span = Span::from_secs(2);
/// Lateness of a heartbeat that is no silence.
const SLACK: Span = Span::from_millis(50);
/// Time between the tries of a probe.
const PROBE_RETRY: Span = Span::from_millis(100);
/// Tries of a probe.
const PROBE_TRIES: u32 = 3;
/// Time in which a probe must be answered; a region's round trip fits into the last try.
const PROBE_LIMIT: Span = Span::from_millis(300);
/// Time after a proof during which a suspicion by others is not looked into.
const PROVED_LATELY: Span = Span::from_millis(200);

/// Time for which the last run of a lost router is remembered.
const KEPT: Span = Span::from_secs(24 * 3_600);
/// Copies of the own state after which a peer has it, if it echoes the last of them.
const COPIES: u32 = 2;
/// Shortest time between two copies, but for those in demands.
const COPY_GAP: Span = Span::from_secs(1);

/// How a version of the own state is being told to a peer.
#[derive(Clone, Copy, Debug, Default)]
struct Telling {
    version: u64,
    /// Heartbeats that carried it.
    copies: u32,
    /// The heartbeat that carried the last copy needed.
    sequence: u64,
    /// When the last copy was sent.
    last: Time,
}

/// Why a peer is asked to answer at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Cause {
    /// It missed the heartbeat that it promised, does not hear this router, or its link broke.
    Silence,
    /// Others suspect it, or it must learn news.
    Check,
    /// This process was stopped for a while.
    Stall,
}

/// A demand that must be answered, else the peer is down.
#[derive(Clone, Copy, Debug)]
pub(super) struct Probe {
    pub(super) cause: Cause,
    pub(super) since: Time,
    pub(super) tries: u32,
}

/// What a probe needs now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Step {
    /// Nothing.
    Wait,
    /// Another try.
    Retry,
    /// It failed.
    Fail,
}

/// What is known of one peer.
#[derive(Debug)]
pub(super) struct Contact {
    /// Latest run and state.
    pub(super) member: Member,
    /// Last heartbeat of that run.
    sequence: u64,
    /// Both directions were proved to work, and nothing speaks against it.
    pub(super) live: bool,
    /// Arrival of the last heartbeat.
    heard: Time,
    /// Time after which the next one was promised.
    pub(super) next: Span,
    /// Own heartbeat, by its time, that the peer echoed last.
    proof: Option<Time>,
    /// Time between own heartbeats to the peer.
    pub(super) period: Span,
    /// When the next own heartbeat is due.
    pub(super) due: Time,
    /// Demand that is open.
    pub(super) probe: Option<Probe>,
    /// Version of the own state that the peer has.
    told: u64,
    /// How the next version is being told.
    telling: Telling,
}

impl Contact {
    /// Returns the contact after the first heartbeat of a run, which gave its origin.
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

    /// Reports whether a heartbeat is later than all that were taken.
    pub(super) fn precedes(&self, heartbeat: &Heartbeat) -> bool {
        let last = (self.member.incarnation, self.sequence);
        last < (heartbeat.incarnation, heartbeat.sequence)
    }

    /// Takes a later heartbeat of the same run; `echoed` is the own heartbeat that it echoes.
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

    /// Reports whether the peer has lately echoed this router.
    pub(super) fn proved(&self, now: Time) -> bool {
        self.proof.is_some_and(|proof| now.since(proof) <= FRESH)
    }

    /// Reports whether the peer missed its promise, or does not hear this router.
    pub(super) fn is_silent(&self, now: Time) -> bool {
        let both = Span(self.period.0 + self.next.0);
        let silence = Span(2 * self.next.0 + SLACK.0);
        let deafness = Span(2 * both.0 + FRESH.0);
        let deaf = self.proof.is_none_or(|proof| now.since(proof) > deafness);
        deaf || now.since(self.heard) > silence
    }

    /// Reports whether a suspicion by others is worth a probe.
    pub(super) fn is_doubtful(&self, now: Time, incarnation: id::Incarnation) -> bool {
        let lately = self
            .proof
            .is_some_and(|proof| now.since(proof) < PROVED_LATELY);
        self.live && self.probe.is_none() && !lately && self.member.incarnation <= incarnation
    }

    /// Opens a demand, unless one is open.
    pub(super) fn demand(&mut self, now: Time, cause: Cause) {
        self.probe.get_or_insert(Probe {
            cause,
            since: now,
            tries: 0,
        });
    }

    /// Gives up an open check, because the next demand must carry news.
    pub(super) fn supersede(&mut self) {
        self.probe = self.probe.filter(|probe| probe.cause != Cause::Check);
    }

    /// Returns what the open demand needs now.
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

    /// Returns the echo for a heartbeat to the peer.
    pub(super) fn heard(&self) -> Echo {
        Echo::of(self.member.incarnation, self.sequence)
    }

    /// Reports whether a heartbeat must carry the own state of that version, and notes it.
    ///
    /// One that asks for an answer carries it until it is known to have arrived, others at
    /// intervals.
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

    /// Reports whether the run has been gone for so long that no heartbeat of it can arrive.
    pub(super) fn is_forgotten(&self, now: Time) -> bool {
        !self.live && now.since(self.heard) > KEPT
    }

    /// Reports whether something is to be done for the peer.
    pub(super) fn wants(&self, now: Time) -> bool {
        self.live && (self.probe.is_some() || self.due <= now || self.is_silent(now))
    }
}
