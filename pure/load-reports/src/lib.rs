//! Load reports of servers, kept for a router's host.
//!
//! [`Fields`] parses a report by the field names of the settings. [`LoadTable`] keeps the last report of each server with
//! its age and the attempts sent since. [`ProbeBudget`] decides when a health check that asks for a report is worth its
//! price. [`LoadTracker`] combines the three, and [`RouterLoadReports`] drives it with a router's events and actions.
//!
//! The crate does no I/O, reads no clock (times are passed in, in microseconds), draws no random numbers and starts no
//! threads. All state is bounded. No operation fails: a value that can't be parsed counts as missing, and a missing value
//! as average. The crate selects no server.
#![warn(missing_docs)]

pub mod fields;
pub mod host;
pub mod probe_budget;
pub mod table;
pub mod tracker;

pub use fields::{Fields, Load};
pub use host::RouterLoadReports;
pub use probe_budget::ProbeBudget;
pub use table::LoadTable;
pub use tracker::{LoadTracker, Setup, Update};
