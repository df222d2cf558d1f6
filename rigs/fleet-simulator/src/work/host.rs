//! The thread that owns a work: it intends, sends under its lease, hears and answers.

use super::{answer_of, Came, Host, Outside, Purpose, Step};
use crate::net::{Event, World};
use crate::node::Local;
use crate::plan::*;
use foldmux_takeover::*;

/// An attempt is given up after so long, and so many are made under one term.
const PATIENCE: u64 = 250 * MS;
const TRIES: u8 = 8;

impl World {
    pub(super) fn host(
        &mut self,
        at: usize,
        client: Option<usize>,
        key: Key,
        record: Record,
        proof: Proof,
        lease: Lease,
    ) {
        let (key, term) = (key.0 as u32, record.ballot.term);
        let (group, may_have_run) = match proof {
            Proof::Repeatable {
                only_group: Some(group),
                ..
            } => (group, true),
            Proof::Repeatable { .. } => (self.rng.u32(..3), true),
            _ => (self.rng.u32(..3), false),
        };
        let number = record
            .attempts
            .iter()
            .filter(|a| a.term == term)
            .map(|a| a.number)
            .max()
            .unwrap_or(0);
        let host = Host {
            client,
            lease,
            term,
            group,
            number,
            out: false,
            may_have_run,
        };
        self.nodes[at].desk.hosts.insert(key, host);
        self.intend(at, key);
    }

    fn intend(&mut self, at: usize, key: u32) {
        let Some(host) = self.nodes[at].desk.hosts.get_mut(&key) else {
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

    pub fn work_step(&mut self, at: usize, step: Step) {
        match step {
            Step::Send { key } => self.send_attempt(at, key),
            Step::Again { key } => self.intend(at, key),
            Step::Came {
                key,
                term,
                number,
                came,
            } => self.ended(at, key, (term, number), Some(came)),
            Step::TimeOut { key, term, number } => self.ended(at, key, (term, number), None),
        }
    }

    /// Right before the bytes leave.
    fn send_attempt(&mut self, at: usize, key: u32) {
        let clock = self.clock(at);
        let Some(host) = self.nodes[at].desk.hosts.get_mut(&key) else {
            return;
        };
        let (number, group, term, first) = (host.number, host.group, host.term, !host.may_have_run);
        if !host.lease.may_send(clock) {
            self.ask(
                at,
                Command::EndAttempt {
                    key: Key(key.into()),
                    term,
                    number,
                    outcome: AttemptOutcome::NeverRan,
                },
            );
            if number < TRIES {
                return self.then(at, 20 * MS, Local::Work(Step::Again { key }));
            }
            let client = self.nodes[at]
                .desk
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
        // Where the archive knows terms, a first attempt may be held up in the middle of its send, and is refused.
        let held = if self.archive.terms && first && self.rng.u8(..20) == 0 {
            self.rng.u64(..3 * SECOND)
        } else {
            0
        };
        let (way, life) = (self.rng.u64(..20 * MS) + held, self.nodes[at].life);
        if self.rng.u8(..32) > 0 {
            self.later(
                way,
                Event::Work(Outside::Arrive {
                    at,
                    life,
                    key,
                    group,
                    term,
                    number,
                }),
            );
        }
        self.then(
            at,
            PATIENCE,
            Local::Work(Step::TimeOut { key, term, number }),
        );
    }

    fn ended(&mut self, at: usize, key: u32, (term, number): (u64, u8), came: Option<Came>) {
        let mine = |host: &&mut Host| host.out && (host.term, host.number) == (term, number);
        let Some(host) = self.nodes[at].desk.hosts.get_mut(&key).filter(mine) else {
            return;
        };
        host.out = false;
        let own = Key(key.into());
        match came {
            Some(Came::Ran(run)) => self.finish(at, key, Some(run)),
            Some(Came::NeverRan) => {
                if !host.may_have_run {
                    host.group = (host.group + 1) % 3;
                }
                self.ask(
                    at,
                    Command::EndAttempt {
                        key: own,
                        term,
                        number,
                        outcome: AttemptOutcome::NeverRan,
                    },
                );
                self.intend(at, key);
            }
            None => {
                host.may_have_run = true;
                let again = class(key) != "once" && number < TRIES / 2;
                self.ask(
                    at,
                    Command::EndAttempt {
                        key: own,
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

    pub(super) fn finish(&mut self, at: usize, key: u32, run: Option<u32>) {
        let Some(host) = self.nodes[at].desk.hosts.get(&key) else {
            return;
        };
        let (client, term) = (host.client, host.term);
        let ticket = self.ticket(at, Purpose::Done { key, client, run });
        self.ask(
            at,
            Command::Complete {
                ticket,
                key: Key(key.into()),
                term,
                answer: answer_of(run),
            },
        );
    }
}
