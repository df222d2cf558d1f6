//! The replies of replicas to the owner's writes and renewals.

use super::Owner;
use crate::context::Context;
use crate::interface::Event;
use crate::messages::Verdict;
use crate::record::{Answer, Ballot, Key};
use foldmux_replicas::{Peer, Time};

/// The reply of a replica to a write or a renewal.
pub struct WriteReply {
    pub ballot: Ballot,
    pub sent_at: Time,
    pub verdict: Verdict,
    pub version: u32,
}

impl Owner {
    pub fn on_write_reply(&mut self, ctx: &mut Context, from: &Peer, key: Key, reply: WriteReply) {
        let Some(owned) = self.owned.get_mut(&key) else {
            return;
        };
        if reply.ballot != owned.ballot {
            return;
        }
        let Some(index) = owned.index_of(from) else {
            return;
        };
        match reply.verdict {
            Verdict::Granted => {
                owned.accepted(ctx, index, reply.sent_at, reply.version);
                self.commit_writes(ctx, key);
            }
            Verdict::Unknown => owned.reintroduce(ctx, key, index),
            Verdict::HigherTerm | Verdict::Full => {
                if owned.rejected(index) {
                    self.lose_ownership(ctx, key);
                }
            }
            Verdict::Abstained | Verdict::Leased { .. } => {}
        }
    }

    fn commit_writes(&mut self, ctx: &mut Context, key: Key) {
        let Some(owned) = self.owned.get_mut(&key) else {
            return;
        };
        if owned.commit_writes(ctx) {
            self.finish(ctx, key);
        }
        self.arm(key);
    }

    /// The final answer is committed: all clients that wait here get it.
    fn finish(&mut self, ctx: &mut Context, key: Key) {
        let Some(mut owned) = self.owned.remove(&key) else {
            return;
        };
        owned.lease.revoke();
        owned.fail_writes(ctx);
        let answer = owned.record.answer.unwrap_or(Answer::Failed);
        for waiter in &owned.waiters {
            ctx.emit(Event::Answered {
                ticket: waiter.ticket,
                answer: answer.clone(),
            });
        }
    }
}
