//! Command line of the stand-ins.

use clap::{Args, Parser, Subcommand};
use marlrun::{
    standin::{self, Handle, engine, plain, platform},
    table::Memory,
    unit::Span,
};
use std::{net::SocketAddr, sync::Arc};

/// Runs a stand-in of the platform or of a target, for tests and experiments.
#[derive(Debug, Parser)]
#[command(version)]
pub(crate) struct App {
    #[command(subcommand)]
    kind: Kind,
}

#[derive(Debug, Subcommand)]
enum Kind {
    /// Platform with table service, object store and list of VMs.
    Platform(Platform),
    /// Target that is a model engine.
    Engine(Engine),
    /// Target that is a plain HTTP service.
    Plain(Plain),
}

#[derive(Debug, Args)]
struct Platform {
    /// Address to listen on; port 0 takes a free one.
    #[arg(long, default_value = "127.0.0.1:0")]
    listen: SocketAddr,
    /// Delay before readers see a change of the list of VMs.
    #[arg(long, default_value = "0s")]
    list_lag: Span,
}

#[derive(Debug, Args)]
struct Engine {
    /// Address to listen on; port 0 takes a free one.
    #[arg(long, default_value = "127.0.0.1:0")]
    listen: SocketAddr,
    /// Number of requests in the batch at once.
    #[arg(long, default_value_t = 8)]
    slots: u32,
    /// Time from entering the batch to the first token.
    #[arg(long, default_value = "20ms")]
    first_token: Span,
    /// Time between tokens.
    #[arg(long, default_value = "10ms")]
    token_interval: Span,
    /// Age of the load that is reported.
    #[arg(long, default_value = "200ms")]
    load_lag: Span,
}

#[derive(Debug, Args)]
struct Plain {
    /// Address to listen on; port 0 takes a free one.
    #[arg(long, default_value = "127.0.0.1:0")]
    listen: SocketAddr,
    /// Maximum number of calls that run at once.
    #[arg(long, default_value_t = 8)]
    slots: u32,
    /// Duration of a call without the query parameter `standin-duration`.
    #[arg(long, default_value = "10ms")]
    duration: Span,
    /// Age of the load that is reported.
    #[arg(long, default_value = "200ms")]
    load_lag: Span,
}

impl App {
    /// Returns the kind of the stand-in.
    pub(crate) fn kind(&self) -> &'static str {
        match self.kind {
            Kind::Platform(_) => "platform",
            Kind::Engine(_) => "engine",
            Kind::Plain(_) => "plain",
        }
    }

    /// Starts the stand-in.
    pub(crate) fn bind(self) -> Result<Handle, standin::Error> {
        match self.kind {
            Kind::Platform(args) => platform::bind(platform::Settings {
                listen: args.listen,
                list_lag: args.list_lag,
                memory: Arc::new(Memory::open()),
            }),
            Kind::Engine(args) => engine::bind(engine::Settings {
                listen: args.listen,
                slots: args.slots,
                first_token: args.first_token,
                token_interval: args.token_interval,
                load_lag: args.load_lag,
            }),
            Kind::Plain(args) => plain::bind(plain::Settings {
                listen: args.listen,
                slots: args.slots,
                duration: args.duration,
                load_lag: args.load_lag,
            }),
        }
    }
}
