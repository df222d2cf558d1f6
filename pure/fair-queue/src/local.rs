//! One pool as a process uses it: who waits, the slots that it holds, and what requests cost. One owner calls it, with the
//! time; what it says is done at once.

use crate::digest::{Use, DEBT, MOST};
use crate::message::{Ask, PoolKey, Told};
use crate::queue::{self, Entered, Next, Place, Queue, Setup, Wish};
use crate::slow::{Figures, Foretold, Shape};
use crate::stock::{Gave, Stock, Taken};
use crate::tenants::Weight;
use crate::Time;
use slab::Slab;
use std::collections::BTreeMap;
use std::sync::Arc;

/// A request that wants a slot, as far as it is known before it runs.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    pub id: u64,
    pub tenant: &'a str,
    pub class: usize,
    pub size_kb: f64,
    pub source: u64,
    /// When its client gives up.
    pub deadline: Time,
    pub repeat: bool,
}

/// A slot in use: which, and until when what runs under it must end.
#[derive(Debug)]
pub struct InUse {
    place: Place,
    taken: Taken,
    shape: Shape,
}

impl InUse {
    pub fn until(&self) -> Time {
        self.taken.until
    }

    pub fn slot(&self) -> u16 {
        self.taken.slot
    }
}

/// Where one waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ticket(usize, queue::Ticket);

#[derive(Debug)]
pub enum Asked {
    Now(InUse),
    Waits(Ticket),
    /// For so long it should stay away.
    Refused(Time),
}

#[derive(Debug)]
pub enum Then {
    Start(u64, InUse),
    Late(u64),
}

#[derive(Debug)]
pub struct Local {
    key: PoolKey,
    queue: Queue,
    figures: Figures,
    stock: Stock,
    longest: Time,
    /// Those that wait, by the number under which the queue knows them.
    waiting: Slab<(u64, Shape)>,
    gave: Vec<Gave>,
}

impl Local {
    /// `stock`: empty where the fleet hands slots out, else this process's own.
    pub fn new(key: PoolKey, setup: Setup, figures: Figures, stock: Stock) -> Local {
        let (queue, longest) = (Queue::new(Setup { slots: 0, ..setup }), setup.longest);
        Local {
            key,
            queue,
            figures,
            stock,
            longest,
            waiting: Slab::new(),
            gave: Vec::new(),
        }
    }

    /// Slots as they are now, before anything goes by them.
    fn count(&mut self, now: Time) {
        self.stock.expire(now);
        self.queue.set_slots(self.stock.size(now, self.longest));
    }

    pub fn enter(&mut self, now: Time, request: &Request) -> Asked {
        self.count(now);
        let Request {
            id,
            tenant,
            class,
            size_kb,
            source,
            deadline,
            repeat,
        } = *request;
        let shape = Shape {
            class,
            size_kb,
            source,
            tenant: self.queue.tenant(tenant),
        };
        let Foretold { cost, slow } = self.figures.foretell(&shape);
        // It should end by its deadline; one that is foretold to take all of its time may try.
        let latest = deadline.saturating_sub(cost).max(now);
        let own = self.waiting.vacant_key();
        match self.queue.enter(
            now,
            &Wish {
                id: own as u64,
                tenant,
                cost,
                slow,
                latest,
                repeat,
            },
        ) {
            Entered::Now(place) => match self.stock.take(now, self.longest) {
                Some(taken) => Asked::Now(InUse {
                    place,
                    taken,
                    shape,
                }),
                None => {
                    self.queue.ended(now, place);
                    Asked::Refused(crate::refuse::LEAST)
                }
            },
            Entered::Waits(ticket) => {
                self.waiting.insert((id, shape));
                Asked::Waits(Ticket(own, ticket))
            }
            Entered::Refused { wait } => Asked::Refused(wait),
        }
    }

    /// Who goes now; asked until it says nothing.
    pub fn next(&mut self, now: Time) -> Option<Then> {
        self.count(now);
        match self.queue.next(now)? {
            Next::Late { id } => Some(Then::Late(self.waiting.remove(id as usize).0)),
            Next::Start { id, place } => {
                let (id, shape) = self.waiting.remove(id as usize);
                match self.stock.take(now, self.longest) {
                    Some(taken) => Some(Then::Start(
                        id,
                        InUse {
                            place,
                            taken,
                            shape,
                        },
                    )),
                    None => {
                        self.queue.ended(now, place);
                        Some(Then::Late(id))
                    }
                }
            }
        }
    }

    pub fn ended(&mut self, now: Time, used: InUse) {
        let InUse {
            place,
            taken,
            shape,
        } = used;
        let took = self.queue.ended(now, place);
        self.figures.see(&shape, took);
        self.gave.extend(self.stock.put(taken));
        self.count(now);
    }

    /// One that waits no more; false where it was told meanwhile.
    pub fn leave(&mut self, ticket: Ticket) -> bool {
        let waited = self.queue.leave(ticket.1);
        if waited {
            self.waiting.remove(ticket.0);
        }
        waited
    }

    /// What the fleet says.
    pub fn told(&mut self, now: Time, told: Told) {
        match told {
            Told::Held {
                pool,
                slot,
                turn,
                until,
            } if pool == self.key => self.stock.held(slot, turn, until),
            Told::Most { pool, most } if pool == self.key => {
                let gave = self.stock.keep(most as usize);
                self.gave.extend(gave);
            }
            Told::Used { pool, by } if pool == self.key => {
                let most = DEBT.saturating_mul(self.stock.size(now, 0).max(1) as Time);
                by.into_iter()
                    .for_each(|(tenant, time)| self.queue.used_elsewhere(now, tenant, time, most));
            }
            _ => {}
        }
        self.count(now);
    }

    /// What the fleet is to hear: slots that are held no more; asked for after each call.
    pub fn gave(&mut self) -> Option<Ask> {
        let gave = std::mem::take(&mut self.gave);
        (!gave.is_empty()).then_some(Ask::Gave {
            pool: self.key,
            gave,
        })
    }

    /// What it should hear now and then, and when something begins to wait.
    pub fn uses(&self, now: Time) -> Ask {
        Ask::Uses {
            pool: self.key,
            at: now,
            uses: self.queue.uses(MOST),
        }
    }

    pub fn retune(&mut self, now: Time, named: &BTreeMap<Arc<str>, Weight>, unnamed: Weight) {
        self.queue.retune(now, named, unnamed);
    }

    /// In use, and waiting.
    pub fn sizes(&self) -> [usize; 2] {
        self.queue.sizes()
    }

    /// Slots in use and idle ones that may be used.
    pub fn slots(&self, now: Time) -> usize {
        self.stock.size(now, self.longest)
    }

    pub fn stock(&self) -> &Stock {
        &self.stock
    }

    pub fn used(&self) -> impl Iterator<Item = Use> {
        self.queue.uses(usize::MAX).into_iter()
    }
}
