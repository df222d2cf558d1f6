//! A request whose attempts somebody else makes: told where to go, and heard of when it ended. A state machine that
//! never waits: whoever holds it waits for orders and for the attempt's end, and hands both in.

use crate::clock::span;
use crate::core::Core;
use crate::inquiry::{ask, Inquiry};
use crate::members::Listed;
use crate::orders::{Notice, Order, Orders, Target, ORDERS};
use crate::slot::Slot;
use crossbeam_channel::bounded;
use foldmux::interface::*;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Instant;

/// Where an attempt goes, as the module chose it.
#[derive(Clone, Debug)]
pub struct Way {
    pub cache: Listed,
    /// Where a miss is filled from; none where it is not filled.
    pub source: Option<Listed>,
    pub fetch: Fetch,
    target: Target,
}

/// What an order comes to.
#[derive(Debug)]
pub enum Told {
    Go(Box<Way>),
    /// What the module had in mind drained, went or started anew meanwhile: it chooses again.
    Wait,
    Refused {
        wait: Time,
    },
    Failed,
    /// Nothing is owed any more.
    Over,
}

struct Out {
    target: Target,
    /// Somebody was told of it, and may have sent it.
    told: bool,
}

/// One such request, from its ask to its end. However it is dropped, the module hears of what is out and of the end,
/// and its place is given back.
pub struct Lent {
    core: Arc<Core>,
    slot: Arc<Slot>,
    out: Option<Out>,
    pub deadline: Instant,
}

impl Lent {
    /// Asks the module; or nothing where `most` are lent already: the module never hears of it.
    pub fn ask(
        core: &Arc<Core>,
        inquiry: &Inquiry,
        lease: Time,
        orders: Box<dyn Orders>,
        most: usize,
    ) -> Option<Lent> {
        let full = core.lent.fetch_add(1, Ordering::SeqCst) >= most;
        let deadline = inquiry.arrived + span(inquiry.budget);
        // From here its drop gives the place back.
        let lent = Lent {
            core: core.clone(),
            slot: core.slot(),
            out: None,
            deadline,
        };
        if full {
            return None;
        }
        let slot = lent.slot.clone();
        core.desk.tell(Notice::Ask {
            ask: ask(inquiry, slot.id, lease),
            slot,
            orders,
        });
        Some(lent)
    }

    /// What an order means; a way is looked at once more, as the list may have changed since the module chose.
    pub fn take(&mut self, order: Order) -> Told {
        match order {
            Order::Fetch(fetch, target) => {
                self.out = Some(Out {
                    target,
                    told: false,
                });
                let in_time = fetch.may_begin(self.core.clock.now());
                let allowed = |cache, start| self.core.members.allowed(cache, start);
                let cache = allowed(fetch.cache, target.cache).filter(|_| in_time);
                let filled = fetch.source != fetch.cache;
                let source = filled.then(|| allowed(fetch.source, target.source));
                match (cache, source) {
                    (Some(cache), None) => Told::Go(Box::new(Way {
                        cache,
                        source: None,
                        fetch,
                        target,
                    })),
                    (Some(cache), Some(source @ Some(_))) => Told::Go(Box::new(Way {
                        cache,
                        source,
                        fetch,
                        target,
                    })),
                    _ => {
                        self.end(Outcome::NeverSent, false);
                        Told::Wait
                    }
                }
            }
            Order::Refuse { wait } => Told::Refused { wait },
            Order::Fail => Told::Failed,
            Order::Over => Told::Over,
        }
    }

    /// Whether a way that was kept may still be gone.
    pub fn open(&self, way: &Way) -> bool {
        if !way.fetch.may_begin(self.core.clock.now()) {
            return false;
        }
        let allowed = |cache, start: Option<_>| {
            start.is_some_and(|start| self.core.members.allows(cache, start))
        };
        let source = way.source.is_none() || allowed(way.fetch.source, way.target.source);
        source && allowed(way.fetch.cache, way.target.cache)
    }

    /// The way is told to whoever makes the attempt: from now on it may have run.
    pub fn told(&mut self) {
        self.out.iter_mut().for_each(|out| out.told = true);
    }

    /// How the attempt that is out ended. `last`: no other follows, whatever the module thinks; else its next order
    /// comes.
    pub fn end(&mut self, outcome: Outcome, last: bool) {
        let Some(Out { target, .. }) = self.out.take() else {
            return;
        };
        self.core.report(self.slot.id, &target, outcome, last);
    }
}

impl Drop for Lent {
    fn drop(&mut self) {
        // What is not known may have run.
        let told = self.out.as_ref().is_some_and(|out| out.told);
        self.end(
            if told {
                Outcome::Cancelled
            } else {
                Outcome::NeverSent
            },
            true,
        );
        self.core.desk.tell(Notice::Ended(self.slot.id));
        self.core.lent.fetch_sub(1, Ordering::SeqCst);
    }
}

/// What a request that goes there by itself is told.
pub enum Placed<T> {
    At(T),
    /// No room for it; the module never heard of it.
    Full,
    Refused,
    Failed,
}

/// The life of a request whose attempt is not heard of again: asked, placed, checked once more, told where to go. The
/// module learns nothing from it.
pub fn place<T>(
    core: &Arc<Core>,
    inquiry: &Inquiry,
    lease: Time,
    tell: impl FnOnce(&Way) -> T,
) -> Placed<T> {
    let _place = match Place::take(core) {
        Some(place) => place,
        None => return Placed::Full,
    };
    let (sender, orders) = bounded(ORDERS);
    let lent = Lent::ask(core, inquiry, lease, Box::new(sender), usize::MAX);
    let Some(mut lent) = lent else {
        return Placed::Full;
    };
    loop {
        let Ok(order) = orders.recv_deadline(lent.deadline) else {
            return Placed::Failed;
        };
        match lent.take(order) {
            Told::Go(way) => {
                let told = tell(&way);
                lent.end(Outcome::Cancelled, true);
                return Placed::At(told);
            }
            Told::Wait => {}
            Told::Refused { .. } => return Placed::Refused,
            Told::Failed | Told::Over => return Placed::Failed,
        }
    }
}

/// One of the places for open requests, where no thread of the core's own holds it.
struct Place<'a>(&'a Core);

impl Place<'_> {
    fn take(core: &Core) -> Option<Place<'_>> {
        let place = Place(core);
        (core.open.fetch_add(1, Ordering::SeqCst) < core.most).then_some(place)
    }
}

impl Drop for Place<'_> {
    fn drop(&mut self) {
        self.0.open.fetch_sub(1, Ordering::SeqCst);
    }
}
