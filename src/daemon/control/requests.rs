//! Routes events and actions of client requests between the HTTP front end, the ingress controller
//! and the tasks that send the requests to targets.

use super::Control;
use crate::{
    claim, config, front, id, ingress,
    unit::{Cost, Time},
    wire::Outcome,
};
use std::sync::Arc;

impl Control {
    pub(super) fn front(&mut self, now: Time, event: front::Event) {
        match event {
            front::Event::Arrived {
                request,
                call,
                orders,
            } => {
                self.orders.insert(request, orders);
                self.parts.state.recent().arrive(request, &call, now);
                let request = request_of(request, call, now);
                self.ingress(now, ingress::Event::Request(request));
            }
            front::Event::Gone { request } => {
                self.orders.remove(&request);
                self.parts.state.recent().cancel(request);
                self.ingress(now, ingress::Event::Cancelled { request });
            }
            front::Event::Sent { attempt } => self.ingress(now, ingress::Event::Sent { attempt }),
            front::Event::Progress { attempt, cost } => {
                self.ingress(now, ingress::Event::Progress { attempt, cost });
            }
            front::Event::Ended {
                attempt,
                cost,
                outcome,
                resume,
                answer,
            } => {
                let request = self.running.remove(&attempt);
                if let Some(request) = request {
                    self.parts.state.recent().end(request, cost, outcome);
                }
                let ended = ingress::Event::Ended {
                    attempt,
                    cost,
                    outcome,
                    resume,
                    answer: answer.map(|answer| answer.encode()),
                };
                self.ingress(now, ended);
                if let (Some(request), Outcome::Answered) = (request, outcome) {
                    self.orders.remove(&request);
                }
            }
            front::Event::KeyWanted { reply } => {
                // Fails only if the client has disconnected, which then needs no key.
                let _ = reply.send(self.registry.issue(now));
            }
        }
    }

    pub(super) fn ingress(&mut self, now: Time, event: ingress::Event) {
        let mut actions = Vec::new();
        self.ingress.step(now, event, &self.routes, &mut actions);
        for action in actions {
            self.act(now, action);
        }
    }

    fn act(&mut self, now: Time, action: ingress::Action) {
        match action {
            ingress::Action::Send(envelope) => self.mail.push_back(envelope),
            ingress::Action::Claim {
                attempt,
                workspace,
                service,
                key,
            } => {
                let claim = claim::Event::Claim {
                    attempt,
                    workspace,
                    service,
                    key,
                };
                self.registry(now, claim);
            }
            ingress::Action::Settle { attempt, outcome } => {
                self.registry(now, claim::Event::Settle { attempt, outcome });
            }
            ingress::Action::Start {
                request,
                attempt,
                target,
                resume,
                not_after,
                deadline,
            } => {
                let Some(target) = self.declared(now, attempt, &target, &resume) else {
                    return;
                };
                self.running.insert(attempt, request);
                self.parts.state.recent().start(request, &target.name);
                let start = front::Order::Start {
                    attempt,
                    target,
                    expires: not_after,
                    deadline,
                    resume,
                };
                self.order(request, start);
            }
            ingress::Action::Abort { attempt } => {
                if let Some(request) = self.running.get(&attempt) {
                    self.order(*request, front::Order::Abort { attempt });
                }
            }
            ingress::Action::Reject { request, rejection } => {
                self.parts.state.recent().reject(request, &rejection);
                self.order(request, front::Order::Reject(rejection));
                self.orders.remove(&request);
            }
        }
    }

    /// Returns the target of a grant. If it was removed since, ends the attempt without sending.
    fn declared(
        &mut self,
        now: Time,
        attempt: id::Attempt,
        target: &id::Target,
        resume: &Option<Box<str>>,
    ) -> Option<Arc<config::Target>> {
        let declared = self.routes.target(target).cloned();
        if declared.is_none() {
            let resume = resume.clone();
            let ended = ingress::Event::Ended {
                attempt,
                cost: Cost(0),
                outcome: Outcome::Unreachable,
                resume: resume.map_or(ingress::Resume::Start, ingress::Resume::After),
                answer: None,
            };
            self.ingress(now, ended);
        }
        declared
    }

    fn order(&self, request: u64, order: front::Order) {
        if let Some(orders) = self.orders.get(&request) {
            // Fails if the client disconnected, which ends the task; `Gone` follows then.
            let _ = orders.send(order);
        }
    }
}

fn request_of(number: u64, call: front::Call, now: Time) -> ingress::Request {
    ingress::Request {
        number,
        workspace: call.workspace,
        service: call.service,
        class: call.class,
        estimate: call.estimate,
        idempotent: call.idempotent,
        key: call.key,
        deadline: now + call.timeout,
    }
}
