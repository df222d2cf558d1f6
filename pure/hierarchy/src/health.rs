//! Which sources are left out for being unwell. What speaks of the source (silence, a reset, an error) counts; what
//! speaks of load, of a loop or of an identity does not.

use crate::Time;

/// Left out for so long after a failure; twice as long with each in a row, up to the most.
const FIRST: Time = 250_000;
const MOST: Time = 4_000_000;
/// Failures in a row until it is left out: one reset is no illness.
const STRAY: u32 = 1;

/// How a try at a source ended, for its record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Word {
    Served,
    /// No connection came up: left out at once.
    Unreached,
    /// It broke off, erred, or said nothing in its time.
    Failed,
    /// It turned the fill away untouched, or found a loop: no illness.
    Turned,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Health {
    in_row: u32,
    until: Time,
}

impl Health {
    pub fn hear(&mut self, now: Time, word: Word) {
        match word {
            Word::Served => *self = Health::default(),
            Word::Turned => {}
            Word::Unreached | Word::Failed => {
                self.in_row = self.in_row.saturating_add(1);
                let stray = if word == Word::Unreached { 0 } else { STRAY };
                if self.in_row > stray {
                    let wait = FIRST << (self.in_row - stray - 1).min(8);
                    self.until = self.until.max(now.saturating_add(wait.min(MOST)));
                }
            }
        }
    }

    /// Fit to be asked. After its time it is asked again, and one more failure leaves it out for longer.
    pub fn well(&self, now: Time) -> bool {
        now >= self.until
    }
}

#[cfg(test)]
mod tests;
