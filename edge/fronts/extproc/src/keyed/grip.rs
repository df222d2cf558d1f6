//! One key's attempt, from its grant to its end.

use super::{lock, unix_ms, Keeper, No};
use foldmux_idempotency::table::{AttemptEnd, Grant, RetryPolicy};
use foldmux_idempotency::token::{KeyHash, Token};
use foldmux_idempotency::Millis;
use foldmux_store::Fault;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use tokio::sync::oneshot;

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
    key: KeyHash,
    rule: RetryPolicy,
    pub grant: Grant,
    held: Held,
}

impl Grip {
    /// A key's attempt that the ledger has just granted.
    pub(super) fn granted(
        keeper: Arc<Keeper>,
        key: KeyHash,
        rule: RetryPolicy,
        grant: Grant,
    ) -> Grip {
        Grip {
            keeper,
            key,
            rule,
            grant,
            held: Held::Asked,
        }
    }

    /// The group that the attempt is bound to, where one may have run.
    pub fn within(&self) -> Option<u32> {
        match self.grant {
            Grant::Anywhere { .. } => None,
            Grant::Within { group, .. } => Some(group),
        }
    }

    /// Writes the attempt, to be sent to this group; its token once that is on the disk. Again, where the first choice
    /// fell through before it was told.
    pub async fn hand(&mut self, request: KeyHash, group: u32) -> Result<(Token, String), No> {
        let (told, written) = oneshot::channel();
        let (attempt, first, expires) = match self.grant {
            Grant::Anywhere {
                attempt,
                first,
                expires,
            } => (attempt, first, expires),
            Grant::Within {
                attempt,
                first,
                expires,
                ..
            } => (attempt, first, expires),
        };
        let token = Token {
            request,
            key: self.key,
            attempt,
            group,
            first,
            expires,
        };
        let text = {
            let mut state = lock(&self.keeper.state);
            let ledger = state.ledger.as_mut().ok_or(No::NotLoaded)?;
            let entry = ledger.issue(unix_ms(), self.key, &self.rule, &self.grant, group, request);
            self.held = Held::Out {
                attempt,
                told: false,
            };
            let store = self.keeper.store.as_ref().ok_or(No::NotLoaded)?;
            store.put(
                &self.key.0,
                &entry.to_bytes(),
                Box::new(move |result| drop(told.send(result))),
            );
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
        let entry = state
            .ledger
            .as_ref()
            .and_then(|ledger| ledger.get(self.key));
        entry.map_or(0, |entry| entry.running_until.saturating_sub(unix_ms()))
    }

    /// What is known of the attempt's end.
    pub fn end(&mut self, end: AttemptEnd) {
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
                    ledger.release(self.key);
                }
            }
            Held::Out { told: false, .. } => self.end(AttemptEnd::NotExecuted),
            // Nothing is known of it: it may be running until its time is over, as the ledger has it.
            Held::Out { told: true, .. } | Held::Over => {}
        }
    }
}
