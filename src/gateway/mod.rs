//! HTTP gateway: routes callers' requests by host and path, forwards them to targets and relays the
//! responses.

mod cache_reader;
mod caches;
mod call;
mod cleanup;
mod controller;
mod decisions;
mod demands;
mod driver;
mod error;
mod evacuation;
mod evacuations;
mod exchange;
mod framer;
mod handler;
mod head;
mod incumbent;
mod limiter;
mod load;
mod outgoing;
mod overload;
mod presence;
mod prober;
mod protocol;
mod record;
mod recorder;
mod relay;
mod reply;
mod restoration;
mod router;
mod sequence;
mod settings;
mod signals;
mod state;
mod submission;

pub use self::{
    controller::summary_interval,
    demands::Demands,
    driver::Driver,
    error::Error,
    evacuation::Evacuation,
    evacuations::{Change, Evacuations},
    framer::{Fault, Framer, Rejected},
    handler::Handler,
    head::Head,
    incumbent::Incumbent,
    limiter::Limiter,
    load::Load,
    outgoing::Outgoing,
    overload::Overload,
    protocol::Protocol,
    reply::Reply,
    router::{Reload, Router, run, spawn},
    sequence::{Disorder, Sequence, Verdict},
    settings::{Archive, Configuration, Decoder, Peer, Registry, Settings, Sources},
    state::State,
};
