//! The program: it puts the core, the fronts and the upstream together.
//!
//! Owns: the configuration ([`config`]), the journal service's client ([`journal`]) and how it waits ([`backoff`]),
//! the tree in service ([`wiring`]), the log ([`log`]), start, reload and end ([`server`]). May not: decide for a
//! request, or read one.

pub mod backoff;
pub mod config;
pub mod journal;
pub mod limits;
pub mod line;
pub mod log;
pub mod server;
pub mod turns;
pub mod wiring;
