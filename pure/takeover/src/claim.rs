//! The claim of a key: asked of its three replicas under a new term, until two grant it, two show the same final answer, or
//! nobody who waits has time left. A grant alone keeps no later claim away: only what its owner writes or renews does.

use crate::holding::Holding;
use crate::join::{expire, uncovered, Waiting};
use crate::message::{Event, Message, Verdict};
use crate::owner::Owner;
use crate::part::At;
use crate::record::{Answer, Ballot, Key, Record, Work};
use crate::setup::Fault;
use foldmux_replicas::{Peer, Time};
use std::sync::Arc;

pub type Reply = (Verdict, Ballot, Option<Record>);

#[derive(Clone, Debug)]
pub struct Claim {
    pub work: Option<Arc<Work>>,
    pub waiting: Vec<Waiting>,
    /// A replica said that this process is next in line: until then, with nobody that waits.
    pub heir: Option<Time>,
    pub ballot: Ballot,
    pub replicas: [Peer; 3],
    /// When the round that is out was sent; none in a pause.
    pub sent: Option<Time>,
    pub replies: [Option<Reply>; 3],
    /// The pause or the round ends.
    pub next: Time,
    pub began: Time,
    pub tries: u64,
    /// The greatest term that was seen.
    pub top: u64,
    /// Somebody knows something of this key.
    pub known: bool,
}

impl Claim {
    pub fn new(at: &At, key: Key, work: Option<Arc<Work>>) -> Claim {
        Claim {
            work,
            waiting: Vec::new(),
            heir: None,
            ballot: Ballot::none(),
            replicas: at.setup.replicas.replicas_of(&key.bytes()).map(Peer::clone),
            sent: None,
            replies: [None, None, None],
            next: at.now,
            began: at.now,
            tries: 0,
            top: 0,
            known: false,
        }
    }

    fn count(&self, of: impl Fn(Verdict) -> bool) -> usize {
        self.replies
            .iter()
            .flatten()
            .filter(|reply| of(reply.0))
            .count()
    }

    pub fn due(&self) -> Time {
        self.waiting
            .iter()
            .map(|w| w.until)
            .chain([self.next])
            .min()
            .unwrap_or(self.next)
    }

    /// How long the first of the leases that stand in the way still runs.
    fn busy(&self) -> Option<Time> {
        let left = |reply: &Reply| match reply.0 {
            Verdict::Busy { left } => Some(left),
            _ => None,
        };
        self.replies.iter().flatten().filter_map(left).min()
    }

    /// A final answer that two replicas hold under one ballot.
    fn kept(&self) -> Option<Answer> {
        let records: Vec<&Record> = self
            .replies
            .iter()
            .flatten()
            .filter_map(|r| r.2.as_ref())
            .collect();
        let twice = |record: &&&Record| {
            record.answer.is_some()
                && records
                    .iter()
                    .filter(|r| r.place() == record.place())
                    .count()
                    >= 2
        };
        records
            .iter()
            .find(twice)
            .and_then(|record| record.answer.clone())
    }
}

impl Owner {
    /// A round, under a term above all that were seen.
    pub fn begin(&mut self, at: &mut At, key: Key) {
        let Some(claim) = self.claims.get_mut(&key) else {
            return;
        };
        claim.top += 1;
        claim.tries += 1;
        claim.ballot = Ballot {
            term: claim.top,
            owner: at.setup.name.clone(),
            session: at.setup.session,
        };
        (claim.sent, claim.replies) = (Some(at.now), [None, None, None]);
        claim.next = at.now + (at.setup.lease * claim.tries.min(5) / 5).max(1);
        let left = claim
            .waiting
            .iter()
            .map(|w| w.until)
            .chain(claim.heir)
            .max()
            .unwrap_or(at.now);
        for replica in claim.replicas.iter() {
            let ballot = claim.ballot.clone();
            let left = left.saturating_sub(at.now);
            at.send(
                replica,
                Message::Claim {
                    key,
                    ballot,
                    work: claim.work.clone(),
                    left,
                },
            );
        }
        self.arm(key);
    }

    pub fn claimed(&mut self, at: &mut At, from: &Peer, key: Key, ballot: &Ballot, reply: Reply) {
        if ballot.owner != at.setup.name || ballot.session != at.setup.session {
            return;
        }
        if self
            .held
            .get(&key)
            .is_some_and(|holding| holding.ballot == *ballot)
        {
            return self.late_grant(at, from, key, reply.0);
        }
        let Some(claim) = self
            .claims
            .get_mut(&key)
            .filter(|c| c.ballot == *ballot && c.sent.is_some())
        else {
            return;
        };
        let Some(place) = claim.replicas.iter().position(|replica| replica == from) else {
            return;
        };
        claim.top = claim.top.max(reply.1.term);
        claim.known |=
            reply.2.is_some() || matches!(reply.0, Verdict::Busy { .. } | Verdict::Higher);
        claim.replies[place].get_or_insert(reply);
        self.resolve(at, key);
        self.arm(key);
    }

    fn resolve(&mut self, at: &mut At, key: Key) {
        let Some(claim) = self.claims.get(&key) else {
            return;
        };
        let yes = claim.count(|verdict| verdict == Verdict::Yes);
        let enough = if at.setup.planted(Fault::OneGrantIsEnough) {
            1
        } else {
            2
        };
        if let Some(answer) = claim.kept() {
            let claim = self.claims.remove(&key);
            claim
                .iter()
                .flat_map(|c| &c.waiting)
                .for_each(|one| answered(at, one.ticket, &answer));
        } else if yes >= enough {
            let Some(claim) = self.claims.remove(&key) else {
                return;
            };
            self.own(at, key, claim);
        } else if yes + claim.replies.iter().filter(|reply| reply.is_none()).count() < 2 {
            self.missed(at, key);
        } else if claim.replies.iter().flatten().count() == 2 {
            // All hangs on one replica, which may be dead: not waited for much longer than the others took.
            let soon = claim.busy().unwrap_or(0).max(at.setup.resend() / 5);
            self.claims
                .entry(key)
                .and_modify(|claim| claim.next = claim.next.min(at.now + soon));
        }
    }

    /// The round can't win, or its time is over.
    fn missed(&mut self, at: &mut At, key: Key) {
        let pause = self.draw(at.setup.resend()) + 1;
        let Some(claim) = self.claims.get_mut(&key) else {
            return;
        };
        let silent = |v| matches!(v, Verdict::NoVote | Verdict::Full | Verdict::Unknown);
        let patience = !claim.known && at.now >= claim.began + at.setup.lease;
        if claim.count(silent) >= 2 || patience {
            let Some(claim) = self.claims.remove(&key) else {
                return;
            };
            let class = claim.work.as_ref().map(|work| &*work.class);
            claim
                .waiting
                .iter()
                .for_each(|one| uncovered(at, one.ticket, class, claim.known));
            return;
        }
        let left = claim.busy();
        if left.is_some() {
            claim.waiting.iter_mut().for_each(|one| one.join(at));
        }
        if left.is_some() && claim.waiting.is_empty() {
            // Another goes on with it, and nobody waits here.
            self.claims.remove(&key);
            return;
        }
        (claim.sent, claim.next) = (
            None,
            at.now + left.map_or(0, |left| left.min(at.setup.lease)) + pause,
        );
    }

    pub fn tick_claim(&mut self, at: &mut At, key: Key) {
        let Some(claim) = self.claims.get_mut(&key) else {
            return;
        };
        expire(at, &mut claim.waiting, claim.known);
        if claim.waiting.is_empty() && claim.heir.is_none_or(|until| until <= at.now) {
            self.claims.remove(&key);
        } else if claim.next <= at.now {
            match claim.sent {
                Some(_) => self.missed(at, key),
                None => self.begin(at, key),
            }
        }
    }

    /// Two replicas granted it: the record that was written last is the one that goes on.
    fn own(&mut self, at: &mut At, key: Key, claim: Claim) {
        let shown: Vec<Record> = claim
            .replies
            .iter()
            .flatten()
            .filter_map(|r| r.2.clone())
            .collect();
        let best = shown.iter().max_by_key(|record| record.place()).cloned();
        let until = claim.waiting.iter().map(|w| w.until).max();
        let begun = || claim.work.clone().map(|work| Record::new(work, 0));
        let Some(mut record) = best.or_else(begun) else {
            return;
        };
        shown.iter().for_each(|other| record.elder(&other.attempts));
        if at.setup.planted(Fault::SuccessorForgets) {
            record.attempts.clear();
        }
        if at.setup.planted(Fault::AgeFromArrival) {
            record
                .attempts
                .iter_mut()
                .for_each(|attempt| attempt.age = 0);
        }
        // Ages were right when a replica answered: at the earliest, when it was asked.
        let sent = claim.sent.unwrap_or(at.now);
        let left = until.map_or(record.left, |until| until.saturating_sub(at.now));
        record = record.aged(at.now - sent);
        record.left = left;
        self.held.insert(key, Holding::new(at, &claim, record));
        self.settle_claim(at, key, claim);
    }
}

pub fn answered(at: &mut At, ticket: u64, answer: &Answer) {
    at.tell(Event::Kept {
        ticket,
        answer: answer.clone(),
    });
}
