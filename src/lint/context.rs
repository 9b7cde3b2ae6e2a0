//! What is known of the fleet besides the configuration.

use crate::id;
use std::collections::{BTreeMap, BTreeSet};

/// What is known of the fleet besides the configuration; a check whose input is not known is left out.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Context {
    /// Region of each failure domain.
    pub regions: Option<BTreeMap<id::Domain, id::Region>>,
    /// Failure domains that exist.
    pub domains: Option<BTreeSet<id::Domain>>,
    /// Failure domains that targets are in.
    pub target_domains: Option<BTreeSet<id::Domain>>,
    /// Failure domains that are evacuated.
    pub evacuated: BTreeSet<id::Domain>,
    /// Memory of the smallest VM that runs a router, in bytes.
    pub memory_bytes: Option<u64>,
    /// Tokens of the largest prompt that callers send.
    pub prompt_tokens: Option<u64>,
}
