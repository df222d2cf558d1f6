//! Socket calls that end for what they are about, and for nothing else.
//!
//! A system call can fail although what it was made on lives: a signal interrupts it, the machine is short of memory or
//! descriptors for a moment, the network reports trouble on its way. [`verdict`] is the one table that says what each
//! error proves. [`stream`] and [`dial`] make the calls and go by it: they repeat what may succeed, with pauses, until a
//! moment that the caller gives, and report an end only where the connection has ended.

pub mod dial;
mod pauses;
pub mod stream;
pub mod timed;
pub mod verdict;
pub mod watch;

pub use pauses::Pauses;
