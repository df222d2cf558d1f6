//! What all requests share: the desk, the buffers, the members, the limits, the counts, and the places of those that are
//! open.

use crate::attempt::Tries;
use crate::buffers::Buffers;
use crate::clock::Clock;
use crate::cover::{Cover, Hold};
use crate::history::History;
use crate::inquiry::{Answer, Inquiry, Reply};
use crate::limits::Limiter;
use crate::members::{Listed, Members};
use crate::orders::{DeskHandle, Notice, Target};
use crate::reasons::Reason;
use crate::slot::Slot;
use crate::tally::{End, Tally};
use crate::throttle::Throttle;
use crate::turn::Turn;
use crossbeam_channel::Sender;
use foldmux::interface::*;
use std::collections::HashSet;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, OnceLock, PoisonError};
use std::time::Instant;

pub(crate) struct Job {
    pub(crate) _claim: Claim,
    pub(crate) inquiry: Inquiry,
    pub(crate) slot: Arc<Slot>,
    pub(crate) work: Work,
}

/// Whom a request is run for.
pub(crate) enum Work {
    Client(Box<dyn Reply>),
    /// Nobody here: it was taken over.
    Taken(Box<dyn Hold>),
}

/// Takes requests from all fronts, up to a bound, each on a thread that is used again.
pub struct Core {
    pub clock: Clock,
    pub desk: DeskHandle,
    pub buffers: Arc<Buffers>,
    pub members: Arc<Members>,
    pub upstream: Box<dyn Tries>,
    pub tally: Tally,
    /// How many lines the log has for requests that were not served.
    pub unserved_lines: Throttle,
    /// Limits by class and route, where the operator's file has them.
    pub limits: OnceLock<Arc<Limiter>>,
    /// Who keeps the records of covered requests, where the operator's file has a fleet.
    pub cover: OnceLock<Arc<dyn Cover>>,
    /// Whose turn it is at pools of places, where the operator's file has any.
    pub turns: OnceLock<Arc<dyn Turn>>,
    /// Advised with a refusal of the core's own.
    refusal_wait: AtomicU64,
    /// How long after its start a member may still be cold.
    cold_for: AtomicU64,
    pub(crate) most: usize,
    pub(crate) open: AtomicUsize,
    /// Requests whose attempts others make; their fronts bound them.
    pub(crate) lent: AtomicUsize,
    serial: AtomicU64,
    /// The clients' ids of open requests.
    claimed: Mutex<HashSet<u64>>,
    /// Threads that wait for a job, each at a channel of its own; the last to finish is the first to go on.
    /// Guards against a livelock: hundreds of threads that wait at one channel spin in turn for whoever holds
    /// its slot, and on one core that thread may not get to run for a second.
    pub(crate) idle: Mutex<Vec<Sender<Job>>>,
}

impl Core {
    #[allow(clippy::too_many_arguments)]
    pub fn new(
        desk: DeskHandle,
        clock: Clock,
        buffers: Arc<Buffers>,
        members: Arc<Members>,
        upstream: Box<dyn Tries>,
        refusal_wait: Time,
        cold_for: Time,
        most: usize,
    ) -> Arc<Core> {
        Arc::new(Core {
            clock,
            desk,
            buffers,
            members,
            upstream,
            tally: Tally::default(),
            unserved_lines: Throttle::new(Instant::now()),
            limits: OnceLock::new(),
            cover: OnceLock::new(),
            turns: OnceLock::new(),
            refusal_wait: refusal_wait.into(),
            cold_for: cold_for.into(),
            most,
            open: AtomicUsize::new(0),
            lent: AtomicUsize::new(0),
            serial: AtomicU64::new(1),
            claimed: Mutex::default(),
            idle: Mutex::default(),
        })
    }

    pub fn slot(&self) -> Arc<Slot> {
        Slot::new(RequestId(self.serial.fetch_add(1, Ordering::Relaxed)))
    }

    pub fn open(&self) -> usize {
        self.open.load(Ordering::SeqCst)
    }

    pub fn lent(&self) -> usize {
        self.lent.load(Ordering::SeqCst)
    }

    /// Refuses what the program has no room for, before the module hears of it.
    pub(crate) fn shed(&self, inquiry: &Inquiry, reason: Reason, reply: Box<dyn Reply>) {
        self.count_end(inquiry, End::Shed(reason), &History::default());
        reply.answer(Answer::Shed {
            wait: self.refusal_wait(),
        });
    }

    /// Counts how a request ended. One that was not served gets a line in the log with its id, why, and what was tried for
    /// it, as far as the log has lines for that.
    pub(crate) fn count_end(&self, inquiry: &Inquiry, end: End, history: &History) {
        self.tally.end(Some(&inquiry.class_name), end);
        if end.reason().is_none() || !self.unserved_lines.admits(Instant::now()) {
            return;
        }
        let (class, after) = (&inquiry.class_name, inquiry.arrived.elapsed().as_millis());
        tracing::info!(
            "request {:016x} class {class}: {end}; {history}; after {after} ms",
            inquiry.via
        );
    }

    /// Advised with a refusal of the core's own (us).
    pub fn refusal_wait(&self) -> Time {
        self.refusal_wait.load(Ordering::Relaxed)
    }

    /// Other settings: what is advised with a refusal of the core's own, and how long a member may be cold (us).
    pub fn retune(&self, refusal_wait: Time, cold_for: Time) {
        self.refusal_wait.store(refusal_wait, Ordering::Relaxed);
        self.cold_for.store(cold_for, Ordering::Relaxed);
    }

    /// Where nearly all places are taken: the share of one in so many that ask.
    pub fn share(&self, among: usize) -> Option<usize> {
        (self.open() >= self.most * 15 / 16).then(|| (self.most / among.max(1)).max(1))
    }

    /// Whether a member started so lately that it may be cold.
    pub fn cold(&self, now: Time, listed: &Listed) -> bool {
        listed.member.boot > 0 && now < listed.member.boot + self.cold_for.load(Ordering::Relaxed)
    }

    pub(crate) fn report(&self, id: RequestId, target: &Target, outcome: Outcome, last: bool) {
        self.tally.attempt(outcome);
        let elapsed = target.decided.elapsed().as_micros() as Time;
        let (attempt, note) = (target.attempt, Note::Untold);
        self.desk.tell(Notice::Outcome(Report {
            id,
            attempt,
            outcome,
            note,
            elapsed,
            last,
        }));
    }

    /// The client left: the module hears, and the attempt's socket is shut.
    pub fn leave(&self, slot: &Slot) {
        slot.leave();
        self.desk.tell(Notice::Left(slot.id));
    }
}

/// A client's id, while the request under it is open.
pub(crate) struct Claim(Arc<Core>, u64);

impl Claim {
    pub(crate) fn on(core: &Arc<Core>, via: u64) -> Option<Claim> {
        let free = core
            .claimed
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .insert(via);
        free.then(|| Claim(core.clone(), via))
    }
}

impl Drop for Claim {
    fn drop(&mut self) {
        self.0
            .claimed
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .remove(&self.1);
    }
}
