//! The program: it puts the core, the fronts and the upstream together.
//!
//! Owns: the configuration ([`config`]), the journal service's client ([`journal`]) and how it waits ([`backoff`]),
//! the journal as it is shared by site ([`relayed`]), the tree in service ([`wiring`]), covered requests ([`cover`]), the log
//! ([`log`]), start ([`server`]) and end ([`leave`]), reload ([`reload`]), what no reload changes ([`started`]), reports and probes ([`reports`]), the fleet in service
//! ([`fleet`]), what `check-config` tells ([`check`]), the wait advised with refusals ([`advice`]). May not: decide for a request, or read one.

pub mod advice;
pub mod check;
pub mod config;
pub mod cover;
pub mod fleet;
pub mod journal;
pub mod leave;
pub mod limits;
pub mod line;
pub mod log;
pub mod relayed;
pub mod reload;
pub mod reports;
pub mod server;
pub mod signals;
pub mod started;
pub mod turns;
pub mod wiring;

pub use foldmux_event_stream::backoff;
