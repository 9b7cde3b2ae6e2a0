//! Current and recent requests of this router, for operators.

use crate::{
    front, id, ingress,
    operator::{Phase, Request},
    unit::{Cost, Time},
    wire::Outcome,
};
use std::collections::BTreeMap;

/// Maximum number of requests kept; this covers about ten minutes at 7 requests/s.
const MAX_REQUESTS: usize = 4_096;

/// Current and recent requests of this router; the oldest are evicted first.
pub(super) struct Recent {
    incarnation: id::Incarnation,
    requests: BTreeMap<u64, (Time, Request)>,
}

impl Recent {
    pub(super) fn new(incarnation: id::Incarnation) -> Self {
        Self {
            incarnation,
            requests: BTreeMap::new(),
        }
    }

    pub(super) fn add(&mut self, number: u64, call: &front::Call, now: Time) {
        if self.requests.len() >= MAX_REQUESTS {
            self.requests.pop_first();
        }
        let request = Request {
            id: format!("{}-{number:x}", self.incarnation).into(),
            workspace: call.workspace.clone(),
            service: call.service.clone(),
            phase: Phase::Waiting,
            target: None,
            hops: 0,
            age_ms: 0,
            cost: Cost(0),
            trace: Some(call.trace.clone()),
        };
        self.requests.insert(number, (now, request));
    }

    pub(super) fn start(&mut self, number: u64, target: &id::Target) {
        self.update(number, |request| {
            request.phase = Phase::Running;
            request.target = Some(target.clone());
        });
    }

    pub(super) fn end(&mut self, number: u64, cost: Cost, outcome: Outcome) {
        let phase = match outcome {
            Outcome::Answered => Phase::Answered,
            Outcome::Cancelled => Phase::Cancelled,
            Outcome::NotRun | Outcome::Unreachable | Outcome::Broken => Phase::Waiting,
        };
        self.update(number, |request| {
            request.phase = phase;
            request.cost += cost;
        });
    }

    pub(super) fn cancel(&mut self, number: u64) {
        self.update(number, |request| request.phase = Phase::Cancelled);
    }

    pub(super) fn reject(&mut self, number: u64, rejection: &ingress::Rejection) {
        let phase = match rejection {
            ingress::Rejection::NotRun { .. } => Phase::Refused,
            ingress::Rejection::Unknown { .. } => Phase::Unknown,
            ingress::Rejection::Finished { .. } => Phase::Answered,
        };
        self.update(number, |request| request.phase = phase);
    }

    /// Returns a request by its identifier, `INCARNATION-NUMBER` with the number in hexadecimal.
    pub(super) fn find(&self, id: &str, now: Time) -> Option<Request> {
        let (_, number) = id.rsplit_once('-')?;
        let number = u64::from_str_radix(number, 16).ok()?;
        let (arrived, request) = self.requests.get(&number)?;
        let mut request = request.clone();
        request.age_ms = now.since(*arrived).as_millis();
        (&*request.id == id).then_some(request)
    }

    fn update(&mut self, number: u64, update: impl FnOnce(&mut Request)) {
        if let Some((_, request)) = self.requests.get_mut(&number) {
            update(request);
        }
    }
}
