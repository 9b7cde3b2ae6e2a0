//! A service that callers use.

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
    /// Model engines that generate tokens.
    Model,
    /// Plain HTTP services.
    Plain,
}

/// A service that callers use.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Service {
    /// Name; callers reach a plain service under `/s/<name>/` and a model by its name.
    pub name: id::Service,
    /// Kind.
    pub kind: Kind,
    /// Host names that select the service.
    pub hosts: Vec<Box<str>>,
    /// Calls of unsafe methods may be repeated.
    pub idempotent: bool,
    /// Largest estimated cost of a quick call.
    pub quick: Cost,
    /// Cost assumed for a call with no hint and no history.
    pub estimate: Cost,
    /// Longest time that a call may take, from arrival to its last byte.
    pub timeout: Span,
    /// Requests of one workspace that may wait at one owner.
    pub max_waiting: u32,
    /// Abilities of the targets.
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
