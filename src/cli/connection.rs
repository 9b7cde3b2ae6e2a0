//! Where the command line finds the platform and the routers.

use super::{Failure, Output};
use crate::{config, id, operator, table, unit::Span};
use std::{collections::BTreeMap, fs, net::SocketAddr, path::PathBuf, sync::Arc};

/// Arguments that tell where the platform and the routers are.
#[derive(clap::Args, Clone, Debug)]
pub struct Connection {
    /// Address of the platform's interface
    #[arg(long, global = true, env = "MARLRUN_PLATFORM", value_name = "IP:PORT")]
    pub platform: Option<SocketAddr>,
    /// Address of a router's operators' interface; repeat it, or separate several by commas
    #[arg(
        long = "router",
        global = true,
        env = "MARLRUN_ROUTERS",
        value_name = "IP:PORT",
        value_delimiter = ','
    )]
    pub routers: Vec<SocketAddr>,
    /// File with the key of the operators' interface
    #[arg(
        long,
        global = true,
        env = "MARLRUN_OPERATOR_KEY_FILE",
        value_name = "FILE"
    )]
    pub operator_key_file: Option<PathBuf>,
    /// Longest wait for one answer
    #[arg(long, global = true, default_value = "5s", value_name = "TIME")]
    pub timeout: Span,
}

impl Connection {
    /// Opens the configuration in the platform.
    ///
    /// # Errors
    ///
    /// Fails if no address is given.
    pub(super) fn store(&self) -> Result<config::Store, Failure> {
        let address = self.platform.ok_or(Failure::NoPlatform)?;
        let timeout = self.timeout;
        let client = table::Client::open(table::client::Settings { address, timeout });
        let client = Arc::new(client);
        Ok(config::Store::new(client.clone(), client))
    }

    /// Opens the routers that were named.
    ///
    /// # Errors
    ///
    /// Fails if none is named or the key cannot be read.
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

    /// Asks the routers in turn until one answers.
    ///
    /// # Errors
    ///
    /// Fails with the last router's error if none answers.
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

    /// Asks all routers that are named for the routers that they know, and merges what they say: a router is alive
    /// if any of them hears it, and has the highest version that any of them knows.
    ///
    /// # Errors
    ///
    /// Fails with the last router's error if none answers.
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
