//! The journal's events between the processes of a fleet.
//!
//! Owns: their form ([`journal`]), how they become items of a relayed stream and events again ([`items`]), this process's readers
//! of that stream and when it reads the source itself ([`readers`], [`source_gate`]), the long poll that serves the stream to hubs and
//! instances of the site ([`serve`]), and the waits between asks ([`backoff`]). May not: decide who relays, or know what an
//! event means to who takes it.

pub mod backoff;
pub mod items;
pub mod journal;
pub mod readers;
pub mod serve;
pub mod source_gate;

pub use readers::{StreamReaders, Subscription, SubscriptionEnded};
