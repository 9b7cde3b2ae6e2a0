//! Summaries to be sent to other routers.

use crate::{gossip, id};

/// Summaries to be sent to other routers.
#[derive(Clone, Debug)]
pub struct Batch {
    /// Recipients.
    pub recipients: Vec<id::Router>,
    /// Summaries; each fits in a datagram.
    pub summaries: Vec<gossip::Summary>,
}
