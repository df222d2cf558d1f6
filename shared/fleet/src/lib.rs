//! The fleet's thread: it owns every part of this process that decides for the fleet, and the links to the others.
//!
//! Owns: how a part is driven ([`driver`]), what is asked of it and what it tells ([`port`]), which peers count as
//! alive ([`views`], [`members`]), start and end ([`setup`]), and the thread itself. May not: decide anything itself, wait for a part's sink, for a peer or
//! for whoever asks, or know a front or a request.
//!
//! A part that panics is taken out of service, counted and told; the others go on. Nothing here is kept without a
//! bound: asks by [`Setup::queue`], frames by the links' bounds, messages to oneself by [`driver::LOOPS`] at a turn.

pub mod driver;
pub mod members;
pub mod port;
pub mod setup;
mod thread;
pub mod views;

pub use driver::Driven;
pub use port::{Port, Refused, Sink};
pub use setup::{Builder, Counts, Fault, Fleet, Setup};
pub use views::Views;
