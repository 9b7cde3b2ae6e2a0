//! Threads that read the platform's configuration and its list of VMs.

use super::event::Event;
use crate::{
    config,
    table::{Directory, Fault},
    unit::{Span, Version},
};
use crossbeam::channel::{self, RecvTimeoutError, Sender};
use std::{io, sync::Arc, thread, time::Duration};

/// Time between two reads of the list of VMs; 330 routers then read 110 lists a second.
const LIST_PERIOD: Span = Span::from_secs(3);

/// Reads the platform until it is dropped; without a platform it reads nothing.
#[derive(Default)]
pub(super) struct Reader {
    wanted: Option<Sender<Version>>,
    _lister: Option<Sender<()>>,
}

impl Reader {
    /// Starts the threads.
    ///
    /// # Errors
    ///
    /// Fails if the system gives no thread.
    pub(super) fn spawn(
        store: config::Store,
        directory: Arc<dyn Directory>,
        sink: Sender<Event>,
    ) -> io::Result<Self> {
        let (wanted, versions) = channel::unbounded();
        let changes = sink.clone();
        thread::Builder::new()
            .name("configuration".into())
            .spawn(move || {
                for have in versions {
                    let result = store.changes(have).map_err(fault);
                    if changes.send(Event::Changes(result)).is_err() {
                        return;
                    }
                }
            })?;
        let (lister, ended) = channel::bounded(0);
        thread::Builder::new().name("list".into()).spawn(move || {
            loop {
                // While the list cannot be read, the last one goes on to hold.
                if let Ok(vms) = directory.list()
                    && sink.send(Event::Listed(vms)).is_err()
                {
                    return;
                }
                let waited = ended.recv_timeout(Duration::from(LIST_PERIOD));
                if waited != Err(RecvTimeoutError::Timeout) {
                    return;
                }
            }
        })?;
        Ok(Self {
            wanted: Some(wanted),
            _lister: Some(lister),
        })
    }

    /// Asks for the changes after a version.
    pub(super) fn read(&self, have: Version) {
        if let Some(wanted) = &self.wanted {
            // The thread ends only after the sender.
            let _ = wanted.send(have);
        }
    }
}

/// Returns a failure of the store as a failure of the platform.
fn fault(error: config::store::Error) -> Fault {
    match error {
        config::store::Error::Platform(fault) => fault,
        damaged => Fault::Refused {
            call: "configuration".into(),
            status: 0,
            detail: damaged.to_string().into(),
        },
    }
}
