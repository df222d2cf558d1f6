//! What comes, at its time: to an instance that runs, is paused or gone; and what all is like in the end.

use crate::net::{Event, World};
use crate::node::{Kind, Local, Parts, Wire};
use crate::plan::*;
use crate::Ends;
use foldmux_fair_queue::FleetSlots;
use foldmux_harness::record::{Event as Said, Time};
use foldmux_membership::{self as members, Members};
use foldmux_relay::Relay;
use foldmux_replicas::StateMachine;
use foldmux_takeover::Takeover;

impl World {
    pub(crate) fn happen(&mut self, event: Event) {
        match event {
            Event::At { node, life, what } => {
                if self.nodes[node].life != life {
                } else if self.nodes[node].paused {
                    self.nodes[node].held.push(what);
                } else {
                    self.local(node, what);
                }
            }
            Event::Break { node, what } => self.breaks(node, what),
            Event::Wake { node, life } if self.nodes[node].life == life => {
                self.nodes[node].paused = false;
                self.say(Said::Woken { process: node });
                for what in std::mem::take(&mut self.nodes[node].held) {
                    // What it does may have it paused or killed anew.
                    self.then(node, 0, what);
                }
            }
            Event::Wake { .. } => {}
            Event::End { node, life, back } if self.nodes[node].life == life => {
                self.say(Said::Ended { process: node });
                self.stop(node, back);
            }
            Event::End { .. } => {}
            Event::Start { node } => self.start(node),
            Event::Work(what) => self.work_outside(what),
            Event::News(what) => self.news_outside(what),
            Event::Given { pool, by } => self.say(Said::Given {
                pool: format!("p{pool}"),
                by: Some(by),
            }),
        }
    }

    fn local(&mut self, at: usize, what: Local) {
        match what {
            Local::Heard { from, wire } => match *wire {
                Wire::Members(m) => self.drive::<Members>(at, |part, now, out| {
                    part.on_message(now, &name(from), m, out)
                }),
                Wire::Takeover(m) => self.drive::<Takeover>(at, |part, now, out| {
                    part.on_message(now, &name(from), m, out)
                }),
                Wire::Relay(m) => self.drive::<Relay>(at, |part, now, out| {
                    part.on_message(now, &name(from), m, out)
                }),
                Wire::Slots(m) => self.drive::<FleetSlots>(at, |part, now, out| {
                    part.on_message(now, &name(from), m, out)
                }),
            },
            Local::Tick { when } if when == self.nodes[at].tick => {
                self.nodes[at].tick = Time::MAX;
                self.tick::<Members>(at);
                self.tick::<Takeover>(at);
                self.tick::<Relay>(at);
                self.tick::<FleetSlots>(at);
                self.arm(at);
            }
            Local::Tick { .. } => {}
            Local::Pool => self.pool_step(at),
            Local::Work(step) => self.work_step(at, step),
            Local::News(step) => self.news_step(at, step),
            Local::Slot { id } => self.slot_ended(at, id),
        }
    }

    fn tick<P: Kind>(&mut self, at: usize) {
        let now = self.clock(at);
        let Some(parts) = &mut self.nodes[at].parts else {
            return;
        };
        if P::of(parts).next_tick().is_some_and(|due| due <= now) {
            self.drive::<P>(at, |part, now, out| part.on_tick(now, out));
        }
    }

    pub fn member_told(&mut self, at: usize, told: members::Event) {
        let (peer, alive) = match told {
            members::Event::Up(seen) | members::Event::Restarted(seen) => (seen.peer, true),
            members::Event::Down(peer) | members::Event::Left(peer) => (peer, false),
            members::Event::Rival(_) => return,
        };
        self.drive::<Takeover>(at, |part, now, out| {
            part.on_peer_status(now, &peer, alive, out)
        });
        self.drive::<Relay>(at, |part, now, out| {
            part.on_peer_status(now, &peer, alive, out)
        });
        self.drive::<FleetSlots>(at, |part, now, out| {
            part.on_peer_status(now, &peer, alive, out)
        });
    }
}

impl World {
    pub fn ends(&self) -> Ends {
        let works = self.nodes.iter().filter_map(|node| node.parts.as_ref());
        let see = |parts: &Parts| {
            parts
                .members
                .seen()
                .iter()
                .filter(|seen| seen.state.alive())
                .count()
        };
        let astray = self
            .nodes
            .iter()
            .filter_map(|node| node.parts.as_ref())
            .filter(|p| see(p) + 1 != self.nodes.len());
        Ends {
            behind: self.readers_behind(),
            works: works.map(|parts| parts.takeover.counts().1).sum(),
            short: self.pools_short(),
            tickets: self.tickets
                + self
                    .nodes
                    .iter()
                    .map(|node| node.desk.open())
                    .sum::<usize>(),
            astray: astray.count(),
        }
    }
}
