//! The operators' command line.

mod arguments;
mod check;
mod exit;
mod files;
mod output;
mod run;

pub use self::{arguments::Arguments, exit::Exit, output::Output, run::run};
