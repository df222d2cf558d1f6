//! Seeded draws and the hash of rendezvous hashing: SplitMix64, from the library that rand's own crates come from, as its
//! numbers are fixed for good. A hash that differs between builds would move every object's home.

use rand_xoshiro::rand_core::{RngCore, SeedableRng};
use rand_xoshiro::SplitMix64;

/// The step of SplitMix64's state.
const STEP: u64 = 0x9e37_79b9_7f4a_7c15;

/// Spreads the bits of a number: the same in every instance. SplitMix64's output for the state `x`.
pub fn mix(x: u64) -> u64 {
    SplitMix64::seed_from_u64(x.wrapping_sub(STEP)).next_u64()
}

/// Rendezvous rank of a server for a key: each instance finds the same one highest.
pub fn rank(key: u64, server: u64) -> u64 {
    mix(key ^ mix(server.wrapping_add(STEP)))
}

/// Numbers that look like chance, the same for the same seed.
pub struct Draws(SplitMix64);

impl Draws {
    pub fn new(seed: u64) -> Draws {
        Draws(SplitMix64::seed_from_u64(seed))
    }

    pub fn draw(&mut self) -> u64 {
        self.0.next_u64()
    }
}

impl Default for Draws {
    fn default() -> Draws {
        Draws::new(0)
    }
}

#[cfg(test)]
mod tests;
