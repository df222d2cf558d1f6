//! Start-time fair queueing (Goyal, Vin, Cheng: SIGCOMM 1996) over several slots at once (SFQ(D): Jin, Chase, Kaur:
//! SIGMETRICS 2004), charged by slot time: what is foretold at the start, as much again each time that is past, and put
//! right at the end.
//!
//! Whoever comes back starts at the virtual time, so away-time is no credit; one held back by the bound on the slow, or
//! charged too much, catches up by one longest request at most. Hence the bound for one that comes with no debt while `n`
//! other tenants wait, each request within `longest`: it starts within `(2 * n * longest) / slots + longest`.

use crate::flow::{per_weight, Flow, Key, Virtual, QUICK, SLOW};
use crate::lanes::Lanes;
pub use crate::lanes::Ticket;
use crate::planted::{planted, Fault};
use crate::refuse::{self, Standing};
use crate::tenants::{Tenants, Weight};
use crate::Time;
use slab::Slab;
use std::collections::BTreeSet;

#[derive(Clone, Copy, Debug)]
pub struct Setup {
    pub slots: usize,
    /// Of the slots, for slow ones while quick ones wait; a third at least.
    pub slow_share: f64,
    /// The longest that a request holds a slot.
    pub longest: Time,
    pub waiting: usize,
    pub buckets: u32,
    /// What all tenants without a name weigh together.
    pub unnamed: Weight,
}

/// One that wants a slot.
#[derive(Clone, Copy, Debug)]
pub struct Wish<'a> {
    pub id: u64,
    pub tenant: &'a str,
    pub cost: Time,
    pub slow: bool,
    /// After this a start is of no use.
    pub latest: Time,
    /// It was attempted before: charged as any, and behind all of its tenant that wait.
    pub repeat: bool,
}

/// A slot of this process in use; given back once, by [`Queue::ended`].
#[derive(Debug, PartialEq, Eq)]
pub struct Place(usize);

#[derive(Debug, PartialEq, Eq)]
pub enum Entered {
    Now(Place),
    Waits(Ticket),
    Refused { wait: Time },
}

#[derive(Debug, PartialEq, Eq)]
pub enum Next {
    Start {
        id: u64,
        place: Place,
    },
    /// Its time is over: refused.
    Late {
        id: u64,
    },
}

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
    /// Who waits; and those of them, with a weight, whose quick ones do.
    pub(crate) ready: BTreeSet<Key>,
    pub(crate) quick: BTreeSet<Key>,
    /// Of those with a weight, and of those without.
    pub(crate) virtual_now: [Virtual; 2],
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
            flows.insert(Flow { weight: setup.unnamed, bucket: true, ..Flow::default() });
        });
        Queue {
            setup,
            tenants,
            flows,
            lanes: Lanes::default(),
            ready: BTreeSet::new(),
            quick: BTreeSet::new(),
            virtual_now: [0; 2],
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
        if self.runs.len() < self.setup.slots && self.ready.is_empty() {
            return Entered::Now(self.start(at, lane, cost));
        }
        if let Some(wait) = self.turned_away(at, lane, wish) {
            return Entered::Refused { wait };
        }
        self.change(at, |queue, at| {
            let virtual_now = queue.virtual_now;
            let flow = &mut queue.flows[at as usize];
            if flow.waiting() == 0 {
                flow.tag = flow.tag.max(virtual_now[(flow.weight.0 == 0) as usize]);
            }
            if flow.lanes[lane].len == 0 {
                flow.woken(lane);
            }
            let ahead = wish.repeat && planted(Fault::RepeatPassesOthers);
            let who = (wish.id, at, wish.slow);
            Entered::Waits(queue.lanes.push(&mut flow.lanes[lane], who, cost, wish.latest, now, ahead))
        })
    }

    fn turned_away(&self, at: u32, lane: usize, wish: &Wish) -> Option<Time> {
        let flow = &self.flows[at as usize];
        let weight = self.weight(flow);
        // As it is once this one waits.
        let weights = self.all_weights() + if flow.active() { 0 } else { weight.0 };
        let now = self.virtual_now[0];
        let start = if flow.waiting() == 0 { flow.tag.max(now) } else { flow.tag };
        let standing =
            Standing { start, now, ahead: flow.ahead(lane), weight, weights, slots: self.setup.slots };
        let wait = refuse::wait(&standing);
        let late = refuse::away(self.now, wait, wish.latest);
        let room = refuse::room(self.lanes.len(), self.setup.waiting, flow.waiting(), weight, weights);
        late.or_else(|| (!room).then_some(wait.max(refuse::LEAST)))
    }

    /// What goes now, while there are slots. Asked until it says nothing, after each change.
    pub fn next(&mut self, now: Time) -> Option<Next> {
        self.clock(now);
        if self.runs.len() >= self.setup.slots {
            return None;
        }
        let full = self.slow >= self.slow_most() && !planted(Fault::NoBoundOnSlow);
        let held_back = full && !self.quick.is_empty();
        let at = if held_back { &self.quick } else { &self.ready }.first()?.1;
        self.change(at, |queue, at| {
            let flow = &mut queue.flows[at as usize];
            let lane = if held_back { QUICK } else { flow.lane() };
            let first = queue.lanes.pop(&mut flow.lanes[lane])?;
            if first.latest < queue.now {
                return Some(Next::Late { id: first.id });
            }
            Some(Next::Start { id: first.id, place: queue.begin(at, lane, first.cost) })
        })
    }

    /// Slots for slow ones while quick ones wait: a third at least, and one.
    fn slow_most(&self) -> usize {
        let share = self.setup.slow_share.clamp(1.0 / 3.0, 1.0);
        ((self.setup.slots as f64 * share).ceil() as usize).max(1)
    }

    fn start(&mut self, at: u32, lane: usize, cost: Time) -> Place {
        self.change(at, |queue, at| {
            let class = (queue.flows[at as usize].weight.0 == 0) as usize;
            let flow = &mut queue.flows[at as usize];
            flow.tag = flow.tag.max(queue.virtual_now[class]);
            flow.woken(lane);
            queue.begin(at, lane, cost)
        })
    }

    fn begin(&mut self, at: u32, lane: usize, cost: Time) -> Place {
        let weight = self.weight(&self.flows[at as usize]);
        let class = (weight.0 == 0) as usize;
        let most = if planted(Fault::NoBoundOnCredit) { Time::MAX } else { self.setup.longest };
        let flow = &mut self.flows[at as usize];
        let credit = per_weight(most, weight);
        flow.tag = flow.tag.max(self.virtual_now[class].saturating_sub(credit));
        self.virtual_now[class] = self.virtual_now[class].max(flow.tag);
        flow.started(lane, most);
        flow.charge(lane, cost, weight);
        self.slow += (lane == SLOW) as usize;
        let run = self.runs.insert(Run { flow: at, lane, began: self.now, charged: cost });
        self.due.insert((self.now.saturating_add(cost), run));
        Place(run)
    }

    /// A slot is free again; how long it was held.
    pub fn ended(&mut self, now: Time, place: Place) -> Time {
        self.clock(now);
        let Some(Run { flow: at, lane, began, charged }) = self.runs.try_remove(place.0) else { return 0 };
        self.due.remove(&(began.saturating_add(charged), place.0));
        let took = (self.now - began).max(1);
        self.slow -= (lane == SLOW) as usize;
        self.change(at, |queue, at| {
            let weight = queue.weight(&queue.flows[at as usize]);
            let flow = &mut queue.flows[at as usize];
            flow.running -= 1;
            flow.used = flow.used.saturating_add(took);
            match took.checked_sub(charged) {
                _ if planted(Fault::NeverPutRight) || planted(Fault::ChargeByCount) => {}
                Some(more) => flow.charge(lane, more, weight),
                None => flow.forgive(lane, charged - took, weight),
            }
        });
        self.let_go(at);
        took
    }

    /// One that waits no more: its client left, or it was told elsewhere that its time is over.
    pub fn leave(&mut self, ticket: Ticket) -> bool {
        let Some(waiting) = self.lanes.find(ticket).copied() else { return false };
        let lane = waiting.slow as usize;
        self.change(waiting.flow, |queue, at| {
            queue.lanes.remove(&mut queue.flows[at as usize].lanes[lane], ticket);
        });
        self.let_go(waiting.flow);
        true
    }
}
