//! A client's ask, wherever it comes: it begins the work, joins it where it is under way, or gets the answer that is kept.

use crate::claim::Claim;
use crate::message::{Command, Event};
use crate::owner::Owner;
use crate::part::At;
use crate::record::{Key, Uncovered, Work};
use foldmux_replicas::Time;
use std::sync::Arc;

/// A client that waits here for a key.
#[derive(Clone, Debug)]
pub struct Waiting {
    pub ticket: u64,
    pub until: Time,
    pub joined: bool,
}

impl Waiting {
    pub fn join(&mut self, at: &mut At) {
        if !std::mem::replace(&mut self.joined, true) {
            at.tell(Event::Joined {
                ticket: self.ticket,
            });
        }
    }
}

/// Answers those whose time is over, and takes them off.
pub fn expire(at: &mut At, waiting: &mut Vec<Waiting>, known: bool) {
    let now = at.now;
    waiting.retain(|one| {
        if one.until <= now {
            let ticket = one.ticket;
            at.tell(if known {
                Event::Failed { ticket }
            } else {
                Event::Refused { ticket }
            });
        }
        one.until > now
    });
}

/// What can't be covered runs or is refused, as its class says; never runs where something is known of it.
pub fn uncovered(at: &mut At, ticket: u64, class: Option<&str>, known: bool) {
    let rule = class
        .and_then(|class| at.setup.rules.get(class))
        .map(|rule| rule.uncovered);
    at.tell(match rule {
        Some(Uncovered::Run) | None if !known => Event::Uncovered { ticket },
        _ => Event::Refused { ticket },
    });
}

impl Owner {
    pub fn join(
        &mut self,
        at: &mut At,
        ticket: u64,
        key: Key,
        work: Arc<Work>,
        left: Time,
        again: bool,
    ) {
        let mut waiting = Waiting {
            ticket,
            until: at.now.saturating_add(left),
            joined: false,
        };
        if let Some(holding) = self.held.get_mut(&key) {
            if holding.waiters.len() >= at.setup.waiters {
                return at.tell(Event::Refused { ticket });
            }
            waiting.join(at);
            holding.waiters.push(waiting);
            return self.arm(key);
        }
        if let Some(claim) = self.claims.get_mut(&key) {
            if claim.waiting.len() >= at.setup.waiters {
                return at.tell(Event::Refused { ticket });
            }
            claim.work.get_or_insert(work);
            claim.waiting.push(waiting);
            return self.arm(key);
        }
        if !at.setup.rules.contains_key(&work.class) || self.len() >= at.setup.works {
            return uncovered(at, ticket, Some(&work.class), false);
        }
        let mut claim = Claim::new(at, key, Some(work));
        claim.waiting.push(waiting);
        // Leaving, this process handed the key over: whoever takes it comes first.
        let first = if again && self.leaving {
            at.setup.lease / 4
        } else {
            0
        };
        claim.next = at.now + first;
        claim.known = again;
        self.claims.insert(key, claim);
        match first {
            0 => self.begin(at, key),
            _ => self.arm(key),
        }
    }

    /// The same as a client's ask, for those who were given up by a lost owner.
    pub fn rejoin(&mut self, at: &mut At, key: Key, work: Arc<Work>, waiting: Vec<Waiting>) {
        if waiting.is_empty() {
            return self.arm(key);
        }
        let mut claim = Claim::new(at, key, Some(work));
        let pause = if self.leaving {
            at.setup.lease / 4
        } else {
            self.draw(at.setup.resend())
        };
        (claim.waiting, claim.known, claim.next) = (waiting, true, at.now + pause);
        self.claims.insert(key, claim);
        self.arm(key);
    }
}

/// The ticket that an ask owes an answer to.
impl Command {
    pub fn ticket(&self) -> Option<u64> {
        match self {
            Command::Claim { ticket, .. }
            | Command::Intend { ticket, .. }
            | Command::Done { ticket, .. } => Some(*ticket),
            Command::Ended { .. } | Command::LetGo { .. } | Command::LetGoAll => None,
        }
    }
}
