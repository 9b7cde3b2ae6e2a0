//! What other routers are to be told.

use crate::{gossip, id};

/// Who is told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Audience {
    /// All routers.
    All,
    /// These routers.
    Routers(Vec<id::Router>),
}

/// What other routers are to be told.
#[derive(Clone, Debug)]
pub struct Told {
    /// Who.
    pub audience: Audience,
    /// What; each summary fits a datagram.
    pub summaries: Vec<gossip::Summary>,
}
