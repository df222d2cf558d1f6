//! Requests of replicated classes (`cover(...)` in the operator's file): the core's request records, kept by the
//! fleet's takeover state machine. Without a fleet in the operator's file nothing here is started.
//!
//! `start` uses `records`, `take_over` and `persistent`; `records` and `take_over` use `owned_record`; these use
//! `client` and `class_policies`; `persistent` uses `log`.

mod class_policies;
mod client;
mod log;
mod owned_record;
mod persistent;
mod records;
pub mod start;
mod take_over;

pub use start::PreparedCover;
