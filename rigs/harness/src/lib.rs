//! Runs the real program many times on loopback, with stand-ins and a line between any two, breaks what a seed says, and
//! reads the record of it.
//!
//! Owns: the processes ([`process`], [`fleet`]), the lines ([`line`], [`who`]), the archive that audits by key
//! ([`archive`], [`pools`]), the journal service that counts ([`news`]) and its readers ([`readers`]), those who ask
//! ([`customer`]), the faults and their order ([`schedule`], [`faults`]), tenants beside a flood ([`neighbours`]), the record ([`record`])
//! and the one place where all invariants are checked ([`check`]). May not: decide anything for the program, reach into
//! it other than by its sockets, signals, files and log, or signal a process that it didn't start.

pub mod archive;
pub mod check;
pub mod cost;
pub mod customer;
pub mod cuts;
pub mod demo;
pub mod event;
pub mod fanout;
pub mod faults;
pub mod fleet;
pub mod gate;
pub mod line;
pub mod neighbours;
pub mod news;
pub mod place;
pub mod plan;
pub mod pools;
pub mod process;
pub mod pump;
pub mod reader;
pub mod readers;
pub mod record;
pub mod schedule;
pub mod settings;
pub mod streams;
pub mod who;
pub mod wired;

pub use fleet::Fleet;
pub use line::Way;
pub use plan::Plan;
