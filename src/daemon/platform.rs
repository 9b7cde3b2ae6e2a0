//! Threads that read the configuration, the evacuations and the list of VMs from the platform.

use super::event::Event;
use crate::{
    config,
    table::{Directory, Fault, Table, evacuation},
    unit::{Span, Version},
};
use crossbeam::channel::{self, RecvTimeoutError, Sender};
use std::{
    io,
    sync::{Arc, Mutex, PoisonError},
    thread,
    time::Duration,
};

/// Pause between two reads of the list of VMs and of the evacuations; with it, 330 routers read each 110
/// times per second. Evacuations must be in force within 5 s.
const LIST_PAUSE: Span = Span::from_secs(3);

/// Reads from the platform until it is dropped; the default has no platform and reads nothing.
#[derive(Default)]
pub(super) struct Reader {
    /// Versions after which configuration changes are to be read.
    read_requests: Option<Sender<Version>>,
    /// Ends the thread that reads the list of VMs when it is dropped.
    _list_thread_guard: Option<Sender<()>>,
}

/// Reads the evacuations for several threads, one after the other, so that results arrive in the order of
/// the reads.
struct Evacuations {
    table: Arc<dyn Table>,
    sink: Mutex<Sender<Event>>,
}

impl Evacuations {
    /// Reads the evacuations and passes them on. If they cannot be read, the previous ones stay in force.
    fn read(&self) {
        let sink = self.sink.lock().unwrap_or_else(PoisonError::into_inner);
        if let Ok(rows) = evacuation::read(self.table.as_ref()) {
            // Fails only if the control thread has ended.
            let _ = sink.send(Event::Evacuations(rows));
        }
    }
}

impl Reader {
    /// Starts the threads.
    ///
    /// # Errors
    ///
    /// Fails if a thread cannot be started.
    pub(super) fn spawn(
        store: config::Store,
        table: Arc<dyn Table>,
        directory: Arc<dyn Directory>,
        sink: Sender<Event>,
    ) -> io::Result<Self> {
        let (read_requests, requested_versions) = channel::unbounded();
        let changes = sink.clone();
        let evacuations = Arc::new(Evacuations {
            table,
            sink: Mutex::new(sink.clone()),
        });
        let first_evacuations = evacuations.clone();
        thread::Builder::new()
            .name("configuration".into())
            .spawn(move || {
                for have in requested_versions {
                    // A router that starts takes requests once it has a configuration.
                    if have == Version(0) {
                        first_evacuations.read();
                    }
                    let result = store.changes(have).map_err(fault);
                    if changes.send(Event::Changes(result)).is_err() {
                        return;
                    }
                }
            })?;
        let (list_thread_guard, reader_dropped) = channel::bounded(0);
        thread::Builder::new().name("list".into()).spawn(move || {
            loop {
                evacuations.read();
                // If the list cannot be read, the previous one stays in use.
                if let Ok(vms) = directory.list()
                    && sink.send(Event::Listed(vms)).is_err()
                {
                    return;
                }
                let waited = reader_dropped.recv_timeout(Duration::from(LIST_PAUSE));
                if waited != Err(RecvTimeoutError::Timeout) {
                    return;
                }
            }
        })?;
        Ok(Self {
            read_requests: Some(read_requests),
            _list_thread_guard: Some(list_thread_guard),
        })
    }

    /// Requests the configuration changes after a version; the result arrives as `Event::Changes`.
    pub(super) fn request_changes(&self, have: Version) {
        if let Some(read_requests) = &self.read_requests {
            // Fails only if the thread has ended, which it does when the control thread has.
            let _ = read_requests.send(have);
        }
    }
}

/// Converts an error of the configuration store to an error of the platform.
fn fault(error: config::store::Error) -> Fault {
    match error {
        config::store::Error::Platform(fault) => fault,
        invalid => Fault::Refused {
            call: "configuration".into(),
            status: 0,
            detail: invalid.to_string().into(),
        },
    }
}
