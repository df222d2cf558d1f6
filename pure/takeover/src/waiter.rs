//! Clients that wait at this process for a key.

use crate::context::Context;
use crate::interface::Event;
use crate::policy::UnreplicatedPolicy;
use foldmux_replicas::Time;

/// A client that waits.
#[derive(Clone, Debug)]
pub struct Waiter {
    pub ticket: u64,
    pub deadline: Time,
    /// It was told that it waits for another owner's answer.
    pub joined: bool,
}

impl Waiter {
    /// Tells the client, once, that it waits for another owner's answer.
    pub fn join(&mut self, ctx: &mut Context) {
        if !self.joined {
            self.joined = true;
            ctx.emit(Event::Joined {
                ticket: self.ticket,
            });
        }
    }
}

/// Answers and removes the clients whose deadline has passed. Where the key is known, the request may have run.
pub fn expire(ctx: &mut Context, waiters: &mut Vec<Waiter>, key_known: bool) {
    let now = ctx.now;
    waiters.retain(|waiter| {
        if waiter.deadline > now {
            return true;
        }
        let ticket = waiter.ticket;
        ctx.emit(match key_known {
            true => Event::Failed { ticket },
            false => Event::Rejected { ticket },
        });
        false
    });
}

/// Answers a client whose request can't be replicated, by the policy of its class. A request whose key a replica
/// knows never runs unreplicated.
pub fn answer_unreplicated(ctx: &mut Context, ticket: u64, class: Option<&str>, key_known: bool) {
    let policy = class.and_then(|class| ctx.setup.policies.get(class));
    let rejects = policy.is_some_and(|policy| policy.unreplicated == UnreplicatedPolicy::Reject);
    ctx.emit(match rejects || key_known {
        true => Event::Rejected { ticket },
        false => Event::Unreplicated { ticket },
    });
}
