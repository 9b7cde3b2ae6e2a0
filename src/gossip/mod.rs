//! Gossip of load: routers exchange summaries of their load by UDP, so that each can decide based
//! on the load of the whole fleet.

mod codec;
mod load;
mod read;
mod scope;
mod socket;
mod summary;
mod usage;

pub use self::{
    codec::{Error, MAX_DATAGRAM_BYTES, decode, encode},
    load::Load,
    read::Read,
    scope::Scope,
    socket::Socket,
    summary::Summary,
    usage::Usage,
};
