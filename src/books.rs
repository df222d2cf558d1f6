//! Book-keeping of the router: what was done lately, which cache holds what, and the draws that stand for chance. It
//! owns its figures and nothing else: no decision is made here, no clock is read, and the bounds are the caller's.

use crate::interface::{CacheId, Time};
use std::collections::{HashMap, VecDeque};

/// Spreads the bits of a number: the same in every instance.
pub fn mix(mut x: u64) -> u64 {
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58476d1ce4e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d049bb133111eb);
    x ^ (x >> 31)
}

/// Numbers that look like chance, the same for the same seed (SplitMix64).
pub struct Draws(u64);

impl Draws {
    pub fn new(seed: u64) -> Draws {
        Draws(seed)
    }

    pub fn draw(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e3779b97f4a7c15);
        mix(self.0)
    }
}

/// Work done lately, as transfers at full pace, faded over `over`; unbiased from its first sample on.
#[derive(Clone, Copy)]
pub struct Rate {
    over: f64,
    sum: f64,
    first: Time,
    at: Time,
}

impl Rate {
    pub fn over(over: f64) -> Rate {
        Rate { over, sum: 0.0, first: 0, at: 0 }
    }

    pub fn add(&mut self, now: Time, work: f64) {
        self.first = if self.at == 0 { now } else { self.first };
        self.sum = self.decayed(now) + work;
        self.at = now;
    }

    pub fn get(&self, now: Time) -> f64 {
        let seen = now.saturating_sub(self.first).max(1_000_000) as f64 / self.over;
        self.decayed(now) / self.over / (1.0 - (-seen).exp())
    }

    fn decayed(&self, now: Time) -> f64 {
        self.sum * (-(now.saturating_sub(self.at) as f64) / self.over).exp()
    }
}

/// A summary: which cache holds an object. Bounded; entries expire.
pub struct Table {
    most: usize,
    entries: HashMap<u64, Entry>,
    /// Ends of life in the order they were set; an entry that was renewed has a later one.
    ends: VecDeque<(Time, u64)>,
}

#[derive(Clone, Copy)]
pub struct Entry {
    pub cache: CacheId,
    pub group: u32,
    pub until: Time,
}

impl Table {
    pub fn new(most: usize) -> Table {
        Table { most, entries: HashMap::new(), ends: VecDeque::new() }
    }

    pub fn put(&mut self, key: u64, entry: Entry, now: Time) {
        self.entries.insert(key, entry);
        self.ends.push_back((entry.until, key));
        while let Some(&(until, key)) = self.ends.front() {
            if until > now && self.ends.len() <= self.most {
                break;
            }
            self.ends.pop_front();
            if self.entries.get(&key).is_some_and(|e| e.until <= until) {
                self.entries.remove(&key);
            }
        }
    }

    pub fn get(&self, key: u64, now: Time) -> Option<Entry> {
        self.entries.get(&key).copied().filter(|e| e.until > now)
    }

    pub fn remove(&mut self, key: u64) {
        self.entries.remove(&key);
    }

    pub fn retain(&mut self, keep: impl Fn(u64, &Entry) -> bool) {
        self.entries.retain(|&key, entry| keep(key, entry));
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_rate_is_right_from_its_first_second_and_fades() {
        let mut rate = Rate::over(20_000_000.0);
        for k in 0..200u64 {
            rate.add(1_000_000 + k * 50_000, 0.5);
        }
        let now = 11_000_000;
        assert!((rate.get(now) - 10.0e-6).abs() < 0.5e-6, "{}", rate.get(now));
        assert!(rate.get(now + 60_000_000) < 1.0e-6);
    }

    #[test]
    fn a_table_holds_no_more_than_its_bound_and_a_renewed_entry_outlives_its_first_end() {
        let mut table = Table::new(8);
        let entry = |until| Entry { cache: CacheId(1), group: 0, until };
        table.put(1, entry(100), 0);
        table.put(1, entry(200), 50);
        table.put(2, entry(250), 150);
        assert!(table.get(1, 150).is_some() && table.get(1, 200).is_none());
        for key in 10..40 {
            table.put(key, entry(1_000 + key), 300);
        }
        assert!(table.entries.len() <= 8 && table.ends.len() <= 8);
        assert!(table.get(39, 300).is_some() && table.get(10, 300).is_none());
    }
}
