//! Command-line arguments.

use super::{connection::Connection, explain::Explain, files::Files};
use crate::{
    id,
    unit::{Span, Version},
};
use std::path::PathBuf;

const EXAMPLES_AND_EXIT_CODES: &str = "\
Examples:
  marlrun check base.toml -o vake.toml
  marlrun config check base.toml -o vake.toml
  marlrun --platform 10.0.0.5:7000 config history --limit 5
  marlrun --platform 10.0.0.5:7000 workspace list
  marlrun --router 10.0.0.11:7300 --operator-key-file key router list
  marlrun --router 10.0.0.11:7300 --operator-key-file key --json target list

Exit codes:
  0  success
  1  failure that no other code covers, for example an unreadable file
  2  invalid arguments
  3  the configuration has findings; nothing was changed
  4  another operator's change was accepted first; nothing was changed
  5  the platform or a router is unreachable or rejected the call; nothing was changed
  6  no response, and the outcome could not be read back: the change may have taken effect
  7  accepted, but --wait expired before the version was in force or the router had stopped
  8  the requested version, overlay, request or evacuation does not exist
  9  `config diff` found differences";

const LINT_EXAMPLES: &str = "\
FILE is a base file, or the JSON document of the users' platform. Each finding has one of three levels: error,
never matches (an entry without effect on any request) and contradiction (limits that can't all be reached). Routes
and services are checked against each other once the file has no errors of its own. Nothing is changed.

Examples:
  marlrun check base.toml --overlay vake.toml
  marlrun check config.json --settings router.json --ram-mb 120
  marlrun check config.json --against config-in-force.json
  marlrun --platform 10.0.0.5:7000 --json check config.json

Exit codes:
  0  no errors; there may be findings of the other levels, and differences
  1  a file cannot be read
  2  invalid arguments
  3  there are findings of the level error
  5  no errors, but the platform is unreachable or rejected the call";

const CHECK_EXAMPLES: &str = "\
Examples:
  marlrun config check base.toml
  marlrun config check base.toml --overlay vake.toml --overlay isani.toml
  marlrun --json config check base.toml";

const DIFF_EXAMPLES: &str = "\
Examples:
  marlrun --platform 10.0.0.5:7000 config diff base.toml -o vake.toml
  MARLRUN_PLATFORM=10.0.0.5:7000 marlrun --json config diff base.toml";

const APPLY_EXAMPLES: &str = "\
Examples:
  marlrun config apply base.toml -o vake.toml --note 'add two slots in Vake'
  marlrun config apply base.toml --from 41 --note 'based on version 41'
  marlrun --router 10.0.0.11:7300 config apply base.toml --wait 30s";

const SHOW_EXAMPLES: &str = "\
Examples:
  marlrun config show > base.toml
  marlrun config show --site vake > vake.toml
  marlrun config show --version 40";

const TOP_EXAMPLES: &str = "\
Examples:
  marlrun --router 10.0.0.11:7300 --router 10.0.0.12:7300 top
  marlrun --json top --interval 5s --count 12";

const REQUEST_EXAMPLES: &str = "\
Examples:
  marlrun request 0000019abc3f01d2-1f
  marlrun --json request 0000019abc3f01d2-1f";

const DRAIN_EXAMPLES: &str = "\
Examples:
  marlrun --router 10.0.0.11:7300 router drain
  marlrun --router 10.0.0.11:7300 router drain --wait 10m";

const EVACUATE_EXAMPLES: &str = "\
Within 5 s, no router sends a request to a target of the failure domain any more. Requests and streams that
run there go on. Routers that start read it with the configuration; while the platform is unreachable, what
they last read stays in force. If all failure domains of a service are evacuated, its requests are refused at
once. The evacuation stays until it is revoked by --end.

Examples:
  marlrun --platform 10.0.0.5:7000 evacuate east
  marlrun --platform 10.0.0.5:7000 evacuate --end east";

const EXPLAIN_EXAMPLES: &str = "\
Examples:
  marlrun explain 9c41d07be2a35f68 east-1.log east-2.log
  cat *.log | marlrun --json explain 9c41d07be2a35f68 -";

const COMPLETION_EXAMPLES: &str = "\
Examples:
  marlrun completion bash > /etc/bash_completion.d/marlrun
  marlrun completion zsh > ~/.zfunc/_marlrun";

/// Operates a fleet of marlrun routers
#[derive(clap::Parser, Clone, Debug)]
#[command(name = "marlrun", version, after_help = EXAMPLES_AND_EXIT_CODES)]
pub struct Arguments {
    /// Print results as JSON, one value per line
    #[arg(long, global = true)]
    pub json: bool,
    /// Addresses of the platform and of the routers
    #[command(flatten)]
    pub connection: Connection,
    /// Command
    #[command(subcommand)]
    pub command: Command,
}

/// Commands and groups of commands.
#[derive(clap::Subcommand, Clone, Debug)]
pub enum Command {
    /// Check configurations: errors, entries that never match, contradicting limits, and differences
    #[command(after_help = LINT_EXAMPLES)]
    Check(Check),
    /// Check, show and change the configuration
    #[command(subcommand)]
    Config(Config),
    /// Workspaces in the stored configuration
    #[command(subcommand)]
    Workspace(List),
    /// Services in the stored configuration
    #[command(subcommand)]
    Service(List),
    /// Targets known to a router
    #[command(subcommand)]
    Target(List),
    /// Routers known to those given by --router
    #[command(subcommand)]
    Router(Router),
    /// Keep new requests from all targets of a failure domain, or revoke that
    #[command(after_help = EVACUATE_EXAMPLES)]
    Evacuate {
        /// Failure domain
        domain: id::Domain,
        /// Revoke the evacuation
        #[arg(long)]
        end: bool,
    },
    /// Usage, backlog and fair-queueing gap of each workspace, summed over all routers given by --router
    #[command(after_help = TOP_EXAMPLES)]
    Top(Top),
    /// Look up a request by its ID at all routers given by --router
    #[command(after_help = REQUEST_EXAMPLES)]
    Request {
        /// Request ID that the caller was given
        id: Box<str>,
    },
    /// Print what router logs record about a request, in order of time
    #[command(after_help = EXPLAIN_EXAMPLES)]
    Explain(Explain),
    /// Print a completion script for a shell
    #[command(after_help = COMPLETION_EXAMPLES)]
    Completion {
        /// Shell to generate the script for
        shell: clap_complete::Shell,
    },
}

/// Arguments of `check`.
#[derive(clap::Args, Clone, Debug)]
pub struct Check {
    /// Files to check: base files or JSON documents
    #[arg(required = true, value_name = "FILE")]
    pub files: Vec<PathBuf>,
    /// Overlay file of a site of the base file; repeat the flag for each site
    #[arg(long = "overlay", short = 'o', value_name = "OVERLAY")]
    pub overlays: Vec<PathBuf>,
    /// File to compare with [default: the version in force, if a platform is given]
    #[arg(long, value_name = "FILE")]
    pub against: Option<PathBuf>,
    /// Overlay of the base file to compare with; repeat the flag for each site
    #[arg(long = "against-overlay", value_name = "OVERLAY", requires = "against")]
    pub against_overlays: Vec<PathBuf>,
    /// Settings file of a router, for the regions of failure domains and the memory
    #[arg(long, value_name = "FILE")]
    pub settings: Option<PathBuf>,
    /// Memory of the smallest VM that runs a router, in units of 10^6 bytes [default: that of the settings]
    #[arg(long, value_name = "MB", value_parser = clap::value_parser!(u64).range(1..=1 << 24))]
    pub ram_mb: Option<u64>,
    /// Tokens of the largest prompt that callers send
    #[arg(long, value_name = "TOKENS")]
    pub prompt_tokens: Option<u64>,
    /// Failure domain that is evacuated, besides those that the platform has; repeat the flag for each
    #[arg(long, value_name = "DOMAIN")]
    pub evacuated: Vec<id::Domain>,
}

/// Commands of `config`.
#[derive(clap::Subcommand, Clone, Debug)]
pub enum Config {
    /// Check configuration files and print each finding with file, line and column
    #[command(after_help = CHECK_EXAMPLES)]
    Check(Files),
    /// Compare configuration files with the configuration stored in the platform
    #[command(after_help = DIFF_EXAMPLES)]
    Diff(Files),
    /// Check configuration files and store them as a new version
    #[command(after_help = APPLY_EXAMPLES)]
    Apply(Apply),
    /// Print the stored configuration, either the base file or the overlay of a site
    #[command(after_help = SHOW_EXAMPLES)]
    Show(Show),
    /// List the latest configuration versions, newest first
    History {
        /// Maximum number of versions to list
        #[arg(long, default_value_t = 20)]
        limit: usize,
    },
    /// Print the stored configuration version and the version in force at each router
    Status,
}

/// Arguments of `config apply`.
#[derive(clap::Args, Clone, Debug)]
pub struct Apply {
    /// Files to apply
    #[command(flatten)]
    pub files: Files,
    /// Version that the files are based on [default: the version stored when the command starts]
    #[arg(long, value_name = "VERSION")]
    pub from: Option<Version>,
    /// Reason for the change, recorded in the history
    #[arg(long, default_value = "")]
    pub note: Box<str>,
    /// Author of the change, recorded in the history
    #[arg(long, env = "USER", default_value = "unknown")]
    pub author: Box<str>,
    /// Wait until the version is in force at every live router, at most this long (for example 30s)
    #[arg(long, value_name = "TIME")]
    pub wait: Option<Span>,
}

/// Arguments of `config show`.
#[derive(clap::Args, Clone, Debug)]
pub struct Show {
    /// Version to print [default: the latest]
    #[arg(long)]
    pub version: Option<Version>,
    /// Print the overlay of this site instead of the base file
    #[arg(long)]
    pub site: Option<id::Site>,
}

/// Commands of `workspace`, `service` and `target`.
#[derive(clap::Subcommand, Clone, Copy, Debug)]
pub enum List {
    /// List them
    List,
}

/// Commands of `router`.
#[derive(clap::Subcommand, Clone, Debug)]
pub enum Router {
    /// List them
    List,
    /// Shut down the router given by --router gracefully, without cutting off requests
    #[command(after_help = DRAIN_EXAMPLES)]
    Drain {
        /// Wait until the router has stopped, at most this long (for example 10m)
        #[arg(long, value_name = "TIME")]
        wait: Option<Span>,
    },
}

/// Arguments of `top`.
#[derive(clap::Args, Clone, Debug)]
pub struct Top {
    /// Time between tables (for example 500ms or 2s)
    #[arg(long, default_value = "2s", value_name = "TIME")]
    pub interval: Span,
    /// Number of tables to print; 0 prints until interrupted
    #[arg(long, default_value_t = 0)]
    pub count: u32,
    /// Maximum number of rows per table, largest gap first
    #[arg(long, default_value_t = 30)]
    pub limit: usize,
}
