//! The core: it knows no wire. One desk owns the module; each request is one function on a thread of its own.
//!
//! Owns: the module, its timers and the table of open requests ([`desk`]; what passes to and from it: [`orders`]), the life
//! of a request ([`request`], on the threads of [`threads`]) and of one whose attempts somebody else makes ([`lent`]), what
//! they share ([`core`]), what it asks of whoever covers requests ([`cover`]), whose turn it is in front of an attempt
//! ([`turn`]), the list of members ([`members`]), the limits in service ([`limits`]), the buffers
//! ([`buffers`]), the clock ([`clock`]), the counts ([`tally`]), why a request was refused or failed ([`reasons`]) and how many
//! lines the log has for that ([`throttle`]).
//!
//! May not: open, read or write a socket, or know how a request came or an attempt is made. Fronts hand it an
//! [`Inquiry`] and a [`Reply`]; whoever makes attempts implements [`attempt::Tries`]. It depends on the module and the
//! pure crates of limits and reports alone.

mod admission;
pub mod attempt;
pub mod buffers;
pub mod clock;
pub mod core;
pub mod cover;
pub mod desk;
mod history;
pub mod inquiry;
pub mod lent;
pub mod limits;
pub mod members;
pub mod orders;
pub mod reasons;
pub mod request;
pub mod slot;
pub mod tally;
pub mod threads;
pub mod throttle;
pub mod turn;

pub use crate::core::Core;
pub use attempt::{Attempt, Got, Tries};
pub use desk::{Desk, DeskHandle};
pub use inquiry::{Answer, Inquiry, Reply, Served};
pub use slot::Slot;
