//! RunningCover requests in service: the core's [`RequestRecords`] over the fleet's part for takeover. Without a fleet in the operator's
//! file nothing here is started.

mod class_policies;
mod client;
mod log;
mod owned_record;
mod persistent;
mod records;
pub mod start;
mod take_over;

pub use start::PreparedCover;
