//! Marlrun: a router fleet that shares model engines and services fairly among workspaces.

pub mod beacon;
pub mod clock;
pub mod config;
pub mod cut;
pub mod id;
pub mod link;
pub mod member;
pub mod placement;
pub mod platform;
pub mod random;
pub mod secret;
pub mod unit;
pub mod wire;
