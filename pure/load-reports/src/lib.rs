//! What servers report of their load: read by the settings' names ([`Fields`]), kept with its age and with what was sent
//! since ([`Reports`]); when it pays to ask for one ([`Asking`]); all three
//! together as a router's host keeps them ([`Ear`], [`Beside`]).
//!
//! Owns: the names and the bounds of fields, reports by server, the price of asking. May not: choose a server, do I/O, read
//! a clock (times are passed in, in microseconds), draw chance or start threads. It depends on `foldmux-stats` and on the words of the
//! module's interface.
//! All it keeps is bounded. Nothing here fails: what can't be read is missing, and what is missing counts as average.

pub mod asking;
pub mod ear;
pub mod fields;
pub mod heard;
pub mod host;

pub use asking::Asking;
pub use ear::{Ear, Setup, Tell};
pub use fields::{Fields, Load};
pub use heard::Reports;
pub use host::Beside;
