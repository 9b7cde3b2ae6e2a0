//! A process that a test started.

use nix::{
    sys::signal::{self, Signal},
    unistd::Pid,
};
use std::{
    io::{BufRead, BufReader},
    net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket},
    process::{Child, Command, ExitStatus, Stdio},
    thread,
    time::Duration,
};

/// Time between two looks at a state that must come.
pub const POLL: Duration = Duration::from_millis(20);
/// Looks until a state that must come is given up.
pub const MAX_POLLS: usize = 1_500;

/// A running process; it is killed when dropped.
pub struct Process {
    child: Child,
}

impl Process {
    /// Starts a process whose output nobody reads.
    pub fn spawn(command: &mut Command) -> Self {
        let child = command.stdout(Stdio::null()).stdin(Stdio::null()).spawn();
        Self {
            child: child.unwrap(),
        }
    }

    /// Starts a stand-in and returns the address that it prints.
    pub fn stand_in(arguments: &[&str]) -> (Self, SocketAddr) {
        let mut command = Command::new(env!("CARGO_BIN_EXE_marlrun-standin"));
        command.args(arguments).stdout(Stdio::piped());
        let mut child = command.spawn().unwrap();
        let mut line = String::new();
        let stdout = child.stdout.take().unwrap();
        BufReader::new(stdout).read_line(&mut line).unwrap();
        let ready: serde_json::Value = serde_json::from_str(&line).unwrap();
        let address = ready["address"].as_str().unwrap().parse().unwrap();
        (Self { child }, address)
    }

    pub fn signal(&self, signal: Signal) {
        let pid = Pid::from_raw(self.child.id() as i32);
        signal::kill(pid, signal).unwrap();
    }

    /// Waits for the end of the process.
    pub fn wait(&mut self) -> ExitStatus {
        for _ in 0..MAX_POLLS {
            if let Some(status) = self.child.try_wait().unwrap() {
                return status;
            }
            thread::sleep(POLL);
        }
        panic!("process {} did not end", self.child.id());
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // The process may have ended.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Returns a loopback address that is free for TCP and UDP.
pub fn free_address() -> SocketAddr {
    for _ in 0..MAX_POLLS {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
        let address = listener.local_addr().unwrap();
        if UdpSocket::bind(address).is_ok() {
            return address;
        }
    }
    panic!("no free address");
}

/// Waits until a state has come.
pub fn wait_until(what: &str, mut reached: impl FnMut() -> bool) {
    for _ in 0..MAX_POLLS {
        if reached() {
            return;
        }
        thread::sleep(POLL);
    }
    panic!("never came: {what}");
}
