//! Seeded random numbers, hashes and moving averages, shared by the crates that decide for the router.
//!
//! Everything here is deterministic: times are passed in, in microseconds, and random numbers come from a
//! seed. It does no I/O, reads no clock, starts no thread and depends on no other crate of the workspace.
//!
//! ```
//! use foldmux_stats::{rendezvous_rank, SlidingWindow};
//!
//! let home = (0..3).max_by_key(|&server| rendezvous_rank(42, server));
//! assert!(home.is_some());
//!
//! let mut sent = SlidingWindow::default();
//! sent.add(1_000, 2.5, 0, 100);
//! assert_eq!(sent.sum_since(500), 2.5);
//! ```

#![warn(missing_docs)]

pub mod random;
pub mod rates;

pub use random::{mix, rendezvous_rank, SeededRng};
pub use rates::{mean, DecayingRate, SlidingWindow, SmoothedSample, Time};
