//! Gossip of load: routers exchange summaries of their load by UDP, so that each can decide based
//! on the load of the whole fleet.

mod build;
mod codec;
mod evidence;
mod finding;
mod limit;
mod load;
mod origin;
mod pause;
mod prefill;
mod scope;
mod socket;
mod summary;
mod usage;

pub use self::{
    build::Build,
    codec::{Error, MAX_DATAGRAM_BYTES, decode, encode, is_same_group},
    evidence::Evidence,
    finding::Finding,
    limit::Limit,
    load::Load,
    origin::Origin,
    pause::Pause,
    prefill::Prefill,
    scope::Scope,
    socket::Socket,
    summary::Summary,
    usage::Usage,
};
