//! Start-time fair queueing (Goyal, Vin, Cheng: SIGCOMM 1996) over several slots at once (SFQ(D): Jin, Chase, Kaur:
//! SIGMETRICS 2004), charged by slot time: what is foretold at the start, as much again each time that is past, and put
//! right at the end.
//!
//! Whoever comes back starts at the virtual time, so away-time is no credit; one held back by the bound on the slow, or
//! charged too much, catches up by one longest request at most. Hence the bound for one that comes with no debt while `n`
//! other tenants wait, each request within `longest`: it starts within `(2 * n * longest) / slots + longest`.

use crate::flow::{per_weight, stand, Flow, Key, Virtual, QUICK, SLOW};
use crate::lanes::Lanes;
pub use crate::lanes::Ticket;
use crate::planted::{planted, Fault};
use crate::refuse::{self, Standing};
use crate::tenants::{Tenants, Weight};
pub use crate::wish::{Entered, Next, Place, Setup, Wish};
use crate::Time;
use slab::Slab;
use std::collections::BTreeSet;

#[derive(Debug)]
pub(crate) struct Run {
    pub flow: u32,
    pub lane: usize,
    pub began: Time,
    pub charged: Time,
}

#[derive(Debug)]
pub struct Queue {
    pub(crate) setup: Setup,
    pub(crate) tenants: Tenants,
    pub(crate) flows: Slab<Flow>,
    pub(crate) lanes: Lanes,
    /// Who waits, those with a name and those without; and of both, with a weight, those whose quick ones do.
    pub(crate) ready: [BTreeSet<Key>; 2],
    pub(crate) quick: [BTreeSet<Key>; 2],
    /// The start tag of the next of all that have no name: together they stand beside each that has one.
    pub(crate) group: Virtual,
    /// Of those with a weight, of those without, and among those without a name.
    pub(crate) virtual_now: [Virtual; 3],
    pub(crate) runs: Slab<Run>,
    /// When what was charged is past.
    pub(crate) due: BTreeSet<(Time, usize)>,
    slow: usize,
    /// Of active tenants with a name; active buckets.
    pub(crate) weights: u64,
    pub(crate) active: u64,
    pub(crate) now: Time,
}

impl Queue {
    pub fn new(setup: Setup) -> Queue {
        let tenants = Tenants::new(setup.buckets, setup.unnamed);
        let mut flows = Slab::new();
        (0..tenants.buckets()).for_each(|_| {
            flows.insert(Flow {
                weight: Weight::ONE,
                bucket: true,
                ..Flow::default()
            });
        });
        Queue {
            setup,
            tenants,
            flows,
            lanes: Lanes::default(),
            ready: Default::default(),
            quick: Default::default(),
            group: 0,
            virtual_now: [0; 3],
            runs: Slab::new(),
            due: BTreeSet::new(),
            slow: 0,
            weights: 0,
            active: 0,
            now: 0,
        }
    }

    /// In use, and waiting.
    pub fn sizes(&self) -> [usize; 2] {
        [self.runs.len(), self.lanes.len()]
    }

    pub fn tenant(&self, name: &str) -> u32 {
        self.tenants.find(name)
    }

    /// So many slots from now on; those in use beyond them end as they began.
    pub fn set_slots(&mut self, slots: usize) {
        self.setup.slots = slots;
    }

    pub fn enter(&mut self, now: Time, wish: &Wish) -> Entered {
        self.clock(now);
        let at = self.tenants.find(wish.tenant);
        let lane = wish.slow as usize;
        let cost = wish.cost.clamp(1, self.setup.longest.max(1));
        if self.runs.len() < self.setup.slots && self.ready.iter().all(BTreeSet::is_empty) {
            return Entered::Now(self.start(at, lane, cost));
        }
        if let Some(wait) = self.turned_away(at, lane, wish) {
            return Entered::Refused { wait };
        }
        self.change(at, |queue, at| {
            queue.wake(at);
            let flow = &mut queue.flows[at as usize];
            if flow.lanes[lane].len == 0 {
                flow.woken(lane);
            }
            let ahead = wish.repeat && planted(Fault::RepeatPassesOthers);
            let who = (wish.id, at, wish.slow);
            Entered::Waits(queue.lanes.push(
                &mut flow.lanes[lane],
                who,
                cost,
                wish.latest,
                now,
                ahead,
            ))
        })
    }

    /// A tenant of which none waits comes back at the virtual time: having been away is no credit.
    fn wake(&mut self, at: u32) {
        let flow = &mut self.flows[at as usize];
        if flow.bucket && self.ready[1].is_empty() {
            self.group = self.group.max(self.virtual_now[self.tenants.group_class()]);
        }
        if flow.waiting() == 0 {
            flow.tag = flow.tag.max(self.virtual_now[flow.class()]);
        }
    }

    fn turned_away(&self, at: u32, lane: usize, wish: &Wish) -> Option<Time> {
        let flow = &self.flows[at as usize];
        // As it is once this one waits.
        let more = if flow.active() { 0 } else { 1 };
        let (weight, weights) = self.weights_with(flow, more);
        let now = self.virtual_now[flow.class()];
        let start = if flow.waiting() == 0 {
            flow.tag.max(now)
        } else {
            flow.tag
        };
        let standing = Standing {
            start,
            now,
            ahead: flow.ahead(lane),
            weight,
            weights,
            slots: self.setup.slots,
        };
        let wait = refuse::wait(&standing);
        let late = refuse::away(self.now, wait, wish.latest);
        let room = refuse::room(
            self.lanes.len(),
            self.setup.waiting,
            flow.waiting(),
            weight,
            weights,
        );
        late.or_else(|| (!room).then_some(wait.max(refuse::LEAST)))
    }

    /// What goes now, while there are slots. Asked until it says nothing, after each change.
    pub fn next(&mut self, now: Time) -> Option<Next> {
        self.clock(now);
        if self.runs.len() >= self.setup.slots {
            return None;
        }
        let full = self.slow >= self.slow_most() && !planted(Fault::NoBoundOnSlow);
        let held_back = full && self.quick.iter().any(|quick| !quick.is_empty());
        let at = self.first(if held_back { &self.quick } else { &self.ready })?;
        self.change(at, |queue, at| {
            let flow = &mut queue.flows[at as usize];
            let lane = if held_back { QUICK } else { flow.lane() };
            let first = queue.lanes.pop(&mut flow.lanes[lane])?;
            if first.latest < queue.now {
                return Some(Next::Late { id: first.id });
            }
            Some(Next::Start {
                id: first.id,
                place: queue.begin(at, lane, first.cost),
            })
        })
    }

    /// The tenant with the least tag; those without a name stand at that of their group.
    fn first(&self, [named, unnamed]: &[BTreeSet<Key>; 2]) -> Option<u32> {
        let group = stand(self.tenants.unnamed, self.group, u32::MAX);
        match (named.first(), unnamed.first()) {
            (Some(own), Some(other)) => Some(if *own <= group { own.1 } else { other.1 }),
            (own, other) => own.or(other).map(|key| key.1),
        }
    }

    /// Slots for slow ones while quick ones wait: a third at least, and one.
    fn slow_most(&self) -> usize {
        let share = self.setup.slow_share.clamp(1.0 / 3.0, 1.0);
        ((self.setup.slots as f64 * share).ceil() as usize).max(1)
    }

    fn start(&mut self, at: u32, lane: usize, cost: Time) -> Place {
        self.change(at, |queue, at| {
            queue.wake(at);
            queue.flows[at as usize].woken(lane);
            queue.begin(at, lane, cost)
        })
    }

    fn begin(&mut self, at: u32, lane: usize, cost: Time) -> Place {
        let most = if planted(Fault::NoBoundOnCredit) {
            Time::MAX
        } else {
            self.setup.longest
        };
        let flow = &mut self.flows[at as usize];
        let start = |tag: &mut Virtual, now: &mut Virtual, weight| {
            *tag = (*tag).max(now.saturating_sub(per_weight(most, weight)));
            *now = (*now).max(*tag);
        };
        let class = flow.class();
        start(&mut flow.tag, &mut self.virtual_now[class], flow.weight);
        if flow.bucket {
            let class = self.tenants.group_class();
            start(
                &mut self.group,
                &mut self.virtual_now[class],
                self.tenants.unnamed,
            );
        }
        flow.started(lane, most);
        self.charge(at, lane, cost);
        self.slow += (lane == SLOW) as usize;
        let run = self.runs.insert(Run {
            flow: at,
            lane,
            began: self.now,
            charged: cost,
        });
        self.due.insert((self.now.saturating_add(cost), run));
        Place(run)
    }

    /// A slot is free again; how long it was held.
    pub fn ended(&mut self, now: Time, place: Place) -> Time {
        self.clock(now);
        let Some(Run {
            flow: at,
            lane,
            began,
            charged,
        }) = self.runs.try_remove(place.0)
        else {
            return 0;
        };
        self.due.remove(&(began.saturating_add(charged), place.0));
        let took = (self.now - began).max(1);
        self.slow -= (lane == SLOW) as usize;
        self.change(at, |queue, at| {
            let flow = &mut queue.flows[at as usize];
            flow.running -= 1;
            flow.used = flow.used.saturating_add(took);
            match took.checked_sub(charged) {
                _ if planted(Fault::NeverPutRight) || planted(Fault::ChargeByCount) => {}
                Some(more) => queue.charge(at, lane, more),
                None => queue.forgive(at, lane, charged - took),
            }
        });
        self.let_go(at);
        took
    }

    /// One that waits no more: its client left, or it was told elsewhere that its time is over.
    pub fn leave(&mut self, ticket: Ticket) -> bool {
        let Some(waiting) = self.lanes.find(ticket).copied() else {
            return false;
        };
        let lane = waiting.slow as usize;
        self.change(waiting.flow, |queue, at| {
            queue
                .lanes
                .remove(&mut queue.flows[at as usize].lanes[lane], ticket);
        });
        self.let_go(waiting.flow);
        true
    }
}
