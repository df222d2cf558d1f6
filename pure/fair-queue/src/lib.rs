//! Fair queueing of a concurrency pool, and division of its slots between the processes of a fleet. Pure: no I/O, no
//! clock, no threads.
//!
//! Responsible for: the order among tenants by start-time fair queueing, charged by slot time ([`queue`], [`lanes`]);
//! the identity and weight of tenants ([`tenants`]); the prediction of slot time ([`slow`]); early rejection
//! ([`refuse`]). For a fleet: the numbered slots of a pool, leased by three replicas ([`slots`], [`replica`],
//! [`holder`]); their division ([`division`]); usage digests between processes ([`digest`]); and the slots that a
//! process holds ([`stock`]).
//!
//! Not responsible for: the choice of a server, retries, or rejections by the router. The pool comes after the
//! router, which has already decided on the attempt. The crate depends on `foldmux-replicas` and libraries alone.

mod accounting;
pub mod digest;
pub mod division;
mod fleet_pool;
pub mod flow;
pub mod holder;
pub mod interface;
pub mod lanes;
pub mod local_pool;
pub mod message;
pub mod planted;
pub mod queue;
pub mod refuse;
pub mod replica;
pub mod slots;
pub mod slow;
pub mod stock;
pub mod tenants;

pub use foldmux_replicas::{Peer, Time};
pub use message::{Command, Event, Message};
pub use queue::{Admission, Dispatch, Queue, RunHandle, SlotRequest, Ticket};
pub use slots::FleetSlots;
pub use stock::HeldSlots;
pub use tenants::{TenantBy, Weight};
