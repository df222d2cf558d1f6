//! Start-time fair queueing (Goyal, Vin, Cheng: SIGCOMM 1996) over several slots at once (SFQ(D): Jin, Chase, Kaur:
//! SIGMETRICS 2004), charged by slot time. A request is charged its predicted slot time when it starts; whenever it
//! outruns the charge, the charge is doubled; when it ends, the charge is corrected to the time it took.
//!
//! A tenant that was idle resumes at the virtual time, so idle time earns no credit. A tenant that was held back by
//! the bound on slow requests, or was charged too much, catches up by at most [`Setup::max_slot_time`] of slot time.
//! Hence a request of a tenant without debt (its start tag is not ahead of the virtual time), with `n` other tenants
//! waiting and no request longer than `longest`, starts within `(2 * n * longest) / slots + longest`.

use crate::flow::{order_key, virtual_cost, Flow, OrderKey, VirtualTime, QUICK, SLOW};
pub use crate::interface::{Admission, Dispatch, RunHandle, Setup, SlotRequest};
use crate::lanes::Lanes;
pub use crate::lanes::Ticket;
use crate::planted::{planted, Fault};
use crate::refuse::{self, QueuePosition};
use crate::tenants::{Tenants, Weight};
use crate::Time;
use slab::Slab;
use std::collections::BTreeSet;

/// A request that occupies a slot.
#[derive(Debug)]
pub(crate) struct Run {
    pub flow: u32,
    pub lane: usize,
    /// When it started (us).
    pub started_at: Time,
    /// Slot time charged so far (us).
    pub charged: Time,
}

/// The fair queue of one pool at one process. Times never go back: an earlier `now` counts as the latest one seen.
#[derive(Debug)]
pub struct Queue {
    pub(crate) setup: Setup,
    pub(crate) tenants: Tenants,
    pub(crate) flows: Slab<Flow>,
    pub(crate) lanes: Lanes,
    /// Tenants with requests waiting, in order of their start tags: named tenants at index 0, buckets of unnamed ones
    /// at index 1.
    pub(crate) ready: [BTreeSet<OrderKey>; 2],
    /// The part of `ready` with a weight above 0 and a quick request waiting.
    pub(crate) quick: [BTreeSet<OrderKey>; 2],
    /// Start tag of the group of all unnamed tenants, which competes with the named tenants as if it were one tenant.
    pub(crate) group_tag: VirtualTime,
    /// Three virtual times: of tenants with a weight above 0, of tenants of weight 0, and between the buckets. The
    /// group of unnamed tenants counts as a tenant in the first or second. [`Flow::virtual_clock`] gives the index for
    /// a flow, and [`Tenants::group_clock`] that for the group.
    pub(crate) virtual_now: [VirtualTime; 3],
    pub(crate) runs: Slab<Run>,
    /// Each run with the time (us) at which it outruns what it was charged.
    pub(crate) charge_due: BTreeSet<(Time, usize)>,
    /// Number of slow requests that run.
    slow_runs: usize,
    /// Sum of the weights of active named tenants, and number of active buckets. A tenant is active while it has a
    /// request that runs or waits.
    pub(crate) active_weight: u64,
    pub(crate) active_buckets: u64,
    pub(crate) now: Time,
}

impl Queue {
    pub fn new(setup: Setup) -> Queue {
        let tenants = Tenants::new(setup.buckets, setup.unnamed_weight);
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
            group_tag: 0,
            virtual_now: [0; 3],
            runs: Slab::new(),
            charge_due: BTreeSet::new(),
            slow_runs: 0,
            active_weight: 0,
            active_buckets: 0,
            now: 0,
        }
    }

    /// Numbers of requests that run and that wait.
    pub fn sizes(&self) -> [usize; 2] {
        [self.runs.len(), self.lanes.len()]
    }

    /// The index of the flow of a tenant: its own if the tenant is named, else that of its bucket.
    pub fn flow_of(&self, name: &str) -> u32 {
        self.tenants.flow_of(name)
    }

    /// Changes the number of slots. Requests that run beyond it finish normally.
    pub fn set_slots(&mut self, slots: usize) {
        self.setup.slots = slots;
    }

    /// Starts a request, queues it, or rejects it if it could not start in time or finds no room.
    pub fn enter(&mut self, now: Time, request: &SlotRequest) -> Admission {
        self.advance_clock(now);
        let index = self.tenants.flow_of(request.tenant);
        let lane = request.slow as usize;
        let cost = request.cost.clamp(1, self.setup.max_slot_time.max(1));
        if self.runs.len() < self.setup.slots && self.ready.iter().all(BTreeSet::is_empty) {
            return Admission::Started(self.start_now(index, lane, cost));
        }
        if let Some(retry_after) = self.rejection(index, lane, request) {
            return Admission::Rejected { retry_after };
        }
        self.update_flow(index, |queue, index| {
            queue.resume_flow(index);
            let flow = &mut queue.flows[index as usize];
            if flow.lanes[lane].len == 0 {
                flow.resume_lane(lane);
            }
            let at_front = request.is_retry && planted(Fault::RetryJumpsQueue);
            let who = (request.id, index, request.slow);
            Admission::Queued(queue.lanes.push(
                &mut flow.lanes[lane],
                who,
                cost,
                request.start_deadline,
                now,
                at_front,
            ))
        })
    }

    /// A tenant with no waiting request resumes at the virtual time: having been idle earns no credit.
    fn resume_flow(&mut self, index: u32) {
        let flow = &mut self.flows[index as usize];
        if flow.bucket && self.ready[1].is_empty() {
            self.group_tag = self
                .group_tag
                .max(self.virtual_now[self.tenants.group_clock()]);
        }
        if flow.waiting() == 0 {
            flow.tag = flow.tag.max(self.virtual_now[flow.virtual_clock()]);
        }
    }

    /// How long a rejected request should stay away (us), or `None` if it may wait.
    fn rejection(&self, index: u32, lane: usize, request: &SlotRequest) -> Option<Time> {
        let flow = &self.flows[index as usize];
        // Waiting would make the request's tenant active, so the weights include the tenant even if it isn't yet.
        let added = if flow.active() { 0 } else { 1 };
        let (weight, active_weight) = self.weights_with(flow, added);
        let virtual_now = self.virtual_now[flow.virtual_clock()];
        let start_tag = if flow.waiting() == 0 {
            flow.tag.max(virtual_now)
        } else {
            flow.tag
        };
        let position = QueuePosition {
            start_tag,
            virtual_now,
            cost_ahead: flow.cost_ahead(lane),
            weight,
            active_weight,
            slots: self.setup.slots,
        };
        let wait = refuse::estimate_wait(&position);
        let late = refuse::retry_after(self.now, wait, request.start_deadline);
        let has_room = refuse::has_room(
            self.lanes.len(),
            self.setup.max_waiting,
            flow.waiting(),
            weight,
            active_weight,
        );
        late.or_else(|| (!has_room).then_some(wait.max(refuse::MIN_RETRY_AFTER)))
    }

    /// Takes the next request from the queue, to start it or, if its start deadline has passed, to reject it. Returns
    /// `None` if no slot is free or no request waits. Call it after each change until it returns `None`.
    pub fn next(&mut self, now: Time) -> Option<Dispatch> {
        self.advance_clock(now);
        if self.runs.len() >= self.setup.slots {
            return None;
        }
        let full = self.slow_runs >= self.max_slow_runs() && !planted(Fault::UnboundedSlowRuns);
        let held_back = full && self.quick.iter().any(|quick| !quick.is_empty());
        let index = self.first_flow(if held_back { &self.quick } else { &self.ready })?;
        self.update_flow(index, |queue, index| {
            let flow = &mut queue.flows[index as usize];
            let lane = if held_back { QUICK } else { flow.next_lane() };
            let first = queue.lanes.pop(&mut flow.lanes[lane])?;
            if first.start_deadline < queue.now {
                return Some(Dispatch::TimedOut { id: first.id });
            }
            Some(Dispatch::Start {
                id: first.id,
                run: queue.start_run(index, lane, first.cost),
            })
        })
    }

    /// The tenant with the least start tag; the buckets of unnamed tenants compete at the tag of their group.
    fn first_flow(&self, [named, unnamed]: &[BTreeSet<OrderKey>; 2]) -> Option<u32> {
        let group = order_key(self.tenants.unnamed_weight, self.group_tag, u32::MAX);
        match (named.first(), unnamed.first()) {
            (Some(own), Some(other)) => Some(if *own <= group { own.1 } else { other.1 }),
            (own, other) => own.or(other).map(|key| key.1),
        }
    }

    /// How many slots slow requests may use while quick ones wait: [`Setup::slow_share`] of them, rounded up, but at
    /// least a third of them and at least one.
    fn max_slow_runs(&self) -> usize {
        let share = self.setup.slow_share.clamp(1.0 / 3.0, 1.0);
        ((self.setup.slots as f64 * share).ceil() as usize).max(1)
    }

    /// Starts a request that did not wait.
    fn start_now(&mut self, index: u32, lane: usize, cost: Time) -> RunHandle {
        self.update_flow(index, |queue, index| {
            queue.resume_flow(index);
            queue.flows[index as usize].resume_lane(lane);
            queue.start_run(index, lane, cost)
        })
    }

    /// Caps the tenant's credit by raising a start tag that is too far behind the virtual time, advances the virtual
    /// time to that tag, charges the predicted cost and records the run. A bucket's group is treated the same way.
    fn start_run(&mut self, index: u32, lane: usize, cost: Time) -> RunHandle {
        let max_credit = if planted(Fault::UnboundedCredit) {
            Time::MAX
        } else {
            self.setup.max_slot_time
        };
        let flow = &mut self.flows[index as usize];
        let advance = |tag: &mut VirtualTime, now: &mut VirtualTime, weight| {
            *tag = (*tag).max(now.saturating_sub(virtual_cost(max_credit, weight)));
            *now = (*now).max(*tag);
        };
        let clock = flow.virtual_clock();
        advance(&mut flow.tag, &mut self.virtual_now[clock], flow.weight);
        if flow.bucket {
            let clock = self.tenants.group_clock();
            advance(
                &mut self.group_tag,
                &mut self.virtual_now[clock],
                self.tenants.unnamed_weight,
            );
        }
        flow.start_lane(lane, max_credit);
        self.charge(index, lane, cost);
        self.slow_runs += (lane == SLOW) as usize;
        let run = self.runs.insert(Run {
            flow: index,
            lane,
            started_at: self.now,
            charged: cost,
        });
        self.charge_due.insert((self.now.saturating_add(cost), run));
        RunHandle(run)
    }

    /// Ends a run and frees its slot. Returns how long the slot was held (us); 0 if the run is unknown.
    pub fn finish(&mut self, now: Time, run: RunHandle) -> Time {
        self.advance_clock(now);
        let Some(Run {
            flow: index,
            lane,
            started_at,
            charged,
        }) = self.runs.try_remove(run.0)
        else {
            return 0;
        };
        self.charge_due
            .remove(&(started_at.saturating_add(charged), run.0));
        let took = (self.now - started_at).max(1);
        self.slow_runs -= (lane == SLOW) as usize;
        self.update_flow(index, |queue, index| {
            let flow = &mut queue.flows[index as usize];
            flow.running -= 1;
            flow.used = flow.used.saturating_add(took);
            match took.checked_sub(charged) {
                _ if planted(Fault::NoCostCorrection) || planted(Fault::ChargeByCount) => {}
                Some(more) => queue.charge(index, lane, more),
                None => queue.refund(index, lane, charged - took),
            }
        });
        self.remove_if_retired(index);
        took
    }

    /// Removes a request from the queue, for example because its client left. Returns false if it no longer waits.
    pub fn cancel(&mut self, ticket: Ticket) -> bool {
        let Some(waiting) = self.lanes.find(ticket).copied() else {
            return false;
        };
        let lane = waiting.slow as usize;
        self.update_flow(waiting.flow, |queue, index| {
            queue
                .lanes
                .remove(&mut queue.flows[index as usize].lanes[lane], ticket);
        });
        self.remove_if_retired(waiting.flow);
        true
    }
}
