//! What is known of each key's attempts. It says for a keyed request whether an attempt may be handed out, and where:
//! never while one may be running, never outside the key's group or its window once one may have run. When it is full
//! it refuses; it never forgets a key whose repeat could still come.

mod decision;
mod entry;
mod reconcile;

pub use decision::{Grant, Refusal, Rule};
pub use entry::{End, Entry, STORED_LENGTH};

use crate::token::{Mark, Token};
use crate::Millis;
use reconcile::{is_of, merged, of_token};
use std::collections::{BTreeSet, HashMap, HashSet};

/// The attempts of at most a given number of keys.
pub struct Ledger {
    most: usize,
    entries: HashMap<Mark, Entry>,
    /// Keys whose entries a store held and that can't be read: fenced off until their repeats can come no more.
    unread: HashSet<Mark>,
    /// When each is forgotten, soonest first.
    ends: BTreeSet<(Millis, Mark)>,
    /// Keys whose next attempt is being placed: asked about, and neither handed out nor let go yet.
    asked: HashSet<Mark>,
    /// Keys that were forgotten since somebody asked for them, for whoever keeps a store.
    forgotten: Vec<Mark>,
}

impl Ledger {
    /// An empty ledger for `most` keys.
    pub fn new(most: usize) -> Ledger {
        Ledger {
            most,
            entries: HashMap::new(),
            unread: HashSet::new(),
            ends: BTreeSet::new(),
            asked: HashSet::new(),
            forgotten: Vec::new(),
        }
    }

    /// As a store kept it, after a crash: what was out may have run, and may be running for as long as it could.
    pub fn restored(most: usize, entries: impl IntoIterator<Item = (Mark, Entry)>) -> Ledger {
        let mut ledger = Ledger::new(most);
        entries
            .into_iter()
            .for_each(|(key, entry)| ledger.put(key, entry));
        ledger
    }

    /// Fences off a key of which a store held something that can't be read. `until`: when its repeat can come no more.
    pub fn fence(&mut self, key: Mark, until: Millis) {
        self.unread.insert(key);
        self.ends.insert((until, key));
    }

    /// Keys held, those that can't be read included.
    pub fn len(&self) -> usize {
        self.entries.len() + self.unread.len()
    }

    /// Whether no key is held.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// How many keys are being placed.
    pub fn asked(&self) -> usize {
        self.asked.len()
    }

    /// The keys that have been forgotten since the last call.
    pub fn forgotten(&mut self) -> Vec<Mark> {
        std::mem::take(&mut self.forgotten)
    }

    /// What is known of a key.
    pub fn get(&self, key: Mark) -> Option<&Entry> {
        self.entries.get(&key)
    }

    fn put(&mut self, key: Mark, entry: Entry) {
        if let Some(former) = self.entries.insert(key, entry) {
            self.ends.remove(&(former.forget_at, key));
        }
        self.ends.insert((entry.forget_at, key));
    }

    /// Whether an attempt of a key may be handed out. Nothing is written yet: whoever was granted one owes
    /// [`Ledger::hand`], once it is known where the attempt goes, or [`Ledger::let_go`]. Until then the key is taken.
    pub fn ask(
        &mut self,
        now: Millis,
        key: Mark,
        rule: &Rule,
        shown: Option<&Token>,
    ) -> Result<Grant, Refusal> {
        while let Some(&(at, old)) = self.ends.first().filter(|(at, _)| *at <= now) {
            self.ends.remove(&(at, old));
            self.entries.remove(&old);
            self.unread.remove(&old);
            self.forgotten.push(old);
        }
        // Guards against two requests that ask at the same moment both being told to go.
        if self.asked.contains(&key) {
            return Err(Refusal::Deciding);
        }
        let grant = self.judge(now, key, rule, shown)?;
        self.asked.insert(key);
        Ok(grant)
    }

    /// The attempt that was granted is not made.
    pub fn let_go(&mut self, key: Mark) {
        self.asked.remove(&key);
    }

    /// Entries, and keys that are about to have one.
    fn full(&self) -> bool {
        let new = self
            .asked
            .iter()
            .filter(|key| !self.entries.contains_key(key))
            .count();
        self.len() + new >= self.most
    }

    fn judge(
        &self,
        now: Millis,
        key: Mark,
        rule: &Rule,
        shown: Option<&Token>,
    ) -> Result<Grant, Refusal> {
        if shown.is_some_and(|token| token.key != key) {
            return Err(Refusal::OtherKey);
        }
        if self.unread.contains(&key) {
            return Err(Refusal::Unread);
        }
        let expires = now.saturating_add(rule.good_for);
        let entry = match (self.entries.get(&key), shown) {
            (Some(entry), Some(token)) if token.attempt < entry.attempt => {
                return Err(Refusal::Replayed)
            }
            // Another attempt than the one that is known here: by both.
            (Some(entry), Some(token)) if !is_of(entry, token) => merged(entry, token, rule)?,
            (Some(entry), _) => *entry,
            // Of another instance, or from before a store was lost: by what the token says, which may have run.
            (None, Some(token)) => of_token(token, rule),
            (None, None) if self.full() => return Err(Refusal::Full),
            (None, None) => {
                return Ok(Grant::Anywhere {
                    attempt: 0,
                    first: now,
                    expires,
                })
            }
        };
        if !self.entries.contains_key(&key) && self.full() {
            return Err(Refusal::Full);
        }
        if entry.out && now < entry.quiet_at {
            return Err(Refusal::Running {
                until: entry.quiet_at,
            });
        }
        let attempt = entry
            .attempt
            .checked_add(1)
            .filter(|n| *n < rule.attempts)
            .ok_or(Refusal::TooMany)?;
        // What was out and is heard of no more may have run.
        let ran = entry
            .ran
            .or(entry.out.then_some((entry.handed, entry.group)));
        let Some((first, group)) = ran else {
            return Ok(Grant::Anywhere {
                attempt,
                first: now,
                expires,
            });
        };
        // The attempt must have arrived before the archive forgets the first run.
        let closes = first.saturating_add(rule.window);
        if now >= closes {
            return Err(Refusal::WindowOver);
        }
        Ok(Grant::Within {
            attempt,
            group,
            first,
            expires: expires.min(closes),
        })
    }

    /// The entry of an attempt that is handed out to a group, to be stored before it goes.
    pub fn hand(
        &mut self,
        now: Millis,
        key: Mark,
        rule: &Rule,
        grant: &Grant,
        group: u32,
        request: Mark,
    ) -> Entry {
        let (attempt, ran, expires) = match *grant {
            Grant::Anywhere {
                attempt, expires, ..
            } => (attempt, None, expires),
            Grant::Within {
                attempt,
                group,
                first,
                expires,
            } => (attempt, Some((first, group)), expires),
        };
        let quiet_at = expires.saturating_add(rule.runs_for);
        let forget_at = quiet_at.saturating_add(rule.remember);
        let entry = Entry {
            attempt,
            out: true,
            quiet_at,
            ran,
            request,
            group,
            handed: now,
            forget_at,
        };
        self.asked.remove(&key);
        self.put(key, entry);
        entry
    }

    /// How an attempt ended; word of any but the last changes nothing. The entry, if it changed.
    pub fn ended(&mut self, key: Mark, attempt: u8, end: End) -> Option<Entry> {
        let entry = self
            .entries
            .get(&key)
            .filter(|e| e.out && e.attempt == attempt)?;
        let ran = match end {
            End::NeverRan => entry.ran,
            End::MayHaveRun => entry.ran.or(Some((entry.handed, entry.group))),
        };
        let entry = Entry {
            out: false,
            ran,
            ..*entry
        };
        self.put(key, entry);
        Some(entry)
    }
}

#[cfg(test)]
mod tests;
