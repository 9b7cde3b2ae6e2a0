//! Choice of targets, and the order in which queued requests are sent.

use super::{Count, Dispatcher, Queue, Request, Run, Waiting};
use crate::{
    dispatch::{
        Action, Offer, Placement,
        target::{Room, Target},
    },
    gossip, id,
    placement::hash,
    unit::{Span, Time},
};

/// Queued requests that are tried at a time; if targets have no room for these, they are unlikely
/// to have room for the others.
const SCAN: usize = 12;
/// Maximum wait inside a target for a request that is late already. Keeps it from delaying later
/// requests, which usually need their first event within 300 ms.
const LATE_WAIT: Span = Span::from_millis(120);
/// Margin for a request beyond its workspace's share, as a multiple of its wait: capacity that it
/// takes is missing for workspaces that have not used their share.
const SPARE_WAITS: f64 = 1.0;
/// Additional margin for each whole share by which the workspace exceeds its own. Spreads the spare
/// capacity evenly among workspaces beyond their share.
const SPARE_WAITS_PER_EXCESS: f64 = 4.0;
/// Maximum wait inside a target for a request that is late already and beyond its workspace's
/// share.
const BEYOND_WAIT: Span = Span::from_millis(40);
/// Time that an answer takes from the target to the caller.
const WAY_BACK: Span = Span::from_millis(8);
/// Time in addition to twice the expected one after which a target that has answered no request
/// counts as silent.
const SILENCE: Span = Span::from_millis(500);
/// Interval at which a request at a silent target looks for another target.
const LOOK_AGAIN: Span = Span::from_millis(200);
/// Multiple of the silence timeout after which a target counts as silent for a request though it
/// answers others.
const MOST_PATIENCE: u64 = 3;
/// Time for which another router's report of a failing target counts, unless this router had an
/// answer from the target since.
const SUSPICION: Span = Span::from_millis(1_000);

impl Dispatcher {
    /// Returns the best target that accepts a request.
    pub(super) fn find(&self, now: Time, waiting: &Waiting, excess: Option<f64>) -> Option<Offer> {
        let request = &waiting.request;
        let placement = self.settings.placement;
        let view_age = self.view_age(now);
        // The fastest time at an idle target tells whether the request can be on time at all.
        let mut fastest = Span(u64::MAX);
        let mut offers = Vec::new();
        for trusted in [true, false] {
            for target in self.targets.values() {
                if target.entry.service != request.service
                    || target.entry.draining
                    || waiting.tried.contains(&target.entry.name)
                    || trusted != self.is_trusted(target, now)
                {
                    continue;
                }
                let near = target.entry.domain == self.settings.domain;
                let Some(mut offer) = target.offer(request, near, view_age) else {
                    continue;
                };
                if placement == Placement::Alone {
                    offer.price = u64::from(target.own.running);
                }
                fastest = fastest.min(Span(offer.first.0 - offer.wait.0));
                offers.push((target, offer));
            }
            if !offers.is_empty() {
                break;
            }
        }
        let hopeless = now + fastest + WAY_BACK > request.due;
        let room = match (excess, hopeless) {
            (Some(excess), false) => Room::Spare(SPARE_WAITS + SPARE_WAITS_PER_EXCESS * excess),
            (Some(_), true) => Room::Wait(BEYOND_WAIT),
            (None, true) => Room::Wait(LATE_WAIT),
            (None, false) => Room::OnTime,
        };
        let has_room = |(target, offer): &(&Target, Offer)| {
            placement != Placement::Shared || target.has_room(offer, request, room, now)
        };
        if excess.is_some() {
            // A request beyond a share must not cost others anything: only the cheapest target may
            // take it, and only if no other target has more of the prompt cached.
            let unread = self.least_unread(request);
            offers.retain(|(_, offer)| offer.unread <= unread);
            offers.sort_by_key(|(_, offer)| offer.price);
            offers.truncate(1);
        }
        offers.retain(has_room);
        let offers = offers.into_iter().map(|(_, offer)| offer);
        offers.min_by_key(|offer| offer.price)
    }

    /// Returns the prompt tokens that are not cached at the target that has most of the prompt
    /// cached.
    fn least_unread(&self, request: &Request) -> u64 {
        let targets = self.targets.values();
        let targets = targets.filter(|t| t.entry.service == request.service && !t.entry.draining);
        let unread = targets.map(|target| target.unread(request));
        unread.min().unwrap_or_default()
    }

    /// Reports whether a target is expected to answer.
    fn is_trusted(&self, target: &Target, now: Time) -> bool {
        if !target.health.is_usable(now) {
            return false;
        }
        let (Some(at), true) = (target.suspected, self.settings.placement.sees_others()) else {
            return true;
        };
        now.since(at) >= SUSPICION || target.health.last_answer().is_some_and(|last| last > at)
    }

    pub(super) fn has_target(&self, service: &id::Service) -> bool {
        let mut targets = self.targets.values();
        targets.any(|target| target.entry.service == *service && !target.entry.draining)
    }

    /// Sends a request to a target.
    pub(super) fn send(
        &mut self,
        now: Time,
        waiting: Waiting,
        offer: Offer,
        out: &mut Vec<Action>,
    ) {
        let Waiting {
            request,
            mut tried,
            unsent,
            ran,
            ..
        } = waiting;
        let Some(target) = self.targets.get_mut(&offer.target) else {
            return;
        };
        let (memory, ahead) = target.begin(&request, offer.unread, now);
        if let Some(prompt) = &request.prompt {
            let reads = prompt.parts.iter().map(|part| gossip::Read {
                target: target.key,
                part: part.id,
                tokens: part.tokens,
            });
            self.reads.extend(reads.map(|read| (None, read)));
            if let Some(workspace) = request.workspace.as_ref().filter(|_| tried.is_empty()) {
                let key = hash(workspace.as_str());
                self.accounts.entry(key).or_default().add_own(Count {
                    asked: 0,
                    granted: prompt.cost(),
                });
                self.share.add(key, 0, prompt.cost());
            }
        }
        out.push(Action::Send {
            number: request.number,
            offer: offer.clone(),
            earlier: tried.len() as u32,
            waited: now.since(request.arrived),
        });
        tried.push(offer.target.clone());
        let run = Run {
            ahead,
            memory,
            sent: now,
            tried,
            unsent,
            begun: false,
            ran,
            abandoned: false,
            doubted: None,
            offer,
            request,
        };
        self.runs.insert(run.request.number, run);
    }

    /// Sends the queued requests of a service that targets accept.
    pub(super) fn serve(&mut self, now: Time, service: &id::Service, out: &mut Vec<Action>) {
        let Some(queue) = self.queues.get(service) else {
            return;
        };
        let mut sent = Vec::new();
        for index in queue.order(now, SCAN) {
            let Some(number) = queue.get(index).map(|waiting| waiting.request.number) else {
                continue;
            };
            sent.push(number);
        }
        for number in sent {
            let queue = self.queues.entry(service.clone()).or_default();
            let Some(waiting) = queue.remove(number) else {
                continue;
            };
            match self.find(now, &waiting, None) {
                Some(offer) => self.send(now, waiting, offer, out),
                None => self.put_back(service, waiting),
            }
        }
    }

    fn put_back(&mut self, service: &id::Service, waiting: Waiting) {
        let queue: &mut Queue = self.queues.entry(service.clone()).or_default();
        queue.push(waiting);
    }

    /// Stops waiting for silent targets where another target can run the request now. Otherwise the
    /// wait goes on, because a silent target may still answer.
    pub(super) fn abandon(&mut self, now: Time, out: &mut Vec<Action>) {
        for number in self.silent(now) {
            let Some(run) = self.runs.get_mut(&number) else {
                continue;
            };
            let is_first = run.doubted.replace(now).is_none();
            let may_move =
                run.request.kind.is_repeatable() && run.tried.len() < run.request.attempts as usize;
            let waiting = Waiting {
                request: run.request.clone(),
                tried: run.tried.clone(),
                unsent: run.unsent,
                ran: run.ran,
                until: now,
            };
            let name = run.offer.target.clone();
            let moves = may_move
                && self.find(now, &waiting, None).is_some()
                && self.budget(&waiting.request.service).spend();
            if moves {
                if let Some(run) = self.runs.get_mut(&number) {
                    run.abandoned = true;
                }
                out.push(Action::Abandon { number });
            } else if is_first
                && let Some(target) = self.targets.get_mut(&name)
                && target.health.fail(now)
            {
                out.push(super::belief(target));
            }
        }
    }

    /// Returns the requests at silent targets that were not checked in the last interval.
    fn silent(&self, now: Time) -> Vec<u64> {
        let silent = self.runs.values().filter(|run| {
            let patience = Span(2 * run.offer.first.0 + SILENCE.0);
            let waited = now.since(run.sent);
            let looked = run.doubted.is_some_and(|at| now.since(at) < LOOK_AGAIN);
            if waited < patience || run.begun || run.abandoned || looked {
                return false;
            }
            let target = self.targets.get(&run.offer.target);
            let answered = target.and_then(|target| target.health.last_answer());
            let silence = now.since(answered.unwrap_or_default().max(run.sent));
            silence >= patience || waited.0 >= MOST_PATIENCE * patience.0
        });
        silent.map(|run| run.request.number).collect()
    }
}
