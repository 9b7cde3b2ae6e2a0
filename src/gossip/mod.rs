//! What routers tell each other about their load, by datagrams, so that each decides with the
//! whole fleet's load in view.

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
