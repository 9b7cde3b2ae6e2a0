//! Summaries to be sent to other routers.

use crate::{gossip, id};

/// Recipients of summaries.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Recipients {
    /// All other routers.
    All,
    /// These routers.
    Routers(Vec<id::Router>),
}

/// Summaries to be sent to other routers.
#[derive(Clone, Debug)]
pub struct Batch {
    /// Recipients.
    pub recipients: Recipients,
    /// Summaries; each fits in a datagram.
    pub summaries: Vec<gossip::Summary>,
}
