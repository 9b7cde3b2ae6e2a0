//! The router daemon.

use clap::Parser;
use marlrun::{daemon, dispatch, gateway, log, platform, random};
use std::{
    path::{Path, PathBuf},
    process::ExitCode,
};

/// Exit code for invalid settings.
const EXIT_SETTINGS: u8 = 2;

/// Runs one router of the fleet. SIGTERM and SIGINT shut it down gracefully.
#[derive(Parser)]
#[command(name = "marlrund", version)]
struct Arguments {
    #[command(flatten)]
    flags: daemon::Flags,
    /// Settings file of the platform. With it, the router follows the platform's lists, and
    /// all other flags except --placement and --domain-gb-price are ignored.
    #[arg(long, env = platform::Settings::ENV_VARIABLE)]
    platform_settings: Option<PathBuf>,
    /// Load-balancing policy; used only with --platform-settings.
    #[arg(long, env = "MARLRUN_PLACEMENT", default_value_t)]
    placement: dispatch::Policy,
    /// Price of a GB between failure domains, in seconds of engine time; 0 turns the cost of bytes
    /// off. Used only with --platform-settings.
    #[arg(long, env = "MARLRUN_DOMAIN_GB_PRICE", default_value_t)]
    domain_gb_price: dispatch::Price,
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    if let Some(path) = &arguments.platform_settings {
        return run_on_platform(path, &arguments);
    }
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

fn run_on_platform(path: &Path, arguments: &Arguments) -> ExitCode {
    let settings = match platform::Settings::read(path) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("marlrund: {error}");
            return ExitCode::from(EXIT_SETTINGS);
        }
    };
    let log = log::open(log::Level::Info);
    let incarnation = random::incarnation();
    let mut router = settings.router_settings(incarnation);
    router.dispatch.policy = arguments.placement;
    router.dispatch.domain_price = arguments.domain_gb_price;
    let sources = gateway::Sources::of_platform(&settings);
    let path = path.to_owned();
    let reload: gateway::Reload = Box::new(move || {
        let read = platform::Settings::read(&path).map_err(|error| error.to_string())?;
        Ok(settings.describe_changes(&read))
    });
    match gateway::run(router, sources, &reload, &log) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("marlrund: {error}");
            ExitCode::FAILURE
        }
    }
}
