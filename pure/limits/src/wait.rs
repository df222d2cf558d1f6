//! Who waits for a place: first come, first served, while the wait is short; when the least wait of an interval is over
//! the age, those that have waited for longer are let go at once (as CoDel does for packets).

use crate::Time;
use std::collections::VecDeque;

#[derive(Clone, Debug)]
pub struct Waiting {
    most: usize,
    age: Time,
    line: VecDeque<(u64, Time)>,
    /// Since when each that got a place had waited over the age; none: one lately had not.
    over_since: Option<Time>,
}

impl Waiting {
    /// `age`: how long one may wait (us).
    pub fn new(most: usize, age: Time) -> Waiting {
        Waiting {
            most,
            age,
            line: VecDeque::new(),
            over_since: None,
        }
    }

    pub fn len(&self) -> usize {
        self.line.len()
    }

    pub fn is_empty(&self) -> bool {
        self.line.is_empty()
    }

    /// One more, that waits since then; false where there is no room.
    pub fn join(&mut self, since: Time, id: u64) -> bool {
        if self.line.len() >= self.most {
            return false;
        }
        self.line.push_back((id, since));
        true
    }

    /// Those whose wait is over for good: older than the age; or, in a standing queue, older than half of it.
    pub fn expire(&mut self, now: Time) -> Vec<u64> {
        let standing = self.over_since.is_some_and(|since| now >= since + self.age);
        let bound = if standing { self.age / 2 } else { self.age };
        let mut over = Vec::new();
        while let Some((id, since)) = self.line.front().copied() {
            if now < since + bound {
                break;
            }
            self.line.pop_front();
            over.push(id);
        }
        over
    }

    /// A place is free: whose it is.
    pub fn next(&mut self, now: Time) -> Option<u64> {
        let (id, since) = self.line.pop_front()?;
        match now.saturating_sub(since) > self.age / 2 {
            true => {
                self.over_since.get_or_insert(now);
            }
            false => self.over_since = None,
        }
        Some(id)
    }

    /// All that wait, with since when, for a line that takes this one's place.
    pub fn drain(&mut self) -> Vec<(u64, Time)> {
        self.line.drain(..).collect()
    }

    /// One that does not wait any more.
    pub fn leave(&mut self, id: u64) {
        self.line.retain(|(own, _)| *own != id);
    }
}

#[cfg(test)]
mod tests;
