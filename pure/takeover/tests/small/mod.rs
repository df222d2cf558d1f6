//! The state of the small fleet, and its steps.

use super::common::{policy, request_thread::request, REPEAT_WINDOW};
use foldmux_replicas::{ClockDrift, Effect, Peer, ReplicaSet, StateMachine};
use foldmux_takeover::*;
use std::hash::{Hash, Hasher};
use std::sync::Arc;

pub const KEY: Key = Key(0);
/// One unit of time of the model is a tenth of the lease.
pub const LEASE: u64 = 10;
/// When the exploration ends.
pub const END: u64 = 30;

/// What the thread of the request does at a proxy.
#[derive(Clone, Debug, PartialEq)]
pub enum RequestThread {
    /// There is none.
    None,
    /// It owns the request and has not begun an attempt.
    Owns,
    /// The attempt is recorded.
    Recorded,
    /// The attempt was sent under this term.
    Sent(u64),
    /// The attempt ran, and its answer is being stored.
    Ran,
}

#[derive(Clone, Debug)]
pub struct State {
    /// A replica's reply is delivered in one step with the message that it replies to.
    pub immediate_replies: bool,
    pub now: u64,
    /// Proxies are 0 and 1, replicas 2 to 4.
    pub machines: Vec<Takeover>,
    /// Messages with their sender and receiver.
    pub in_flight: Vec<(usize, usize, Message)>,
    pub threads: [RequestThread; 2],
    pub terms: [u64; 2],
    pub requested: [bool; 2],
    pub alive: [bool; 2],
    pub paused: Option<usize>,
    /// Crashes, pauses, losses and duplicates that may still happen.
    pub faults_left: [u8; 4],
    pub runs: u8,
    pub answers: [Option<Answer>; 2],
    /// Both proxies had a valid lease when an attempt was sent.
    pub both_may_send: bool,
    /// Each term that was acquired, with the proxy that acquired it.
    pub owners: Vec<(u64, usize)>,
}

impl State {
    /// The whole state as text, for comparison. Messages in flight have no order.
    fn text(&self) -> String {
        let mut in_flight: Vec<String> = self
            .in_flight
            .iter()
            .map(|message| format!("{message:?}"))
            .collect();
        in_flight.sort();
        format!(
            "{in_flight:?}{:?}",
            State {
                in_flight: Vec::new(),
                ..self.clone()
            }
        )
    }
}

impl PartialEq for State {
    fn eq(&self, other: &State) -> bool {
        self.text() == other.text()
    }
}

impl Eq for State {}

impl Hash for State {
    fn hash<H: Hasher>(&self, to: &mut H) {
        self.text().hash(to);
    }
}

#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// A client sends its request to a proxy.
    ClientRequest(usize),
    /// The message with this index is delivered.
    Deliver {
        index: usize,
        lost: bool,
        /// It stays in flight, to be delivered again.
        duplicated: bool,
    },
    /// Time advances to the next timer.
    AdvanceTime,
    /// The thread of the request at a proxy takes its next step.
    RunThread(usize),
    Crash(usize),
    Pause(usize),
    Resume,
}

pub fn name(index: usize) -> Peer {
    Peer::new(&format!("n{index}"))
}

pub fn takeover(index: usize) -> Takeover {
    let policy = ClassPolicy {
        retention: 100,
        unclaimed: UnclaimedPolicy::Release,
        ..policy(Repeatability::Keyed {
            window: REPEAT_WINDOW,
        })
    };
    let setup = Setup {
        name: name(index),
        session: index as u64,
        replicas: ReplicaSet::new((2..5).map(name)).unwrap(),
        policies: [(Arc::from("keyed"), policy)].into(),
        lease: LEASE,
        drift: ClockDrift::from_percent(0.0).unwrap(),
        max_deadline: 100,
        state_recovered: true,
        max_records: 2,
        max_record_bytes: 10_000,
        max_requests: 2,
        max_waiters: 2,
        seed: index as u64,
        #[cfg(feature = "planted")]
        planted: None,
    };
    Takeover::new(0, setup)
}

impl State {
    /// Runs a step of a state machine and carries out its effects.
    fn drive(
        &mut self,
        at: usize,
        step: impl FnOnce(&mut Takeover, u64, &mut Vec<Effect<Message, Event>>),
    ) {
        let mut effects = Vec::new();
        step(&mut self.machines[at], self.now, &mut effects);
        for effect in effects {
            match effect {
                Effect::Send { to, message } => {
                    self.in_flight
                        .push((at, to.as_str()[1..].parse().unwrap(), message))
                }
                Effect::Emit(Event::Acquired { record, .. } | Event::TakenOver { record, .. }) => {
                    (self.threads[at], self.terms[at]) = (RequestThread::Owns, record.ballot.term);
                    self.owners.push((record.ballot.term, at));
                }
                Effect::Emit(Event::Committed { .. }) if self.threads[at] == RequestThread::Ran => {
                    self.answers[at] = Some(Answer::NotModified);
                    self.threads[at] = RequestThread::None;
                }
                Effect::Emit(Event::Committed { .. }) => self.threads[at] = RequestThread::Recorded,
                Effect::Emit(Event::Answered { answer, .. }) => self.answers[at] = Some(answer),
                Effect::Emit(Event::Joined { .. }) => {}
                Effect::Emit(_) => self.threads[at] = RequestThread::None,
            }
        }
    }

    /// Delivers what a replica replied, if replies are immediate.
    fn deliver_replies(&mut self, replica: usize) {
        let can_receive = |s: &State, to: usize| to < 2 && s.alive[to] && s.paused != Some(to);
        while let Some(index) = self.in_flight.iter().position(|(from, to, _)| {
            self.immediate_replies && replica > 1 && *from == replica && can_receive(self, *to)
        }) {
            let (from, to, message) = self.in_flight.swap_remove(index);
            self.drive(to, |takeover, now, effects| {
                takeover.on_message(now, &name(from), message, effects)
            });
        }
    }

    pub fn step(&mut self, step: &Step) {
        match *step {
            Step::ClientRequest(at) => {
                self.requested[at] = true;
                let command = Command::Acquire {
                    ticket: 1,
                    key: KEY,
                    request: request(0),
                    time_left: 90,
                    ownership_lost: false,
                };
                self.drive(at, |takeover, now, effects| {
                    takeover.on_command(now, command, effects)
                });
            }
            Step::Deliver {
                index,
                lost,
                duplicated,
            } => {
                let (from, to, message) = self.in_flight[index].clone();
                self.faults_left[2] -= lost as u8;
                self.faults_left[3] -= duplicated as u8;
                if !duplicated {
                    self.in_flight.swap_remove(index);
                }
                if !lost && self.alive.get(to) != Some(&false) {
                    self.drive(to, |takeover, now, effects| {
                        takeover.on_message(now, &name(from), message, effects)
                    });
                    self.deliver_replies(to);
                }
            }
            Step::AdvanceTime => {
                self.now = self.due();
                for at in 0..5 {
                    let runs = self.alive.get(at) != Some(&false) && self.paused != Some(at);
                    if runs
                        && self.machines[at]
                            .next_tick()
                            .is_some_and(|due| due <= self.now)
                    {
                        self.drive(at, |takeover, now, effects| takeover.on_tick(now, effects));
                    }
                }
            }
            Step::RunThread(at) => self.run_thread(at),
            Step::Crash(at) => (self.alive[at], self.faults_left[0]) = (false, 0),
            Step::Pause(at) => (self.paused, self.faults_left[1]) = (Some(at), 0),
            Step::Resume => self.paused = None,
        }
    }

    fn run_thread(&mut self, at: usize) {
        let may_send = |at: usize, s: &State| {
            s.alive[at] && s.machines[at].lease(KEY).is_some_and(|l| l.may_send(s.now))
        };
        match self.threads[at] {
            RequestThread::Owns => {
                let command = Command::BeginAttempt {
                    ticket: 2,
                    key: KEY,
                    term: self.terms[at],
                    number: 1,
                    group: 1,
                };
                self.drive(at, |takeover, now, effects| {
                    takeover.on_command(now, command, effects)
                });
            }
            RequestThread::Recorded if may_send(at, self) => {
                self.both_may_send |= may_send(1 - at, self);
                self.threads[at] = RequestThread::Sent(self.terms[at]);
            }
            RequestThread::Recorded => self.threads[at] = RequestThread::None,
            // The archive runs a request once and drops its repeats, which all come within its window here.
            RequestThread::Sent(_) => {
                self.runs += (self.runs == 0) as u8;
                self.threads[at] = RequestThread::Ran;
                let command = Command::Complete {
                    ticket: 3,
                    key: KEY,
                    term: self.terms[at],
                    answer: Answer::NotModified,
                };
                self.drive(at, |takeover, now, effects| {
                    takeover.on_command(now, command, effects)
                });
            }
            RequestThread::Ran | RequestThread::None => {}
        }
    }

    /// When the next timer is due; after the end if none is.
    pub fn due(&self) -> u64 {
        let next = self
            .machines
            .iter()
            .filter_map(|takeover| takeover.next_tick())
            .filter(|due| *due > self.now)
            .min();
        next.unwrap_or(END + 1)
    }
}
