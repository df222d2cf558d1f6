//! The commands for an owned request: an attempt begins, an attempt has ended, the final answer is known.

use super::Owner;
use crate::context::Context;
use crate::interface::Event;
use crate::owned::{OwnedRequest, WriteKind, WriteWaiter};
use crate::record::{Answer, Attempt, AttemptOutcome, Key, Proof, MAX_ATTEMPTS};
use crate::setup::Fault;

/// An owned request, as a command names it. A command under a stale term has no effect.
#[derive(Clone, Copy, Debug)]
pub struct OwnedKey {
    pub key: Key,
    pub term: u64,
}

impl Owner {
    pub(super) fn owned_under(&mut self, id: OwnedKey) -> Option<&mut OwnedRequest> {
        self.owned
            .get_mut(&id.key)
            .filter(|owned| owned.ballot.term == id.term)
    }

    pub(super) fn unanswered_under(&mut self, id: OwnedKey) -> Option<&mut OwnedRequest> {
        self.owned_under(id)
            .filter(|owned| owned.record.answer.is_none())
    }

    pub fn begin_attempt(
        &mut self,
        ctx: &mut Context,
        ticket: u64,
        id: OwnedKey,
        number: u8,
        group: u32,
    ) {
        let Some(owned) = self.unanswered_under(id) else {
            return ctx.emit(Event::OwnershipLost { ticket });
        };
        owned.refresh(ctx.now);
        let repeatable_until = match owned.proof(ctx) {
            Proof::NeverRan => None,
            Proof::Repeatable {
                only_group: Some(only),
                ..
            } if only != group && !ctx.setup.planted(Fault::AnyGroup) => {
                return ctx.emit(Event::Rejected { ticket });
            }
            Proof::Repeatable { time_left, .. } => Some(ctx.now.saturating_add(time_left)),
            Proof::NotRepeatable => return ctx.emit(Event::Rejected { ticket }),
        };
        let attempts = &mut owned.record.attempts;
        let is_duplicate = attempts.iter().any(|a| a.has_id(id.term, number));
        if is_duplicate || attempts.len() >= MAX_ATTEMPTS {
            return ctx.emit(Event::Rejected { ticket });
        }
        attempts.push(Attempt {
            term: id.term,
            number,
            group,
            outcome: None,
            age: 0,
        });
        owned.repeatable_until = repeatable_until;
        owned.update_lease(ctx);
        let waiter = WriteWaiter {
            ticket: Some(ticket),
            kind: WriteKind::Attempt,
        };
        owned.write(ctx, id.key, Some(waiter));
        self.arm(id.key);
    }

    pub fn end_attempt(
        &mut self,
        ctx: &mut Context,
        id: OwnedKey,
        number: u8,
        outcome: AttemptOutcome,
    ) {
        let Some(owned) = self.owned_under(id) else {
            return;
        };
        owned.refresh(ctx.now);
        let mut attempts = owned.record.attempts.iter_mut();
        let Some(attempt) = attempts.find(|a| a.has_id(id.term, number)) else {
            return;
        };
        attempt.outcome = Some(outcome);
        // Without an outcome the replicas assume that the attempt may have run, so only this outcome is written.
        if outcome == AttemptOutcome::NeverRan {
            owned.write(ctx, id.key, None);
        }
        self.arm(id.key);
    }

    pub fn complete(&mut self, ctx: &mut Context, ticket: u64, id: OwnedKey, answer: Answer) {
        let Some(owned) = self.unanswered_under(id) else {
            return ctx.emit(Event::OwnershipLost { ticket });
        };
        owned.record.answer = Some(answer);
        let too_early = ctx.setup.planted(Fault::AnswerBeforeCommit);
        let waiter = WriteWaiter {
            ticket: (!too_early).then_some(ticket),
            kind: WriteKind::Answer,
        };
        owned.write(ctx, id.key, Some(waiter));
        if too_early {
            ctx.emit(Event::Committed { ticket });
        }
        self.arm(id.key);
    }
}
