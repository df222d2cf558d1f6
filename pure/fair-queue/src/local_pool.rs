//! One pool as a process uses it: its fair queue, the slots that the process holds, and the predicted cost of
//! requests. One owner calls it and passes the time; its decisions take effect at once.

use crate::digest::{TenantUsage, MAX_DEBT, MAX_TENANTS};
use crate::message::{Command, Event, PoolKey};
use crate::queue::{self, Admission, Dispatch, Queue, RunHandle, Setup, SlotRequest};
use crate::slow::{CostModel, CostPrediction, RequestShape};
use crate::stock::{HeldSlots, ReturnedSlot, TakenSlot};
use crate::tenants::Weight;
use crate::Time;
use slab::Slab;
use std::collections::BTreeMap;
use std::sync::Arc;

/// A request that needs a slot, with what is known of it before it runs.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    /// Chosen by the caller; [`PoolDispatch`] names the request by it.
    pub id: u64,
    pub tenant: &'a str,
    pub class: usize,
    pub size_kb: f64,
    pub source: u64,
    /// When its client gives up (us).
    pub deadline: Time,
    pub is_retry: bool,
}

/// A slot in use, until it is passed to [`LocalPool::finish`].
#[derive(Debug)]
pub struct SlotInUse {
    run: RunHandle,
    taken: TakenSlot,
    shape: RequestShape,
}

impl SlotInUse {
    /// When whatever runs under the slot must have ended (us).
    pub fn expires_at(&self) -> Time {
        self.taken.expires_at
    }

    pub fn slot(&self) -> u16 {
        self.taken.slot
    }
}

/// Identifies a waiting request: its index in `waiting`, and its ticket in the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ticket(usize, queue::Ticket);

/// What the pool did with a new request.
#[derive(Debug)]
pub enum PoolAdmission {
    Started(SlotInUse),
    Queued(Ticket),
    /// How long the client should wait before a retry (us).
    Rejected(Time),
}

/// What the pool did with a waiting request, by its id.
#[derive(Debug)]
pub enum PoolDispatch {
    Start(u64, SlotInUse),
    /// It could no longer start in time, or no slot's lease lasts long enough any more.
    TimedOut(u64),
}

/// One pool at one process.
#[derive(Debug)]
pub struct LocalPool {
    key: PoolKey,
    queue: Queue,
    cost_model: CostModel,
    slots: HeldSlots,
    /// The longest that a request holds a slot (us).
    max_slot_time: Time,
    /// Waiting requests, by their ids in the queue.
    waiting: Slab<(u64, RequestShape)>,
    /// Slots to return to the fleet.
    to_return: Vec<ReturnedSlot>,
}

impl LocalPool {
    /// `slots` is empty where the fleet leases slots to this process, and [`HeldSlots::unleased`] for a pool that
    /// only this process uses.
    pub fn new(key: PoolKey, setup: Setup, cost_model: CostModel, slots: HeldSlots) -> LocalPool {
        let (queue, max_slot_time) = (Queue::new(Setup { slots: 0, ..setup }), setup.max_slot_time);
        LocalPool {
            key,
            queue,
            cost_model,
            slots,
            max_slot_time,
            waiting: Slab::new(),
            to_return: Vec::new(),
        }
    }

    /// Drops expired slots and updates the number of slots in the queue; done before each decision.
    fn refresh_slots(&mut self, now: Time) {
        self.slots.expire(now);
        self.queue
            .set_slots(self.slots.usable(now, self.max_slot_time));
    }

    /// Starts a request, queues it, or rejects it.
    pub fn enter(&mut self, now: Time, request: &Request) -> PoolAdmission {
        self.refresh_slots(now);
        let Request {
            id,
            tenant,
            class,
            size_kb,
            source,
            deadline,
            is_retry,
        } = *request;
        let shape = RequestShape {
            class,
            size_kb,
            source,
            tenant: self.queue.flow_of(tenant),
        };
        let CostPrediction { cost, slow } = self.cost_model.predict(&shape);
        // The request should end by its deadline; one that is predicted to need more time than is left may still
        // start now.
        let start_deadline = deadline.saturating_sub(cost).max(now);
        let queue_id = self.waiting.vacant_key();
        match self.queue.enter(
            now,
            &SlotRequest {
                id: queue_id as u64,
                tenant,
                cost,
                slow,
                start_deadline,
                is_retry,
            },
        ) {
            Admission::Started(run) => match self.slots.take(now, self.max_slot_time) {
                Some(taken) => PoolAdmission::Started(SlotInUse { run, taken, shape }),
                None => {
                    self.queue.finish(now, run);
                    PoolAdmission::Rejected(crate::refuse::MIN_RETRY_AFTER)
                }
            },
            Admission::Queued(ticket) => {
                self.waiting.insert((id, shape));
                PoolAdmission::Queued(Ticket(queue_id, ticket))
            }
            Admission::Rejected { retry_after } => PoolAdmission::Rejected(retry_after),
        }
    }

    /// The next request to start or to reject as late. Call it after each change until it returns `None`.
    pub fn next(&mut self, now: Time) -> Option<PoolDispatch> {
        self.refresh_slots(now);
        match self.queue.next(now)? {
            Dispatch::TimedOut { id } => {
                Some(PoolDispatch::TimedOut(self.waiting.remove(id as usize).0))
            }
            Dispatch::Start { id, run } => {
                let (id, shape) = self.waiting.remove(id as usize);
                match self.slots.take(now, self.max_slot_time) {
                    Some(taken) => Some(PoolDispatch::Start(id, SlotInUse { run, taken, shape })),
                    None => {
                        self.queue.finish(now, run);
                        Some(PoolDispatch::TimedOut(id))
                    }
                }
            }
        }
    }

    /// A request has ended: frees its slot and learns from how long it took.
    pub fn finish(&mut self, now: Time, slot: SlotInUse) {
        let SlotInUse { run, taken, shape } = slot;
        let took = self.queue.finish(now, run);
        self.cost_model.observe(&shape, took);
        self.to_return.extend(self.slots.put_back(taken));
        self.refresh_slots(now);
    }

    /// Removes a waiting request. Returns false if it was started or rejected meanwhile.
    pub fn cancel(&mut self, ticket: Ticket) -> bool {
        let was_waiting = self.queue.cancel(ticket.1);
        if was_waiting {
            self.waiting.remove(ticket.0);
        }
        was_waiting
    }

    /// Applies an event of the fleet's state machine.
    pub fn on_event(&mut self, now: Time, event: Event) {
        match event {
            Event::SlotHeld {
                pool,
                slot,
                tenure,
                expires_at,
            } if pool == self.key => self.slots.hold(slot, tenure, expires_at),
            Event::HoldLimit { pool, limit } if pool == self.key => {
                let returned = self.slots.set_limit(limit as usize);
                self.to_return.extend(returned);
            }
            Event::RemoteUsage { pool, usage } if pool == self.key => {
                let max_debt = MAX_DEBT.saturating_mul(self.slots.usable(now, 0).max(1) as Time);
                usage.into_iter().for_each(|(tenant, time)| {
                    self.queue.charge_remote_usage(now, tenant, time, max_debt)
                });
            }
            _ => {}
        }
        self.refresh_slots(now);
    }

    /// The command that returns slots to the fleet, if there are any. Call it after each other call.
    pub fn take_returned(&mut self) -> Option<Command> {
        let slots = std::mem::take(&mut self.to_return);
        (!slots.is_empty()).then_some(Command::ReturnSlots {
            pool: self.key,
            slots,
        })
    }

    /// The command that reports usage and demand to the fleet; sent at regular intervals, and when requests begin to
    /// wait.
    pub fn usage_report(&self, now: Time) -> Command {
        Command::ReportUsage {
            pool: self.key,
            at: now,
            usage: self.queue.usage(MAX_TENANTS),
        }
    }

    /// Replaces the named tenants and the weights; requests that wait keep their place.
    pub fn set_weights(
        &mut self,
        now: Time,
        named: &BTreeMap<Arc<str>, Weight>,
        unnamed_weight: Weight,
    ) {
        self.queue.set_weights(now, named, unnamed_weight);
    }

    /// Numbers of requests that run and that wait.
    pub fn sizes(&self) -> [usize; 2] {
        self.queue.sizes()
    }

    /// Number of slots in use, and of idle slots whose lease outlasts the longest request.
    pub fn usable_slots(&self, now: Time) -> usize {
        self.slots.usable(now, self.max_slot_time)
    }

    pub fn held_slots(&self) -> &HeldSlots {
        &self.slots
    }

    /// Slot time used and slots wanted by all tenants.
    pub fn usage(&self) -> impl Iterator<Item = TenantUsage> {
        self.queue.usage(usize::MAX).into_iter()
    }
}
