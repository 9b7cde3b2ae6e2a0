//! Decision who may hold bytes, who waits for them, who is refused and whose connection is closed.

use super::Stage;
use crate::unit::{Span, Time};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Time without progress from which a connection may be closed for others: above pauses of callers and networks
/// that work, retransmissions included (from 200 ms on).
const MIN_STALL: Span = Span::from_millis(500);
/// Stall from which a longer one counts no more than this one: idle connections of ordinary callers hold little,
/// and are to be closed after those that hold much.
const MAX_STALL: Span = Span::from_secs(2);
/// Minimum time between two searches for stalled connections, each of which looks at all of them.
const SEARCH_INTERVAL: Span = Span::from_millis(50);
/// Time for which a request waits for bytes: enough for stalled connections to show, and within the time for the
/// first event of most kinds of request, so that a refused caller can still try elsewhere.
const MAX_WAIT: Span = Span::from_millis(800);
/// Part of the budget that is left to small holders, as a divisor.
const RESERVE_DIVISOR: u64 = 2;
/// Part of the budget that the unread bytes of connections that wait may take, as a divisor.
const WAITING_DIVISOR: u64 = 8;
/// Largest number of bytes that a small holder has beside those of its connection: usual requests and responses
/// have a few KB.
const SMALL_BYTES: u64 = 64 << 10;

/// A connection, numbered in the order of opening.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Holder(pub u64);

/// Sizes of a budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Bytes that all holders may have together.
    pub total: u64,
    /// Bytes that each open connection takes.
    pub connection: u64,
    /// Bytes that arrived and are unread, at most, while a connection waits for bytes.
    pub unread: u64,
}

impl Settings {
    /// Returns the bytes that large holders may have together.
    pub fn large_bytes(&self) -> u64 {
        self.total - self.total / RESERVE_DIVISOR
    }
}

/// What happened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// A connection was accepted.
    Opened(Holder),
    /// A connection was closed; what it holds is released by itself.
    Closed(Holder),
    /// The connection waits for something else.
    Entered(Holder, Stage),
    /// The caller did a part of what the connection waits for.
    Progress(Holder),
    /// A connection needs further bytes, and can wait for them.
    Asked(Holder, u64),
    /// A connection would use further bytes, but can do without them.
    Offered(Holder, u64),
    /// A connection no longer waits for bytes.
    Withdrawn(Holder),
    /// A connection returns bytes.
    Released(Holder, u64),
    /// Time has passed.
    Tick,
}

/// Why bytes are refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// Too many connections wait already.
    Crowded,
    /// There were no bytes in time.
    Expired,
    /// The connection can do without.
    Unavailable,
}

/// What is to be done.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// The connection has the bytes that it asked for.
    Grant(Holder),
    /// The connection gets no bytes; a request that is refused for it was not run.
    Refuse(Holder, Refusal),
    /// The connection is closed, with a response if a request has begun to arrive.
    Shed(Holder),
}

#[derive(Clone, Copy, Debug)]
struct Holding {
    /// Bytes beside those of the connection.
    bytes: u64,
    stage: Stage,
    /// Time of the last progress in this stage.
    progress: Time,
    /// It is being closed.
    is_shed: bool,
}

#[derive(Clone, Copy, Debug)]
struct Waiting {
    holder: Holder,
    bytes: u64,
    since: Time,
}

/// Budget of the bytes that a router holds for callers.
///
/// For callers outside the limits: hundreds of connections whose bodies, each of legal size, stop short of their
/// end, whose responses nobody reads, or whose heads don't end. A request is given the bytes of its whole body
/// before the body is read, so that requests that wait for bytes hold none and can't block each other. Large
/// holders have at most a part of the budget, so that small requests find room. As long as somebody waits, those
/// that hold most for longest without progress are closed.
#[derive(Clone, Debug)]
pub struct Budget {
    settings: Settings,
    holdings: BTreeMap<Holder, Holding>,
    waiting: VecDeque<Waiting>,
    /// Bytes of all holders and of their connections.
    held: u64,
    /// Bytes of large holders.
    large: u64,
    /// Bytes that connections which wait may have left unread.
    unread: u64,
    next_search: Time,
}

impl Budget {
    /// Creates a budget of which nothing is used.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            holdings: BTreeMap::new(),
            waiting: VecDeque::new(),
            held: 0,
            large: 0,
            unread: 0,
            next_search: Time::default(),
        }
    }

    /// Returns the bytes that are held, those that may be unread included.
    pub fn held(&self) -> u64 {
        self.held + self.unread
    }

    /// Returns the number of connections that wait for bytes.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Records an event and appends what is to be done.
    pub fn step(&mut self, now: Time, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Opened(holder) => self.open(now, holder, actions),
            Event::Closed(holder) => self.close(holder),
            Event::Entered(holder, stage) => {
                if let Some(holding) = self.holdings.get_mut(&holder) {
                    holding.stage = stage;
                    holding.progress = now;
                }
            }
            Event::Progress(holder) => {
                if let Some(holding) = self.holdings.get_mut(&holder) {
                    holding.progress = now;
                }
            }
            Event::Asked(holder, bytes) => self.ask(now, holder, bytes, actions),
            Event::Offered(holder, bytes) => {
                if self.take(holder, bytes) {
                    actions.push(Action::Grant(holder));
                } else {
                    self.search(now, bytes, 0, actions);
                    actions.push(Action::Refuse(holder, Refusal::Unavailable));
                }
            }
            Event::Withdrawn(holder) => self.withdraw(holder),
            Event::Released(holder, bytes) => self.release(holder, bytes),
            Event::Tick => {}
        }
        self.serve(now, actions);
    }

    fn open(&mut self, now: Time, holder: Holder, actions: &mut Vec<Action>) {
        if self.held() + self.settings.connection > self.settings.total {
            self.search(now, self.settings.connection, 0, actions);
            actions.push(Action::Refuse(holder, Refusal::Unavailable));
            return;
        }
        self.held += self.settings.connection;
        let holding = Holding {
            bytes: 0,
            stage: Stage::Head,
            progress: now,
            is_shed: false,
        };
        self.holdings.insert(holder, holding);
        actions.push(Action::Grant(holder));
    }

    fn withdraw(&mut self, holder: Holder) {
        self.waiting.retain(|waiting| waiting.holder != holder);
        self.unread = self.waiting.len() as u64 * self.settings.unread;
    }

    fn close(&mut self, holder: Holder) {
        self.withdraw(holder);
        if let Some(holding) = self.holdings.remove(&holder) {
            self.held -= self.settings.connection + holding.bytes;
            self.large -= large_part(holding.bytes);
        }
    }

    fn ask(&mut self, now: Time, holder: Holder, bytes: u64, actions: &mut Vec<Action>) {
        // Those that wait come first, unless they need more.
        let is_first = !self.waiting.iter().any(|waiting| waiting.bytes <= bytes);
        if is_first && self.take(holder, bytes) {
            actions.push(Action::Grant(holder));
            return;
        }
        let unread = self.unread + self.settings.unread;
        let is_crowded = unread > self.settings.total / WAITING_DIVISOR && !self.waiting.is_empty();
        if is_crowded || self.held + unread > self.settings.total {
            actions.push(Action::Refuse(holder, Refusal::Crowded));
            return;
        }
        self.unread = unread;
        self.waiting.push_back(Waiting {
            holder,
            bytes,
            since: now,
        });
    }

    fn release(&mut self, holder: Holder, bytes: u64) {
        if let Some(holding) = self.holdings.get_mut(&holder) {
            let before = holding.bytes;
            holding.bytes = before.saturating_sub(bytes);
            self.held -= before - holding.bytes;
            self.large -= large_part(before) - large_part(holding.bytes);
        }
    }

    /// Takes bytes for a holder, if there are enough.
    fn take(&mut self, holder: Holder, bytes: u64) -> bool {
        let Some(holding) = self.holdings.get(&holder) else {
            return false;
        };
        let after = holding.bytes + bytes;
        let large = self.large + large_part(after) - large_part(holding.bytes);
        let is_large = large_part(after) > 0;
        // A single large request is served, even if it alone exceeds the part of large ones.
        let is_alone =
            self.large == large_part(holding.bytes) && large > self.settings.large_bytes();
        let is_granted = if is_large && is_alone {
            true
        } else {
            let fits = self.held() + bytes <= self.settings.total;
            fits && (!is_large || large <= self.settings.large_bytes())
        };
        if !is_granted {
            return false;
        }
        if let Some(holding) = self.holdings.get_mut(&holder) {
            holding.bytes = after;
        }
        self.held += bytes;
        self.large = large;
        true
    }

    /// Gives bytes to those that wait, in their order, refuses those that have waited too long, and closes
    /// stalled connections for the others.
    fn serve(&mut self, now: Time, actions: &mut Vec<Action>) {
        let (mut small, mut large, mut first_large) = (0, 0, None);
        for waiting in std::mem::take(&mut self.waiting) {
            self.unread -= self.settings.unread;
            if self.take(waiting.holder, waiting.bytes) {
                if let Some(holding) = self.holdings.get_mut(&waiting.holder) {
                    // It could do nothing meanwhile.
                    holding.progress = now;
                }
                actions.push(Action::Grant(waiting.holder));
                continue;
            }
            if now.since(waiting.since) >= MAX_WAIT {
                actions.push(Action::Refuse(waiting.holder, Refusal::Expired));
                continue;
            }
            let held = self.holdings.get(&waiting.holder);
            let held = held.map_or(0, |holding| holding.bytes);
            if large_part(held + waiting.bytes) > 0 {
                large += waiting.bytes;
                first_large.get_or_insert(waiting.bytes);
            } else {
                small += waiting.bytes;
            }
            self.unread += self.settings.unread;
            self.waiting.push_back(waiting);
        }
        if self.waiting.is_empty() {
            return;
        }
        let needed_large = (self.large + large).saturating_sub(self.settings.large_bytes());
        // Small holders are closed for one large request only, if that makes room for it.
        let first_large =
            first_large.filter(|bytes| self.large + bytes <= self.settings.large_bytes());
        let wanted = self.held() + small + first_large.unwrap_or(0);
        let needed = wanted.saturating_sub(self.settings.total);
        self.search(now, needed, needed_large, actions);
    }

    /// Closes stalled connections, unless that was tried a moment ago. Only large holders can make room for
    /// large ones.
    fn search(&mut self, now: Time, needed: u64, needed_large: u64, actions: &mut Vec<Action>) {
        if now < self.next_search {
            return;
        }
        self.next_search = now + SEARCH_INTERVAL;
        self.shed(now, needed_large, true, actions);
        self.shed(now, needed, false, actions);
    }

    /// Closes those that hold most for longest without progress, until their bytes are enough.
    fn shed(&mut self, now: Time, needed: u64, only_large: bool, actions: &mut Vec<Action>) {
        let connection = self.settings.connection;
        let gain = |holding: &Holding| holding.bytes + if only_large { 0 } else { connection };
        let is_candidate = |holding: &Holding| !only_large || large_part(holding.bytes) > 0;
        let returning = self.holdings.values();
        let returning = returning.filter(|holding| holding.is_shed && is_candidate(holding));
        let mut returned: u64 = returning.map(&gain).sum();
        if returned >= needed {
            return;
        }
        let waiting: BTreeSet<Holder> = self.waiting.iter().map(|other| other.holder).collect();
        let candidates = self.holdings.iter().filter(|(holder, holding)| {
            let is_stalled =
                now.since(holding.progress) >= MIN_STALL && holding.stage.is_of_caller();
            is_stalled && !holding.is_shed && is_candidate(holding) && !waiting.contains(holder)
        });
        let mut candidates: Vec<_> = candidates
            .map(|(holder, holding)| {
                let stall = now.since(holding.progress);
                let weight = (connection + holding.bytes) * stall.min(MAX_STALL).0;
                (weight, stall, *holder)
            })
            .collect();
        candidates.sort_unstable();
        while returned < needed
            && let Some((_, _, holder)) = candidates.pop()
        {
            if let Some(holding) = self.holdings.get_mut(&holder) {
                holding.is_shed = true;
                returned += gain(holding);
                actions.push(Action::Shed(holder));
            }
        }
    }
}

/// Returns the bytes of a large holder, 0 for a small one.
fn large_part(bytes: u64) -> u64 {
    if bytes > SMALL_BYTES { bytes } else { 0 }
}
