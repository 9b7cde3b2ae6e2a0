//! Marlrun: a router fleet that shares model engines and services fairly among workspaces.

pub mod answer;
pub mod claim;
pub mod cli;
pub mod clock;
pub mod config;
pub mod daemon;
pub mod front;
pub mod health;
pub mod id;
pub mod ingress;
pub mod log;
pub mod metric;
pub mod owner;
pub mod platform;
pub mod probe;
pub mod random;
pub mod tally;
pub mod trace;
pub mod unit;
pub mod upstream;
pub mod wire;
