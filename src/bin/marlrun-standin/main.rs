//! Runs a stand-in until SIGTERM or SIGINT. Prints its kind and address as a JSON line once it listens.

mod app;

use app::App;
use clap::Parser;
use std::{
    error::Error,
    io::{self, Write},
    net::SocketAddr,
    process::ExitCode,
};
use tokio::{
    runtime::Builder,
    select,
    signal::unix::{SignalKind, signal},
};

/// Line printed once the stand-in listens.
#[derive(serde::Serialize)]
struct Ready {
    kind: &'static str,
    address: SocketAddr,
}

fn main() -> ExitCode {
    match run(App::parse()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("marlrun-standin: {e}");
            ExitCode::FAILURE
        }
    }
}

fn run(app: App) -> Result<(), Box<dyn Error>> {
    let runtime = Builder::new_current_thread().enable_all().build()?;
    let _guard = runtime.enter();
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let kind = app.kind();
    let handle = app.bind()?;
    let ready = Ready {
        kind,
        address: handle.address(),
    };
    let mut stdout = io::stdout().lock();
    writeln!(stdout, "{}", serde_json::to_string(&ready)?)?;
    stdout.flush()?;
    runtime.block_on(async {
        select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
    });
    handle.stop();
    Ok(())
}
