//! The router daemon: settings, the control thread and everything that it runs.

mod settings;

pub use self::settings::{Finding, Flags, Settings};
