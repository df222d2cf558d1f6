//! Whether a request that carries an idempotency key may be attempted again, where callers retry by themselves.
//!
//! [`table`] keeps what is known of each key's attempts, and says in which group of caches the next one may be made, or why
//! none may. [`token`] is what an attempt carries, so that any instance can judge a retry of it.
//!
//! Pure: no I/O, no clock (times are passed in, as Unix milliseconds, since they outlive a process), no random numbers. No
//! cache is selected here.
#![warn(missing_docs)]

pub mod table;
pub mod token;

/// Unix milliseconds.
pub type Millis = u64;
