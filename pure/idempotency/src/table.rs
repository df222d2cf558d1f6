//! The idempotency table: the known state of each key's attempts.
//!
//! No attempt is granted while another may be running. Once an attempt may have been executed, none is granted outside its
//! group of caches or after the idempotency window. A full table rejects new keys; a key is never evicted while a retry of
//! it could still come.

mod entry;
mod policy;
mod reconcile;

pub use entry::{AttemptEnd, Entry, STORED_LENGTH};
pub use policy::{Denied, Grant, RetryPolicy};

use crate::token::{KeyHash, Token};
use crate::Millis;
use reconcile::{entry_from_token, is_same_attempt, merge};
use std::collections::{BTreeSet, HashMap, HashSet};

/// Records the attempts of a bounded number of keys.
pub struct IdempotencyTable {
    max_keys: usize,
    entries: HashMap<KeyHash, Entry>,
    /// Keys whose stored entries can't be read: they are rejected until no retry of them can come.
    unreadable: HashSet<KeyHash>,
    /// Eviction time of each key, earliest first.
    evictions: BTreeSet<(Millis, KeyHash)>,
    /// Keys with a granted attempt that is neither issued nor released yet.
    pending: HashSet<KeyHash>,
    /// Keys evicted since the last call of [`IdempotencyTable::take_evicted`].
    evicted: Vec<KeyHash>,
}

impl IdempotencyTable {
    /// Creates an empty table for at most `max_keys` keys.
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

    /// Restores the table of a former process. An attempt that was in flight may have been executed, and may be running
    /// until its `running_until`.
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

    /// Rejects a key whose stored entry can't be read. `until` is the time from which no retry of it can come.
    pub fn block_unreadable(&mut self, key: KeyHash, until: Millis) {
        self.unreadable.insert(key);
        self.evictions.insert((until, key));
    }

    /// Returns the number of keys, including those whose entries can't be read.
    pub fn len(&self) -> usize {
        self.entries.len() + self.unreadable.len()
    }

    /// Returns whether the table has no key.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the number of keys with a granted attempt that is neither issued nor released.
    pub fn pending(&self) -> usize {
        self.pending.len()
    }

    /// Returns the keys evicted since the last call, whose stored entries the caller has to remove.
    pub fn take_evicted(&mut self) -> Vec<KeyHash> {
        std::mem::take(&mut self.evicted)
    }

    /// Returns the entry of a key.
    pub fn get(&self, key: KeyHash) -> Option<&Entry> {
        self.entries.get(&key)
    }

    fn put(&mut self, key: KeyHash, entry: Entry) {
        if let Some(replaced) = self.entries.insert(key, entry) {
            self.evictions.remove(&(replaced.evict_at, key));
        }
        self.evictions.insert((entry.evict_at, key));
    }

    /// Grants an attempt of a key, for a caller that presents `token` from an earlier attempt or none. The grant reserves
    /// the key but records no attempt: it must be followed by [`IdempotencyTable::issue`], once the attempt's destination
    /// is known, or by [`IdempotencyTable::release`].
    ///
    /// # Errors
    ///
    /// Returns the reason if no attempt may be made now.
    pub fn acquire(
        &mut self,
        now: Millis,
        key: KeyHash,
        policy: &RetryPolicy,
        token: Option<&Token>,
    ) -> Result<Grant, Denied> {
        while let Some(&(at, old)) = self.evictions.first().filter(|(at, _)| *at <= now) {
            self.evictions.remove(&(at, old));
            self.entries.remove(&old);
            self.unreadable.remove(&old);
            self.evicted.push(old);
        }
        // Of two simultaneous requests only one is granted.
        if self.pending.contains(&key) {
            return Err(Denied::Pending);
        }
        let grant = self.decide(now, key, policy, token)?;
        self.pending.insert(key);
        Ok(grant)
    }

    /// Gives up a grant: the attempt is not made.
    pub fn release(&mut self, key: KeyHash) {
        self.pending.remove(&key);
    }

    /// Returns whether the keys, with the granted ones that have no entry yet, fill the table.
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
        token: Option<&Token>,
    ) -> Result<Grant, Denied> {
        if token.is_some_and(|presented| presented.key != key) {
            return Err(Denied::KeyMismatch);
        }
        if self.unreadable.contains(&key) {
            return Err(Denied::Unreadable);
        }
        let expires = now.saturating_add(policy.send_window);
        let entry = match (self.entries.get(&key), token) {
            (Some(entry), Some(presented)) if presented.attempt < entry.attempt => {
                return Err(Denied::Superseded)
            }
            // The token is of another attempt than the entry: both count.
            (Some(entry), Some(presented)) if !is_same_attempt(entry, presented) => {
                merge(entry, presented, policy)?
            }
            (Some(entry), _) => *entry,
            // The token is of another instance, or from before a store was lost. Its attempt may have run.
            (None, Some(presented)) => entry_from_token(presented, policy),
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
        // An attempt that is in flight past its time, with unknown end, may have run.
        let first_run = entry
            .may_have_run
            .or(entry.in_flight.then_some((entry.issued_at, entry.group)));
        let Some((first, group)) = first_run else {
            return Ok(Grant::Anywhere {
                attempt,
                first: now,
                expires,
            });
        };
        // The attempt must arrive before the archive forgets the first run.
        let window_end = first.saturating_add(policy.idempotency_window);
        if now >= window_end {
            return Err(Denied::WindowExpired);
        }
        Ok(Grant::Within {
            attempt,
            group,
            first,
            expires: expires.min(window_end),
        })
    }

    /// Records a granted attempt as in flight to a group of caches, and returns the key's entry, which the caller has to
    /// store before it sends the attempt. `group` is ignored for [`Grant::Within`], which has its own.
    pub fn issue(
        &mut self,
        now: Millis,
        key: KeyHash,
        policy: &RetryPolicy,
        grant: &Grant,
        group: u32,
        request: KeyHash,
    ) -> Entry {
        let (attempt, first_run, expires) = match *grant {
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
            may_have_run: first_run,
            request,
            group,
            issued_at: now,
            evict_at,
        };
        self.pending.remove(&key);
        self.put(key, entry);
        entry
    }

    /// Records how the last attempt ended. Returns the entry if it changed; the end of any other attempt changes nothing.
    pub fn record_end(&mut self, key: KeyHash, attempt: u8, end: AttemptEnd) -> Option<Entry> {
        let entry = self
            .entries
            .get(&key)
            .filter(|e| e.in_flight && e.attempt == attempt)?;
        let first_run = match end {
            AttemptEnd::NotExecuted => entry.may_have_run,
            AttemptEnd::MayHaveExecuted => {
                entry.may_have_run.or(Some((entry.issued_at, entry.group)))
            }
        };
        let entry = Entry {
            in_flight: false,
            may_have_run: first_run,
            ..*entry
        };
        self.put(key, entry);
        Some(entry)
    }
}

#[cfg(test)]
mod tests;
