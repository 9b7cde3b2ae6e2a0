//! Dispatch of commands.

use super::{
    Arguments, Exit, Failure, Output, apply,
    arguments::{Command, Config, List, Router},
    check, diff, drain, evacuate, explain, history, lint, list, request, show, top,
};
use clap::CommandFactory as _;

/// Runs one command.
pub fn run(arguments: &Arguments, output: &mut Output<'_>) -> Exit {
    match dispatch(arguments, output) {
        Ok(exit) => exit,
        Err(failure) => {
            output.progress(format_args!("{failure}"));
            failure.exit()
        }
    }
}

fn dispatch(arguments: &Arguments, output: &mut Output<'_>) -> Result<Exit, Failure> {
    let connection = &arguments.connection;
    match &arguments.command {
        Command::Check(check) => lint::run(check, connection, output),
        Command::Config(Config::Check(files)) => check::run(files, output),
        Command::Config(Config::Diff(files)) => diff::run(files, connection, output),
        Command::Config(Config::Apply(apply)) => apply::run(apply, connection, output),
        Command::Config(Config::Show(show)) => show::run(show, connection, output),
        Command::Config(Config::History { limit }) => history::run(*limit, connection, output),
        Command::Config(Config::Status) => history::status(connection, output),
        Command::Workspace(List::List) => list::workspaces(connection, output),
        Command::Service(List::List) => list::services(connection, output),
        Command::Target(List::List) => list::targets(connection, output),
        Command::Router(Router::List) => list::routers(connection, output),
        Command::Router(Router::Drain { wait }) => drain::run(*wait, connection, output),
        Command::Evacuate { domain, end } => evacuate::run(domain, *end, connection, output),
        Command::Top(top) => top::run(top, connection, output),
        Command::Request { id } => request::run(id, connection, output),
        Command::Explain(arguments) => explain::run(arguments, output),
        Command::Completion { shell } => {
            let mut command = Arguments::command();
            clap_complete::generate(*shell, &mut command, "marlrun", &mut output.out);
            Ok(Exit::Done)
        }
    }
}
