//! The journal's events between the processes of a fleet.
//!
//! - [`journal`]: the format of the events.
//! - [`follower`], [`service`]: the client of the service's long poll, and the service's address.
//! - [`items`]: their conversion to items of a relayed stream and back.
//! - [`readers`], [`source_gate`]: the readers of the stream in this process, and when the process reads the
//!   source itself.
//! - [`serve`]: the long poll that serves the stream to hubs and instances of the site.
//! - [`backoff`]: the delays between requests.
//!
//! The crate doesn't decide which process relays, nor what an event means to its recipient.

pub mod backoff;
pub mod follower;
pub mod items;
pub mod journal;
pub mod readers;
pub mod serve;
pub mod service;
pub mod source_gate;

pub use readers::{StreamReaders, Subscription, SubscriptionEnded};
