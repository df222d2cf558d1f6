//! An owner that stops, or loses a request, and what becomes of the clients that wait for it.

use super::{OwnedKey, Owner};
use crate::context::Context;
use crate::record::{Key, Proof};

impl Owner {
    /// Releases a request. The next client that waits here continues it, else whoever the replicas notify.
    pub fn release(&mut self, ctx: &mut Context, id: OwnedKey, abandoned: bool) {
        let Some(owned) = self.unanswered_under(id) else {
            return;
        };
        owned.refresh(ctx.now);
        owned.fail_writes(ctx);
        let proof = owned.proof(ctx);
        if !owned.waiters.is_empty() && proof != Proof::NotRepeatable {
            // Under the same term: the numbers of attempts continue.
            owned.hand_over(ctx, id.key, proof);
        } else {
            owned.release(ctx, id.key, abandoned);
            self.forget_and_rejoin(ctx, id.key);
        }
        self.arm(id.key);
    }

    /// Releases every request that a successor can continue. One that must not be repeated stays until it
    /// ends.
    pub fn release_all(&mut self, ctx: &mut Context) {
        self.shutting_down = true;
        let keys: Vec<Key> = self.owned.keys().copied().collect();
        for key in keys {
            let Some(owned) = self.owned.get_mut(&key) else {
                continue;
            };
            owned.refresh(ctx.now);
            let not_repeatable = owned.proof(ctx) == Proof::NotRepeatable;
            if owned.record.answer.is_some() || not_repeatable {
                continue;
            }
            owned.release(ctx, key, false);
            owned.fail_writes(ctx);
            self.forget_and_rejoin(ctx, key);
        }
    }

    /// Another process owns the request, or may.
    pub(super) fn lose(&mut self, ctx: &mut Context, key: Key) {
        if let Some(owned) = self.owned.get_mut(&key) {
            owned.lease.revoke();
            owned.fail_writes(ctx);
            self.forget_and_rejoin(ctx, key);
        }
    }

    fn forget_and_rejoin(&mut self, ctx: &mut Context, key: Key) {
        if let Some(owned) = self.owned.remove(&key) {
            self.rejoin(ctx, key, owned.record.request, owned.waiters);
        }
    }
}
