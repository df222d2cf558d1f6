//! Slots: instances that ask more of their pools than those have, what runs behind, and how instances end and start.

use crate::net::{Event, World};
use crate::node::{pool_key, Local, Parts};
use crate::plan::*;
use foldmux_fair_queue::local_pool::{LocalPool, PoolAdmission, PoolDispatch, Request, SlotInUse};
use foldmux_fair_queue::queue::Setup;
use foldmux_fair_queue::slow::CostModel;
use foldmux_fair_queue::{self as fair_queue, FleetSlots, HeldSlots, Weight};
use foldmux_harness::record::{Event as Said, Time};
use foldmux_membership as members;
use foldmux_relay as relay;
use foldmux_replicas::StateMachine;
use foldmux_takeover as takeover;
use std::collections::HashMap;

/// What the fleet hears of use, and requests come, so often.
const STEP: Time = 20 * MS;

pub struct Pools {
    queue: LocalPool,
    used: HashMap<u64, SlotInUse>,
    takes: HashMap<u64, Time>,
}

impl Pools {
    fn new(pool: usize) -> Pools {
        let setup = Setup {
            slots: 0,
            slow_share: 0.5,
            max_slot_time: SLOT_LONGEST,
            max_waiting: 200,
            buckets: 8,
            unnamed_weight: Weight::ONE,
        };
        let queue = LocalPool::new(
            pool_key(pool),
            setup,
            CostModel::new(1, 100 * MS, SLOT_LONGEST),
            HeldSlots::default(),
        );
        Pools {
            queue,
            used: HashMap::new(),
            takes: HashMap::new(),
        }
    }
}

impl World {
    pub fn begin_pools(&mut self) {
        for pool in 0..=pool(self.plan.instances - 1).unwrap_or(0) {
            self.say(Said::Cap {
                pool: format!("p{pool}"),
                slots: SLOTS.into(),
            });
        }
    }

    pub fn pool_step(&mut self, at: usize) {
        let clock = self.clock(at);
        let Some(pools) = &self.nodes[at].pools else {
            return;
        };
        let uses = pools.queue.usage_report(clock);
        self.drive::<FleetSlots>(at, |part, now, out| part.on_command(now, uses, out));
        // Half as much again as there is, of the pool's instances together.
        if self.nodes[at].pools.is_some() && self.rng.u8(..3) == 0 {
            self.wish(at, clock);
        }
        self.go_on(at);
        self.then(at, STEP, Local::Pool);
    }

    fn wish(&mut self, at: usize, clock: Time) {
        let takes = self.rng.u64(10 * MS..200 * MS);
        let tenant = ["a", "b", "c"][self.rng.usize(..3)];
        self.serial += 1;
        let id = self.serial;
        let request = Request {
            id,
            tenant,
            class: 0,
            size_kb: takes as f64 / 1_000.0,
            source: 1,
            deadline: clock + SECOND,
            is_retry: false,
        };
        let Some(pools) = &mut self.nodes[at].pools else {
            return;
        };
        pools.takes.insert(id, takes);
        match pools.queue.enter(clock, &request) {
            PoolAdmission::Started(used) => self.begin_slot(at, id, used),
            PoolAdmission::Queued(_) => {}
            PoolAdmission::Rejected(_) => {
                pools.takes.remove(&id);
            }
        }
    }

    fn begin_slot(&mut self, at: usize, id: u64, used: SlotInUse) {
        let (clock, by) = (self.clock(at), at);
        let (Some(pool), Some(pools)) = (pool(at), &mut self.nodes[at].pools) else {
            return;
        };
        // What runs is cut off at its bound.
        let bound = used.expires_at().saturating_sub(clock).min(SLOT_LONGEST);
        let takes = pools.takes.remove(&id).unwrap_or(0).min(bound);
        pools.used.insert(id, used);
        self.say(Said::Taken {
            pool: format!("p{pool}"),
            by: Some(by),
        });
        self.later(takes, Event::Given { pool, by });
        self.then(at, takes, Local::Slot { id });
    }

    pub fn slot_ended(&mut self, at: usize, id: u64) {
        let clock = self.clock(at);
        let Some(pools) = &mut self.nodes[at].pools else {
            return;
        };
        if let Some(used) = pools.used.remove(&id) {
            pools.queue.finish(clock, used);
        }
        self.go_on(at);
    }

    fn go_on(&mut self, at: usize) {
        let clock = self.clock(at);
        while let Some(then) = self.nodes[at]
            .pools
            .as_mut()
            .and_then(|pools| pools.queue.next(clock))
        {
            match then {
                PoolDispatch::Start(id, used) => self.begin_slot(at, id, used),
                PoolDispatch::TimedOut(id) => {
                    self.nodes[at].pools.iter_mut().for_each(|pools| {
                        pools.takes.remove(&id);
                    });
                }
            }
        }
        if let Some(gave) = self.nodes[at]
            .pools
            .as_mut()
            .and_then(|pools| pools.queue.take_returned())
        {
            self.drive::<FleetSlots>(at, |part, now, out| part.on_command(now, gave, out));
        }
    }

    pub fn pool_told(&mut self, at: usize, told: fair_queue::Event) {
        let clock = self.clock(at);
        if let Some(pools) = &mut self.nodes[at].pools {
            pools.queue.on_event(clock, told);
            self.go_on(at);
        }
    }

    /// All of a pool's slots are held by somebody again; one may be on its way from one to another.
    pub fn pools_short(&self) -> Vec<String> {
        let mut held: HashMap<usize, (usize, usize)> = HashMap::new();
        for at in 0..self.nodes.len() {
            if let (Some(pool), Some(pools)) = (pool(at), &self.nodes[at].pools) {
                let all = held.entry(pool).or_default();
                *all = (
                    all.0 + pools.queue.held_slots().unexpired(self.clock(at)).count(),
                    all.1 + 1,
                );
            }
        }
        let short = held
            .into_iter()
            .filter(|(_, (slots, by))| *by == GROUP && slots + 2 < SLOTS as usize);
        short
            .map(|(pool, (slots, _))| format!("p{pool}: {slots} of {SLOTS} are held"))
            .collect()
    }
}

/// Starts and ends.
impl World {
    pub fn start(&mut self, at: usize) {
        let first = self.nodes[at].life == 0;
        let node = &mut self.nodes[at];
        (node.life, node.born, node.tick) = (node.life + 1, self.now, Time::MAX);
        (node.leaving, node.paused) = (false, false);
        node.parts = Some(Parts::new(&self.plan, &self.places, at, node.life, first));
        node.pools = pool(at).map(Pools::new);
        self.say(Said::Started { process: at });
        let contacts = (0..SEATS).filter(|seat| *seat != at).map(name).collect();
        self.drive::<members::Members>(at, |part, now, out| {
            part.on_command(now, members::Command::Join(contacts), out)
        });
        self.subscribe(at);
        let after = self.rng.u64(..STEP);
        self.then(at, after, Local::Pool);
    }

    pub fn stop(&mut self, at: usize, back: Time) {
        let clients = self.nodes[at].desk.clients();
        let node = &mut self.nodes[at];
        (node.parts, node.pools, node.life) = (None, None, node.life + 1);
        (node.paused, node.leaving) = (false, false);
        node.held.clear();
        node.desk = Default::default();
        self.part(at);
        clients
            .into_iter()
            .for_each(|client| self.cut_off(client, at));
        self.later(back, Event::Start { node: at });
    }

    pub fn breaks(&mut self, at: usize, what: What) {
        if !self.up(at) || self.nodes[at].paused {
            return;
        }
        let life = self.nodes[at].life;
        match what {
            What::Kill(_, back) => {
                self.say(Said::Killed { process: at });
                self.stop(at, back);
            }
            What::Pause(_, span) => {
                self.say(Said::Paused { process: at });
                self.nodes[at].paused = true;
                self.later(span, Event::Wake { node: at, life });
            }
            What::Leave(_, back) => {
                self.say(Said::Left { process: at });
                self.nodes[at].leaving = true;
                self.drive::<takeover::Takeover>(at, |part, now, out| {
                    part.on_command(now, takeover::Command::ReleaseAll, out);
                });
                self.drive::<relay::Relay>(at, |part, now, out| {
                    part.on_command(now, relay::Command::Drain, out)
                });
                let pool = pool(at).map(pool_key);
                self.drive::<FleetSlots>(at, |part, now, out| {
                    pool.iter().for_each(|pool| {
                        part.on_command(now, fair_queue::Command::Leave { pool: *pool }, out)
                    });
                });
                self.drive::<members::Members>(at, |part, now, out| {
                    part.on_command(now, members::Command::Leave, out)
                });
                self.later(
                    400 * MS,
                    Event::End {
                        node: at,
                        life,
                        back,
                    },
                );
            }
            What::Lost | What::Twice | What::Late(_) | What::Cut(_) => {}
        }
    }
}
