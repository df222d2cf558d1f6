//! Between requests' threads and the fleet's thread: each waits for its own answer, and the fleet's thread for nobody.

use super::taken::Taken;
use crossbeam_channel::{bounded, RecvTimeoutError, Sender};
use foldmux_fleet::{Port, Sink};
use foldmux_takeover::{Command, Event};
use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::Instant;

/// What became of requests of covered classes.
#[derive(Default)]
pub struct Counts {
    pub covered: AtomicU64,
    pub uncovered: AtomicU64,
    pub refused: AtomicU64,
    pub joined: AtomicU64,
    pub kept: AtomicU64,
    pub lost: AtomicU64,
    pub taken: AtomicU64,
    pub passed_on: AtomicU64,
}

pub struct Line {
    /// Set once the fleet's thread runs: whom to ask, and its clock's start.
    port: OnceLock<(Port<Command>, Instant)>,
    gone: AtomicBool,
    /// One for each request that waits: bounded by the core's places.
    waits: Mutex<HashMap<u64, Sender<Event>>>,
    serial: AtomicU64,
    taken: Sender<Taken>,
    pub counts: Counts,
}

impl Line {
    pub fn new(taken: Sender<Taken>) -> Arc<Line> {
        Arc::new(Line {
            port: OnceLock::new(),
            gone: AtomicBool::new(false),
            waits: Mutex::default(),
            serial: AtomicU64::new(1),
            taken,
            counts: Counts::default(),
        })
    }

    pub fn open(&self, port: Port<Command>, began: Instant) {
        let _ = self.port.set((port, began));
    }

    pub fn gone(&self) -> bool {
        self.gone.load(Ordering::SeqCst) || self.port.get().is_none()
    }

    /// The part's time now; none before it runs.
    pub fn now(&self) -> Option<u64> {
        self.port
            .get()
            .map(|(_, began)| began.elapsed().as_micros() as u64)
    }

    fn waits(&self) -> MutexGuard<'_, HashMap<u64, Sender<Event>>> {
        self.waits.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Says it, and waits for nothing.
    pub fn say(&self, ask: Command) -> bool {
        self.port
            .get()
            .is_some_and(|(port, _)| port.ask(ask).is_ok())
    }

    /// The answer to an ask; none where it did not come in time, or nobody is there to give it.
    pub fn ask(&self, until: Instant, ask: impl FnOnce(u64) -> Command) -> Option<Event> {
        let ticket = self.serial.fetch_add(1, Ordering::Relaxed);
        let (tell, told) = bounded(1);
        self.waits().insert(ticket, tell);
        if !self.say(ask(ticket)) {
            self.waits().remove(&ticket);
            return None;
        }
        match told.recv_deadline(until) {
            Ok(told) => Some(told),
            Err(RecvTimeoutError::Disconnected) => None,
            // Whoever takes the entry out owes the answer: it is on its way.
            Err(RecvTimeoutError::Timeout) => match self.waits().remove(&ticket) {
                Some(_) => None,
                None => told.recv().ok(),
            },
        }
    }

    pub fn report(&self) -> String {
        let c = &self.counts;
        let of = |count: &AtomicU64| count.load(Ordering::Relaxed);
        format!(
            "{} covered, {} uncovered, {} refused, {} joined, {} kept answers, {} lost, {} taken over, {} passed on",
            of(&c.covered),
            of(&c.uncovered),
            of(&c.refused),
            of(&c.joined),
            of(&c.kept),
            of(&c.lost),
            of(&c.taken),
            of(&c.passed_on)
        )
    }
}

/// Where the part tells.
pub struct Ears(pub Arc<Line>);

impl Sink<Event> for Ears {
    fn told(&self, told: Event) {
        let line = &self.0;
        let ticket = match &told {
            Event::Joined { .. } => {
                line.counts.joined.fetch_add(1, Ordering::Relaxed);
                return;
            }
            Event::TakenOver { .. } => {
                let Event::TakenOver {
                    key,
                    record,
                    proof,
                    lease,
                } = told
                else {
                    return;
                };
                let term = record.ballot.term;
                if line
                    .taken
                    .try_send(Taken {
                        key,
                        record,
                        proof,
                        lease,
                    })
                    .is_err()
                {
                    // No room to finish it here: the next in line does.
                    line.counts.passed_on.fetch_add(1, Ordering::Relaxed);
                    line.say(Command::Release {
                        key,
                        term,
                        abandoned: false,
                    });
                }
                return;
            }
            Event::Acquired { ticket, .. }
            | Event::Answered { ticket, .. }
            | Event::Unreplicated { ticket } => *ticket,
            Event::Rejected { ticket } | Event::Failed { ticket } => *ticket,
            Event::Committed { ticket } | Event::OwnershipLost { ticket } => *ticket,
        };
        let wait = line.waits().remove(&ticket);
        match (wait, told) {
            (Some(wait), told) => drop(wait.try_send(told)),
            // Nobody waits for it any more.
            (None, Event::Acquired { key, record, .. }) => {
                line.say(Command::Release {
                    key,
                    term: record.ballot.term,
                    abandoned: false,
                });
            }
            (None, _) => {}
        }
    }

    fn gone(&self) {
        self.0.gone.store(true, Ordering::SeqCst);
        self.0.waits().clear();
    }
}
