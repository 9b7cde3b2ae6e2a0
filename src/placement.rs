//! Which router owns a target and which keeps the tally of a workspace: rendezvous hashing.

use crate::{config, id, member};
use std::cmp::Reverse;

/// Offset basis and prime of the 64-bit FNV-1a hash.
const FNV: (u64, u64) = (0xcbf2_9ce4_8422_2325, 0x0100_0000_01b3);

/// Returns the owner of a target: a router of its failure domain if any is up and not leaving.
pub fn owner_of<'a>(target: &config::Target, view: &'a member::View) -> Option<&'a id::Router> {
    let key = hash(target.name.as_str());
    let near = staying(view).filter(|member| member.domain == target.domain);
    best(key, near).or_else(|| best(key, staying(view)))
}

/// Returns the router that keeps the tally of a workspace.
pub fn tally_of<'a>(workspace: &id::Workspace, view: &'a member::View) -> Option<&'a id::Router> {
    best(hash(workspace.as_str()), staying(view))
}

fn staying(view: &member::View) -> impl Iterator<Item = &member::Member> {
    view.iter().filter(|member| !member.leaving)
}

/// Returns the member with the highest score; names decide between equal scores.
fn best<'a>(key: u64, members: impl Iterator<Item = &'a member::Member>) -> Option<&'a id::Router> {
    let names = members.map(|member| &member.router);
    names.max_by_key(|name| (mix(key ^ hash(name.as_str())), Reverse(*name)))
}

/// Hashes a text; every version of the daemon must agree on the value.
pub(crate) fn hash(text: &str) -> u64 {
    let (basis, prime) = FNV;
    let step = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(prime);
    mix(text.bytes().fold(basis, step))
}

/// Finalizer of splitmix64: each input bit changes each output bit with probability one half.
fn mix(mut x: u64) -> u64 {
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}
