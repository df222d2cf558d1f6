//! Whether a request that carries an idempotency key may be attempted again, where others repeat by themselves.
//!
//! Owns: what is known of each key's attempts ([`ledger`]), and the tokens that go with attempts that others make
//! ([`token`]). May not: do I/O, read a clock (times are passed in, as Unix milliseconds, since they outlive a
//! process), draw random numbers, or choose a server: it says in which group an attempt may go, or why none may.

pub mod ledger;
pub mod token;

/// Unix milliseconds.
pub type Millis = u64;
