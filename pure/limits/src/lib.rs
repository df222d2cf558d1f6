//! Limits by class and route: time-outs, attempts, budgets, concurrency, queues and rights to old copies.
//!
//! Owns: what an operator may set ([`values`]) and how it is inherited ([`table`], [`standing`]); every rule of the account as a named
//! check ([`check`]), with a bounded search where arithmetic does not settle it ([`explore`]); the state that enforces
//! limits, each piece bounded: token buckets ([`bucket`]), adaptive concurrency ([`adaptive`]), the age of what waits
//! ([`wait`]), all of them together ([`gate`]); what is printed and exported ([`export`]).
//!
//! May not: do I/O, read a clock (times are passed in, in microseconds that only go forward), draw a random number
//! (draws are passed in), choose a server, or decide whether an attempt that is allowed is made: the module does.

pub mod account;
pub mod adaptive;
pub mod bucket;
pub mod check;
pub mod explore;
pub mod export;
pub mod fault;
pub mod gate;
mod names;
mod single;
pub mod standing;
pub mod table;
mod together;
pub mod values;
pub mod wait;

/// Microseconds, on a clock that only goes forward.
pub type Time = u64;

pub use account::Account;
pub use table::{Draft, Table};
pub use values::{Effective, Layer};
