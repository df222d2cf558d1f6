//! Keyed attempts in service: the ledger and the tokens' keys behind one lock, and the store under the ledger. What it
//! decides is in the pure crate; here it is written before it is told.

use foldmux_idempotency::table::{AttemptEnd, Denied, Entry, IdempotencyTable, RetryPolicy};
use foldmux_idempotency::token::{KeyHash, SigningKeys, Token, TokenError};
use foldmux_idempotency::Millis;
use foldmux_store::{Commit, Opener, Store};
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{SystemTime, UNIX_EPOCH};

pub use grip::Grip;
pub use refused::{Counts, No};

mod grip;
mod refused;

pub fn unix_ms() -> Millis {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |d| d.as_millis() as u64)
}

struct State {
    /// None until the store told what it held.
    ledger: Option<IdempotencyTable>,
    keys: SigningKeys,
    overlap: Millis,
}

pub struct Keeper {
    state: Arc<Mutex<State>>,
    store: Option<Store>,
    pub counts: Counts,
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A token's key, as the operator's file has it.
pub type Secret<'a> = (u8, &'a [u8]);

impl Keeper {
    /// Without an opener there is no ledger, and no keyed request is placed. The last of the keys signs; without any,
    /// one is drawn that only this process knows. An entry that can't be read fences its key off for `remember`; a file with
    /// keys that are none of this program's is refused.
    pub fn start(
        opener: Option<(Opener, Commit)>,
        most: usize,
        keys: &[Secret],
        overlap: Millis,
        remember: Millis,
    ) -> Result<Keeper, String> {
        let mut drawn = [0; 32];
        getrandom::fill(&mut drawn).map_err(|e| format!("a key for tokens: {e}"))?;
        let last = keys.last().copied().unwrap_or((0, &drawn));
        let mut held = SigningKeys::new(last.0, last.1);
        held.replace(unix_ms(), overlap, keys);
        let state = Arc::new(Mutex::new(State {
            ledger: None,
            keys: held,
            overlap,
        }));
        let own = state.clone();
        let store = opener.map(|(opener, commit)| {
            Store::start(opener, commit, move |stored| {
                let now = unix_ms();
                let (mut entries, mut unread) = (Vec::new(), Vec::new());
                for (key, value) in stored {
                    let mark = <[u8; 16]>::try_from(key.as_slice()).map(KeyHash);
                    // Whose entry it is can't be told: to go on would be to forget it.
                    let mark =
                        mark.map_err(|_| format!("a key of {} bytes, and 16 are its own", key.len()))?;
                    match Entry::from_bytes(&value) {
                        Some(entry) if entry.evict_at <= now => {}
                        Some(entry) => entries.push((mark, entry)),
                        None => unread.push(mark),
                    }
                }
                tracing::info!("ledger: {} keys held", entries.len());
                if !unread.is_empty() {
                    let n = unread.len();
                    tracing::warn!(
                        "ledger: {n} entries can't be read; their keys are refused for {remember} ms"
                    );
                }
                let mut ledger = IdempotencyTable::restored(most, entries);
                unread.into_iter().for_each(|mark| ledger.block_unreadable(mark, now.saturating_add(remember)));
                lock(&own).ledger = Some(ledger);
                Ok(())
            })
        });
        Ok(Keeper {
            state,
            store: store.transpose()?,
            counts: Counts::default(),
        })
    }

    /// Other keys: the last signs from now on, and all of them are believed; those that are gone for the overlap.
    pub fn change(&self, keys: &[Secret]) {
        let mut state = lock(&self.state);
        let (now, overlap) = (unix_ms(), state.overlap);
        state.keys.replace(now, overlap, keys);
    }

    /// What is held, asked about, and out.
    pub fn sizes(&self) -> [usize; 2] {
        lock(&self.state)
            .ledger
            .as_ref()
            .map_or([0; 2], |ledger| [ledger.len(), ledger.pending()])
    }

    pub fn written(&self) -> Option<Arc<foldmux_store::Counts>> {
        self.store.as_ref().map(|store| store.counts.clone())
    }

    /// The token in a text. One whose time to be sent is over is still believed on its attempt, for so long as its key
    /// could be held here; `remember` is that long.
    pub fn shown(&self, text: &str, remember: Millis) -> Result<Token, No> {
        let now = unix_ms();
        let bad = match lock(&self.state).keys.verify(now, text) {
            Ok(token) => return Ok(token),
            Err((TokenError::Expired, Some(token)))
                if now < token.expires.saturating_add(remember) =>
            {
                return Ok(token)
            }
            Err((bad, _)) => bad,
        };
        let count = match bad {
            TokenError::Malformed => &self.counts.malformed,
            TokenError::UnknownKey => &self.counts.foreign,
            TokenError::BadSignature => &self.counts.forged,
            TokenError::Expired => &self.counts.expired,
        };
        count.fetch_add(1, Ordering::Relaxed);
        Err(No::Token(bad))
    }

    pub fn sign(&self, token: &Token) -> String {
        lock(&self.state).keys.sign(token)
    }

    /// Whether an attempt of a key may be made now, and where. What is granted is the grip's to end.
    pub fn ask(
        self: &Arc<Keeper>,
        key: KeyHash,
        rule: RetryPolicy,
        shown: Option<&Token>,
    ) -> Result<Grip, No> {
        let mut state = lock(&self.state);
        let ledger = state.ledger.as_mut().ok_or(No::NotLoaded)?;
        let asked = ledger.acquire(unix_ms(), key, &rule, shown);
        let forgotten = ledger.take_evicted();
        drop(state);
        forgotten
            .iter()
            .for_each(|mark| self.store.iter().for_each(|store| store.remove(&mark.0)));
        match asked {
            Ok(grant) => Ok(Grip::granted(self.clone(), key, rule, grant)),
            Err(refusal) => {
                let count = match refusal {
                    Denied::InFlight { .. } | Denied::Pending => &self.counts.running,
                    Denied::Superseded => &self.counts.replayed,
                    Denied::TableFull => &self.counts.full,
                    Denied::WindowExpired
                    | Denied::AttemptsExhausted
                    | Denied::ConflictingGroups
                    | Denied::KeyMismatch
                    | Denied::Unreadable => &self.counts.given_up,
                };
                count.fetch_add(1, Ordering::Relaxed);
                Err(No::Ledger(refusal))
            }
        }
    }

    fn ended(&self, key: KeyHash, attempt: u8, end: AttemptEnd) {
        let mut state = lock(&self.state);
        let entry = state
            .ledger
            .as_mut()
            .and_then(|ledger| ledger.record_end(key, attempt, end));
        // Under the lock, so that the store has entries in the order in which the ledger had them.
        if let (Some(entry), Some(store)) = (entry, &self.store) {
            // Nobody waits for this one: lost, the attempt counts as one that may be running, for its time.
            store.put(&key.0, &entry.to_bytes(), Box::new(|_| ()));
        }
    }
}
