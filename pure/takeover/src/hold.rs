//! What the host of a work asks for: to send an attempt, that one ended, the final answer, that it stops.

use crate::holding::{Holding, Pending};
use crate::message::Event;
use crate::owner::Owner;
use crate::part::At;
use crate::record::{Answer, Attempt, End, Key, Proof, ATTEMPTS};
use crate::setup::Fault;

impl Owner {
    /// The work, where it is still the one that the host was told of.
    fn of_term(&mut self, key: Key, term: u64) -> Option<&mut Holding> {
        self.held
            .get_mut(&key)
            .filter(|holding| holding.ballot.term == term)
    }

    pub fn intend(
        &mut self,
        at: &mut At,
        ticket: u64,
        (key, term): (Key, u64),
        number: u8,
        group: u32,
    ) {
        let Some(holding) = self
            .of_term(key, term)
            .filter(|holding| holding.record.answer.is_none())
        else {
            return at.tell(Event::Lost { ticket });
        };
        holding.refresh(at.now);
        let proof = holding.record.proof(Owner::repeat(at, &holding.record));
        let window = match proof {
            Proof::NeverRan => None,
            Proof::Again {
                within: Some(own), ..
            } if own != group && !at.setup.planted(Fault::AnyGroup) => {
                return at.tell(Event::Refused { ticket });
            }
            Proof::Again { left, .. } => Some(at.now.saturating_add(left)),
            Proof::Over => return at.tell(Event::Refused { ticket }),
        };
        let twice = holding
            .record
            .attempts
            .iter()
            .any(|a| a.term == term && a.number == number);
        if twice || holding.record.attempts.len() >= ATTEMPTS {
            return at.tell(Event::Refused { ticket });
        }
        holding.window = window;
        holding.relet(at);
        holding.record.attempts.push(Attempt {
            term,
            number,
            group,
            ended: None,
            age: 0,
        });
        holding.write(
            at,
            key,
            Some(Pending {
                ticket: Some(ticket),
                version: 0,
                intends: true,
            }),
        );
        self.arm(key);
    }

    pub fn ended(&mut self, at: &mut At, (key, term): (Key, u64), number: u8, end: End) {
        let Some(holding) = self.of_term(key, term) else {
            return;
        };
        holding.refresh(at.now);
        let own = |a: &&mut Attempt| a.term == term && a.number == number;
        let Some(attempt) = holding.record.attempts.iter_mut().find(own) else {
            return;
        };
        attempt.ended = Some(end);
        // That it may have run is what the replicas take an attempt without an end for.
        if end == End::NeverRan {
            holding.write(at, key, None);
        }
        self.arm(key);
    }

    pub fn done(&mut self, at: &mut At, ticket: u64, (key, term): (Key, u64), answer: Answer) {
        let Some(holding) = self.of_term(key, term) else {
            return at.tell(Event::Lost { ticket });
        };
        if holding.record.answer.is_some() {
            return at.tell(Event::Lost { ticket });
        }
        holding.record.answer = Some(answer);
        let early = at.setup.planted(Fault::AnswerBeforeKept);
        let waits = (!early).then_some(ticket);
        holding.write(
            at,
            key,
            Some(Pending {
                ticket: waits,
                version: 0,
                intends: false,
            }),
        );
        if early {
            at.tell(Event::Written { ticket });
        }
        self.arm(key);
    }

    /// The host stops: the next that waits here goes on, else whoever the replicas tell.
    pub fn let_go(&mut self, at: &mut At, (key, term): (Key, u64), over: bool) {
        let Some(holding) = self
            .of_term(key, term)
            .filter(|holding| holding.record.answer.is_none())
        else {
            return;
        };
        holding.refresh(at.now);
        for ticket in holding.pending.drain(..).filter_map(|p| p.ticket) {
            at.tell(Event::Lost { ticket });
        }
        let proof = holding.record.proof(Owner::repeat(at, &holding.record));
        if !holding.waiters.is_empty() && proof != Proof::Over {
            // Under the same term: numbers of attempts go on from those that there are.
            holding.hand(at, key, proof);
        } else {
            holding.release(at, key, over);
            let waiters = std::mem::take(&mut holding.waiters);
            let work = holding.record.work.clone();
            self.held.remove(&key);
            self.rejoin(at, key, work, waiters);
        }
        self.arm(key);
    }

    /// The process leaves. What a successor can go on with goes at once; what none may repeat stays to its end.
    pub fn leave(&mut self, at: &mut At) {
        self.leaving = true;
        let mut keys: Vec<Key> = self.held.keys().copied().collect();
        keys.sort();
        for key in keys {
            let Some(holding) = self.held.get_mut(&key) else {
                continue;
            };
            holding.refresh(at.now);
            let proof = holding.record.proof(Owner::repeat(at, &holding.record));
            if holding.record.answer.is_some() || proof == Proof::Over {
                continue;
            }
            holding.release(at, key, false);
            for ticket in holding.pending.drain(..).filter_map(|p| p.ticket) {
                at.tell(Event::Lost { ticket });
            }
            let (work, waiters) = (
                holding.record.work.clone(),
                std::mem::take(&mut holding.waiters),
            );
            self.held.remove(&key);
            self.rejoin(at, key, work, waiters);
        }
    }
}
