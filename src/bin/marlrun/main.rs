//! Command-line client for operators.

use clap::Parser as _;
use marlrun::cli;
use std::{io, process};

fn main() -> process::ExitCode {
    let arguments = cli::Arguments::parse();
    let mut output = cli::Output {
        json: arguments.json,
        out: &mut io::stdout(),
        err: &mut io::stderr(),
    };
    cli::run(&arguments, &mut output).into()
}
