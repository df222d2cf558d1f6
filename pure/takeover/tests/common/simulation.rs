//! The simulation: its queue of events in virtual time, clocks that drift, and links that lose messages.

use super::archive::Archive;
use super::client::Client;
use super::request_thread::RequestThread;
use super::schedule::Scheduled;
use super::{Plan, Random, Summary, MAX_DEADLINE, MS};
use foldmux_replicas::{Effect, StateMachine};
use foldmux_takeover::*;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap, HashSet};

/// The command that a ticket belongs to.
#[derive(Clone, Copy, Debug)]
pub enum Purpose {
    Acquire {
        client: usize,
    },
    BeginAttempt {
        key: u8,
    },
    Complete {
        key: u8,
        client: Option<usize>,
        answer: Option<u8>,
    },
}

pub struct Process {
    /// None while it is dead.
    pub takeover: Option<Takeover>,
    /// Counts its starts.
    pub incarnation: u64,
    pub started_at: u64,
    /// When the next tick is scheduled; 0 if none is.
    pub scheduled_tick: u64,
    /// How much its clock runs too fast, in parts per million.
    ppm: i64,
    pub paused: bool,
    /// Events that came while it was paused.
    pub deferred: Vec<Scheduled>,
    /// By key.
    pub threads: HashMap<u8, RequestThread>,
    pub tickets: HashMap<u64, Purpose>,
}

pub struct Simulation {
    pub plan: Plan,
    pub now: u64,
    pub random: Random,
    pub processes: Vec<Process>,
    pub clients: Vec<Client>,
    pub summary: Summary,
    /// The process and incarnation that owned a key under a term.
    pub owners: HashMap<(u8, u64), (usize, u64)>,
    /// Committed answers, by key.
    pub final_answers: Vec<(u8, Answer)>,
    /// When a key's owner was killed or shut down, until another attempt is sent.
    pub owner_lost_at: HashMap<u8, u64>,
    pub archive: Archive,
    /// By serial number.
    events: BTreeMap<u64, Scheduled>,
    /// The time and the serial number of each event.
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    serial: u64,
    /// How many cuts are in effect on each link, by sender and receiver.
    pub cut_links: HashMap<(usize, usize), u32>,
}

impl Simulation {
    pub fn run(plan: Plan) -> Summary {
        let random = Random(plan.seed);
        let mut simulation = Simulation {
            now: 1_000 * MS,
            random,
            processes: Vec::new(),
            clients: Vec::new(),
            summary: Summary::default(),
            owners: HashMap::new(),
            final_answers: Vec::new(),
            owner_lost_at: HashMap::new(),
            archive: Archive::default(),
            events: BTreeMap::new(),
            queue: BinaryHeap::new(),
            serial: 0,
            cut_links: HashMap::new(),
            plan,
        };
        for at in 0..simulation.plan.processes {
            // The clocks run as far apart as the drift allows.
            let ppm = [10_000, -10_000, 0, -10_000, 10_000][at % 5];
            let (takeover, tickets) = (None, HashMap::new());
            let threads = HashMap::new();
            simulation.processes.push(Process {
                takeover,
                incarnation: 0,
                started_at: 0,
                scheduled_tick: 0,
                ppm,
                paused: false,
                deferred: vec![],
                threads,
                tickets,
            });
            simulation.start(at, !simulation.plan.state_lost);
        }
        simulation
            .plan
            .actions
            .clone()
            .into_iter()
            .for_each(|(at, action)| simulation.schedule(at, Scheduled::Action(action)));
        let last = simulation
            .plan
            .actions
            .iter()
            .map(|a| a.0)
            .max()
            .unwrap_or(0);
        let end = simulation.now + last + 3 * MAX_DEADLINE;
        while let Some(&Reverse((at, serial))) =
            simulation.queue.peek().filter(|next| next.0 .0 < end)
        {
            simulation.queue.pop();
            simulation.now = at;
            let event = simulation.events.remove(&serial).unwrap();
            simulation.run_event(event);
        }
        simulation.summarize()
    }

    fn summarize(mut self) -> Summary {
        let mut answers: HashMap<u8, HashSet<Answer>> = HashMap::new();
        let received = self
            .clients
            .iter()
            .filter_map(|c| c.answer.clone().map(|answer| (c.key, answer)));
        for (key, answer) in received.chain(self.final_answers.drain(..)) {
            answers.entry(key).or_default().insert(answer);
        }
        let summary = &mut self.summary;
        summary.two_answers = answers.values().filter(|all| all.len() > 1).count();
        (summary.ran, summary.ran_twice) = self.archive.ran();
        summary.answered = self.clients.iter().filter(|c| c.answer.is_some()).count();
        summary.failed = self
            .clients
            .iter()
            .filter(|c| c.answer == Some(Answer::Failed))
            .count();
        summary.unanswered = self.clients.len() - summary.answered;
        summary.tickets_unanswered = self.processes.iter().map(|p| p.tickets.len()).sum();
        summary.requests_left = self
            .processes
            .iter()
            .filter_map(|p| p.takeover.as_ref())
            .map(|p| p.counts().1)
            .sum();
        self.summary
    }

    pub fn schedule(&mut self, after: u64, event: Scheduled) {
        self.serial += 1;
        self.events.insert(self.serial, event);
        self.queue.push(Reverse((self.now + after, self.serial)));
    }

    /// The time on a process's own clock.
    pub fn local_time(&self, at: usize) -> u64 {
        let process = &self.processes[at];
        let elapsed = (self.now - process.started_at) as i64;
        5_000 + (elapsed + elapsed * process.ppm / 1_000_000) as u64
    }

    pub fn new_ticket(&mut self, at: usize, purpose: Purpose) -> u64 {
        self.serial += 1;
        self.processes[at].tickets.insert(self.serial, purpose);
        self.serial
    }

    /// The purpose of a ticket that an event answers.
    pub fn take_purpose(&mut self, at: usize, ticket: u64) -> Option<Purpose> {
        let purpose = self.processes[at].tickets.remove(&ticket);
        self.summary.tickets_answered_twice += purpose.is_none() as usize;
        purpose
    }

    pub fn command(&mut self, at: usize, command: Command) {
        self.drive(at, |takeover, now, effects| {
            takeover.on_command(now, command, effects)
        });
    }

    /// Runs a step of a process's state machine and carries out its effects.
    pub fn drive(
        &mut self,
        at: usize,
        step: impl FnOnce(&mut Takeover, u64, &mut Vec<Effect<Message, Event>>),
    ) {
        let (now, incarnation, mut effects) = (
            self.local_time(at),
            self.processes[at].incarnation,
            Vec::new(),
        );
        let Some(takeover) = &mut self.processes[at].takeover else {
            return;
        };
        step(takeover, now, &mut effects);
        let due = takeover.next_tick();
        for effect in effects {
            match effect {
                Effect::Send { to, message } => {
                    self.send_message(at, to.as_str()[1..].parse().unwrap(), message)
                }
                Effect::Emit(event) => self.on_event(at, event),
            }
        }
        if let Some(due) = due {
            let rate = 1_000_000 + self.processes[at].ppm;
            let after = due.saturating_sub(now) as i64 * 1_000_000 / rate;
            let when = self.now + after as u64 + 1;
            if self.processes[at].scheduled_tick == 0 || when < self.processes[at].scheduled_tick {
                self.processes[at].scheduled_tick = when;
                self.schedule(when - self.now, Scheduled::Tick { at, incarnation });
            }
        }
    }

    fn send_message(&mut self, from: usize, to: usize, message: Message) {
        self.summary.messages += 1;
        let (lost, duplicated) = (self.plan.lost, self.plan.duplicated);
        for _ in 0..1 + self.random.chance_per_mille(duplicated) as usize {
            let cut = self.cut_links.get(&(from, to)).is_some_and(|n| *n > 0);
            if from != to && (cut || self.random.chance_per_mille(lost)) {
                continue;
            }
            // On links that lose messages, one in fifty comes very late, after messages that were sent later.
            let late = if self.random.chance_per_mille(20 * (lost > 0) as u64) {
                900 * MS
            } else {
                0
            };
            let max_delay = if from == to {
                0
            } else {
                self.plan.max_delay + late
            };
            let (after, incarnation) =
                (self.random.up_to(max_delay), self.processes[to].incarnation);
            self.schedule(
                after,
                Scheduled::Deliver {
                    to,
                    from,
                    incarnation,
                    message: Box::new(message.clone()),
                },
            );
        }
    }
}
