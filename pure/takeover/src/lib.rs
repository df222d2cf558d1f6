//! A record of each covered request, kept at the three replicas of its key, so that another process takes it over, once.
//!
//! Owns: the record and what it proves ([`record`]), the replica's side ([`replica`]) and what of it outlives its process ([`kept`]), the claim by which a request is begun,
//! joined, answered from what is kept, or taken over ([`claim`], [`join`], [`successor`]), and the owner's side ([`owner`]).
//! May not: do I/O, read a clock, start threads, choose a cache, or know a wire. One [`Takeover`] is all three at once in
//! each process. Of two owners of one key, whenever they live, the later one has the greater term.

mod claim;
mod grant;
mod hold;
mod holding;
mod join;
mod kept;
mod message;
mod owner;
mod part;
mod record;
mod replica;
mod setup;
mod successor;
mod timers;

pub use kept::Kept;
pub use message::{Command, Event, Lease, Message, Note, Verdict};
pub use part::Takeover;
pub use record::*;
pub use setup::{Fault, Setup};
