//! Keyed attempts in service: the ledger and the tokens' keys behind one lock, and the store under the ledger. What it
//! decides is in the pure crate; here it is written before it is told.

use foldmux_repeats::ledger::{End, Entry, Grant, Ledger, Refusal, Rule};
use foldmux_repeats::token::{Bad, Keys, Mark, Token};
use foldmux_repeats::Millis;
use foldmux_store::{Commit, Fault, Opener, Store};
use std::fmt;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{SystemTime, UNIX_EPOCH};
use tokio::sync::oneshot;

pub fn unix_ms() -> Millis {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64)
}

/// What was refused, for the log.
#[derive(Debug, Default)]
pub struct Counts {
    pub forged: AtomicU64,
    pub foreign: AtomicU64,
    pub malformed: AtomicU64,
    pub expired: AtomicU64,
    pub replayed: AtomicU64,
    pub running: AtomicU64,
    pub given_up: AtomicU64,
    pub full: AtomicU64,
    pub unstored: AtomicU64,
}

impl fmt::Display for Counts {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let all = [
            ("forged", &self.forged),
            ("foreign", &self.foreign),
            ("malformed", &self.malformed),
            ("expired", &self.expired),
            ("replayed", &self.replayed),
            ("running", &self.running),
            ("given up", &self.given_up),
            ("full", &self.full),
            ("not stored", &self.unstored),
        ];
        let told: Vec<String> = all
            .iter()
            .map(|(name, count)| (name, count.load(Ordering::Relaxed)))
            .filter(|(_, n)| *n > 0)
            .map(|(name, n)| format!("{name} {n}"))
            .collect();
        f.write_str(&told.join(", "))
    }
}

/// Why a keyed request is not placed.
#[derive(Clone, Debug, PartialEq)]
pub enum No {
    Token(Bad),
    Ledger(Refusal),
    Store(Fault),
    /// The store has not been opened yet: what it holds is not known.
    NotLoaded,
}

impl fmt::Display for No {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            No::Token(bad) => bad.fmt(f),
            No::Ledger(refusal) => refusal.fmt(f),
            No::Store(fault) => write!(f, "the ledger of keyed attempts can't be written: {fault}"),
            No::NotLoaded => f.write_str("the ledger of keyed attempts can't be read yet"),
        }
    }
}

struct State {
    /// None until the store told what it held.
    ledger: Option<Ledger>,
    keys: Keys,
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
        let mut held = Keys::new(last.0, last.1);
        held.set(unix_ms(), overlap, keys);
        let state = Arc::new(Mutex::new(State { ledger: None, keys: held, overlap }));
        let own = state.clone();
        let store = opener.map(|(opener, commit)| {
            Store::start(opener, commit, move |stored| {
                let now = unix_ms();
                let (mut entries, mut unread) = (Vec::new(), Vec::new());
                for (key, value) in stored {
                    let mark = <[u8; 16]>::try_from(key.as_slice()).map(Mark);
                    // Whose entry it is can't be told: to go on would be to forget it.
                    let mark =
                        mark.map_err(|_| format!("a key of {} bytes, and 16 are its own", key.len()))?;
                    match Entry::from_bytes(&value) {
                        Some(entry) if entry.forget_at <= now => {}
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
                let mut ledger = Ledger::restored(most, entries);
                unread.into_iter().for_each(|mark| ledger.fence(mark, now.saturating_add(remember)));
                lock(&own).ledger = Some(ledger);
                Ok(())
            })
        });
        Ok(Keeper { state, store: store.transpose()?, counts: Counts::default() })
    }

    /// Other keys: the last signs from now on, and all of them are believed; those that are gone for the overlap.
    pub fn change(&self, keys: &[Secret]) {
        let mut state = lock(&self.state);
        let (now, overlap) = (unix_ms(), state.overlap);
        state.keys.set(now, overlap, keys);
    }

    /// What is held, asked about, and out.
    pub fn sizes(&self) -> [usize; 2] {
        lock(&self.state).ledger.as_ref().map_or([0; 2], |ledger| [ledger.len(), ledger.asked()])
    }

    pub fn written(&self) -> Option<Arc<foldmux_store::Counts>> {
        self.store.as_ref().map(|store| store.counts.clone())
    }

    /// The token in a text. One whose time to be sent is over is still believed on its attempt, for so long as its key
    /// could be held here; `remember` is that long.
    pub fn shown(&self, text: &str, remember: Millis) -> Result<Token, No> {
        let now = unix_ms();
        let bad = match lock(&self.state).keys.read(now, text) {
            Ok(token) => return Ok(token),
            Err((Bad::Expired, Some(token))) if now < token.expires.saturating_add(remember) => {
                return Ok(token)
            }
            Err((bad, _)) => bad,
        };
        let count = match bad {
            Bad::Malformed => &self.counts.malformed,
            Bad::Foreign => &self.counts.foreign,
            Bad::Forged => &self.counts.forged,
            Bad::Expired => &self.counts.expired,
        };
        count.fetch_add(1, Ordering::Relaxed);
        Err(No::Token(bad))
    }

    pub fn sign(&self, token: &Token) -> String {
        lock(&self.state).keys.sign(token)
    }

    /// Whether an attempt of a key may be made now, and where. What is granted is the grip's to end.
    pub fn ask(self: &Arc<Keeper>, key: Mark, rule: Rule, shown: Option<&Token>) -> Result<Grip, No> {
        let mut state = lock(&self.state);
        let ledger = state.ledger.as_mut().ok_or(No::NotLoaded)?;
        let asked = ledger.ask(unix_ms(), key, &rule, shown);
        let forgotten = ledger.forgotten();
        drop(state);
        forgotten.iter().for_each(|mark| self.store.iter().for_each(|store| store.remove(&mark.0)));
        match asked {
            Ok(grant) => Ok(Grip { keeper: self.clone(), key, rule, grant, held: Held::Asked }),
            Err(refusal) => {
                let count = match refusal {
                    Refusal::Running { .. } | Refusal::Deciding => &self.counts.running,
                    Refusal::Replayed => &self.counts.replayed,
                    Refusal::Full => &self.counts.full,
                    Refusal::WindowOver
                    | Refusal::TooMany
                    | Refusal::Torn
                    | Refusal::OtherKey
                    | Refusal::Unread => &self.counts.given_up,
                };
                count.fetch_add(1, Ordering::Relaxed);
                Err(No::Ledger(refusal))
            }
        }
    }

    fn ended(&self, key: Mark, attempt: u8, end: End) {
        let mut state = lock(&self.state);
        let entry = state.ledger.as_mut().and_then(|ledger| ledger.ended(key, attempt, end));
        // Under the lock, so that the store has entries in the order in which the ledger had them.
        if let (Some(entry), Some(store)) = (entry, &self.store) {
            // Nobody waits for this one: lost, the attempt counts as one that may be running, for its time.
            store.put(&key.0, &entry.to_bytes(), Box::new(|_| ()));
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Held {
    /// Granted, and not written.
    Asked,
    /// Written; whether the caller was told of it.
    Out {
        attempt: u8,
        told: bool,
    },
    Over,
}

/// One key's attempt, from its grant to its end; however it is dropped, the ledger is told what is known.
pub struct Grip {
    keeper: Arc<Keeper>,
    key: Mark,
    rule: Rule,
    pub grant: Grant,
    held: Held,
}

impl Grip {
    /// The group that the attempt is bound to, where one may have run.
    pub fn within(&self) -> Option<u32> {
        match self.grant {
            Grant::Anywhere { .. } => None,
            Grant::Within { group, .. } => Some(group),
        }
    }

    /// Writes the attempt, to be sent to this group; its token once that is on the disk. Again, where the first choice
    /// fell through before it was told.
    pub async fn hand(&mut self, request: Mark, group: u32) -> Result<(Token, String), No> {
        let (told, written) = oneshot::channel();
        let (attempt, first, expires) = match self.grant {
            Grant::Anywhere { attempt, first, expires } => (attempt, first, expires),
            Grant::Within { attempt, first, expires, .. } => (attempt, first, expires),
        };
        let token = Token { request, key: self.key, attempt, group, first, expires };
        let text = {
            let mut state = lock(&self.keeper.state);
            let ledger = state.ledger.as_mut().ok_or(No::NotLoaded)?;
            let entry = ledger.hand(unix_ms(), self.key, &self.rule, &self.grant, group, request);
            self.held = Held::Out { attempt, told: false };
            let store = self.keeper.store.as_ref().ok_or(No::NotLoaded)?;
            store.put(&self.key.0, &entry.to_bytes(), Box::new(move |result| drop(told.send(result))));
            state.keys.sign(&token)
        };
        match written.await.unwrap_or(Err(Fault::Full)) {
            Ok(()) => Ok((token, text)),
            Err(fault) => {
                self.keeper.counts.unstored.fetch_add(1, Ordering::Relaxed);
                Err(No::Store(fault))
            }
        }
    }

    /// The caller is told now: from here on the attempt may run.
    pub fn told(&mut self) {
        if let Held::Out { told, .. } = &mut self.held {
            *told = true;
        }
    }

    /// How long from now the attempt may be running, where nothing is heard of it (ms).
    pub fn quiet_in(&self) -> Millis {
        let state = lock(&self.keeper.state);
        let entry = state.ledger.as_ref().and_then(|ledger| ledger.get(self.key));
        entry.map_or(0, |entry| entry.quiet_at.saturating_sub(unix_ms()))
    }

    /// What is known of the attempt's end.
    pub fn end(&mut self, end: End) {
        if let Held::Out { attempt, .. } = self.held {
            self.held = Held::Over;
            self.keeper.ended(self.key, attempt, end);
        }
    }
}

impl Drop for Grip {
    fn drop(&mut self) {
        match self.held {
            Held::Asked => {
                if let Some(ledger) = &mut lock(&self.keeper.state).ledger {
                    ledger.let_go(self.key);
                }
            }
            Held::Out { told: false, .. } => self.end(End::NeverRan),
            // Nothing is known of it: it may be running until its time is over, as the ledger has it.
            Held::Out { told: true, .. } | Held::Over => {}
        }
    }
}
