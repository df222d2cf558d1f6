//! A successor: a process that a replica notifies acquires the key under the next term, as for a client's retry,
//! and continues by what the record proves.

use super::Owner;
use crate::acquisition::Acquisition;
use crate::context::Context;
use crate::interface::Event;
use crate::owned::{OwnedRequest, WriteKind, WriteWaiter};
use crate::record::{Answer, Key, Proof};
use crate::setup::Fault;
use crate::waiter::Waiter;

/// The write of an answer that no command waits for.
const ANSWER_WITHOUT_TICKET: WriteWaiter = WriteWaiter {
    ticket: None,
    kind: WriteKind::Answer,
};

impl Owner {
    /// Handles a replica's notice that this process is next in line.
    pub fn on_take_over(&mut self, ctx: &mut Context, key: Key) {
        let is_alone = ctx.setup.replicas.members().len() <= 1;
        if self.owned.contains_key(&key) || (self.shutting_down && !is_alone) {
            return;
        }
        let successor_until = Some(ctx.now + ctx.setup.max_deadline);
        if let Some(acquisition) = self.acquisitions.get_mut(&key) {
            acquisition.successor_until = successor_until;
            return self.on_changed(ctx, key);
        }
        if self.len() < ctx.setup.max_requests {
            let acquisition = Acquisition {
                successor_until,
                key_known: true,
                ..Acquisition::new(ctx, key, None)
            };
            self.acquisitions.insert(key, acquisition);
            self.start_round(ctx, key);
        }
    }

    /// Handles a replica's notice that a key has changed that clients wait for: the next round begins at once.
    pub fn on_changed(&mut self, ctx: &mut Context, key: Key) {
        let acquisition = self.acquisitions.get(&key);
        if acquisition.is_some_and(|acquisition| acquisition.sent_at.is_none()) {
            self.start_round(ctx, key);
        }
    }

    /// Continues a request that was acquired, by what its record proves.
    pub(super) fn resume(&mut self, ctx: &mut Context, key: Key, waiters: Vec<Waiter>) {
        let Some(owned) = self.owned.get_mut(&key) else {
            return;
        };
        owned.waiters = waiters;
        let proof = match owned.proof(ctx) {
            Proof::Repeatable { time_left, .. } if ctx.setup.planted(Fault::AnyGroup) => {
                Proof::Repeatable {
                    only_group: None,
                    time_left,
                }
            }
            proof => proof,
        };
        if owned.record.answer.is_some() {
            owned.write(ctx, key, Some(ANSWER_WITHOUT_TICKET));
        } else if proof == Proof::NotRepeatable {
            // It may have run, and must not be repeated: the answer is a failure, as its outcome is unknown.
            owned.record.answer = Some(Answer::Failed);
            owned.write(ctx, key, Some(ANSWER_WITHOUT_TICKET));
        } else {
            // The renewals start the lease, which keeps other owners away.
            owned.renew_all(ctx, key);
            owned.hand_over(ctx, key, proof);
        }
        self.arm(key);
    }
}

impl OwnedRequest {
    /// Gives the request to the first client that waits, else to this process to finish.
    pub(super) fn hand_over(&mut self, ctx: &mut Context, key: Key, proof: Proof) {
        self.repeatable_until = match proof {
            Proof::Repeatable { time_left, .. } => Some(ctx.now.saturating_add(time_left)),
            Proof::NeverRan | Proof::NotRepeatable => None,
        };
        self.update_lease(ctx);
        let (record, lease) = (self.record.clone(), self.lease.clone());
        if self.waiters.is_empty() {
            return ctx.emit(Event::TakenOver {
                key,
                record,
                proof,
                lease,
            });
        }
        let ticket = self.waiters.remove(0).ticket;
        for waiter in &mut self.waiters {
            waiter.join(ctx);
        }
        ctx.emit(Event::Acquired {
            ticket,
            key,
            record,
            proof,
            lease,
        });
    }
}
