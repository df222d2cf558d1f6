//! Replicated records of the requests of covered classes (`cover(...)` in the operator's file), by the fleet's takeover
//! state machine. Nothing here is started unless the operator's file has a fleet.
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
