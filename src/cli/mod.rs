//! Command-line client for operators.

mod apply;
mod arguments;
mod check;
mod connection;
mod diff;
mod drain;
mod evacuate;
mod exit;
mod explain;
mod failure;
mod files;
mod history;
mod lint;
mod list;
mod output;
mod request;
mod run;
mod show;
mod table;
mod top;
mod wait;

pub use self::{
    arguments::Arguments, connection::Connection, exit::Exit, failure::Failure, output::Output,
    run::run,
};
