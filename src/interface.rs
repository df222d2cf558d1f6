//! The types that a host and its router exchange: settings, events and actions. No decision is made
//! here.
//!
//! A host (the proxy's event loop, a simulator) passes one [`Event`] at a time to a
//! [`Router`](crate::Router) and carries out the [`Action`]s that it returns. All times are in
//! microseconds.

mod actions;
mod events;
mod settings;

pub use actions::*;
pub use events::*;
pub use settings::*;

/// Microseconds, on a monotonic clock whose origin is arbitrary, or a duration in microseconds.
pub type Time = u64;

/// Identifies an open request; chosen by the host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RequestId(pub u64);

/// Identifies a server: an edge cache, a parent or the origin.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct CacheId(pub u32);

/// Identifies an object as a whole, independently of the requested part.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ObjectId(pub u64);
