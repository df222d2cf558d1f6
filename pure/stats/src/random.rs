//! Seeded random numbers and the hash of rendezvous hashing.
//!
//! Both use SplitMix64, whose output is fixed: with a hash that differed between builds, instances would disagree on the
//! home server of each object.

use rand_xoshiro::rand_core::{RngCore, SeedableRng};
use rand_xoshiro::SplitMix64;

/// The increment of SplitMix64's state.
const STATE_STEP: u64 = 0x9e37_79b9_7f4a_7c15;

/// Mixes the bits of a number, as SplitMix64's output for the state `x`.
pub fn mix(x: u64) -> u64 {
    SplitMix64::seed_from_u64(x.wrapping_sub(STATE_STEP)).next_u64()
}

/// Returns the rendezvous rank of a server for a key. Every instance finds the same server highest.
pub fn rendezvous_rank(key: u64, server: u64) -> u64 {
    mix(key ^ mix(server.wrapping_add(STATE_STEP)))
}

/// A random number generator: the same seed gives the same numbers.
pub struct SeededRng(SplitMix64);

impl SeededRng {
    /// Creates a generator that starts from `seed`.
    pub fn new(seed: u64) -> SeededRng {
        SeededRng(SplitMix64::seed_from_u64(seed))
    }

    /// Returns the next random number, uniform over all 64 bits.
    pub fn next_u64(&mut self) -> u64 {
        self.0.next_u64()
    }
}

impl Default for SeededRng {
    fn default() -> SeededRng {
        SeededRng::new(0)
    }
}

#[cfg(test)]
mod tests;
