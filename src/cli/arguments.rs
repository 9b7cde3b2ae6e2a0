//! Arguments of the command line.

use super::files::Files;

const CONFIG_CHECK_EXAMPLES: &str = "\
Examples:
  marlrun config check base.toml
  marlrun config check base.toml --overlay vake.toml --overlay isani.toml
  marlrun --json config check base.toml";

/// Drives a marlrun router fleet
#[derive(clap::Parser, Clone, Debug)]
#[command(name = "marlrun", version)]
pub struct Arguments {
    /// Print JSON
    #[arg(long, global = true)]
    pub json: bool,
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
}

/// Commands on the configuration.
#[derive(clap::Subcommand, Clone, Debug)]
pub enum Config {
    /// Check files and print all findings with their places
    #[command(after_help = CONFIG_CHECK_EXAMPLES)]
    Check(Files),
}
