//! A hub cache for other installations: it takes fills from cache boxes and lower hubs over HTTP/1.1, keeps copies
//! in bounded memory, and sends a miss up the tree, one fetch for all who want the same part.
//!
//! Owns: what a hub holds ([`state`]), its sockets and threads ([`run`], [`threads`]), the life of a fill ([`serve`]: what it
//! asks, its wait, its answer; writes in `writes`), the fetches ([`fetch`]), the
//! bytes that a fetch and those who wait for it share ([`flight`]), the book of what is decided ([`book`]), idle
//! connections to sources ([`links`]), the journal's purges ([`purges`]).
//!
//! May not: decide by itself where a fill goes, who waits, who is unwell or how much a cold hub is given: the book
//! asks `foldmux-hierarchy`, which does no I/O. Writes are passed on once: never collapsed, kept or repeated.

pub mod book;
mod exchange;
pub mod fetch;
pub mod flight;
pub mod links;
pub mod purges;
mod reply;
mod request_fields;
pub mod run;
pub mod serve;
pub mod state;
pub mod tally;
pub mod threads;
mod wait;
mod writes;

pub use run::{start, Running};
