//! Work stealing: an owner pulls waiting requests from its peers.

use super::{MAX_HOPS, Scheduler};
use crate::{config, id, owner::Peer, unit::Cost, wire};

impl Scheduler {
    /// Pulls from a peer if slots are free here, or if the peer's requests have lower levels.
    pub(super) fn pull_if_due(&mut self, service: &id::Service, out: &mut Vec<wire::Envelope>) {
        let Some(pool) = self.pools.get_mut(service) else {
            return;
        };
        if self.draining || pool.backlogged_peers.is_empty() || !pool.is_pull_due(self.now) {
            return;
        }
        let count = pool.pull_size(self.now);
        if count == 0 {
            return;
        }
        let Some(to) = pool.pull_peer(pool.pull_ceiling(count)) else {
            return;
        };
        let Some(target) = pool.most_free_target(self.now) else {
            return;
        };
        pool.record_pull(self.now);
        out.push(pull_message(to, service, target, count));
    }

    /// Moves waiting requests to another owner, in the order of `Pool::select_transfers`.
    ///
    /// An owner with waiting requests of its own pulls because of the floor announced here, so it
    /// gets only requests with levels close to that.
    pub(super) fn handle_pull(
        &mut self,
        from: &id::Router,
        service: &id::Service,
        target: &id::Target,
        free: u32,
        out: &mut Vec<wire::Envelope>,
    ) {
        if *from == self.router || self.owned.contains(target) {
            return;
        }
        let Some(pool) = self.pools.get(service) else {
            return;
        };
        let idle = !self.is_backlogged(from, service);
        let ceiling = if idle {
            u64::MAX
        } else {
            pool.transfer_ceiling()
        };
        let requests = &self.requests;
        let movable = |attempt: &id::Attempt| {
            let request = requests.get(attempt);
            request.is_some_and(|request| request.ask.hops < MAX_HOPS)
        };
        for attempt in pool.select_transfers(free as usize, ceiling, movable) {
            if let Some(request) = self.remove(&attempt) {
                send_move(request.ingress, attempt, target.clone(), out);
            }
        }
    }

    /// Reports whether a peer announced waiting requests for a service.
    pub(super) fn is_backlogged(&self, router: &id::Router, service: &id::Service) -> bool {
        let pool = self.pools.get(service);
        pool.is_some_and(|pool| pool.backlogged_peers.iter().any(|(_, peer)| peer == router))
    }

    /// Replaces the state of the peers.
    pub(super) fn set_peers(&mut self, peers: Vec<Peer>) {
        self.peers = peers;
        self.peers.retain(|peer| peer.router != self.router);
        for (name, pool) in &mut self.pools {
            let floors = self.peers.iter().flat_map(|peer| &peer.floors);
            let floors = floors.filter(|(service, _)| service == name);
            pool.peer_floor = floors.map(|(_, floor)| *floor).min();
            pool.backlogged_peers = rank_backlogged_peers(&self.peers, &self.fleet, name);
        }
    }
}

/// Returns the peers that have waiting requests for a service, lowest floor first.
pub(super) fn rank_backlogged_peers(
    peers: &[Peer],
    fleet: &config::Fleet,
    service: &id::Service,
) -> Vec<(u64, id::Router)> {
    let of_service = |load: &&wire::Load| {
        let target = fleet.targets.get(&load.target);
        target.is_some_and(|t| &t.service == service)
    };
    let backlogged = peers.iter().filter(|peer| {
        let mut loads = peer.loads.iter().filter(of_service);
        loads.any(|load| load.waiting > Cost(0))
    });
    let with_floor = backlogged.map(|peer| {
        let floor = peer.floors.iter().find(|(name, _)| name == service);
        (
            floor.map_or(u64::MAX, |(_, floor)| *floor),
            peer.router.clone(),
        )
    });
    let mut peers: Vec<_> = with_floor.collect();
    peers.sort();
    peers
}

/// Returns a pull message.
pub(super) fn pull_message(
    to: id::Router,
    service: &id::Service,
    target: id::Target,
    free: u32,
) -> wire::Envelope {
    wire::Envelope {
        to,
        message: wire::Message::Pull {
            service: service.clone(),
            target,
            free,
        },
    }
}

/// Tells an ingress to send an attempt's request to the owner of another target.
pub(super) fn send_move(
    to: id::Router,
    attempt: id::Attempt,
    target: id::Target,
    out: &mut Vec<wire::Envelope>,
) {
    out.push(wire::Envelope {
        to,
        message: wire::Message::Move { attempt, target },
    });
}
