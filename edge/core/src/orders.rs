//! What passes between the desk and all others: notices to it, orders from it.

use crate::members::{Listed, Start};
use crate::slot::Slot;
use crossbeam_channel::Sender;
use foldmux::interface::*;
use foldmux_load_reports::Load;
use std::sync::Arc;
use std::time::Instant;

/// Orders that wait for a request: the module has one attempt out and one final answer.
pub const ORDERS: usize = 8;

/// What the desk is told.
pub enum Notice {
    Ask {
        ask: Ask,
        slot: Arc<Slot>,
        orders: Box<dyn Orders>,
    },
    Outcome(Report),
    /// The client left.
    Left(RequestId),
    /// The request's function has ended.
    Ended(RequestId),
    /// This process ends: every open request has its final answer by then.
    Closing {
        by: Time,
    },
    Members {
        full: bool,
        listed: Vec<Listed>,
    },
    Purged {
        object: Option<ObjectId>,
        group: u32,
        ago: Time,
    },
    /// Other settings by SIGHUP; their classes keep the places of the old ones.
    Retuned(Box<foldmux::interface::Settings>),
    /// An answer of this start of a cache carried a report.
    Load {
        cache: CacheId,
        start: Start,
        load: Load,
    },
    /// A probe of this start ended: whether it is well, and its report; empty where it gave none.
    Probed {
        cache: CacheId,
        start: Start,
        well: bool,
        load: Load,
    },
    /// The hierarchy's wiring, as it concerns this proxy.
    Wired {
        hubs: Vec<usize>,
        hub_of: Vec<usize>,
    },
}

/// What a request is told.
#[derive(Debug)]
pub enum Order {
    Fetch(Fetch, Target),
    Refuse {
        wait: Time,
    },
    Fail,
    /// The client left: nothing is owed.
    Over,
}

/// The starts of the cache and of the source that the module had in mind.
#[derive(Clone, Copy, Debug)]
pub struct Target {
    pub cache: Option<Start>,
    pub source: Option<Start>,
    pub attempt: u8,
    pub decided: Instant,
}

#[derive(Clone)]
pub struct DeskHandle(pub(crate) Sender<Notice>);

impl DeskHandle {
    /// The desk ends only with the process; a notice to a desk that is gone has no meaning any more.
    pub fn tell(&self, notice: Notice) {
        let _ = self.0.send(notice);
    }
}

/// Sends probes, where the settings allow them.
pub trait Probes: Send {
    /// Sends one to this start of a member, or not where there is no room; never waits. What it finds is told to the desk.
    fn probe(&self, cache: CacheId, start: Start);
}

/// Where a request hears what to do. The desk never waits for it: it has room for [`ORDERS`].
pub trait Orders: Send {
    fn order(&self, order: Order);
}

impl Orders for Sender<Order> {
    fn order(&self, order: Order) {
        let _ = self.try_send(order);
    }
}
