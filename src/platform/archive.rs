//! Table of the platform's store in which routers remember builds and streams.

use super::Store;
use crate::{
    clock,
    dispatch::History,
    gateway, gossip, id,
    watch::{Fault, Row},
};
use base64::{Engine as _, prelude::BASE64_STANDARD};
use futures::{FutureExt, future::BoxFuture};
use serde::{Deserialize, Serialize};

/// Name of the table.
const TABLE: &str = "history";
/// Age from which a row is of a router that is gone: several times the interval of writing it again.
const MAX_AGE_S: u64 = 600;
/// Maximum number of streams of a row: 44 kB of the 64 kB that a row may have.
const MAX_STREAMS: usize = 4_096;
/// Maximum number of builds of a row.
const MAX_BUILDS: usize = 256;
/// Maximum number of rows of routers that are gone which a start removes.
const MAX_REMOVED: usize = 20;

/// Access of one router to the table; it writes the row of its name.
pub(super) struct Archive {
    store: Store,
    router: id::Router,
}

/// JSON value of a row.
#[derive(Serialize, Deserialize)]
struct Value {
    /// Time of writing in Unix seconds.
    at: u64,
    /// Hash of a service's name, and key of its build.
    builds: Vec<(u64, u64)>,
    /// Streams by the position of their build in that list.
    streams: Vec<(usize, Box<str>)>,
}

impl Archive {
    /// Returns the access of a router without connecting.
    pub(super) fn open(store: Store, router: id::Router) -> Self {
        Self { store, router }
    }

    async fn read_rows(&self) -> Result<Vec<History>, Fault> {
        let rows = self.store.read_table(TABLE).await?.entries;
        let now = clock::unix_millis() / 1_000;
        let mut remembered = Vec::new();
        let mut outdated = Vec::new();
        for row in rows {
            match decode(&row) {
                Some((at, history)) if now.saturating_sub(at) < MAX_AGE_S => {
                    remembered.push(history);
                }
                // Rows of other writers are removed, too: the table is the routers' own.
                Some(_) | None => outdated.push(row.key),
            }
        }
        for key in outdated.iter().take(MAX_REMOVED) {
            self.store.remove(TABLE, key).await?;
        }
        Ok(remembered)
    }

    async fn write_row(&self, history: History) -> Result<(), Fault> {
        let value = serde_json::to_vec(&encode(&history)).map_err(|cause| Fault::Malformed {
            endpoint: "the history of this router".into(),
            cause: cause.to_string().into(),
        })?;
        self.store.put(TABLE, self.router.as_str(), &value).await
    }
}

impl gateway::Archive for Archive {
    fn read(&self) -> BoxFuture<'_, Result<Vec<History>, Fault>> {
        self.read_rows().boxed()
    }

    fn write(&self, history: History) -> BoxFuture<'_, Result<(), Fault>> {
        self.write_row(history).boxed()
    }
}

fn encode(history: &History) -> Value {
    let builds = &history.builds[..history.builds.len().min(MAX_BUILDS)];
    let streams = builds.iter().enumerate().filter_map(|(index, build)| {
        let streams = history.streams.iter().take(MAX_STREAMS);
        let own = streams.filter(|origin| (origin.service, origin.build) == *build);
        let bytes: Vec<u8> = own
            .flat_map(|origin| origin.stream.0.to_be_bytes())
            .collect();
        (!bytes.is_empty()).then(|| (index, BASE64_STANDARD.encode(bytes).into()))
    });
    Value {
        at: clock::unix_millis() / 1_000,
        builds: builds.into(),
        streams: streams.collect(),
    }
}

/// Returns the time and the content of a row; `None` if it isn't one of a router.
fn decode(row: &Row) -> Option<(u64, History)> {
    let value: Value = serde_json::from_slice(row.value.as_ref()?).ok()?;
    let mut streams = Vec::new();
    for (index, bytes) in &value.streams {
        let (service, build) = *value.builds.get(*index)?;
        let bytes = BASE64_STANDARD.decode(bytes.as_bytes()).ok()?;
        let named = bytes.chunks_exact(8).map(|chunk| {
            let mut name = [0; 8];
            name.copy_from_slice(chunk);
            gossip::Origin {
                service,
                build,
                repeated: true,
                stream: id::Stream(u64::from_be_bytes(name)),
            }
        });
        streams.extend(named);
    }
    streams.truncate(MAX_STREAMS);
    let mut builds = value.builds;
    builds.truncate(MAX_BUILDS);
    Some((value.at, History { builds, streams }))
}
