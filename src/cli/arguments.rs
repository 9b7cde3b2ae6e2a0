//! Arguments of the command line.

use super::{connection::Connection, explain::Explain, files::Files};
use crate::{
    id,
    unit::{Span, Version},
};

const EXAMPLES_AND_EXIT_CODES: &str = "\
Examples:
  marlrun config check base.toml -o vake.toml
  marlrun --platform 10.0.0.5:7000 config history --limit 5
  marlrun --platform 10.0.0.5:7000 workspace list
  marlrun --router 10.0.0.11:7300 --operator-key-file key router list
  marlrun --router 10.0.0.11:7300 --operator-key-file key --json target list

Exit codes:
  0  done
  1  failed, for instance a file cannot be read
  2  wrong arguments
  3  the configuration has findings; nothing was changed
  4  another operator's change won; nothing was changed
  5  the platform or a router cannot be reached or refuses; nothing was changed
  6  no answer came and none could be read back: the change may have taken effect
  7  accepted, but not in force everywhere when the waiting time ended
  8  the thing that was asked for does not exist
  9  `config diff` found differences";

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
  marlrun config apply base.toml -o vake.toml --note 'two more slots in Vake'
  marlrun config apply base.toml --from 41 --note 'only if 41 is still in force'
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

const EXPLAIN_EXAMPLES: &str = "\
Examples:
  marlrun explain 9c41d07be2a35f68 east-1.log east-2.log
  cat *.log | marlrun --json explain 9c41d07be2a35f68 -";

const COMPLETION_EXAMPLES: &str = "\
Examples:
  marlrun completion bash > /etc/bash_completion.d/marlrun
  marlrun completion zsh > ~/.zfunc/_marlrun";

/// Drives a marlrun router fleet
#[derive(clap::Parser, Clone, Debug)]
#[command(name = "marlrun", version, after_help = EXAMPLES_AND_EXIT_CODES)]
pub struct Arguments {
    /// Print JSON, one value a line
    #[arg(long, global = true)]
    pub json: bool,
    /// Where the platform and the routers are
    #[command(flatten)]
    pub connection: Connection,
    /// What to do
    #[command(subcommand)]
    pub command: Command,
}

/// Group of commands.
#[derive(clap::Subcommand, Clone, Debug)]
pub enum Command {
    /// Check and change the configuration
    #[command(subcommand)]
    Config(Config),
    /// Workspaces of the configuration
    #[command(subcommand)]
    Workspace(List),
    /// Services of the configuration
    #[command(subcommand)]
    Service(List),
    /// Targets as a router knows them
    #[command(subcommand)]
    Target(List),
    /// Routers as those at --router know them
    #[command(subcommand)]
    Router(Router),
    /// Live service, backlog and gap of each workspace, added up over all --router
    #[command(after_help = TOP_EXAMPLES)]
    Top(Top),
    /// Find a request by its identifier at all --router
    #[command(after_help = REQUEST_EXAMPLES)]
    Request {
        /// Identifier that the caller was given
        id: Box<str>,
    },
    /// Tell a request's story from the logs of routers
    #[command(after_help = EXPLAIN_EXAMPLES)]
    Explain(Explain),
    /// Print a shell's completion script
    #[command(after_help = COMPLETION_EXAMPLES)]
    Completion {
        /// Shell
        shell: clap_complete::Shell,
    },
}

/// Commands on the configuration.
#[derive(clap::Subcommand, Clone, Debug)]
pub enum Config {
    /// Check files and print all findings with their places
    #[command(after_help = CHECK_EXAMPLES)]
    Check(Files),
    /// Print what files would change in the platform's configuration
    #[command(after_help = DIFF_EXAMPLES)]
    Diff(Files),
    /// Check files and put them in force
    #[command(after_help = APPLY_EXAMPLES)]
    Apply(Apply),
    /// Print the platform's configuration as the base file or a site's overlay
    #[command(after_help = SHOW_EXAMPLES)]
    Show(Show),
    /// List the latest versions, newest first
    History {
        /// Versions to list
        #[arg(long, default_value_t = 20)]
        limit: usize,
    },
    /// Print the platform's version and the version in force at each router
    Status,
}

/// Arguments of `config apply`.
#[derive(clap::Args, Clone, Debug)]
pub struct Apply {
    /// Files to put in force
    #[command(flatten)]
    pub files: Files,
    /// Version that the files were made from; without it, the one in force when the command starts
    #[arg(long, value_name = "VERSION")]
    pub from: Option<Version>,
    /// Why, for the history
    #[arg(long, default_value = "")]
    pub note: Box<str>,
    /// Who, for the history
    #[arg(long, env = "USER", default_value = "unknown")]
    pub author: Box<str>,
    /// Wait at most this long until the version is in force at each router
    #[arg(long, value_name = "TIME")]
    pub wait: Option<Span>,
}

/// Arguments of `config show`.
#[derive(clap::Args, Clone, Debug)]
pub struct Show {
    /// Version to print; without it, the one in force
    #[arg(long)]
    pub version: Option<Version>,
    /// Print the overlay of this site in place of the base file
    #[arg(long)]
    pub site: Option<id::Site>,
}

/// Commands of a listing.
#[derive(clap::Subcommand, Clone, Copy, Debug)]
pub enum List {
    /// List them
    List,
}

/// Commands on routers.
#[derive(clap::Subcommand, Clone, Debug)]
pub enum Router {
    /// List them
    List,
    /// Shut the router at --router down gracefully: no request is cut off
    #[command(after_help = DRAIN_EXAMPLES)]
    Drain {
        /// Wait at most this long until the router has stopped
        #[arg(long, value_name = "TIME")]
        wait: Option<Span>,
    },
}

/// Arguments of `top`.
#[derive(clap::Args, Clone, Debug)]
pub struct Top {
    /// Time between two tables
    #[arg(long, default_value = "2s", value_name = "TIME")]
    pub interval: Span,
    /// Tables to print; 0 goes on until it is interrupted
    #[arg(long, default_value_t = 0)]
    pub count: u32,
    /// Workspaces to print, those with the largest gap first
    #[arg(long, default_value_t = 30)]
    pub limit: usize,
}
