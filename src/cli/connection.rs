//! Connections to the platform and to routers.

use super::{Failure, Output};
use crate::{config, id, operator, table, unit::Span};
use std::{collections::BTreeMap, fs, net::SocketAddr, path::PathBuf, sync::Arc};

/// Addresses and credentials for the platform and the routers.
#[derive(clap::Args, Clone, Debug)]
pub struct Connection {
    /// Address of the platform
    #[arg(long, global = true, env = "MARLRUN_PLATFORM", value_name = "IP:PORT")]
    pub platform: Option<SocketAddr>,
    /// Address of a router's operator API; repeat the flag or separate addresses with commas
    #[arg(
        long = "router",
        global = true,
        env = "MARLRUN_ROUTERS",
        value_name = "IP:PORT",
        value_delimiter = ','
    )]
    pub routers: Vec<SocketAddr>,
    /// File with the key of the operator API
    #[arg(
        long,
        global = true,
        env = "MARLRUN_OPERATOR_KEY_FILE",
        value_name = "FILE"
    )]
    pub operator_key_file: Option<PathBuf>,
    /// Timeout of each call to the platform or a router (for example 500ms or 5s)
    #[arg(long, global = true, default_value = "5s", value_name = "TIME")]
    pub timeout: Span,
}

impl Connection {
    /// Returns a client of the configuration store in the platform.
    ///
    /// # Errors
    ///
    /// Fails if no platform address is given.
    pub(super) fn store(&self) -> Result<config::Store, Failure> {
        let client = Arc::new(self.table()?);
        Ok(config::Store::new(client.clone(), client))
    }

    /// Returns a client of the platform's table.
    ///
    /// # Errors
    ///
    /// Fails if no platform address is given.
    pub(super) fn table(&self) -> Result<table::Client, Failure> {
        let address = self.platform.ok_or(Failure::NoPlatform)?;
        let timeout = self.timeout;
        Ok(table::Client::open(table::client::Settings {
            address,
            timeout,
        }))
    }

    /// Returns a client for each router given on the command line.
    ///
    /// # Errors
    ///
    /// Fails if no router or no key file is given, or the key cannot be read.
    pub(super) fn routers(&self) -> Result<Vec<operator::Client>, Failure> {
        if self.routers.is_empty() {
            return Err(Failure::NoRouter);
        }
        let path = self.operator_key_file.as_ref().ok_or(Failure::NoKey)?;
        let text = fs::read_to_string(path).map_err(|cause| Failure::Key {
            file: path.to_string_lossy().into(),
            cause,
        })?;
        let key = text.trim();
        let open = |address: &SocketAddr| operator::Client::open(*address, key, self.timeout);
        Ok(self.routers.iter().map(open).collect())
    }

    /// Calls the routers in turn until one succeeds.
    ///
    /// # Errors
    ///
    /// Fails with the last router's error if every call fails.
    pub(super) fn any_router<T>(
        &self,
        call: impl Fn(&operator::Client) -> Result<T, operator::Error>,
    ) -> Result<T, Failure> {
        let mut failure = Failure::NoRouter;
        for client in self.routers()? {
            match call(&client) {
                Ok(answer) => return Ok(answer),
                Err(error) => failure = error.into(),
            }
        }
        Err(failure)
    }

    /// Queries the member lists of all given routers and merges them: a router counts as alive if any of them
    /// reports it alive, and has the highest version that any of them reports.
    ///
    /// # Errors
    ///
    /// Fails with the last router's error if every call fails.
    pub(super) fn known_routers(
        &self,
        output: &mut Output<'_>,
    ) -> Result<Vec<operator::Router>, Failure> {
        let mut known = BTreeMap::new();
        let mut answered = false;
        let mut failure = Failure::NoRouter;
        for client in self.routers()? {
            match client.routers() {
                Ok(routers) => {
                    answered = true;
                    routers
                        .into_iter()
                        .for_each(|router| merge(&mut known, router));
                }
                Err(error) => {
                    output.progress(format_args!("{error}"));
                    failure = error.into();
                }
            }
        }
        match answered {
            true => Ok(known.into_values().collect()),
            false => Err(failure),
        }
    }
}

fn merge(known: &mut BTreeMap<id::Router, operator::Router>, router: operator::Router) {
    let Some(other) = known.get_mut(&router.router) else {
        known.insert(router.router.clone(), router);
        return;
    };
    other.alive |= router.alive;
    other.leaving |= router.leaving;
    other.version = other.version.max(router.version);
}
