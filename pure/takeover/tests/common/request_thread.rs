//! The threads of a process that serve its requests: they begin attempts, send them, and store the answer.

use super::archive::ArchiveReply;
use super::schedule::Scheduled;
use super::simulation::{Purpose, Simulation};
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

/// The thread of a request at the process that owns it.
pub struct RequestThread {
    pub client: Option<usize>,
    pub lease: Lease,
    pub term: u64,
    pub group: u32,
    pub number: u8,
    /// An attempt has been sent and has not ended.
    pub in_flight: bool,
    pub may_have_run: bool,
}

impl Simulation {
    pub fn on_event(&mut self, at: usize, event: Event) {
        let purpose_of =
            |simulation: &mut Simulation, ticket: u64| simulation.take_purpose(at, ticket);
        match event {
            Event::Joined { .. } => {}
            Event::TakenOver {
                key,
                record,
                proof,
                lease,
            } => self.start_thread(at, None, key, record, proof, lease),
            Event::Acquired {
                ticket,
                key,
                record,
                proof,
                lease,
            } => {
                if let Some(Purpose::Acquire { client }) = purpose_of(self, ticket) {
                    self.start_thread(at, Some(client), key, record, proof, lease);
                }
            }
            Event::Answered { ticket, answer } => {
                if let Some(Purpose::Acquire { client }) = purpose_of(self, ticket) {
                    self.answer(client, answer);
                }
            }
            Event::Unreplicated { ticket } | Event::Failed { ticket } => {
                _ = self.retry_elsewhere(at, ticket)
            }
            Event::Rejected { ticket } => {
                if let Some(Purpose::BeginAttempt { key }) = self.retry_elsewhere(at, ticket) {
                    self.finish(at, key, None);
                }
            }
            Event::Committed { ticket } => match purpose_of(self, ticket) {
                Some(Purpose::BeginAttempt { key }) => {
                    let pause = self.random.up_to(2 * MS);
                    let incarnation = self.processes[at].incarnation;
                    self.schedule(
                        pause,
                        Scheduled::SendAttempt {
                            at,
                            incarnation,
                            key,
                        },
                    );
                }
                Some(Purpose::Complete {
                    key,
                    client,
                    answer,
                }) => {
                    self.processes[at].threads.remove(&key);
                    let answer =
                        answer.map_or(Answer::Failed, |run| Answer::Served(Arc::from([key, run])));
                    self.final_answers.push((key, answer.clone()));
                    client
                        .iter()
                        .for_each(|client| self.answer(*client, answer.clone()));
                }
                _ => {}
            },
            Event::OwnershipLost { ticket } => {
                if let Some(Purpose::BeginAttempt { key } | Purpose::Complete { key, .. }) =
                    purpose_of(self, ticket)
                {
                    let thread = self.processes[at].threads.remove(&key);
                    if let Some(client) = thread.and_then(|thread| thread.client) {
                        self.send_request(client, at, true);
                    }
                }
            }
        }
    }

    fn start_thread(
        &mut self,
        at: usize,
        client: Option<usize>,
        key: Key,
        record: Record,
        proof: Proof,
        lease: Lease,
    ) {
        let (key, term) = (key.0 as u8, record.ballot.term);
        let incarnation = self.processes[at].incarnation;
        let former = self.owners.insert((key, term), (at, incarnation));
        self.summary.shared_terms +=
            former.is_some_and(|former| former != (at, incarnation)) as usize;
        self.summary.took_over += (record.ballot.term > 1) as usize;
        let (group, may_have_run) = match proof {
            Proof::Repeatable {
                only_group: Some(group),
                ..
            } => (group, true),
            Proof::Repeatable { .. } => (self.random.up_to(2) as u32, true),
            _ => (self.random.up_to(2) as u32, false),
        };
        let number = record.attempts.iter().filter(|a| a.term == term).count() as u8;
        let thread = RequestThread {
            client,
            lease,
            term,
            group,
            number,
            in_flight: false,
            may_have_run,
        };
        self.processes[at].threads.insert(key, thread);
        self.begin_attempt(at, key);
    }

    pub fn begin_attempt(&mut self, at: usize, key: u8) {
        let Some(thread) = self.processes[at].threads.get_mut(&key) else {
            return;
        };
        thread.number += 1;
        let (number, group, term) = (thread.number, thread.group, thread.term);
        let ticket = self.new_ticket(at, Purpose::BeginAttempt { key });
        self.command(
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

    /// Sends an attempt if the lease allows it.
    pub fn send_attempt(&mut self, at: usize, key: u8) {
        let now = self.local_time(at);
        let Some(thread) = self.processes[at].threads.get_mut(&key) else {
            return;
        };
        let (number, group, term, first) = (
            thread.number,
            thread.group,
            thread.term,
            !thread.may_have_run,
        );
        if !thread.lease.may_send(now) {
            self.command(
                at,
                Command::EndAttempt {
                    key: Key(key.into()),
                    term,
                    number,
                    outcome: AttemptOutcome::NeverRan,
                },
            );
            if number < 8 {
                let incarnation = self.processes[at].incarnation;
                return self.schedule(
                    20 * MS,
                    Scheduled::RetryAttempt {
                        at,
                        incarnation,
                        key,
                    },
                );
            }
            let client = self.processes[at]
                .threads
                .remove(&key)
                .and_then(|thread| thread.client);
            self.command(
                at,
                Command::Release {
                    key: Key(key.into()),
                    term,
                    abandoned: false,
                },
            );
            return client
                .iter()
                .for_each(|client| self.send_request(*client, at, true));
        }
        thread.in_flight = true;
        for other in (0..self.processes.len()).filter(|other| *other != at) {
            let now = self.local_time(other);
            let may_send = |thread: &RequestThread| thread.lease.may_send(now);
            let both = self.processes[other].takeover.is_some()
                && self.processes[other]
                    .threads
                    .get(&key)
                    .is_some_and(may_send);
            self.summary.concurrent_leases += both as usize;
        }
        if let Some(lost_at) = self.owner_lost_at.remove(&key) {
            self.summary.longest_takeover = self.summary.longest_takeover.max(self.now - lost_at);
        }
        let incarnation = self.processes[at].incarnation;
        // A first attempt that is delayed in the middle of its send may arrive after one of a later term, and is rejected.
        let send_delay = if self.plan.terms && first && self.random.chance_per_mille(50) {
            self.random.up_to(3_000 * MS)
        } else {
            0
        };
        let latency = self.random.up_to(20 * MS) + send_delay;
        if !self.random.chance_per_mille(30) {
            self.schedule(
                latency,
                Scheduled::AttemptArrives {
                    at,
                    incarnation,
                    key,
                    group,
                    term,
                    number,
                },
            );
        }
        self.schedule(
            250 * MS,
            Scheduled::AttemptTimeout {
                at,
                incarnation,
                key,
                number,
            },
        );
    }

    pub fn end_attempt(&mut self, at: usize, key: u8, number: u8, reply: Option<ArchiveReply>) {
        let Some(thread) = self.processes[at]
            .threads
            .get_mut(&key)
            .filter(|thread| thread.in_flight && thread.number == number)
        else {
            return;
        };
        thread.in_flight = false;
        let (request_key, term) = (Key(key.into()), thread.term);
        match reply {
            Some(ArchiveReply::Ran(run)) => self.finish(at, key, Some(run)),
            Some(ArchiveReply::NeverRan) => {
                if !thread.may_have_run {
                    thread.group = (thread.group + 1) % 3;
                }
                self.command(
                    at,
                    Command::EndAttempt {
                        key: request_key,
                        term,
                        number,
                        outcome: AttemptOutcome::NeverRan,
                    },
                );
                self.begin_attempt(at, key);
            }
            None => {
                thread.may_have_run = true;
                let retries = class(key) != "once" && number < 4;
                self.command(
                    at,
                    Command::EndAttempt {
                        key: request_key,
                        term,
                        number,
                        outcome: AttemptOutcome::MayHaveRun,
                    },
                );
                match retries {
                    true => self.begin_attempt(at, key),
                    false => self.finish(at, key, None),
                }
            }
        }
    }

    fn finish(&mut self, at: usize, key: u8, run: Option<u8>) {
        let Some(thread) = self.processes[at].threads.get(&key) else {
            return;
        };
        let (client, term) = (thread.client, thread.term);
        let ticket = self.new_ticket(
            at,
            Purpose::Complete {
                key,
                client,
                answer: run,
            },
        );
        let answer = run.map_or(Answer::Failed, |run| Answer::Served(Arc::from([key, run])));
        self.command(
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
