//! The life of one request, from its ask to its one answer, in one function on a thread of its own.

use crate::attempt::{Attempt, Got, Line, Tries};
use crate::buffers::{Buffers, Lease};
use crate::clock::{span, Clock};
use crate::desk::{DeskHandle, Notice, Order, Target, ORDERS};
use crate::limits::{Allowed, Entered, Held, Limiter};
use crate::members::{Listed, Members};
use crate::tally::{End, Tally};
use crossbeam_channel::{bounded, Sender};
use foldmux::interface::*;
use std::collections::HashSet;
use std::ops::Range;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// Stack of a request's thread: its bytes are in pooled buffers.
const STACK: usize = 128 * 1024;
/// Beyond the client's deadline a request without orders answers by itself (us): the module's own look at
/// what is overdue comes first.
const UNORDERED: Time = 30_000;
/// How long a request that pauses before an attempt may miss that its client left.
const PAUSE_PART: Duration = Duration::from_millis(5);

/// A request as a front read and checked it.
pub struct Inquiry {
    /// The client's id for it.
    pub via: u64,
    /// The class's place in the module's list. A reload gives it to another class only once no one holds it.
    pub class: Arc<usize>,
    pub class_name: Arc<str>,
    pub object: u64,
    pub part: u32,
    pub group: u32,
    pub size_kb: f64,
    pub token: Option<String>,
    pub got: Option<String>,
    pub body: Option<(Lease, usize)>,
    pub arrived: Instant,
    /// How long until the client gives this up, from `arrived`.
    pub budget: Time,
    /// Which front it came by, and who its caller proved to be: what limits may go by.
    pub front: &'static str,
    pub caller: Arc<str>,
    /// An attempt made elsewhere may have run: only this group of caches may be asked.
    pub within: Option<u32>,
}

/// The bytes of a part, whole, in the buffer that they were read into.
pub struct Served {
    pub bytes: Lease,
    pub body: Range<usize>,
}

pub enum Answer {
    Served(Served),
    /// The copy that the client holds is the one.
    Same,
    Shed {
        wait: Time,
    },
    Failed,
}

/// Where a front takes an answer. Dropped without one, it tells its client that the request failed.
pub trait Reply: Send {
    fn answer(self: Box<Self>, answer: Answer);
}

/// What others may do to a request while it runs: call its attempt off, or take its client away.
pub struct Slot {
    pub id: RequestId,
    state: Mutex<SlotState>,
}

#[derive(Default)]
struct SlotState {
    left: bool,
    called_off: Option<u8>,
    line: Option<(u8, Arc<dyn Line>)>,
}

impl Slot {
    pub fn new(id: RequestId) -> Arc<Slot> {
        Arc::new(Slot { id, state: Mutex::default() })
    }

    fn state(&self) -> MutexGuard<'_, SlotState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub fn left(&self) -> bool {
        self.state().left
    }

    /// Whether this attempt was called off, or its client left.
    pub fn off(&self, attempt: u8) -> bool {
        let state = self.state();
        state.left || state.called_off.is_some_and(|a| a >= attempt)
    }

    /// Puts an attempt's line where a cancel finds it; false if the cancel came first.
    pub fn hold(&self, attempt: u8, line: Arc<dyn Line>) -> bool {
        let mut state = self.state();
        if state.left || state.called_off.is_some_and(|a| a >= attempt) {
            return false;
        }
        state.line = Some((attempt, line));
        true
    }

    pub fn release(&self) {
        self.state().line = None;
    }

    /// Closing the connection gives up the request: the thread that reads from it wakes at once.
    pub fn call_off(&self, attempt: u8) {
        let mut state = self.state();
        state.called_off = state.called_off.max(Some(attempt));
        if let Some((_, line)) = state.line.take_if(|l| l.0 <= attempt) {
            line.cut();
        }
    }

    fn leave(&self) {
        let mut state = self.state();
        state.left = true;
        if let Some((_, line)) = state.line.take() {
            line.cut();
        }
    }
}

struct Job {
    _claim: Claim,
    inquiry: Inquiry,
    slot: Arc<Slot>,
    reply: Box<dyn Reply>,
}

/// Takes requests from all fronts, up to a bound, each on a thread that is used again.
pub struct Core {
    pub clock: Clock,
    pub desk: DeskHandle,
    pub buffers: Arc<Buffers>,
    pub members: Arc<Members>,
    pub upstream: Box<dyn Tries>,
    pub tally: Tally,
    /// Limits by class and route, where the operator's file has them.
    pub limits: OnceLock<Arc<Limiter>>,
    /// Advised with a refusal of the core's own.
    pub shed_wait: Time,
    /// How long after its start a member may still be cold.
    pub cold_for: Time,
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
    idle: Mutex<Vec<Sender<Job>>>,
}

impl Core {
    #[allow(clippy::too_many_arguments)]
    pub fn new(
        desk: DeskHandle,
        clock: Clock,
        buffers: Arc<Buffers>,
        members: Arc<Members>,
        upstream: Box<dyn Tries>,
        shed_wait: Time,
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
            limits: OnceLock::new(),
            shed_wait,
            cold_for,
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

    /// Starts a request, or sheds it at once where the program is full.
    pub fn start(self: &Arc<Core>, inquiry: Inquiry, slot: Arc<Slot>, reply: Box<dyn Reply>) {
        // Guards against a request under the id of an open one: a cache would take them for one request.
        let Some(claim) = Claim::on(self, inquiry.via) else {
            self.tally.end(Some(&inquiry.class_name), End::Failed);
            return reply.answer(Answer::Failed);
        };
        let job = Job { _claim: claim, inquiry, slot, reply };
        let refused = if self.open.fetch_add(1, Ordering::SeqCst) >= self.most {
            Some(job)
        } else {
            let idle = self.idle().pop();
            match idle.map(Ok).unwrap_or_else(|| self.spawn()) {
                Ok(thread) => thread.send(job).err().map(|e| e.0),
                // The machine gives no more threads; those that there are serve on.
                Err(_) => Some(job),
            }
        };
        if let Some(job) = refused {
            self.open.fetch_sub(1, Ordering::SeqCst);
            self.shed(&job.inquiry.class_name, job.reply);
        }
    }

    fn idle(&self) -> MutexGuard<'_, Vec<Sender<Job>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Refuses what the program has no room for, before the module hears of it.
    fn shed(&self, class: &Arc<str>, reply: Box<dyn Reply>) {
        self.tally.end(Some(class), End::Shed);
        reply.answer(Answer::Shed { wait: self.shed_wait });
    }

    /// One more thread: there are as many as requests were ever open at once.
    fn spawn(self: &Arc<Core>) -> std::io::Result<Sender<Job>> {
        let core = self.clone();
        let (sender, jobs) = bounded(1);
        let own = sender.clone();
        let thread = thread::Builder::new().name("request".into()).stack_size(STACK);
        thread.spawn(move || {
            for job in jobs {
                let Job { _claim, inquiry, slot, reply } = job;
                // Guards against a fault in one request ending the thread: its drops have given all back.
                let _ = catch_unwind(AssertUnwindSafe(|| serve(&core, inquiry, &slot, reply)));
                core.idle().push(own.clone());
                core.open.fetch_sub(1, Ordering::SeqCst);
            }
        })?;
        Ok(sender)
    }

    /// Where nearly all places are taken: the share of one in so many that ask.
    pub fn share(&self, among: usize) -> Option<usize> {
        (self.open() >= self.most * 15 / 16).then(|| (self.most / among.max(1)).max(1))
    }

    /// Whether a member started so lately that it may be cold.
    pub fn cold(&self, now: Time, listed: &Listed) -> bool {
        listed.member.boot > 0 && now < listed.member.boot + self.cold_for
    }

    pub(crate) fn report(&self, id: RequestId, target: &Target, outcome: Outcome, last: bool) {
        self.tally.attempt(outcome);
        let elapsed = target.decided.elapsed().as_micros() as Time;
        let (attempt, note) = (target.attempt, Note::Untold);
        self.desk.tell(Notice::Outcome(Report { id, attempt, outcome, note, elapsed, last }));
    }

    /// The final answer where the limits allow no more: refused where trying again is harmless, else failed.
    fn limited(&self, limits: Option<&Held>) -> (End, Answer) {
        match limits.is_none_or(Held::harmless) {
            true => {
                let wait = limits.map_or(self.shed_wait, |held| held.advice(self.shed_wait));
                (End::Refused, Answer::Shed { wait })
            }
            false => (End::Failed, Answer::Failed),
        }
    }

    /// The client left: the module hears, and the attempt's socket is shut.
    pub fn leave(&self, slot: &Slot) {
        slot.leave();
        self.desk.tell(Notice::Left(slot.id));
    }
}

/// A client's id, while the request under it is open.
struct Claim(Arc<Core>, u64);

impl Claim {
    fn on(core: &Arc<Core>, via: u64) -> Option<Claim> {
        let free = core.claimed.lock().unwrap_or_else(PoisonError::into_inner).insert(via);
        free.then(|| Claim(core.clone(), via))
    }
}

impl Drop for Claim {
    fn drop(&mut self) {
        self.0.claimed.lock().unwrap_or_else(PoisonError::into_inner).remove(&self.1);
    }
}

/// The end of a request at the desk, however its function ends.
struct Ended<'a>(&'a Core, RequestId);

impl Drop for Ended<'_> {
    fn drop(&mut self) {
        self.0.desk.tell(Notice::Ended(self.1));
    }
}

/// The one place where a request lives: admitted, asked, attempted, reported, repeated, answered.
fn serve(core: &Core, inquiry: Inquiry, slot: &Arc<Slot>, reply: Box<dyn Reply>) {
    let Some(mut bytes) = core.buffers.lease() else {
        return core.shed(&inquiry.class_name, reply);
    };
    let mut deadline = inquiry.arrived + span(inquiry.budget);
    let mut limits = match admit(core, &inquiry, deadline) {
        Ok(limits) => limits,
        Err(wait) => {
            core.tally.end(Some(&inquiry.class_name), End::Shed);
            return reply.answer(Answer::Shed { wait });
        }
    };
    limits.iter().for_each(|held| deadline = deadline.min(held.deadline(inquiry.arrived)));
    let (sender, orders) = bounded(ORDERS);
    let _ended = Ended(core, slot.id);
    let asked = Ask { budget: left(deadline), ..ask(&inquiry, slot.id, 0) };
    core.desk.tell(Notice::Ask { ask: asked, slot: slot.clone(), orders: Box::new(sender) });
    let (end, answer) = loop {
        match orders.recv_deadline(deadline + span(UNORDERED)) {
            Ok(Order::Fetch(mut fetch, target)) => {
                let allowed = limits.as_mut().is_none_or(|held| allow(held, slot, deadline));
                let fill = limits.as_ref().map(|held| held.fill(&fetch));
                if !allowed || matches!(fill, Some(None)) {
                    // The limits end it here: the module hears that nothing was sent, and no more is asked of it.
                    core.report(slot.id, &target, Outcome::NeverSent, true);
                    break core.limited(limits.as_ref());
                }
                limits.iter().for_each(|held| held.narrow(&mut fetch));
                let began = Instant::now();
                let attempt = Attempt { inquiry: &inquiry, slot, fetch: &fetch, target: &target, deadline };
                let (outcome, got) = core.upstream.attempt(&attempt, &mut bytes);
                core.tally.sent(&inquiry.class_name, outcome);
                drop(fill);
                limits.iter_mut().for_each(|held| held.heard(began, got.is_some(), outcome.never_ran()));
                let last = got.is_some() || slot.left();
                core.report(slot.id, &target, outcome, last);
                match got {
                    Some(Got::Body(body)) => break (End::Served, Answer::Served(Served { bytes, body })),
                    Some(Got::Same) => break (End::Same, Answer::Same),
                    None => {}
                }
            }
            Ok(Order::Refuse { wait }) => {
                let wait = limits.as_ref().map_or(wait, |held| held.advice(wait));
                break (End::Refused, Answer::Shed { wait });
            }
            Ok(Order::Over) => return,
            Ok(Order::Fail) | Err(_) => break (End::Failed, Answer::Failed),
        }
    };
    core.tally.end(Some(&inquiry.class_name), end);
    reply.answer(answer);
}

/// A place among those of the request's limits, where there are any; else how long to stay away (us). Waits for one as
/// long as the limits say.
fn admit(core: &Core, inquiry: &Inquiry, deadline: Instant) -> Result<Option<Held>, Time> {
    let Some(limiter) = core.limits.get() else { return Ok(None) };
    let (tell, told) = bounded(1);
    let tell = Box::new(move |has: bool| {
        let _ = tell.try_send(has);
    });
    match limiter.enter(*inquiry.class, &inquiry.caller, inquiry.front, tell) {
        Entered::Free => Ok(None),
        Entered::In(held) => Ok(Some(held)),
        Entered::Refused { wait } => Err(wait),
        Entered::Waits(mut held, age) => match told.recv_deadline(deadline.min(Instant::now() + age)) {
            Ok(true) => {
                held.admitted();
                Ok(Some(held))
            }
            Ok(false) | Err(_) => Err(held.advice(Time::MAX)),
        },
    }
}

/// Whether the attempt that the module wants is made, after the pause that the limits want before it.
fn allow(held: &mut Held, slot: &Slot, deadline: Instant) -> bool {
    match held.attempt() {
        Allowed::Now => true,
        Allowed::No => false,
        Allowed::After(pause) => {
            let end = Instant::now() + pause;
            if end >= deadline {
                return false;
            }
            // In parts, so that a client that leaves meanwhile is heard of.
            while !slot.left() && Instant::now() < end {
                thread::sleep(PAUSE_PART.min(end.saturating_duration_since(Instant::now())));
            }
            !slot.left() && held.in_window()
        }
    }
}

fn left(deadline: Instant) -> Time {
    deadline.saturating_duration_since(Instant::now()).as_micros() as Time
}

pub(crate) fn ask(inquiry: &Inquiry, id: RequestId, lease: Time) -> Ask {
    let deadline = inquiry.arrived + span(inquiry.budget);
    Ask {
        id,
        class: *inquiry.class,
        object: ObjectId(inquiry.object),
        part: inquiry.part,
        group: inquiry.group,
        size_kb: inquiry.size_kb,
        budget: left(deadline),
        lease,
        within: inquiry.within,
    }
}
