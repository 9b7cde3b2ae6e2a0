//! Updates of the configuration and of the targets that the platform lists.

use super::Control;
use crate::{
    config, id, metric, owner,
    table::{State, Vm},
    unit::Time,
    usage,
};
use std::{collections::BTreeSet, sync::Arc};

impl Control {
    pub(super) fn step_replica(&mut self, now: Time, event: config::replica::Event) {
        let Some(replica) = &mut self.parts.replica else {
            return;
        };
        let mut actions = Vec::new();
        replica.step(now, event, &mut actions);
        let state = replica.state();
        self.parts.state.set_configuration_state(&state);
        for action in actions {
            match action {
                config::replica::Action::Send(envelope) => self.outgoing.push_back(envelope),
                config::replica::Action::ReadPlatform { have } => {
                    self.parts.platform.request_changes(have)
                }
                config::replica::Action::Install(fleet) => self.install(now, fleet),
                config::replica::Action::Refused { origin, reason } => {
                    slog::error!(self.parts.log, "configuration refused";
                        "origin" => %origin, "reason" => %reason);
                }
            }
        }
    }

    /// Puts a new configuration in force.
    pub(super) fn install(&mut self, now: Time, fleet: Arc<config::Fleet>) {
        slog::info!(self.parts.log, "configuration in force"; "version" => %fleet.version);
        metrics::gauge!(metric::VERSION).set(fleet.version.0 as f64);
        self.fleet = fleet.clone();
        self.parts.state.install(fleet);
        let vms = self.parts.state.vms();
        self.update_targets(now, &vms);
    }

    /// Handles a new list of VMs from the platform.
    pub(super) fn handle_vms(&mut self, now: Time, vms: Vec<Vm>) {
        let (routers, targets): (Vec<_>, Vec<_>) =
            vms.into_iter().partition(|vm| &*vm.group == ROUTER_GROUP);
        self.step_membership(now, crate::member::Event::Listed(routers));
        if targets != self.parts.state.vms() {
            self.parts.state.set_vms(targets.clone());
            self.update_targets(now, &targets);
        }
    }

    /// Adds the listed targets to the configuration in force and passes the result to the components.
    fn update_targets(&mut self, now: Time, vms: &[Vm]) {
        let listed: Vec<_> = vms.iter().filter_map(|vm| self.listed_target(vm)).collect();
        self.effective_fleet = match listed.is_empty() {
            true => self.fleet.clone(),
            false => Arc::new(with_targets(&self.fleet, listed)),
        };
        self.leaving_targets = leaving_targets(vms);
        self.step_owner(now, owner::Event::Config(self.effective_fleet.clone()));
        self.step_aggregator(now, usage::Event::Config(self.effective_fleet.clone()));
        self.update_owners(now);
    }

    fn listed_target(&self, vm: &Vm) -> Option<config::Target> {
        let service: id::Service = vm.group.parse().ok()?;
        let slots = *self.fleet.listed_slots.get(&service)?;
        Some(config::Target {
            name: vm.name.parse().ok()?,
            service,
            domain: vm.domain.clone(),
            address: vm.address,
            slots,
        })
    }
}

/// Group of the routers in the platform's list of VMs.
const ROUTER_GROUP: &str = "router";

/// Returns the configuration with additional targets; a target declared in the configuration takes
/// precedence over an additional one of the same name.
fn with_targets(fleet: &config::Fleet, targets: Vec<config::Target>) -> config::Fleet {
    let mut extended = fleet.clone();
    for target in targets {
        let name = target.name.clone();
        extended
            .targets
            .entry(name)
            .or_insert_with(|| Arc::new(target));
    }
    extended
}

fn leaving_targets(vms: &[Vm]) -> BTreeSet<id::Target> {
    let leaving = vms.iter().filter(|vm| vm.state == State::Leaving);
    leaving.filter_map(|vm| vm.name.parse().ok()).collect()
}
