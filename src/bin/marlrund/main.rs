//! The router daemon.

use clap::Parser;
use marlrun::{daemon, log};
use std::process::ExitCode;

/// Exit code of settings that are wrong.
const EXIT_SETTINGS: u8 = 2;

/// Runs one router of the fleet. SIGTERM and SIGINT shut it down gracefully.
#[derive(Parser)]
#[command(name = "marlrund", version)]
struct Arguments {
    #[command(flatten)]
    flags: daemon::Flags,
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    let settings = match arguments.flags.check() {
        Ok(settings) => settings,
        Err(findings) => {
            for finding in findings {
                eprintln!("marlrund: {finding}");
            }
            return ExitCode::from(EXIT_SETTINGS);
        }
    };
    let log = log::open(settings.log_level);
    match daemon::run(settings, &log) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("marlrund: {error}");
            ExitCode::FAILURE
        }
    }
}
