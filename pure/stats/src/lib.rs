//! Figures that the parts which decide share: draws that stand for chance, hashes, and what was done lately.
//!
//! Owns: its figures. May not: decide anything, do I/O, read a clock (times are passed in, in microseconds), start
//! threads, or draw chance other than from a seed passed in. It depends on no other crate of the workspace. What it keeps
//! is bounded by its caller's `most`.

pub mod random;
pub mod rates;

pub use random::{mix, rank, Draws};
pub use rates::{mean, Heard, Rate, Recent, Time};
