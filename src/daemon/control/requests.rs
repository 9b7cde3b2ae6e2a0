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
    pub(super) fn handle_front(&mut self, now: Time, event: front::Event) {
        match event {
            front::Event::Arrived {
                request,
                call,
                commands,
            } => {
                self.command_senders.insert(request, commands);
                self.parts.state.recent().add(request, &call, now);
                let request = ingress_request(request, call, now);
                self.step_ingress(now, ingress::Event::Request(request));
            }
            front::Event::Disconnected { request } => {
                self.command_senders.remove(&request);
                self.parts.state.recent().cancel(request);
                self.step_ingress(now, ingress::Event::Cancelled { request });
            }
            front::Event::Sent { attempt } => {
                self.step_ingress(now, ingress::Event::Sent { attempt })
            }
            front::Event::Progress { attempt, cost } => {
                self.step_ingress(now, ingress::Event::Progress { attempt, cost });
            }
            front::Event::Ended {
                attempt,
                cost,
                outcome,
                resume,
                answer,
            } => {
                let request = self.running_attempts.remove(&attempt);
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
                self.step_ingress(now, ended);
                if let (Some(request), Outcome::Answered) = (request, outcome) {
                    self.command_senders.remove(&request);
                }
            }
            front::Event::KeyRequested { reply } => {
                // Fails only if the client has disconnected, which then needs no key.
                let _ = reply.send(self.registry.issue(now));
            }
        }
    }

    pub(super) fn step_ingress(&mut self, now: Time, event: ingress::Event) {
        let mut actions = Vec::new();
        self.ingress.step(now, event, &self.routes, &mut actions);
        for action in actions {
            self.perform(now, action);
        }
    }

    fn perform(&mut self, now: Time, action: ingress::Action) {
        match action {
            ingress::Action::Send(envelope) => self.outgoing.push_back(envelope),
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
                self.step_registry(now, claim);
            }
            ingress::Action::Settle { attempt, outcome } => {
                self.step_registry(now, claim::Event::Settle { attempt, outcome });
            }
            ingress::Action::Start {
                request,
                attempt,
                target,
                resume,
                not_after,
                deadline,
            } => {
                let Some(target) = self.granted_target(now, attempt, &target, &resume) else {
                    return;
                };
                self.running_attempts.insert(attempt, request);
                self.parts.state.recent().start(request, &target.name);
                let start = front::Command::Start {
                    attempt,
                    target,
                    not_after,
                    deadline,
                    resume,
                };
                self.send_command(request, start);
            }
            ingress::Action::Abort { attempt } => {
                if let Some(request) = self.running_attempts.get(&attempt) {
                    self.send_command(*request, front::Command::Abort { attempt });
                }
            }
            ingress::Action::Reject { request, rejection } => {
                self.parts.state.recent().reject(request, &rejection);
                self.send_command(request, front::Command::Reject(rejection));
                self.command_senders.remove(&request);
            }
        }
    }

    /// Returns the target of a grant. If it was removed since, or its failure domain is evacuated, ends the attempt
    /// without sending.
    fn granted_target(
        &mut self,
        now: Time,
        attempt: id::Attempt,
        target: &id::Target,
        resume: &Option<Box<str>>,
    ) -> Option<Arc<config::Target>> {
        let found = self.routes.target(target).cloned();
        let found = found.filter(|target| !self.evacuated.contains(&target.domain));
        if found.is_none() {
            let resume = resume.clone();
            let ended = ingress::Event::Ended {
                attempt,
                cost: Cost(0),
                outcome: Outcome::Unreachable,
                resume: resume.map_or(ingress::Resume::Start, ingress::Resume::After),
                answer: None,
            };
            self.step_ingress(now, ended);
        }
        found
    }

    fn send_command(&self, request: u64, command: front::Command) {
        if let Some(commands) = self.command_senders.get(&request) {
            // Fails if the client disconnected, which ends the task; `Gone` follows then.
            let _ = commands.send(command);
        }
    }
}

fn ingress_request(number: u64, call: front::Call, now: Time) -> ingress::Request {
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
