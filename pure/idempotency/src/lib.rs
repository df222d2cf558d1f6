//! Decides whether a request with an idempotency key may be attempted again, where callers make the retries themselves.
//!
//! [`table`] records each key's attempts, and decides in which group of caches the next one may be made, or why none may.
//! [`token`] is carried by each attempt, so that any instance can decide on a retry of it.
//!
//! The crate does no I/O, reads no clock (times are passed in, as Unix milliseconds, since they outlive a process), draws
//! no random numbers and selects no cache.
#![warn(missing_docs)]

pub mod table;
pub mod token;

/// A time in Unix milliseconds, or a duration in milliseconds.
pub type Millis = u64;
