//! The operator line, without its sockets: what a line asks ([`call`]), which pop caches are out by hand
//! ([`maintenance`]), and how the figures are written ([`stats`]).
//!
//! Owns: the grammar of calls and answers, the maintenance set and its form on disk, the names of the figures.
//! May not: do I/O, read a clock, or decide where a request goes: the module does, from what it is told.

pub mod call;
pub mod maintenance;
pub mod retune;
pub mod stats;
