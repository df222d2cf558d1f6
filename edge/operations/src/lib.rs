//! The admin interface without its sockets, and what a reload does to the classes.
//!
//! [`command`] reads what an operator asks, [`maintenance`] holds the pop caches that are out of service by hand,
//! [`statistics`] writes the counts, and [`class_table`] keeps classes in their slots across reloads.
//!
//! Nothing here does I/O, reads a clock, or decides where a request goes.
#![warn(missing_docs)]

pub mod class_table;
pub mod command;
pub mod maintenance;
pub mod statistics;
