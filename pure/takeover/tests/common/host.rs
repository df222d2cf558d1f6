//! The threads of a process that work on its requests: they begin attempts, send them, and store the answer.

use super::archive::Came;
use super::schedule::Scheduled;
use super::world::World;
use super::MS;
use foldmux_takeover::*;
use std::sync::Arc;

pub fn class(key: u8) -> &'static str {
    ["keyed", "keyed", "once", "safe"][key as usize % 4]
}

pub fn request(key: u8) -> Arc<Request> {
    let (class, token) = (class(key).into(), Some(key.to_string().into()));
    Arc::new(Request {
        class,
        object: 1,
        part: 0,
        group: 0,
        size: 1_000,
        token,
        got: None,
        body: None,
    })
}

/// A request's thread at the process that owns the work.
pub struct Host {
    pub client: Option<usize>,
    pub lease: Lease,
    pub term: u64,
    pub group: u32,
    pub number: u8,
    /// The attempt that is out; more than one may have run by then.
    pub out: bool,
    pub may_have_run: bool,
}

#[derive(Clone, Copy, Debug)]
pub enum Purpose {
    Claim {
        client: usize,
    },
    Intend {
        key: u8,
    },
    Done {
        key: u8,
        client: Option<usize>,
        answer: Option<u8>,
    },
}

impl World {
    pub fn told(&mut self, at: usize, told: Event) {
        let by = |world: &mut World, ticket: u64| world.purpose(at, ticket);
        match told {
            Event::Joined { .. } => {}
            Event::TakenOver {
                key,
                record,
                proof,
                lease,
            } => self.host(at, None, key, record, proof, lease),
            Event::Acquired {
                ticket,
                key,
                record,
                proof,
                lease,
            } => {
                if let Some(Purpose::Claim { client }) = by(self, ticket) {
                    self.host(at, Some(client), key, record, proof, lease);
                }
            }
            Event::Answered { ticket, answer } => {
                if let Some(Purpose::Claim { client }) = by(self, ticket) {
                    self.answer(client, answer);
                }
            }
            Event::Unreplicated { ticket } | Event::Failed { ticket } => {
                _ = self.elsewhere(at, ticket)
            }
            Event::Rejected { ticket } => {
                if let Some(Purpose::Intend { key }) = self.elsewhere(at, ticket) {
                    self.finish(at, key, None);
                }
            }
            Event::Committed { ticket } => match by(self, ticket) {
                Some(Purpose::Intend { key }) => {
                    let gap = self.draw.to(2 * MS);
                    let life = self.processes[at].life;
                    self.later(gap, Scheduled::Send { at, life, key });
                }
                Some(Purpose::Done {
                    key,
                    client,
                    answer,
                }) => {
                    self.processes[at].hosts.remove(&key);
                    let answer =
                        answer.map_or(Answer::Failed, |run| Answer::Served(Arc::from([key, run])));
                    self.finals.push((key, answer.clone()));
                    client
                        .iter()
                        .for_each(|client| self.answer(*client, answer.clone()));
                }
                _ => {}
            },
            Event::OwnershipLost { ticket } => {
                if let Some(Purpose::Intend { key } | Purpose::Done { key, .. }) = by(self, ticket)
                {
                    let host = self.processes[at].hosts.remove(&key);
                    if let Some(client) = host.and_then(|host| host.client) {
                        self.client_asks(client, at, true);
                    }
                }
            }
        }
    }

    fn host(
        &mut self,
        at: usize,
        client: Option<usize>,
        key: Key,
        record: Record,
        proof: Proof,
        lease: Lease,
    ) {
        let (key, term) = (key.0 as u8, record.ballot.term);
        let life = self.processes[at].life;
        let former = self.owners.insert((key, term), (at, life));
        self.verdict.one_term_twice += former.is_some_and(|former| former != (at, life)) as usize;
        self.verdict.took_over += (record.ballot.term > 1) as usize;
        let (group, may_have_run) = match proof {
            Proof::Repeatable {
                only_group: Some(group),
                ..
            } => (group, true),
            Proof::Repeatable { .. } => (self.draw.to(2) as u32, true),
            _ => (self.draw.to(2) as u32, false),
        };
        let number = record.attempts.iter().filter(|a| a.term == term).count() as u8;
        let host = Host {
            client,
            lease,
            term,
            group,
            number,
            out: false,
            may_have_run,
        };
        self.processes[at].hosts.insert(key, host);
        self.intend(at, key);
    }

    pub fn intend(&mut self, at: usize, key: u8) {
        let Some(host) = self.processes[at].hosts.get_mut(&key) else {
            return;
        };
        host.number += 1;
        let (number, group, term) = (host.number, host.group, host.term);
        let ticket = self.ticket(at, Purpose::Intend { key });
        self.ask(
            at,
            Command::BeginAttempt {
                ticket,
                key: Key(key.into()),
                term,
                number,
                group,
            },
        );
    }

    /// Right before the bytes leave.
    pub fn send(&mut self, at: usize, key: u8) {
        let local = self.local(at);
        let Some(host) = self.processes[at].hosts.get_mut(&key) else {
            return;
        };
        let (number, group, term, first) = (host.number, host.group, host.term, !host.may_have_run);
        if !host.lease.may_send(local) {
            self.ask(
                at,
                Command::EndAttempt {
                    key: Key(key.into()),
                    term,
                    number,
                    outcome: AttemptOutcome::NeverRan,
                },
            );
            if number < 8 {
                let life = self.processes[at].life;
                return self.later(20 * MS, Scheduled::Again { at, life, key });
            }
            let client = self.processes[at]
                .hosts
                .remove(&key)
                .and_then(|host| host.client);
            self.ask(
                at,
                Command::Release {
                    key: Key(key.into()),
                    term,
                    abandoned: false,
                },
            );
            return client
                .iter()
                .for_each(|client| self.client_asks(*client, at, true));
        }
        host.out = true;
        for other in (0..self.processes.len()).filter(|other| *other != at) {
            let local = self.local(other);
            let holds = |host: &Host| host.lease.may_send(local);
            let both = self.processes[other].part.is_some()
                && self.processes[other].hosts.get(&key).is_some_and(holds);
            self.verdict.two_leases += both as usize;
        }
        if let Some(lost) = self.lost_at.remove(&key) {
            self.verdict.longest = self.verdict.longest.max(self.now - lost);
        }
        let life = self.processes[at].life;
        // A first attempt that is held up in the middle of its send comes too late for its term, and is refused.
        let held_up = if self.plan.terms && first && self.draw.in_thousand(50) {
            self.draw.to(3_000 * MS)
        } else {
            0
        };
        let way = self.draw.to(20 * MS) + held_up;
        if !self.draw.in_thousand(30) {
            self.later(
                way,
                Scheduled::Arrive {
                    at,
                    life,
                    key,
                    group,
                    term,
                    number,
                },
            );
        }
        self.later(
            250 * MS,
            Scheduled::TimeOut {
                at,
                life,
                key,
                number,
            },
        );
    }

    pub fn ended(&mut self, at: usize, key: u8, number: u8, came: Option<Came>) {
        let Some(host) = self.processes[at]
            .hosts
            .get_mut(&key)
            .filter(|h| h.out && h.number == number)
        else {
            return;
        };
        host.out = false;
        let (key_, term) = (Key(key.into()), host.term);
        match came {
            Some(Came::Ran(run)) => self.finish(at, key, Some(run)),
            Some(Came::NeverRan) => {
                if !host.may_have_run {
                    host.group = (host.group + 1) % 3;
                }
                self.ask(
                    at,
                    Command::EndAttempt {
                        key: key_,
                        term,
                        number,
                        outcome: AttemptOutcome::NeverRan,
                    },
                );
                self.intend(at, key);
            }
            None => {
                host.may_have_run = true;
                let again = class(key) != "once" && number < 4;
                self.ask(
                    at,
                    Command::EndAttempt {
                        key: key_,
                        term,
                        number,
                        outcome: AttemptOutcome::MayHaveRun,
                    },
                );
                match again {
                    true => self.intend(at, key),
                    false => self.finish(at, key, None),
                }
            }
        }
    }

    fn finish(&mut self, at: usize, key: u8, run: Option<u8>) {
        let Some(host) = self.processes[at].hosts.get(&key) else {
            return;
        };
        let (client, term) = (host.client, host.term);
        let ticket = self.ticket(
            at,
            Purpose::Done {
                key,
                client,
                answer: run,
            },
        );
        let answer = run.map_or(Answer::Failed, |run| Answer::Served(Arc::from([key, run])));
        self.ask(
            at,
            Command::Complete {
                ticket,
                key: Key(key.into()),
                term,
                answer,
            },
        );
    }
}
