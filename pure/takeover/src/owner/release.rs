//! An owner releases or loses a request, and the clients that wait for it here acquire it anew.

use super::{OwnedKey, Owner};
use crate::context::Context;
use crate::record::{Key, Proof};

impl Owner {
    /// Releases a request. The next client that waits here continues it, else a process that the replicas notify.
    pub fn release(&mut self, ctx: &mut Context, id: OwnedKey, abandoned: bool) {
        let Some(owned) = self.unanswered_under(id) else {
            return;
        };
        owned.refresh(ctx.now);
        owned.fail_writes(ctx);
        let proof = owned.proof(ctx);
        if !owned.waiters.is_empty() && proof != Proof::NotRepeatable {
            // The term stays, so the numbers of attempts continue.
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

    /// Gives up a request that another process owns, or may own.
    pub(super) fn lose_ownership(&mut self, ctx: &mut Context, key: Key) {
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
