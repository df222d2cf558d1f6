//! The program: it puts the core, the fronts and the upstream together.
//!
//! Owns: the configuration ([`config`]), the journal service's client ([`journal`]) and how it waits ([`backoff`]),
//! the journal as it is shared by site
//! ([`relayed`]), the tree in service ([`wiring`]), the log ([`log`]), start, reload and end ([`server`]). May not: decide for a
//! request, or read one.

pub mod config;
pub mod journal;
pub mod limits;
pub mod line;
pub mod log;
pub mod relayed;
pub mod server;
pub mod wiring;

pub use foldmux_feed::backoff;
