//! What the processes of a fleet share, pure: the names of processes, the form of a part that decides, the
//! seats that speak for a key, and leases.
//!
//! Owns: the vocabulary ([`part`]). May not: do I/O, read a clock (times are passed in, on the process's own monotonic
//! clock), start threads, draw chance other than from a seed passed in, or know what a part decides. It depends on no
//! other crate of the workspace; every part depends on it.

pub mod part;

pub use part::{Do, Part, Peer, Time};
