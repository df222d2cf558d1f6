//! Who goes next to a pool's slots, and how many of them each process of a fleet holds; pure.
//!
//! Owns: the order among tenants by start-time fair queueing, charged by slot time ([`queue`], [`lanes`]), who a tenant is
//! and what it weighs ([`tenants`]), what is slow ([`slow`]), what is refused at once ([`refuse`]); for the fleet, the
//! numbered slots of a pool held by lease at three replicas ([`slots`], [`replica`], [`holder`]), how they are divided
//! ([`division`]), what the processes tell each other of use and want ([`digest`]), and the slots as the process that
//! holds them uses them ([`stock`]).
//!
//! May not: do I/O, read a clock, start threads, or choose a server, a retry or a refusal that is the module's. It stands in
//! front of an attempt that the module has decided on. It depends on `foldmux-replicas` and libraries alone.

mod books;
pub mod digest;
pub mod division;
pub mod flow;
pub mod holder;
pub mod lanes;
pub mod local;
pub mod message;
pub mod planted;
mod pool;
pub mod queue;
pub mod refuse;
pub mod replica;
pub mod slots;
pub mod slow;
pub mod stock;
pub mod tenants;
pub mod wish;

pub use foldmux_replicas::{Peer, Time};
pub use message::{Ask, Message, Told};
pub use queue::{Entered, Next, Place, Queue, Ticket, Wish};
pub use slots::FleetSlots;
pub use stock::Stock;
pub use tenants::{By, Weight};
