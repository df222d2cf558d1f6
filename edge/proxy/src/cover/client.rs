//! Carries commands from the threads of requests to the takeover state machine, and its events back. A request's thread
//! waits for the event that answers its command; the fleet's thread never blocks.

use crossbeam_channel::{bounded, RecvTimeoutError, Sender};
use foldmux_fleet::{Port, Sink};
use foldmux_replicas::Time;
use foldmux_takeover::{Command, Event, Key, Lease, Proof, Record};
use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::Instant;

/// What became of requests of replicated classes.
#[derive(Default)]
pub struct Counts {
    /// Owned by this process, for a client of its own.
    pub covered: AtomicU64,
    /// Ran without a record, as none could be replicated.
    pub uncovered: AtomicU64,
    /// Rejected, as no record could be replicated.
    pub refused: AtomicU64,
    /// Waited for the answer of another owner.
    pub joined: AtomicU64,
    /// Answered with the stored answer.
    pub stored: AtomicU64,
    /// Lost to another owner.
    pub lost: AtomicU64,
    /// Taken over from another owner, without a client here.
    pub taken_over: AtomicU64,
    /// Given to this process as successor, and released as it could not be started here.
    pub passed_on: AtomicU64,
}

/// A request that this process takes over.
pub struct TakenOverRequest {
    pub key: Key,
    pub record: Record,
    pub proof: Proof,
    pub lease: Lease,
}

/// Sends commands to the state machine, and delivers the events that answer them.
pub struct TakeoverClient {
    /// The state machine's port, and when its clock started. Set once the fleet's thread runs.
    port: OnceLock<(Port<Command>, Instant)>,
    is_gone: AtomicBool,
    /// By ticket, one for each request that waits: bounded by the requests that the core admits.
    waiters: Mutex<HashMap<u64, Sender<Event>>>,
    next_ticket: AtomicU64,
    taken_over: Sender<TakenOverRequest>,
    pub counts: Counts,
}

impl TakeoverClient {
    pub fn new(taken_over: Sender<TakenOverRequest>) -> Arc<TakeoverClient> {
        Arc::new(TakeoverClient {
            port: OnceLock::new(),
            is_gone: AtomicBool::new(false),
            waiters: Mutex::default(),
            next_ticket: AtomicU64::new(1),
            taken_over,
            counts: Counts::default(),
        })
    }

    /// Connects to the state machine, once the fleet's thread runs. `started_at`: the start of its clock.
    pub fn open(&self, port: Port<Command>, started_at: Instant) {
        let _ = self.port.set((port, started_at));
    }

    /// Whether the state machine is not in service: not started yet, or ended.
    pub fn is_gone(&self) -> bool {
        self.is_gone.load(Ordering::SeqCst) || self.port.get().is_none()
    }

    /// The state machine's time now; none before it runs.
    pub fn now(&self) -> Option<Time> {
        let (_, started_at) = self.port.get()?;
        Some(started_at.elapsed().as_micros() as Time)
    }

    fn waiters(&self) -> MutexGuard<'_, HashMap<u64, Sender<Event>>> {
        self.waiters.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sends a command without waiting. Returns whether it was queued.
    pub fn send(&self, command: Command) -> bool {
        self.port
            .get()
            .is_some_and(|(port, _)| port.ask(command).is_ok())
    }

    fn release(&self, key: Key, term: u64) {
        self.send(Command::Release {
            key,
            term,
            abandoned: false,
        });
    }

    /// Sends the command for a new ticket, and waits for the event that answers it. None if no event came by the deadline,
    /// or the state machine is not in service.
    pub fn call(&self, deadline: Instant, command: impl FnOnce(u64) -> Command) -> Option<Event> {
        let ticket = self.next_ticket.fetch_add(1, Ordering::Relaxed);
        let (sender, receiver) = bounded(1);
        self.waiters().insert(ticket, sender);
        if !self.send(command(ticket)) {
            self.waiters().remove(&ticket);
            return None;
        }
        match receiver.recv_deadline(deadline) {
            Ok(event) => Some(event),
            Err(RecvTimeoutError::Disconnected) => None,
            // Without an entry, the fleet's thread has removed the waiter and is about to send it the event.
            Err(RecvTimeoutError::Timeout) => match self.waiters().remove(&ticket) {
                Some(_) => None,
                None => receiver.recv().ok(),
            },
        }
    }

    /// The counters, in one line.
    pub fn report(&self) -> String {
        let c = &self.counts;
        let of = |count: &AtomicU64| count.load(Ordering::Relaxed);
        format!(
            "{} covered, {} uncovered, {} refused, {} joined, {} answered from the record, {} lost, {} taken over, {} passed on",
            of(&c.covered),
            of(&c.uncovered),
            of(&c.refused),
            of(&c.joined),
            of(&c.stored),
            of(&c.lost),
            of(&c.taken_over),
            of(&c.passed_on)
        )
    }
}

/// Routes the events of the state machine to the requests that wait for them.
pub struct EventSink(pub Arc<TakeoverClient>);

impl EventSink {
    /// Queues a request for this process to finish. If the queue is full, it is released to the next in line.
    fn take_over(&self, request: TakenOverRequest) {
        let client = &self.0;
        let (key, term) = (request.key, request.record.ballot.term);
        if client.taken_over.try_send(request).is_err() {
            client.counts.passed_on.fetch_add(1, Ordering::Relaxed);
            client.release(key, term);
        }
    }

    fn answer(&self, ticket: u64, event: Event) {
        let client = &self.0;
        let waiter = client.waiters().remove(&ticket);
        match (waiter, event) {
            (Some(waiter), event) => drop(waiter.try_send(event)),
            // The request gave up waiting, so the record is released.
            (None, Event::Acquired { key, record, .. }) => client.release(key, record.ballot.term),
            (None, _) => {}
        }
    }
}

impl Sink<Event> for EventSink {
    fn told(&self, event: Event) {
        let ticket = match event {
            Event::Joined { .. } => {
                self.0.counts.joined.fetch_add(1, Ordering::Relaxed);
                return;
            }
            Event::TakenOver {
                key,
                record,
                proof,
                lease,
            } => {
                return self.take_over(TakenOverRequest {
                    key,
                    record,
                    proof,
                    lease,
                })
            }
            Event::Acquired { ticket, .. }
            | Event::Answered { ticket, .. }
            | Event::Unreplicated { ticket }
            | Event::Rejected { ticket }
            | Event::Failed { ticket }
            | Event::Committed { ticket }
            | Event::OwnershipLost { ticket } => ticket,
        };
        self.answer(ticket, event);
    }

    fn gone(&self) {
        self.0.is_gone.store(true, Ordering::SeqCst);
        self.0.waiters().clear();
    }
}
