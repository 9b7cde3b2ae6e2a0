//! Choice of targets when requests are sent straight to them.

use super::Target;
use crate::id;
use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

/// Targets with the number of this load's requests at each.
#[derive(Debug)]
pub(super) struct Balance {
    targets: Vec<Target>,
    outstanding: Mutex<Vec<usize>>,
}

impl Balance {
    pub(super) fn new(targets: Vec<Target>) -> Self {
        Self {
            outstanding: Mutex::new(vec![0; targets.len()]),
            targets,
        }
    }

    /// Takes the target of a service with the fewest requests, the first of equal ones.
    pub(super) fn take(self: &Arc<Self>, service: &id::Service) -> Option<Taken> {
        let mut outstanding = self.outstanding();
        let numbers = (0..self.targets.len()).filter(|n| self.targets[*n].service == *service);
        let number = numbers.min_by_key(|n| outstanding[*n])?;
        outstanding[number] += 1;
        Some(Taken {
            balance: Arc::clone(self),
            number,
        })
    }

    fn outstanding(&self) -> MutexGuard<'_, Vec<usize>> {
        self.outstanding
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

/// A request's target; dropping it ends the request there.
#[derive(Debug)]
pub(super) struct Taken {
    balance: Arc<Balance>,
    number: usize,
}

impl Taken {
    pub(super) fn address(&self) -> SocketAddr {
        self.balance.targets[self.number].address
    }
}

impl Drop for Taken {
    fn drop(&mut self) {
        self.balance.outstanding()[self.number] -= 1;
    }
}
