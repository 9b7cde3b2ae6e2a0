//! A router as a process of its own, with the settings that the platform writes.

use crate::{http, record::Record};
use std::{
    fs::{self, File},
    io,
    net::SocketAddr,
    path::{Path, PathBuf},
    process::{Child, Command},
    thread,
    time::{Duration, Instant},
};

/// The command of the deploy file.
const COMMAND: &str = "target/release/marlrund";
const SETTINGS: &str = "MARLRUN_SETTINGS";

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

const SIGTERM: i32 = 15;

/// A machine and the router on it, which is killed when this is dropped.
pub struct Router {
    pub name: String,
    pub front: SocketAddr,
    ready: SocketAddr,
    child: Child,
    settings: PathBuf,
    log: PathBuf,
    record: Record,
}

impl Router {
    pub fn start(
        folder: &Path,
        record: &Record,
        (name, zone): (&str, &str),
        store: SocketAddr,
    ) -> io::Result<Self> {
        Self::start_at(folder, record, (name, zone), store, http::free_address()?)
    }

    /// The same with this address for the other routers.
    pub fn start_at(
        folder: &Path,
        record: &Record,
        (name, zone): (&str, &str),
        store: SocketAddr,
        peer: SocketAddr,
    ) -> io::Result<Self> {
        let (front, ready) = (http::free_address()?, http::free_address()?);
        let port = peer.port();
        let settings = folder.join(format!("{name}.json"));
        let log = folder.join(format!("{name}.log"));
        let text = format!(
            r#"{{"node":"{name}","role":"router","class":"front","serves":["front"],"ip":"127.0.0.1","zone":"{zone}",
            "region":"tbilisi","listen":{{"front":"{front}","ready":"{ready}"}},"port-range":[{port},{port}],"seeds":[],
            "bootstrap":true,"limits":{{"cpu-share":0.25,"cores":1,"ram-mb":260,"max-fds":4200,"link-mbps":1000.0}},
            "discovery":"platform","entry":"vip","heartbeat-ms":1200,
            "bounds":{{"stability-window-ms":3000,"drain-ms":2000,"grace-s":8,"config-ms":2000,"retry-ratio":0.2,
            "budget-window-s":10,"retry-extra":52,"quota-window-s":4}},
            "provider":{{"address":"{store}","form":"table"}}}}"#
        );
        fs::write(&settings, text)?;
        let child = spawn(&settings, &log)?;
        record.line(&format!("machine {name} in {zone} starts"));
        Ok(Self {
            name: name.into(),
            front,
            ready,
            child,
            settings,
            log,
            record: record.clone(),
        })
    }

    pub fn is_ready(&self) -> bool {
        http::status_of(self.ready, "/readyz") == Some(200)
    }

    pub fn wait_ready(&self) -> io::Result<()> {
        let limit = Instant::now() + Duration::from_secs(10);
        while !self.is_ready() {
            if Instant::now() > limit {
                return Err(io::Error::other(format!("{} is not ready", self.name)));
            }
            thread::sleep(Duration::from_millis(20));
        }
        Ok(())
    }

    /// SIGTERM, and SIGKILL after `grace`; returns when the process has ended.
    pub fn stop(&mut self, grace: Duration) -> io::Result<()> {
        self.record.line(&format!("SIGTERM to {}", self.name));
        // SAFETY: the process is a child that has not been waited for.
        unsafe { kill(self.child.id() as i32, SIGTERM) };
        let limit = Instant::now() + grace;
        while self.child.try_wait()?.is_none() {
            if Instant::now() > limit {
                self.child.kill()?;
            }
            thread::sleep(Duration::from_millis(10));
        }
        self.record.line(&format!("{} has ended", self.name));
        Ok(())
    }

    /// SIGKILL.
    pub fn kill(&mut self) -> io::Result<()> {
        self.record.line(&format!("SIGKILL to {}", self.name));
        self.child.kill()?;
        self.child.wait().map(drop)
    }

    /// Starts the process again after it has ended.
    pub fn restart(&mut self) -> io::Result<()> {
        self.record.line(&format!("{} starts again", self.name));
        self.child = spawn(&self.settings, &self.log)?;
        Ok(())
    }
}

impl Drop for Router {
    fn drop(&mut self) {
        // It may have ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn spawn(settings: &Path, log: &Path) -> io::Result<Child> {
    let log = File::options().create(true).append(true).open(log)?;
    Command::new(COMMAND)
        .env(SETTINGS, settings)
        .stdout(log.try_clone()?)
        .stderr(log)
        .spawn()
}
