//! One attempt, as the core hands it to whoever makes it.

use crate::cover::Hold;
use crate::inquiry::Inquiry;
use crate::orders::Target;
pub use crate::slot::Line;
use crate::slot::Slot;
use foldmux::interface::{Fetch, Outcome};
use std::ops::Range;
use std::time::Instant;

pub struct Attempt<'a> {
    pub inquiry: &'a Inquiry,
    pub slot: &'a Slot,
    pub fetch: &'a Fetch,
    pub target: &'a Target,
    /// When the client gives up.
    pub deadline: Instant,
    /// Asked right before the first byte, where the request is covered.
    pub guard: Option<&'a dyn Hold>,
}

/// What an answer brought: the bytes, by their place in the buffer, or word that the client has them.
#[derive(Debug, PartialEq)]
pub enum Got {
    Body(Range<usize>),
    Same,
}

/// Makes attempts. It puts what a cancel must cut into the attempt's slot, and gives back whatever it held before it
/// returns.
pub trait Tries: Send + Sync {
    fn attempt(&self, attempt: &Attempt, buffer: &mut [u8]) -> (Outcome, Option<Got>);
}
