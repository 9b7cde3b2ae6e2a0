//! Marlrun: a router fleet that shares model engines and services fairly among workspaces.

pub mod answer;
pub mod claim;
pub mod cli;
pub mod clock;
pub mod config;
pub mod id;
pub mod ingress;
pub mod load;
pub mod owner;
pub mod platform;
pub mod random;
pub mod standin;
pub mod tally;
pub mod unit;
pub mod wire;
