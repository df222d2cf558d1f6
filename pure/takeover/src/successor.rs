//! Who goes on with what nobody owns any more: a replica tells those who wait, else the next in line; whoever is told claims
//! it under the next term, as any client's repeat does.

use crate::claim::Claim;
use crate::holding::{Holding, Pending};
use crate::message::{Event, Message};
use crate::owner::Owner;
use crate::part::At;
use crate::record::{Answer, Key, Proof, Unclaimed};
use crate::replica::Replica;
use crate::setup::Fault;
use foldmux_replicas::{Effect, Peer};

/// How often a replica looks for a successor: each may die in its turn, but not without end.
const SUCCESSORS: usize = 8;

impl Replica {
    /// Whom to turn to now that nobody owns this: those who wait, else the next in line.
    pub fn look(&mut self, at: &mut At, key: Key, line: &[&Peer]) {
        let Some(held) = self.held.get_mut(&key) else {
            return;
        };
        held.look = None;
        let Some(record) = held.record.as_ref().filter(|r| r.answer.is_none()) else {
            return;
        };
        if record.left <= at.now - held.at || held.told >= SUCCESSORS {
            // Too late for anybody; those who wait see it themselves.
            return;
        }
        let finish = at
            .setup
            .rules
            .get(&record.work.class)
            .is_some_and(|r| r.unclaimed == Unclaimed::Finish);
        if !held.watchers.is_empty() {
            for watcher in held.watchers.drain(..) {
                at.out.push(Effect::Send {
                    to: watcher,
                    message: Message::Changed { key },
                });
            }
            // If none of them takes it in time, the next in line does.
            held.look = (finish && !held.over).then_some(at.now + at.setup.lease / 2);
        } else if finish && !held.over {
            let others: Vec<&Peer> = line
                .iter()
                .copied()
                .filter(|peer| **peer != held.promised.owner)
                .collect();
            let next = others
                .get(held.told % others.len().max(1))
                .or(line.first())
                .copied();
            held.told += 1;
            if let Some(to) = next {
                at.send(to, Message::Succeed { key });
            }
            held.look = Some(at.now + at.setup.lease / 4);
        }
        self.arm(key);
    }
}

impl Owner {
    /// A replica says that this process is next in line.
    pub fn succeed(&mut self, at: &mut At, key: Key) {
        let until = Some(at.now + at.setup.longest);
        if self.held.contains_key(&key) || (self.leaving && at.setup.replicas.members().len() > 1) {
            return;
        }
        if let Some(claim) = self.claims.get_mut(&key) {
            claim.heir = until;
            return self.changed(at, key);
        }
        if self.len() < at.setup.works {
            let claim = Claim {
                heir: until,
                known: true,
                ..Claim::new(at, key, None)
            };
            self.claims.insert(key, claim);
            self.begin(at, key);
        }
    }

    /// A replica says that the key that is waited for has changed.
    pub fn changed(&mut self, at: &mut At, key: Key) {
        if self
            .claims
            .get(&key)
            .is_some_and(|claim| claim.sent.is_none())
        {
            self.begin(at, key);
        }
    }

    /// What the record that was taken proves decides how it goes on.
    pub fn settle_claim(&mut self, at: &mut At, key: Key, claim: Claim) {
        let Some(holding) = self.held.get_mut(&key) else {
            return;
        };
        holding.waiters = claim.waiting;
        let proof = holding.record.proof(Owner::repeat(at, &holding.record));
        let proof = match proof {
            Proof::Again { left, .. } if at.setup.planted(Fault::AnyGroup) => {
                Proof::Again { within: None, left }
            }
            proof => proof,
        };
        if holding.record.answer.is_some() {
            holding.write(
                at,
                key,
                Some(Pending {
                    ticket: None,
                    version: 0,
                    intends: false,
                }),
            );
        } else if proof == Proof::Over {
            // It may have run, and nobody may try again: that is the answer, never a guess.
            holding.record.answer = Some(Answer::Failed);
            holding.write(
                at,
                key,
                Some(Pending {
                    ticket: None,
                    version: 0,
                    intends: false,
                }),
            );
        } else {
            // From here the lease counts, and keeps others away.
            (0..3).for_each(|place| holding.renew(at, key, place));
            holding.hand(at, key, proof);
        }
        self.arm(key);
    }
}

impl Holding {
    /// Hands the work to the first that waits here, else to this process to finish.
    pub fn hand(&mut self, at: &mut At, key: Key, proof: Proof) {
        self.window = match proof {
            Proof::Again { left, .. } => Some(at.now.saturating_add(left)),
            _ => None,
        };
        self.relet(at);
        let (record, lease) = (self.record.clone(), self.lease.clone());
        if self.waiters.is_empty() {
            return at.tell(Event::TakeOver {
                key,
                record,
                proof,
                lease,
            });
        }
        let ticket = self.waiters.remove(0).ticket;
        self.waiters.iter_mut().for_each(|one| one.join(at));
        at.tell(Event::Mine {
            ticket,
            key,
            record,
            proof,
            lease,
        });
    }
}
