//! Load reports of servers, kept for a router's host.
//!
//! [`Fields`] reads a report by the names that the settings give its fields. [`LoadTable`] keeps the last report of each
//! server with its age and with what was sent since. [`ProbeBudget`] says when a health check that asks for a report is
//! worth its price. [`LoadTracker`] puts the three together, and [`RouterLoadReports`] drives it by a router's events
//! and actions.
//!
//! Pure: no I/O, no clock (times are passed in, in microseconds), no random numbers, no threads. All that is kept is
//! bounded. Nothing fails: a value that can't be read is missing, and a missing value counts as average. No server is
//! selected here.
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
