//! The building blocks that the state machines of a fleet share: names of processes, replica sets, quorum
//! votes, leases, and the interface of a state machine.
//!
//! - [`StateMachine`], [`Effect`], [`Effects`]: the interface of a deterministic state machine.
//! - [`ReplicaSet`]: which three of the listed processes are the replicas of a key.
//! - [`Votes`]: when two of them decide; [`ReplicaConfiguration`]: the same while the list changes.
//! - [`HeldLease`], [`GrantedLease`], [`ClockDrift`]: a lease, counted on two clocks.
//! - [`RecoveryDelay`]: when a replica that lost its state may vote again.
//! - [`rendezvous`]: the order of processes for a key, by rendezvous hashing.
//!
//! The crate does no I/O, reads no clock (times are passed in, on the process's own monotonic clock), starts
//! no threads and knows no state machine. It depends on no other crate of the workspace.

#![warn(missing_docs)]

mod configuration;
mod lease;
mod peer;
#[cfg(feature = "planted")]
pub mod planted;
mod recovery;
pub mod rendezvous;
mod replica_set;
mod state_machine;
mod time;
mod votes;

pub use configuration::{ReconfigurationInProgress, ReplicaConfiguration};
pub use lease::{ClockDrift, GrantedLease, HeldLease, InvalidClockDrift};
pub use peer::Peer;
pub use recovery::RecoveryDelay;
pub use replica_set::{ReplicaSet, ReplicaSetError};
pub use state_machine::{Effect, Effects, StateMachine};
pub use time::{Micros, Time};
pub use votes::Votes;
