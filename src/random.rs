//! The only module that draws random numbers from the system.
#![allow(clippy::disallowed_methods)]

use crate::{clock, id};
use rand_chacha::{ChaCha8Rng, rand_core::SeedableRng};

/// Low bits of an incarnation that are random; the bits above are the start time in milliseconds.
const INCARNATION_RANDOM_BITS: u32 = 20;

/// Returns a generator seeded by the system.
///
/// # Panics
///
/// Panics if the system has no source of random numbers.
pub fn seeded() -> ChaCha8Rng {
    let mut seed = [0; 32];
    getrandom::fill(&mut seed).expect("the system's random source must be readable");
    ChaCha8Rng::from_seed(seed)
}

/// Returns the incarnation of a process that starts now.
///
/// # Panics
///
/// Panics if the system has no source of random numbers.
pub fn incarnation() -> id::Incarnation {
    let random = getrandom::u64().expect("the system's random source must be readable");
    let low = random >> (u64::BITS - INCARNATION_RANDOM_BITS);
    id::Incarnation(clock::unix_millis() << INCARNATION_RANDOM_BITS | low)
}
