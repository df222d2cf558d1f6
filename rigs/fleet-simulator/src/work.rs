//! Covered requests: clients that ask until they have an answer, the threads that own a work, and the archive.

use crate::net::{Event, World};
use crate::node::Local;
use crate::plan::*;
use foldmux_harness::record::{Event as Said, Outcome};
use foldmux_replicas::StateMachine;
use foldmux_takeover::{self as takeover, *};
use std::sync::Arc;

fn work(key: u32) -> Arc<Request> {
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

impl World {
    pub fn begin_work(&mut self) {
        for key in 0..self.plan.instances as u32 * 4 {
            let at = self.rng.usize(..self.nodes.len());
            let when = self.plan.begins() + self.rng.u64(..self.plan.span);
            self.later(when, Event::Work(Outside::New { key, at }));
            // Another client with the same key, elsewhere.
            if self.rng.u8(..5) == 0 {
                let (at, after) = (self.rng.usize(..self.nodes.len()), self.rng.u64(..SECOND));
                self.later(when + after, Event::Work(Outside::New { key, at }));
            }
        }
    }

    pub fn end_work(&mut self) {
        let lost: Vec<u32> = self
            .clients
            .iter()
            .filter(|c| !c.answered)
            .map(|c| c.key)
            .collect();
        lost.into_iter().for_each(|key| {
            self.say(Said::GaveUp {
                key: key.to_string(),
            })
        });
    }

    fn ticket(&mut self, at: usize, purpose: Purpose) -> u64 {
        self.serial += 1;
        self.nodes[at].desk.tickets.insert(self.serial, purpose);
        self.serial
    }

    fn ask(&mut self, at: usize, ask: Command) {
        self.drive::<Takeover>(at, |part, now, out| part.on_command(now, ask, out));
    }

    pub fn work_outside(&mut self, what: Outside) {
        match what {
            Outside::New { key, at } => {
                self.clients.push(Client {
                    key,
                    until: self.now + LONGEST,
                    answered: false,
                    turn: 0,
                });
                self.client_asks(self.clients.len() - 1, at, false);
            }
            Outside::Ask { client, turn, at } if self.clients[client].turn == turn => {
                let next = (at + 1 + self.rng.usize(..self.nodes.len() - 1)) % self.nodes.len();
                self.client_asks(client, next, false);
            }
            Outside::Ask { .. } => {}
            Outside::Arrive {
                at,
                life,
                key,
                group,
                term,
                number,
            } => {
                let came = self.arrive(at, key, group, term, number);
                let after = self.rng.u64(..40 * MS);
                if self.rng.u8(..32) > 0 {
                    let what = Local::Work(Step::Came {
                        key,
                        term,
                        number,
                        came,
                    });
                    self.later(
                        after,
                        Event::At {
                            node: at,
                            life,
                            what,
                        },
                    );
                }
            }
        }
    }

    fn client_asks(&mut self, client: usize, at: usize, again: bool) {
        let one = &mut self.clients[client];
        if one.answered || self.now >= one.until {
            return;
        }
        one.turn += 1;
        let (key, left, turn) = (one.key, one.until - self.now, one.turn);
        let up = self.up(at);
        let after = if up { 700 * MS } else { 20 * MS };
        self.later(after, Event::Work(Outside::Ask { client, turn, at }));
        if up {
            self.say(Said::Asked {
                key: key.to_string(),
                process: at,
                covered: true,
                again: turn > 1,
            });
            let ticket = self.ticket(at, Purpose::Claim { client });
            self.ask(
                at,
                Command::Acquire {
                    ticket,
                    key: Key(key.into()),
                    request: work(key),
                    time_left: left,
                    ownership_lost: again,
                },
            );
        }
    }

    /// Its connection broke: it asks elsewhere.
    pub fn cut_off(&mut self, client: usize, at: usize) {
        let Client { key, turn, .. } = self.clients[client];
        if !self.clients[client].answered {
            self.say(Said::CutOff {
                key: key.to_string(),
                process: at,
            });
            self.later(5 * MS, Event::Work(Outside::Ask { client, turn, at }));
        }
    }

    fn answer(&mut self, client: usize, process: usize, answer: &Answer) {
        let key = self.clients[client].key.to_string();
        self.clients[client].answered = true;
        let (outcome, result) = match answer {
            Answer::Served(bytes) => (Outcome::Served, format!("{bytes:?}")),
            _ => (Outcome::Failed, String::new()),
        };
        self.say(Said::Answered {
            key,
            process,
            outcome,
            result,
        });
    }

    fn purpose(&mut self, at: usize, ticket: u64) -> Option<Purpose> {
        let purpose = self.nodes[at].desk.tickets.remove(&ticket);
        self.tickets += purpose.is_none() as usize;
        purpose
    }

    pub fn work_told(&mut self, at: usize, told: takeover::Event) {
        match told {
            takeover::Event::Joined { .. } => {}
            takeover::Event::TakenOver {
                key,
                record,
                proof,
                lease,
            } => self.host(at, None, key, record, proof, lease),
            takeover::Event::Acquired {
                ticket,
                key,
                record,
                proof,
                lease,
            } => {
                if let Some(Purpose::Claim { client }) = self.purpose(at, ticket) {
                    self.host(at, Some(client), key, record, proof, lease);
                }
            }
            takeover::Event::Answered { ticket, answer } => {
                if let Some(Purpose::Claim { client }) = self.purpose(at, ticket) {
                    self.answer(client, at, &answer);
                }
            }
            takeover::Event::Unreplicated { ticket }
            | takeover::Event::Failed { ticket }
            | takeover::Event::Rejected { ticket } => {
                let refused = matches!(told, takeover::Event::Rejected { .. });
                match self.purpose(at, ticket) {
                    Some(Purpose::Claim { client }) => self.elsewhere(at, client, refused),
                    Some(Purpose::Intend { key }) if refused => self.finish(at, key, None),
                    _ => {}
                }
            }
            takeover::Event::Committed { ticket } => match self.purpose(at, ticket) {
                Some(Purpose::Intend { key }) => {
                    let gap = self.rng.u64(..2 * MS);
                    self.then(at, gap, Local::Work(Step::Send { key }));
                }
                Some(Purpose::Done { key, client, run }) => {
                    self.nodes[at].desk.hosts.remove(&key);
                    client
                        .iter()
                        .for_each(|client| self.answer(*client, at, &answer_of(run)));
                }
                _ => {}
            },
            takeover::Event::OwnershipLost { ticket } => {
                if let Some(Purpose::Intend { key } | Purpose::Done { key, .. }) =
                    self.purpose(at, ticket)
                {
                    let host = self.nodes[at].desk.hosts.remove(&key);
                    if let Some(client) = host.and_then(|host| host.client) {
                        self.client_asks(client, at, true);
                    }
                }
            }
        }
    }

    fn elsewhere(&mut self, at: usize, client: usize, refused: bool) {
        let Client { key, turn, .. } = self.clients[client];
        if refused {
            self.say(Said::Refused {
                key: key.to_string(),
                process: at,
                wait_ms: 50,
            });
        }
        self.later(50 * MS, Event::Work(Outside::Ask { client, turn, at }));
    }
}

fn answer_of(run: Option<u32>) -> Answer {
    run.map_or(Answer::Failed, |run| {
        Answer::Served(Arc::from(run.to_be_bytes()))
    })
}

mod archive;
mod host;
mod state;

pub use archive::{Archive, Came};
pub use state::{Client, Desk, Host, Outside, Purpose, Step};
