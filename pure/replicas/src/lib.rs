//! What the processes of a fleet share, pure: the names of processes, the form of a part that decides, the
//! seats that speak for a key, and leases.
//!
//! Owns: the vocabulary ([`part`]); which three of the listed names speak for a key, and when two of them
//! decide ([`Seats`], [`Votes`]), also while the list changes ([`Change`]); leases by two clocks ([`Held`],
//! [`Granted`], [`Drift`]); when a seat that forgot may speak again ([`Memory`]); who is next in line for a
//! key ([`order`]). May not: do I/O, read a clock (times are passed in, on the process's own monotonic
//! clock), start threads, draw chance other than from a seed passed in, or know what a part decides. It
//! depends on no other crate of the workspace; every part depends on it.

pub mod change;
pub mod lease;
pub mod memory;
pub mod order;
pub mod part;
#[cfg(feature = "planted")]
pub mod planted;
pub mod seats;
pub mod votes;

pub use change::{Change, Changing};
pub use lease::{BadDrift, Drift, Granted, Held};
pub use memory::Memory;
pub use part::{Acts, Do, Part, Peer, Time};
pub use seats::{BadSeats, Seats};
pub use votes::Votes;
