//! Random numbers of the operating system. No other module reads them.
#![allow(clippy::disallowed_methods)]

use crate::{clock, id};
use rand_chacha::{ChaCha8Rng, rand_core::SeedableRng};

/// Number of random low bits of an incarnation; the bits above are the start time in milliseconds.
const INCARNATION_RANDOM_BITS: u32 = 20;

/// Returns a random number generator seeded by the operating system.
///
/// # Panics
///
/// Panics if the system has no source of random numbers.
pub fn seeded() -> ChaCha8Rng {
    let mut seed = [0; 32];
    getrandom::fill(&mut seed).expect("the system's random source must be readable");
    ChaCha8Rng::from_seed(seed)
}

/// Returns a new incarnation for a process that starts now.
///
/// # Panics
///
/// Panics if the system has no source of random numbers.
pub fn incarnation() -> id::Incarnation {
    let random = getrandom::u64().expect("the system's random source must be readable");
    let low = random >> (u64::BITS - INCARNATION_RANDOM_BITS);
    id::Incarnation(clock::unix_millis() << INCARNATION_RANDOM_BITS | low)
}
