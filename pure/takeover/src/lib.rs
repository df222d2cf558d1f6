//! Failover of requests: a record of each request is replicated at the three replicas of its key, so that
//! another process takes the request over, and only one.
//!
//! [`Takeover`] is the state machine of a process. It has three roles:
//!
//! - a *replica* (`replica`), which stores records, grants leases to owners and notifies successors,
//! - an *owner* (`owner`), which acquires a key by ballot and writes the record at the replicas before an
//!   attempt is sent and before the client is answered,
//! - a *successor* (`owner::succession`), which continues a request whose owner is gone.
//!
//! Of any two owners of a key, the later one has the greater term. The crate does no I/O, reads no clock, starts
//! no threads, selects no cache and knows no front.
//!
//! Dependencies run one way: `machine` uses `replica` and `owner`; these use `owned`, `acquisition`, `waiter`
//! and `context`; all use `messages`, `interface`, `record`, `policy` and `setup`.

#![warn(missing_docs)]

mod acquisition;
mod context;
mod interface;
mod machine;
mod messages;
mod owned;
mod owner;
mod policy;
mod record;
mod replica;
mod setup;
mod timers;
mod waiter;

pub use interface::{Command, Event, Lease};
pub use machine::Takeover;
pub use messages::{Message, RecordWrite, Verdict};
pub use policy::{ClassPolicies, ClassPolicy, Repeatability, UnclaimedPolicy, UnreplicatedPolicy};
pub use record::{
    Answer, Attempt, AttemptOutcome, Ballot, Key, Proof, Record, Request, MAX_ATTEMPTS,
};
pub use replica::PersistedEntry;
pub use setup::{Fault, Setup};
