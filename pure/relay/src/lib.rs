//! Streams relayed by site, pure: a source is read once for each site that has readers, by one process of it, which feeds
//! the others.
//!
//! Owns: who relays a branch ([`election`], `lease`, [`role`]), whom a process is fed by and what it does when that one is
//! silent ([`follow`], `links`), the ring that late readers come back to ([`ring`]), readers' places and windows
//! ([`readers`]), how a stream goes through a process (`flow`). Promises to each reader: in order, no number twice, no
//! gap untold. May not: do I/O, read a clock, start threads, or know what an item says.

mod asks;
mod context;
pub mod election;
mod flow;
pub mod follow;
mod lease;
mod links;
mod messages;
mod next;
mod part;
pub mod planted;
pub mod readers;
pub mod ring;
pub mod role;
mod source;
mod types;

pub use messages::Message;
pub use part::{Act, Relay};
pub use types::*;
