//! What is scheduled to happen in the world, and what comes of each.

use super::archive::Came;
use super::world::World;
use super::{name, Act, MS};
use foldmux_replicas::StateMachine;
use foldmux_takeover::Message;

#[derive(Debug)]
pub enum Scheduled {
    Act(Act),
    Heard {
        to: usize,
        from: usize,
        life: u64,
        message: Box<Message>,
    },
    Tick {
        at: usize,
        life: u64,
    },
    Wake {
        at: usize,
    },
    Start {
        at: usize,
    },
    Heal {
        links: Vec<(usize, usize)>,
    },
    Patience {
        client: usize,
        turn: u32,
        at: usize,
    },
    Elsewhere {
        client: usize,
        turn: u32,
        at: usize,
    },
    Send {
        at: usize,
        life: u64,
        key: u8,
    },
    Again {
        at: usize,
        life: u64,
        key: u8,
    },
    Arrive {
        at: usize,
        life: u64,
        key: u8,
        group: u32,
        term: u64,
        number: u8,
    },
    Came {
        at: usize,
        life: u64,
        key: u8,
        number: u8,
        came: Came,
    },
    TimeOut {
        at: usize,
        life: u64,
        key: u8,
        number: u8,
    },
}

impl World {
    pub fn take(&mut self, event: Scheduled) {
        let at = match &event {
            Scheduled::Heard { to: at, .. }
            | Scheduled::Tick { at, .. }
            | Scheduled::Send { at, .. } => Some(*at),
            Scheduled::Again { at, .. }
            | Scheduled::Came { at, .. }
            | Scheduled::TimeOut { at, .. } => Some(*at),
            _ => None,
        };
        let life = match &event {
            Scheduled::Heard { life, .. }
            | Scheduled::Tick { life, .. }
            | Scheduled::Send { life, .. } => *life,
            Scheduled::Again { life, .. }
            | Scheduled::Came { life, .. }
            | Scheduled::TimeOut { life, .. } => *life,
            _ => 0,
        };
        if let Some(process) = at.map(|at| &mut self.processes[at]) {
            if process.life != life || process.part.is_none() {
                return;
            }
            if process.paused {
                return process.waiting.push(event);
            }
        }
        match event {
            Scheduled::Act(act) => self.act(act),
            Scheduled::Heard {
                to, from, message, ..
            } => self.drive(to, |part, now, out| {
                part.on_message(now, &name(from), *message, out)
            }),
            Scheduled::Tick { at, .. } => {
                self.processes[at].tick = 0;
                self.drive(at, |part, now, out| {
                    if part.next_tick().is_some_and(|due| due <= now) {
                        part.on_tick(now, out);
                    }
                })
            }
            Scheduled::Wake { at } => {
                self.processes[at].paused = false;
                let waiting = std::mem::take(&mut self.processes[at].waiting);
                waiting.into_iter().for_each(|event| self.take(event));
            }
            Scheduled::Start { at } => self.start(at, false),
            Scheduled::Heal { links } => links
                .iter()
                .for_each(|link| *self.cut.get_mut(link).unwrap() -= 1),
            Scheduled::Patience { client, turn, at }
            | Scheduled::Elsewhere { client, turn, at } => {
                if self.clients[client].turn == turn {
                    let next = (at + 1 + self.draw.to(1) as usize) % self.processes.len();
                    self.client_asks(client, next, false);
                }
            }
            Scheduled::Send { at, key, .. } => self.send(at, key),
            Scheduled::Again { at, key, .. } => self.intend(at, key),
            Scheduled::Arrive {
                at,
                life,
                key,
                group,
                term,
                number,
            } => {
                let term = self.plan.terms.then_some(term << 8 | number as u64);
                let came = self
                    .archive
                    .arrive(&mut self.draw, self.now, key, group, term);
                let after = self.draw.to(40 * MS);
                if !self.draw.in_thousand(30) {
                    self.later(
                        after,
                        Scheduled::Came {
                            at,
                            life,
                            key,
                            number,
                            came,
                        },
                    );
                }
            }
            Scheduled::Came {
                at,
                key,
                number,
                came,
                ..
            } => self.ended(at, key, number, Some(came)),
            Scheduled::TimeOut {
                at, key, number, ..
            } => self.ended(at, key, number, None),
        }
    }
}
