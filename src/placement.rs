//! Rendezvous hashing: which router owns a target, and which counts the usage of a workspace.

use crate::{config, id, member};
use std::cmp::Reverse;

/// Offset basis of the 64-bit FNV-1a hash.
const FNV_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
/// Prime of the 64-bit FNV-1a hash.
const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// Router that may own something, with the hash of its name.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Candidate {
    hash: u64,
    router: id::Router,
    domain: id::Domain,
}

impl Candidate {
    /// Returns the candidate for a member.
    pub(crate) fn of(member: &member::Member) -> Self {
        Self {
            hash: hash(member.router.as_str()),
            router: member.router.clone(),
            domain: member.domain.clone(),
        }
    }
}

/// Returns the owner of a target. Prefers routers of its failure domain; routers that leave own
/// nothing.
pub fn owner_of<'a>(target: &config::Target, view: &'a member::View) -> Option<&'a id::Router> {
    let key = hash(target.name.as_str());
    let near = view.candidates().iter();
    let near = near.filter(|candidate| candidate.domain == target.domain);
    best(key, near).or_else(|| best(key, view.candidates()))
}

/// Returns the router that counts the usage of a workspace.
pub fn aggregator_of<'a>(
    workspace: &id::Workspace,
    view: &'a member::View,
) -> Option<&'a id::Router> {
    best(hash(workspace.as_str()), view.candidates())
}

/// Returns the router with the highest score; equal scores are decided by name.
fn best<'a>(
    key: u64,
    candidates: impl IntoIterator<Item = &'a Candidate>,
) -> Option<&'a id::Router> {
    let candidates = candidates.into_iter();
    let scored =
        candidates.map(|candidate| (mix(key ^ candidate.hash), Reverse(&candidate.router)));
    scored.max().map(|(_, Reverse(router))| router)
}

/// Hashes a text. The value must be the same in all versions of the daemon.
pub(crate) fn hash(text: &str) -> u64 {
    let step = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME);
    mix(text.bytes().fold(FNV_BASIS, step))
}

/// Finalizer of splitmix64: a flip of any input bit flips each output bit with probability one
/// half.
pub(crate) fn mix(mut x: u64) -> u64 {
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}
