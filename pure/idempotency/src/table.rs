//! The idempotency table: what is known of each key's attempts.
//!
//! An attempt is granted never while another may be running, and once one may have been executed never outside its group of
//! caches or after the idempotency window. A full table rejects; a key whose retry could still come is never evicted.

mod entry;
mod policy;
mod reconcile;

pub use entry::{AttemptEnd, Entry, STORED_LENGTH};
pub use policy::{Denied, Grant, RetryPolicy};

use crate::token::{KeyHash, Token};
use crate::Millis;
use reconcile::{entry_of_token, is_same_attempt, merge};
use std::collections::{BTreeSet, HashMap, HashSet};

/// The attempts of a bounded number of keys.
pub struct IdempotencyTable {
    max_keys: usize,
    entries: HashMap<KeyHash, Entry>,
    /// Keys whose stored entries can't be read: rejected until their retries can come no more.
    unreadable: HashSet<KeyHash>,
    /// When each key is evicted, soonest first.
    evictions: BTreeSet<(Millis, KeyHash)>,
    /// Keys with a granted attempt that is neither issued nor released yet.
    pending: HashSet<KeyHash>,
    /// Keys evicted since the last call of [`IdempotencyTable::take_evicted`].
    evicted: Vec<KeyHash>,
}

impl IdempotencyTable {
    /// An empty table for at most `max_keys` keys.
    pub fn new(max_keys: usize) -> IdempotencyTable {
        IdempotencyTable {
            max_keys,
            entries: HashMap::new(),
            unreadable: HashSet::new(),
            evictions: BTreeSet::new(),
            pending: HashSet::new(),
            evicted: Vec::new(),
        }
    }

    /// The table of a former process. What was in flight may have been executed, and may be running for as long as it could.
    pub fn restored(
        max_keys: usize,
        entries: impl IntoIterator<Item = (KeyHash, Entry)>,
    ) -> IdempotencyTable {
        let mut table = IdempotencyTable::new(max_keys);
        entries
            .into_iter()
            .for_each(|(key, entry)| table.put(key, entry));
        table
    }

    /// Rejects a key whose stored entry can't be read, `until` its retry can come no more.
    pub fn block_unreadable(&mut self, key: KeyHash, until: Millis) {
        self.unreadable.insert(key);
        self.evictions.insert((until, key));
    }

    /// Number of keys, those that can't be read included.
    pub fn len(&self) -> usize {
        self.entries.len() + self.unreadable.len()
    }

    /// Whether there is no key.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Number of keys with a granted attempt that is neither issued nor released.
    pub fn pending(&self) -> usize {
        self.pending.len()
    }

    /// The keys that have been evicted since the last call: their stored entries are to be removed.
    pub fn take_evicted(&mut self) -> Vec<KeyHash> {
        std::mem::take(&mut self.evicted)
    }

    /// What is known of a key.
    pub fn get(&self, key: KeyHash) -> Option<&Entry> {
        self.entries.get(&key)
    }

    fn put(&mut self, key: KeyHash, entry: Entry) {
        if let Some(former) = self.entries.insert(key, entry) {
            self.evictions.remove(&(former.evict_at, key));
        }
        self.evictions.insert((entry.evict_at, key));
    }

    /// Grants an attempt of a key. Nothing is recorded yet: a grant is followed by [`IdempotencyTable::issue`], once it is
    /// known where the attempt goes, or by [`IdempotencyTable::release`]; until then the key is reserved.
    ///
    /// # Errors
    ///
    /// The reason for which no attempt may be made now.
    pub fn acquire(
        &mut self,
        now: Millis,
        key: KeyHash,
        policy: &RetryPolicy,
        shown: Option<&Token>,
    ) -> Result<Grant, Denied> {
        while let Some(&(at, old)) = self.evictions.first().filter(|(at, _)| *at <= now) {
            self.evictions.remove(&(at, old));
            self.entries.remove(&old);
            self.unreadable.remove(&old);
            self.evicted.push(old);
        }
        // Of two requests at one moment only one is granted.
        if self.pending.contains(&key) {
            return Err(Denied::Pending);
        }
        let grant = self.decide(now, key, policy, shown)?;
        self.pending.insert(key);
        Ok(grant)
    }

    /// The granted attempt is not made.
    pub fn release(&mut self, key: KeyHash) {
        self.pending.remove(&key);
    }

    /// Entries, and keys that are about to have one.
    fn is_full(&self) -> bool {
        let new = self
            .pending
            .iter()
            .filter(|key| !self.entries.contains_key(key))
            .count();
        self.len() + new >= self.max_keys
    }

    fn decide(
        &self,
        now: Millis,
        key: KeyHash,
        policy: &RetryPolicy,
        shown: Option<&Token>,
    ) -> Result<Grant, Denied> {
        if shown.is_some_and(|token| token.key != key) {
            return Err(Denied::KeyMismatch);
        }
        if self.unreadable.contains(&key) {
            return Err(Denied::Unreadable);
        }
        let expires = now.saturating_add(policy.send_window);
        let entry = match (self.entries.get(&key), shown) {
            (Some(entry), Some(token)) if token.attempt < entry.attempt => {
                return Err(Denied::Superseded)
            }
            // Another attempt than the one that is known here: by both.
            (Some(entry), Some(token)) if !is_same_attempt(entry, token) => {
                merge(entry, token, policy)?
            }
            (Some(entry), _) => *entry,
            // Of another instance, or from before a store was lost: by what the token says, which may have run.
            (None, Some(token)) => entry_of_token(token, policy),
            (None, None) if self.is_full() => return Err(Denied::TableFull),
            (None, None) => {
                return Ok(Grant::Anywhere {
                    attempt: 0,
                    first: now,
                    expires,
                })
            }
        };
        if !self.entries.contains_key(&key) && self.is_full() {
            return Err(Denied::TableFull);
        }
        if entry.in_flight && now < entry.running_until {
            return Err(Denied::InFlight {
                until: entry.running_until,
            });
        }
        let attempt = entry
            .attempt
            .checked_add(1)
            .filter(|n| *n < policy.max_attempts)
            .ok_or(Denied::AttemptsExhausted)?;
        // What was out and is heard of no more may have run.
        let ran = entry
            .may_have_run
            .or(entry.in_flight.then_some((entry.issued_at, entry.group)));
        let Some((first, group)) = ran else {
            return Ok(Grant::Anywhere {
                attempt,
                first: now,
                expires,
            });
        };
        // The attempt must have arrived before the archive forgets the first run.
        let closes = first.saturating_add(policy.idempotency_window);
        if now >= closes {
            return Err(Denied::WindowExpired);
        }
        Ok(Grant::Within {
            attempt,
            group,
            first,
            expires: expires.min(closes),
        })
    }

    /// Records the granted attempt as in flight to a group of caches. The entry is to be stored before the attempt is sent.
    pub fn issue(
        &mut self,
        now: Millis,
        key: KeyHash,
        policy: &RetryPolicy,
        grant: &Grant,
        group: u32,
        request: KeyHash,
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
        let running_until = expires.saturating_add(policy.max_run_time);
        let evict_at = running_until.saturating_add(policy.retention);
        let entry = Entry {
            attempt,
            in_flight: true,
            running_until,
            may_have_run: ran,
            request,
            group,
            issued_at: now,
            evict_at,
        };
        self.pending.remove(&key);
        self.put(key, entry);
        entry
    }

    /// Records how the last attempt ended; for any other attempt nothing changes. Returns the entry if it changed.
    pub fn record_end(&mut self, key: KeyHash, attempt: u8, end: AttemptEnd) -> Option<Entry> {
        let entry = self
            .entries
            .get(&key)
            .filter(|e| e.in_flight && e.attempt == attempt)?;
        let ran = match end {
            AttemptEnd::NotExecuted => entry.may_have_run,
            AttemptEnd::MayHaveExecuted => {
                entry.may_have_run.or(Some((entry.issued_at, entry.group)))
            }
        };
        let entry = Entry {
            in_flight: false,
            may_have_run: ran,
            ..*entry
        };
        self.put(key, entry);
        Some(entry)
    }
}

#[cfg(test)]
mod tests;
