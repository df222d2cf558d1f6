//! Virtual time: what happens next, links, clocks that drift, and what breaks.

use crate::news::Source;
use crate::node::{Kind, Local, Node, Parts, Wire, BORN};
use crate::plan::*;
use crate::work::{Archive, Client};
use foldmux_harness::record::{Event as Said, Line, Time};
use foldmux_replicas::{Effect, Peer};
use slab::Slab;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::sync::Arc;

pub enum Event {
    /// At one life of an instance.
    At {
        node: usize,
        life: u64,
        what: Local,
    },
    Break {
        node: usize,
        what: What,
    },
    Wake {
        node: usize,
        life: u64,
    },
    End {
        node: usize,
        life: u64,
        back: Time,
    },
    Start {
        node: usize,
    },
    Work(crate::work::Outside),
    News(crate::news::Outside),
    Given {
        pool: usize,
        by: usize,
    },
}

pub struct World {
    pub plan: Plan,
    pub now: Time,
    pub rng: fastrand::Rng,
    pub nodes: Vec<Node>,
    pub places: Vec<(Peer, Vec<Arc<str>>)>,
    pub lines: Vec<Line>,
    pub fired: Vec<Fault>,
    pub messages: u64,
    pub clients: Vec<Client>,
    pub archive: Archive,
    pub source: Source,
    pub tickets: usize,
    pub serial: u64,
    /// Until when a seat is away, or without memory: no other is broken meanwhile.
    seat_away: Time,
    events: Slab<Event>,
    queue: BinaryHeap<Reverse<(Time, u64, usize)>>,
    last: HashMap<(usize, usize), Time>,
    cut: HashMap<(usize, usize), Time>,
}

impl World {
    pub fn played(plan: &Plan) -> World {
        let place = |at: usize| (name(at), vec![Arc::from(format!("s{}", site(at)))]);
        let mut world = World {
            now: 0,
            rng: fastrand::Rng::with_seed(plan.seed),
            nodes: Vec::new(),
            places: (0..plan.instances).map(place).collect(),
            lines: Vec::new(),
            fired: Vec::new(),
            messages: 0,
            clients: Vec::new(),
            archive: Archive::new(plan.seed.is_multiple_of(2)),
            source: Source::default(),
            tickets: 0,
            serial: 0,
            seat_away: 0,
            events: Slab::new(),
            queue: BinaryHeap::new(),
            last: HashMap::new(),
            cut: HashMap::new(),
            plan: plan.clone(),
        };
        let (seed, processes, sites) = (plan.seed, plan.instances, site(plan.instances - 1) + 1);
        world.say(Said::Planned {
            seed,
            processes,
            sites,
        });
        for at in 0..plan.instances {
            world.nodes.push(Node {
                parts: None,
                life: 0,
                born: 0,
                // As far apart as they may run.
                ppm: [10_000, -10_000, 0, -7_000, 3_000][at % 5],
                paused: false,
                leaving: false,
                held: Vec::new(),
                tick: Time::MAX,
                desk: Default::default(),
                reading: Default::default(),
                pools: None,
            });
        }
        (0..plan.instances).for_each(|at| world.start(at));
        world.begin_work();
        world.begin_news();
        world.begin_pools();
        while let Some(Reverse((time, _, slot))) = world.queue.pop() {
            if time > plan.ends() {
                break;
            }
            world.now = time;
            let event = world.events.remove(slot);
            world.happen(event);
        }
        world.end_work();
        world
    }

    pub fn say(&mut self, event: Said) {
        self.lines.push(Line {
            at: self.now,
            event,
        });
    }

    pub fn later(&mut self, after: Time, event: Event) {
        self.serial += 1;
        let slot = self.events.insert(event);
        self.queue
            .push(Reverse((self.now + after, self.serial, slot)));
    }

    /// At the life that an instance has now.
    pub fn then(&mut self, node: usize, after: Time, what: Local) {
        let life = self.nodes[node].life;
        self.later(after, Event::At { node, life, what });
    }

    pub fn clock(&self, at: usize) -> Time {
        let node = &self.nodes[at];
        let passed = (self.now - node.born) as i64;
        BORN + (passed + passed * node.ppm / 1_000_000) as Time
    }

    pub fn up(&self, at: usize) -> bool {
        self.nodes[at].parts.is_some() && !self.nodes[at].leaving
    }

    /// Has a part do something, and does what it wants done.
    pub fn drive<P: Kind>(
        &mut self,
        at: usize,
        call: impl FnOnce(&mut P, Time, &mut Vec<Effect<P::Message, P::Event>>),
    ) {
        let (now, life) = (self.clock(at), self.nodes[at].life);
        let Some(parts) = &mut self.nodes[at].parts else {
            return;
        };
        let mut out = Vec::new();
        call(P::of(parts), now, &mut out);
        for act in out {
            // It may die in the middle.
            if self.nodes[at].life != life {
                return;
            }
            match act {
                Effect::Send { to, message } => self.send(at, index(&to), P::wire(message)),
                Effect::Emit(told) => P::told(self, at, told),
            }
        }
        self.arm(at);
    }

    pub(crate) fn arm(&mut self, at: usize) {
        let (clock, node) = (self.clock(at), &self.nodes[at]);
        let Some(due) = node.parts.as_ref().and_then(Parts::due) else {
            return;
        };
        let after = due.saturating_sub(clock) as i64 * 1_000_000 / (1_000_000 + node.ppm);
        let when = self.now + after as Time + 1;
        if when < node.tick {
            self.nodes[at].tick = when;
            self.then(at, after as Time + 1, Local::Tick { when });
        }
    }

    fn send(&mut self, from: usize, to: usize, wire: Wire) {
        if from == to {
            return self.then(
                to,
                0,
                Local::Heard {
                    from,
                    wire: Box::new(wire),
                },
            );
        }
        self.messages += 1;
        let breaking =
            (self.plan.begins()..self.plan.begins() + self.plan.span).contains(&self.now);
        let what = if breaking {
            self.plan.fault(self.messages)
        } else {
            None
        };
        let what = what.filter(|what| self.may(from, to, *what));
        self.fired.extend(what.map(|what| Fault {
            message: self.messages,
            what,
        }));
        let gone = self
            .cut
            .get(&(from, to))
            .is_some_and(|until| self.now < *until)
            || what == Some(What::Lost);
        let fault =
            |node, what, world: &mut World, after| world.later(after, Event::Break { node, what });
        let way = self.rng.u64(MS / 4..=WAY);
        // In order, as a connection is, but for what is late.
        let last = self.last.entry((from, to)).or_default();
        let arrives = (self.now + way).max(*last);
        *last = arrives;
        let after = arrives - self.now;
        match what {
            Some(What::Cut(span)) => {
                self.cut.insert((from, to), self.now + span);
                self.say(Said::Cut {
                    line: format!("{from} to {to}"),
                    way: "there".into(),
                });
            }
            Some(
                What::Kill(Who::Sender, _)
                | What::Pause(Who::Sender, _)
                | What::Leave(Who::Sender, _),
            ) => fault(from, what.expect("this one"), self, 0),
            _ => {}
        }
        if !gone {
            let copies = 1 + (what == Some(What::Twice)) as usize;
            for copy in 0..copies {
                let late = if let Some(What::Late(by)) = what {
                    by
                } else {
                    copy as Time * 200 * MS
                };
                self.then(
                    to,
                    after + late,
                    Local::Heard {
                        from,
                        wire: Box::new(wire.clone()),
                    },
                );
            }
        }
        if let Some(
            What::Kill(Who::Receiver, _)
            | What::Pause(Who::Receiver, _)
            | What::Leave(Who::Receiver, _),
        ) = what
        {
            fault(to, what.expect("this one"), self, after);
        }
    }

    /// One seat at a time is broken, until it remembers all that matters: what the fleet promises is under that.
    fn may(&mut self, from: usize, to: usize, what: What) -> bool {
        let (who, time) = match what {
            What::Pause(who, span) => (who, span + WAY),
            What::Kill(who, back) | What::Leave(who, back) => {
                (who, back + SECOND + drift().stretched(2 * LONGEST + LEASE))
            }
            _ => return true,
        };
        let node = if who == Who::Sender { from } else { to };
        if !self.up(node) || self.nodes[node].paused {
            return false;
        }
        if node < SEATS {
            if self.now < self.seat_away {
                return false;
            }
            self.seat_away = self.now + time;
        }
        true
    }
}
