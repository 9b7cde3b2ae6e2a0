//! Processes of a small fleet on the loopback address.
#![allow(
    dead_code,
    unreachable_pub,
    unused_imports,
    reason = "each test program uses a part of it"
)]

mod caller;
mod fleet;
mod process;
mod scripted;

pub use self::{
    caller::{Answer, Caller, parse},
    fleet::Fleet,
    process::{Process, wait_until},
    scripted::Scripted,
};
