//! Routes events and actions between the claim registry, the platform's table and the ingress
//! controller.

use super::Control;
use crate::{claim, ingress, table, unit::Time};

impl Control {
    pub(super) fn step_registry(&mut self, now: Time, event: claim::Event) {
        let mut actions = Vec::new();
        self.registry.step(now, event, &mut actions);
        for action in actions {
            match action {
                claim::Action::Send(envelope) => self.outgoing.push_back(envelope),
                claim::Action::Verdict { attempt, verdict } => {
                    self.step_ingress(now, ingress::Event::Claimed { attempt, verdict });
                }
                call => self.call_table(now, call),
            }
        }
    }

    fn call_table(&mut self, now: Time, action: claim::Action) {
        if let Some(worker) = &self.parts.worker {
            return worker.submit(action);
        }
        let fault = table::Fault::Unreachable {
            call: "claim".into(),
            cause: "no platform is configured".into(),
        };
        match action {
            claim::Action::Write { call, .. } => {
                let result = Err(fault);
                self.step_registry(now, claim::Event::Written { call, result });
            }
            claim::Action::Read { call, .. } | claim::Action::Scan { call, .. } => {
                let result = Err(fault);
                self.step_registry(now, claim::Event::Read { call, result });
            }
            claim::Action::Send(_) | claim::Action::Verdict { .. } => {}
        }
    }
}
