//! Running of a command.

use super::{
    Arguments, Exit, Output,
    arguments::{Command, Config},
    check,
};

/// Runs one command.
pub fn run(arguments: &Arguments, output: &mut Output<'_>) -> Exit {
    let result = match &arguments.command {
        Command::Config(Config::Check(files)) => check::check(files, output),
    };
    match result {
        Ok(exit) => exit,
        Err(error) => {
            // Nothing is left to tell when standard error is gone too.
            let _ = writeln!(output.err, "marlrun: {error}");
            Exit::Failed
        }
    }
}
