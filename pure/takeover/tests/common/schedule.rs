//! The scheduled events of the simulation, and how each is run.

use super::archive::ArchiveReply;
use super::simulation::Simulation;
use super::{name, Action, MS};
use foldmux_replicas::StateMachine;
use foldmux_takeover::Message;

/// A scheduled event. `at` is the number of its process. Events at a process carry its `incarnation` and are dropped if it
/// has died since; an attempt on its way to the archive arrives all the same.
#[derive(Debug)]
pub enum Scheduled {
    Action(Action),
    Deliver {
        to: usize,
        from: usize,
        incarnation: u64,
        message: Box<Message>,
    },
    Tick {
        at: usize,
        incarnation: u64,
    },
    Resume {
        at: usize,
    },
    Start {
        at: usize,
    },
    RestoreLinks {
        links: Vec<(usize, usize)>,
    },
    ClientTimeout {
        client: usize,
        sent: u32,
        at: usize,
    },
    ClientRetry {
        client: usize,
        sent: u32,
        at: usize,
    },
    SendAttempt {
        at: usize,
        incarnation: u64,
        key: u8,
    },
    RetryAttempt {
        at: usize,
        incarnation: u64,
        key: u8,
    },
    AttemptArrives {
        at: usize,
        incarnation: u64,
        key: u8,
        group: u32,
        term: u64,
        number: u8,
    },
    AttemptReply {
        at: usize,
        incarnation: u64,
        key: u8,
        number: u8,
        reply: ArchiveReply,
    },
    AttemptTimeout {
        at: usize,
        incarnation: u64,
        key: u8,
        number: u8,
    },
}

impl Simulation {
    pub fn run_event(&mut self, event: Scheduled) {
        let at = match &event {
            Scheduled::Deliver { to: at, .. }
            | Scheduled::Tick { at, .. }
            | Scheduled::SendAttempt { at, .. } => Some(*at),
            Scheduled::RetryAttempt { at, .. }
            | Scheduled::AttemptReply { at, .. }
            | Scheduled::AttemptTimeout { at, .. } => Some(*at),
            _ => None,
        };
        let incarnation = match &event {
            Scheduled::Deliver { incarnation, .. }
            | Scheduled::Tick { incarnation, .. }
            | Scheduled::SendAttempt { incarnation, .. } => *incarnation,
            Scheduled::RetryAttempt { incarnation, .. }
            | Scheduled::AttemptReply { incarnation, .. }
            | Scheduled::AttemptTimeout { incarnation, .. } => *incarnation,
            _ => 0,
        };
        if let Some(process) = at.map(|at| &mut self.processes[at]) {
            if process.incarnation != incarnation || process.takeover.is_none() {
                return;
            }
            if process.paused {
                return process.deferred.push(event);
            }
        }
        match event {
            Scheduled::Action(action) => self.perform(action),
            Scheduled::Deliver {
                to, from, message, ..
            } => self.drive(to, |takeover, now, effects| {
                takeover.on_message(now, &name(from), *message, effects)
            }),
            Scheduled::Tick { at, .. } => {
                self.processes[at].scheduled_tick = 0;
                self.drive(at, |takeover, now, effects| {
                    if takeover.next_tick().is_some_and(|due| due <= now) {
                        takeover.on_tick(now, effects);
                    }
                })
            }
            Scheduled::Resume { at } => {
                self.processes[at].paused = false;
                let deferred = std::mem::take(&mut self.processes[at].deferred);
                deferred.into_iter().for_each(|event| self.run_event(event));
            }
            Scheduled::Start { at } => self.start(at, false),
            Scheduled::RestoreLinks { links } => links
                .iter()
                .for_each(|link| *self.cut_links.get_mut(link).unwrap() -= 1),
            Scheduled::ClientTimeout { client, sent, at }
            | Scheduled::ClientRetry { client, sent, at } => {
                if self.clients[client].sent == sent {
                    let next = (at + 1 + self.random.up_to(1) as usize) % self.processes.len();
                    self.send_request(client, next, false);
                }
            }
            Scheduled::SendAttempt { at, key, .. } => self.send_attempt(at, key),
            Scheduled::RetryAttempt { at, key, .. } => self.begin_attempt(at, key),
            Scheduled::AttemptArrives {
                at,
                incarnation,
                key,
                group,
                term,
                number,
            } => {
                let term = self.plan.terms.then_some(term << 8 | number as u64);
                let reply = self
                    .archive
                    .arrive(&mut self.random, self.now, key, group, term);
                let after = self.random.up_to(40 * MS);
                if !self.random.chance_per_mille(30) {
                    self.schedule(
                        after,
                        Scheduled::AttemptReply {
                            at,
                            incarnation,
                            key,
                            number,
                            reply,
                        },
                    );
                }
            }
            Scheduled::AttemptReply {
                at,
                key,
                number,
                reply,
                ..
            } => self.end_attempt(at, key, number, Some(reply)),
            Scheduled::AttemptTimeout {
                at, key, number, ..
            } => self.end_attempt(at, key, number, None),
        }
    }
}
