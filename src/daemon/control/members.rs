//! Reactions to changes of the members of the fleet, of the owners of targets and of their loads.

use super::Control;
use crate::{
    config, id, ingress, member, metric, owner, placement, probe, unit::Time, usage,
    wire::Heartbeat,
};
use std::collections::{BTreeMap, BTreeSet};

impl Control {
    pub(super) fn handle_heartbeat(&mut self, now: Time, heartbeat: Heartbeat) {
        let version = config::replica::Event::PeerVersion {
            router: heartbeat.router.clone(),
            version: heartbeat.version,
        };
        self.step_membership(now, member::Event::Heartbeat(Box::new(heartbeat)));
        self.step_replica(now, version);
    }

    pub(super) fn step_membership(&mut self, now: Time, event: member::Event) {
        let mut actions = Vec::new();
        self.parts.membership.step(now, event, &mut actions);
        for action in actions {
            match action {
                member::Action::Datagram { to, heartbeat } => {
                    self.parts.beacon.send(to, &heartbeat);
                }
                member::Action::Up {
                    router,
                    incarnation,
                } => {
                    slog::info!(self.parts.log, "router up";
                        "peer" => %router, "peer_incarnation" => %incarnation);
                }
                member::Action::Down {
                    router,
                    incarnation,
                } => self.handle_router_down(now, router, incarnation),
                member::Action::Changed => self.update_owners(now),
            }
        }
    }

    /// Tells all components that a router died or is unreachable.
    fn handle_router_down(&mut self, now: Time, router: id::Router, incarnation: id::Incarnation) {
        slog::warn!(self.parts.log, "router down";
            "peer" => %router, "peer_incarnation" => %incarnation);
        self.parts.links.disconnect(router.clone());
        let lost = owner::Event::RouterLost {
            router: router.clone(),
            incarnation: Some(incarnation),
        };
        self.step_owner(now, lost);
        self.step_aggregator(now, usage::Event::RouterLost(router.clone()));
        let gone = config::replica::Event::PeerGone {
            router: router.clone(),
        };
        self.step_replica(now, gone);
        let lost = crate::claim::Event::RouterLost {
            router: router.clone(),
        };
        self.step_registry(now, lost);
        self.update_owners(now);
        self.step_ingress(now, ingress::Event::RouterLost { router });
    }

    /// Recomputes the owners of targets after a change of the members or the configuration, and
    /// passes on the result.
    pub(super) fn update_owners(&mut self, now: Time) {
        let view = self.parts.membership.view();
        self.routes.rebuild(self.effective_fleet.clone(), view);
        metrics::gauge!(metric::MEMBERS).set(view.len() as f64);
        let owned = self.routes.owned_by(&self.parts.router);
        let probed = owned.iter().filter(|name| !self.is_barred(name));
        let targets = probed.filter_map(|name| self.routes.target(name));
        let targets: Vec<_> = targets.cloned().collect();
        self.parts
            .prober
            .set_targets(&targets, &self.effective_fleet);
        self.step_owner(now, owner::Event::Owned(owned));
        self.pause_unfit_targets(now);
        self.exchange_state(now);
        self.step_ingress(now, ingress::Event::PlacementChanged);
    }

    pub(super) fn handle_probe(&mut self, now: Time, event: probe::Event) {
        match event {
            probe::Event::Load {
                target,
                running,
                waiting,
            } => {
                let load = owner::Event::Load {
                    target,
                    running,
                    waiting,
                };
                self.step_owner(now, load);
            }
            probe::Event::Health { target, healthy } => {
                slog::info!(self.parts.log, "target health"; "target" => %target, "fit" => healthy);
                if healthy {
                    self.unhealthy_targets.remove(&target);
                    // The probe may have begun before the evacuation.
                    if !self.is_barred(&target) {
                        self.step_owner(now, owner::Event::Resume { target });
                    }
                } else {
                    self.unhealthy_targets.insert(target);
                }
                self.pause_unfit_targets(now);
                self.exchange_state(now);
                self.step_ingress(now, ingress::Event::PlacementChanged);
            }
        }
    }

    /// Tells the scheduler to pause the owned targets that take no new requests.
    fn pause_unfit_targets(&mut self, now: Time) {
        let owned: BTreeSet<_> = self
            .routes
            .owned_by(&self.parts.router)
            .into_iter()
            .collect();
        self.unhealthy_targets
            .retain(|target| owned.contains(target));
        let unfit = owned.iter().filter(|target| self.is_unfit(target));
        for target in unfit.cloned().collect::<Vec<_>>() {
            let until = None;
            self.step_owner(now, owner::Event::Pause { target, until });
        }
    }

    pub(super) fn is_unfit(&self, target: &id::Target) -> bool {
        self.unhealthy_targets.contains(target)
            || self.leaving_targets.contains(target)
            || self.is_barred(target)
    }

    /// Exchanges state between the components, and updates the state that heartbeats carry to peers.
    pub(super) fn exchange_state(&mut self, now: Time) {
        let mut unfit: BTreeSet<_> = self
            .unhealthy_targets
            .union(&self.leaving_targets)
            .cloned()
            .collect();
        let local = member::Local {
            leaving: self.draining,
            version: self.fleet.version,
            loads: self.owner.loads(),
            floors: self.owner.floors(),
            unfit: unfit.iter().cloned().collect(),
        };
        let loads = local.loads.clone();
        self.step_membership(now, member::Event::Local(local));
        // Peers read for themselves which failure domains are evacuated.
        unfit.extend(self.barred_targets());
        let view = self.parts.membership.view();
        self.routes.update_loads(view, loads, &unfit);
        let peers = peers(view, &self.parts.router);
        let floors = peers.iter().flat_map(|peer| &peer.floors);
        let floors = lowest_floors(floors.chain(&self.owner.floors()));
        self.step_owner(now, owner::Event::Peers(peers));
        self.step_aggregator(now, usage::Event::Floors(floors));
        let state = self.parts.state.clone();
        state.publish_members(
            self.parts.membership.view(),
            self.ingress.len(),
            self.running_attempts.len(),
        );
    }

    pub(super) fn report_usage(&mut self, now: Time) {
        let view = self.parts.membership.view();
        let aggregator_of =
            |workspace: &id::Workspace| placement::aggregator_of(workspace, view).cloned();
        let reports = self.owner.reports(now, &aggregator_of);
        self.outgoing.extend(reports);
        self.step_aggregator(now, usage::Event::Tick);
        self.parts
            .state
            .publish_usage(self.owner.snapshot(), self.routes.targets());
    }
}

/// Returns the state of the other routers from their last heartbeats.
fn peers(view: &member::View, own: &id::Router) -> Vec<owner::Peer> {
    let others = view.iter().filter(|member| member.router != *own);
    let peers = others.map(|member| owner::Peer {
        router: member.router.clone(),
        loads: member.loads.clone(),
        floors: member.floors.clone(),
    });
    peers.collect()
}

/// Returns the lowest floor of each service.
fn lowest_floors<'a>(
    floors: impl Iterator<Item = &'a (id::Service, u64)>,
) -> Vec<(id::Service, u64)> {
    let mut lowest = BTreeMap::new();
    for (service, floor) in floors {
        let known = lowest.entry(service.clone()).or_insert(*floor);
        *known = (*known).min(*floor);
    }
    lowest.into_iter().collect()
}
