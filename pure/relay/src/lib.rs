//! Relaying streams by site, as a deterministic state machine: at each site that has readers, one process
//! reads the source and relays it to the others.
//!
//! - [`election`], `lease`, [`branch_relay`]: which process relays a branch, and its followers.
//! - [`follower`], `links`: which relay a process receives from, and what it does when that relay is silent.
//! - [`ring`], `delivery`: the buffer of recent items that late readers catch up from.
//! - [`readers`]: the readers' positions and windows.
//! - `relay`, `commands`, `propagate`: the state machine, and how a stream passes through a process.
//!
//! Each reader receives the items in order, none twice, and is told of every gap. The crate does no I/O,
//! reads no clock, starts no threads and does not interpret the items.

pub mod branch_relay;
mod commands;
mod context;
mod delivery;
pub mod election;
pub mod follower;
mod lease;
mod links;
mod messages;
pub mod planted;
mod propagate;
pub mod readers;
mod relay;
pub mod ring;
mod source;
mod types;

pub use messages::Message;
pub use relay::{Relay, RelayEffect};
pub use types::*;
