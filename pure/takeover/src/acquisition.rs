//! The acquisition of a key: its three replicas are asked under a new term, in rounds, until a quorum grants,
//! two replicas hold the same final answer, or no client has time left. A grant alone prevents no later
//! acquisition: only a write or a renewal of the owner does.

use crate::context::Context;
use crate::messages::{AcquireReply, Message, Verdict};
use crate::record::{Answer, Ballot, Key, Record, Request};
use crate::waiter::Waiter;
use foldmux_replicas::{Micros, Peer, Time};
use std::sync::Arc;

/// The round from which on a round lasts a whole lease. Earlier ones are shorter in proportion.
const FULL_LENGTH_ROUND: u64 = 5;

/// A key that is being acquired.
#[derive(Clone, Debug)]
pub struct Acquisition {
    pub request: Option<Arc<Request>>,
    pub waiters: Vec<Waiter>,
    /// A replica chose this process as successor: the acquisition continues until then, even without a waiter.
    pub successor_until: Option<Time>,
    pub ballot: Ballot,
    pub replicas: [Peer; 3],
    /// When the round in progress was sent. None between rounds.
    pub sent_at: Option<Time>,
    pub replies: [Option<AcquireReply>; 3],
    /// When the round ends, or the next one begins.
    pub next_at: Time,
    pub started_at: Time,
    pub rounds: u64,
    /// The highest term that was seen.
    pub highest_term: u64,
    /// Some replica knows this key.
    pub key_known: bool,
}

impl Acquisition {
    pub fn new(ctx: &Context, key: Key, request: Option<Arc<Request>>) -> Acquisition {
        Acquisition {
            request,
            waiters: Vec::new(),
            successor_until: None,
            ballot: Ballot::none(),
            replicas: ctx
                .setup
                .replicas
                .replicas_of(&key.bytes())
                .map(Peer::clone),
            sent_at: None,
            replies: [None, None, None],
            next_at: ctx.now,
            started_at: ctx.now,
            rounds: 0,
            highest_term: 0,
            key_known: false,
        }
    }

    /// Starts a round under a term above all that were seen.
    pub fn start_round(&mut self, ctx: &mut Context, key: Key) {
        self.highest_term += 1;
        self.rounds += 1;
        self.ballot = Ballot {
            term: self.highest_term,
            owner: ctx.setup.name.clone(),
            session: ctx.setup.session,
        };
        self.sent_at = Some(ctx.now);
        self.replies = [None, None, None];
        let length = ctx.setup.lease * self.rounds.min(FULL_LENGTH_ROUND) / FULL_LENGTH_ROUND;
        self.next_at = ctx.now + length.max(1);
        let time_left = self.last_deadline(ctx.now).saturating_sub(ctx.now);
        for replica in &self.replicas {
            let message = Message::Acquire {
                key,
                ballot: self.ballot.clone(),
                request: self.request.clone(),
                time_left,
            };
            ctx.send(replica, message);
        }
    }

    fn last_deadline(&self, now: Time) -> Time {
        let deadlines = self.waiters.iter().map(|waiter| waiter.deadline);
        deadlines.chain(self.successor_until).max().unwrap_or(now)
    }

    /// Records the reply of a replica, unless it has replied in this round. Returns whether it is one of the key's.
    pub fn receive(&mut self, from: &Peer, reply: AcquireReply) -> bool {
        let Some(index) = self.replicas.iter().position(|replica| replica == from) else {
            return false;
        };
        self.highest_term = self.highest_term.max(reply.promised.term);
        self.key_known |= reply.record.is_some()
            || matches!(reply.verdict, Verdict::Leased { .. } | Verdict::HigherTerm);
        self.replies[index].get_or_insert(reply);
        true
    }

    pub fn received(&self) -> impl Iterator<Item = &AcquireReply> {
        self.replies.iter().flatten()
    }

    pub fn grants(&self) -> usize {
        self.received()
            .filter(|reply| reply.verdict == Verdict::Granted)
            .count()
    }

    pub fn missing(&self) -> usize {
        self.replies.iter().filter(|reply| reply.is_none()).count()
    }

    /// Whether so few replicas can hold the record that a quorum is out of reach.
    pub fn no_quorum_can_hold(&self) -> bool {
        let cannot_hold = |reply: &&AcquireReply| {
            matches!(
                reply.verdict,
                Verdict::Abstained | Verdict::Full | Verdict::Unknown
            )
        };
        self.received().filter(cannot_hold).count() >= 2
    }

    /// The shortest time left of the leases that were reported.
    pub fn lease_time_left(&self) -> Option<Micros> {
        self.received()
            .filter_map(|reply| match reply.verdict {
                Verdict::Leased { time_left } => Some(time_left),
                _ => None,
            })
            .min()
    }

    pub fn records(&self) -> impl Iterator<Item = &Record> {
        self.received().filter_map(|reply| reply.record.as_ref())
    }

    /// The final answer that two replicas hold from the same write.
    pub fn committed_answer(&self) -> Option<Answer> {
        let holders = |record: &Record| {
            self.records()
                .filter(|other| other.write_order() == record.write_order())
                .count()
        };
        self.records()
            .find(|record| record.answer.is_some() && holders(record) >= 2)
            .and_then(|record| record.answer.clone())
    }

    pub fn due(&self) -> Time {
        self.waiters
            .iter()
            .map(|waiter| waiter.deadline)
            .fold(self.next_at, Time::min)
    }
}
