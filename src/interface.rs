//! The types between a front and its router: settings, events, actions. No decision is made here.

mod actions;
mod events;
mod settings;

pub use actions::*;
pub use events::*;
pub use settings::*;

/// Microseconds, on a clock that only goes forward; its start is arbitrary.
pub type Time = u64;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RequestId(pub u64);
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct CacheId(pub u32);
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ObjectId(pub u64);
