//! Services that clients call.

use super::Engine;
use crate::{
    id,
    unit::{Cost, Invalid, Span},
};
use std::{fmt, str};

/// Kind of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// Model that generates tokens on inference engines.
    Model,
    /// Plain HTTP service.
    Plain,
}

/// A service that clients call.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Service {
    /// Name; clients call a plain service under `/s/<name>/` and select a model by this name.
    pub name: id::Service,
    /// Whether it is a model or a plain HTTP service.
    pub kind: Kind,
    /// Host names that select the service.
    pub hosts: Vec<Box<str>>,
    /// Requests with unsafe methods may be retried.
    pub idempotent: bool,
    /// Largest estimated cost of a quick call.
    pub quick: Cost,
    /// Cost assumed for a call with no hint and no history.
    pub estimate: Cost,
    /// Maximum duration of a call, from arrival to the last byte of the response.
    pub timeout: Span,
    /// Requests of one workspace that may wait at one owner.
    pub max_waiting: u32,
    /// Optional features of its targets.
    pub engine: Engine,
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Kind::Model => "model",
            Kind::Plain => "plain",
        })
    }
}

impl str::FromStr for Kind {
    type Err = Invalid;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "model" => Ok(Kind::Model),
            "plain" => Ok(Kind::Plain),
            _ => Err(Invalid {
                text: text.into(),
                expected: "\"model\" or \"plain\"",
            }),
        }
    }
}
