//! State kept for one peer.

use super::Member;
use crate::{
    id,
    unit::{Span, Time},
    wire::{Echo, Heartbeat, Origin},
};

/// Maximum age of an echo that still proves that both directions work.
const ECHO_FRESHNESS: Span = Span::from_secs(2);
/// Allowance for late heartbeats, added to twice the announced interval.
const LATENESS_ALLOWANCE: Span = Span::from_millis(50);
/// Interval between the attempts of a probe.
const PROBE_RETRY_INTERVAL: Span = Span::from_millis(100);
/// Heartbeats sent per probe.
const PROBE_ATTEMPTS: u32 = 3;
/// Time within which a probe must be answered; leaves the last attempt enough time for a round
/// trip within a region.
const PROBE_TIMEOUT: Span = Span::from_millis(300);
/// Age of an echo below which a suspicion by other routers does not trigger a probe.
const RECENT_ECHO_AGE: Span = Span::from_millis(200);
/// Retention of the last incarnation of a dead router, so that delayed heartbeats are recognized.
const DEAD_PEER_RETENTION: Span = Span::from_secs(24 * 3_600);
/// Minimum number of copies sent of each state version. The peer is taken to have the version once
/// it echoes the last of these copies or a later heartbeat.
const STATE_COPIES: u32 = 2;
/// Minimum interval between copies, except in heartbeats that request a reply.
const STATE_COPY_INTERVAL: Span = Span::from_secs(1);

/// Delivery of one version of the local state to a peer.
#[derive(Clone, Copy, Debug, Default)]
struct Delivery {
    version: u64,
    /// Heartbeats sent with this version.
    copies: u32,
    /// Sequence number of the heartbeat with the last required copy.
    last_sequence: u64,
    /// Time of the last copy.
    last_sent: Time,
}

/// Reason for a probe.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Cause {
    /// A heartbeat of the peer is overdue, the peer does not echo this router's heartbeats, the
    /// link to it broke, or the router that monitored it died.
    Silence,
    /// Other routers suspect the peer, it must receive new state, or it is in another failure
    /// domain and its regular heartbeat is due.
    Check,
    /// This process was stopped or starved for a while.
    Stall,
}

/// Request for an immediate reply; the peer is dropped if none arrives in time.
#[derive(Clone, Copy, Debug)]
pub(super) struct Probe {
    pub(super) cause: Cause,
    pub(super) started: Time,
    pub(super) attempts: u32,
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
pub(super) struct Peer {
    /// Latest incarnation and its state.
    pub(super) member: Member,
    /// Sequence number of the last heartbeat of that incarnation.
    sequence: u64,
    /// Heartbeats have passed in both directions, and no probe has failed since.
    pub(super) live: bool,
    /// Arrival time of the last heartbeat.
    last_heard: Time,
    /// Interval until the next heartbeat, as announced by the peer.
    pub(super) next_interval: Span,
    /// Send time of the latest own heartbeat that the peer echoed.
    last_echoed: Option<Time>,
    /// Interval between own heartbeats to the peer.
    pub(super) interval: Span,
    /// Time at which the next own heartbeat is due.
    pub(super) due: Time,
    /// Open probe.
    pub(super) probe: Option<Probe>,
    /// Version of the local state that the peer has.
    acknowledged: u64,
    /// Delivery of a later version.
    delivery: Delivery,
}

impl Peer {
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
            last_heard: now,
            next_interval: heartbeat.next,
            last_echoed: None,
            interval: Span(0),
            due: now,
            probe: None,
            acknowledged: 0,
            delivery: Delivery::default(),
        }
    }

    /// Reports whether the last accepted heartbeat is older than the given one.
    pub(super) fn is_older_than(&self, heartbeat: &Heartbeat) -> bool {
        let last = (self.member.incarnation, self.sequence);
        last < (heartbeat.incarnation, heartbeat.sequence)
    }

    /// Accepts a newer heartbeat of the same incarnation; `echoed` is the sequence number of the
    /// own heartbeat that it echoes.
    pub(super) fn receive(&mut self, now: Time, heartbeat: Heartbeat, echoed: Option<u64>) {
        self.sequence = heartbeat.sequence;
        self.last_heard = now;
        self.next_interval = heartbeat.next;
        self.member.leaving = heartbeat.leaving;
        self.member.version = heartbeat.version;
        if let Some(state) = heartbeat.state {
            self.member.loads = state.loads;
            self.member.floors = state.floors;
            self.member.unfit = state.unfit;
        }
        if let Some(sequence) = echoed {
            self.acknowledge(sequence);
        }
    }

    fn acknowledge(&mut self, sequence: u64) {
        let sent = Time(sequence);
        self.last_echoed = self.last_echoed.max(Some(sent));
        if self.probe.is_some_and(|probe| sent >= probe.started) {
            self.probe = None;
        }
        if self.delivery.copies >= STATE_COPIES && sequence >= self.delivery.last_sequence {
            self.acknowledged = self.acknowledged.max(self.delivery.version);
        }
    }

    /// Reports whether the peer has recently echoed a heartbeat of this router.
    pub(super) fn has_recent_echo(&self, now: Time) -> bool {
        self.last_echoed
            .is_some_and(|sent| now.since(sent) <= ECHO_FRESHNESS)
    }

    /// Reports whether the peer's heartbeats are overdue, or it has stopped echoing this router's.
    pub(super) fn is_silent(&self, now: Time) -> bool {
        let cycle = Span(self.interval.0 + self.next_interval.0);
        let silence_limit = Span(2 * self.next_interval.0 + LATENESS_ALLOWANCE.0);
        let echo_limit = Span(2 * cycle.0 + ECHO_FRESHNESS.0);
        let unechoed = self
            .last_echoed
            .is_none_or(|sent| now.since(sent) > echo_limit);
        unechoed || now.since(self.last_heard) > silence_limit
    }

    /// Reports whether a suspicion of an incarnation by other routers warrants a probe.
    pub(super) fn warrants_probe(&self, now: Time, incarnation: id::Incarnation) -> bool {
        let recent = self
            .last_echoed
            .is_some_and(|sent| now.since(sent) < RECENT_ECHO_AGE);
        self.live && self.probe.is_none() && !recent && self.member.incarnation <= incarnation
    }

    /// Starts a probe, unless one is open.
    pub(super) fn start_probe(&mut self, now: Time, cause: Cause) {
        self.probe.get_or_insert(Probe {
            cause,
            started: now,
            attempts: 0,
        });
    }

    /// Cancels an open check, so that the next probe carries the new state.
    pub(super) fn cancel_check(&mut self) {
        self.probe = self.probe.filter(|probe| probe.cause != Cause::Check);
    }

    /// Returns the next step of the open probe.
    pub(super) fn probe_step(&self, now: Time) -> Step {
        let Some(probe) = self.probe else {
            return Step::Wait;
        };
        let waited = now.since(probe.started);
        if waited >= PROBE_TIMEOUT {
            return Step::Fail;
        }
        let due = Span(u64::from(probe.attempts) * PROBE_RETRY_INTERVAL.0);
        if probe.attempts < PROBE_ATTEMPTS && waited >= due {
            return Step::Retry;
        }
        Step::Wait
    }

    /// Returns the echo to put into a heartbeat to the peer.
    pub(super) fn last_echo(&self) -> Echo {
        Echo::of(self.member.incarnation, self.sequence)
    }

    /// Reports whether a heartbeat must carry a version of the local state, and counts the copy if
    /// so.
    ///
    /// Until the peer has the version, each heartbeat that requests a reply carries it, others only
    /// at intervals.
    pub(super) fn needs_state(
        &mut self,
        now: Time,
        version: u64,
        sequence: u64,
        ask: bool,
    ) -> bool {
        let delivery = &mut self.delivery;
        let early = !ask && now.since(delivery.last_sent) < STATE_COPY_INTERVAL;
        if self.acknowledged >= version || early {
            return false;
        }
        if delivery.version != version {
            *delivery = Delivery {
                version,
                ..Delivery::default()
            };
        }
        delivery.last_sent = now;
        delivery.copies += 1;
        if delivery.copies == STATE_COPIES {
            delivery.last_sequence = sequence;
        }
        true
    }

    /// Reports whether the peer has been dead for so long that no delayed heartbeat can arrive.
    pub(super) fn is_expired(&self, now: Time) -> bool {
        !self.live && now.since(self.last_heard) > DEAD_PEER_RETENTION
    }

    /// Reports whether a heartbeat to the peer or a step of a probe may be due.
    pub(super) fn needs_attention(&self, now: Time) -> bool {
        self.live && (self.probe.is_some() || self.due <= now || self.is_silent(now))
    }
}
