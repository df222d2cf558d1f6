//! The small fleet's state and its steps.

use super::common::{host::request, rule, OWN_WINDOW};
use foldmux_replicas::{ClockDrift, Effect, Peer, ReplicaSet, StateMachine};
use foldmux_takeover::*;
use std::hash::{Hash, Hasher};
use std::sync::Arc;

pub const KEY: Key = Key(0);
/// One unit of time is a tenth of the lease.
pub const LEASE: u64 = 10;
pub const END: u64 = 30;

#[derive(Clone, Debug, PartialEq)]
pub enum Host {
    None,
    Owns,
    Written,
    Sent(u64),
    Ran,
}

#[derive(Clone, Debug)]
pub struct State {
    pub at_once: bool,
    pub now: u64,
    /// Proxies are 0 and 1, seats 2 to 4.
    pub parts: Vec<Takeover>,
    pub net: Vec<(usize, usize, Message)>,
    pub hosts: [Host; 2],
    pub terms: [u64; 2],
    pub asked: [bool; 2],
    pub alive: [bool; 2],
    pub paused: Option<usize>,
    pub faults: [u8; 4],
    pub runs: u8,
    pub answers: [Option<Answer>; 2],
    pub both: bool,
    pub met: Vec<(u64, usize)>,
}

impl State {
    fn text(&self) -> String {
        let mut net: Vec<String> = self
            .net
            .iter()
            .map(|message| format!("{message:?}"))
            .collect();
        net.sort();
        format!(
            "{net:?}{:?}",
            State {
                net: Vec::new(),
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
    Command(usize),
    Come {
        index: usize,
        lost: bool,
        stays: bool,
    },
    Time,
    /// The proxy's request thread takes its next step.
    Host(usize),
    Crash(usize),
    Pause(usize),
    Wake,
}

pub fn name(index: usize) -> Peer {
    Peer::new(&format!("n{index}"))
}

pub fn part(index: usize) -> Takeover {
    let rule = ClassPolicy {
        retention: 100,
        unclaimed: UnclaimedPolicy::Release,
        ..rule(Repeatability::Keyed { window: OWN_WINDOW })
    };
    let setup = Setup {
        name: name(index),
        session: index as u64,
        replicas: ReplicaSet::new((2..5).map(name)).unwrap(),
        policies: [(Arc::from("keyed"), rule)].into(),
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
    fn drive(
        &mut self,
        at: usize,
        what: impl FnOnce(&mut Takeover, u64, &mut Vec<Effect<Message, Event>>),
    ) {
        let mut out = Vec::new();
        what(&mut self.parts[at], self.now, &mut out);
        for wish in out {
            match wish {
                Effect::Send { to, message } => {
                    self.net
                        .push((at, to.as_str()[1..].parse().unwrap(), message))
                }
                Effect::Emit(Event::Acquired { record, .. } | Event::TakenOver { record, .. }) => {
                    (self.hosts[at], self.terms[at]) = (Host::Owns, record.ballot.term);
                    self.met.push((record.ballot.term, at));
                }
                Effect::Emit(Event::Committed { .. }) if self.hosts[at] == Host::Ran => {
                    self.answers[at] = Some(Answer::NotModified);
                    self.hosts[at] = Host::None;
                }
                Effect::Emit(Event::Committed { .. }) => self.hosts[at] = Host::Written,
                Effect::Emit(Event::Answered { answer, .. }) => self.answers[at] = Some(answer),
                Effect::Emit(Event::Joined { .. }) => {}
                Effect::Emit(_) => self.hosts[at] = Host::None,
            }
        }
    }

    /// Where so much is one step, what a seat replied comes at once.
    fn replies(&mut self, seat: usize) {
        let here = |s: &State, to: usize| to < 2 && s.alive[to] && s.paused != Some(to);
        while let Some(index) = self
            .net
            .iter()
            .position(|(from, to, _)| self.at_once && seat > 1 && *from == seat && here(self, *to))
        {
            let (from, to, message) = self.net.swap_remove(index);
            self.drive(to, |part, now, out| {
                part.on_message(now, &name(from), message, out)
            });
        }
    }

    pub fn step(&mut self, step: &Step) {
        match *step {
            Step::Command(at) => {
                self.asked[at] = true;
                let ask = Command::Acquire {
                    ticket: 1,
                    key: KEY,
                    request: request(0),
                    time_left: 90,
                    ownership_lost: false,
                };
                self.drive(at, |part, now, out| part.on_command(now, ask, out));
            }
            Step::Come { index, lost, stays } => {
                let (from, to, message) = self.net[index].clone();
                self.faults[2] -= lost as u8;
                self.faults[3] -= stays as u8;
                if !stays {
                    self.net.swap_remove(index);
                }
                if !lost && self.alive.get(to) != Some(&false) {
                    self.drive(to, |part, now, out| {
                        part.on_message(now, &name(from), message, out)
                    });
                    self.replies(to);
                }
            }
            Step::Time => {
                self.now = self.due();
                for at in 0..5 {
                    let runs = self.alive.get(at) != Some(&false) && self.paused != Some(at);
                    if runs
                        && self.parts[at]
                            .next_tick()
                            .is_some_and(|due| due <= self.now)
                    {
                        self.drive(at, |part, now, out| part.on_tick(now, out));
                    }
                }
            }
            Step::Host(at) => self.host(at),
            Step::Crash(at) => (self.alive[at], self.faults[0]) = (false, 0),
            Step::Pause(at) => (self.paused, self.faults[1]) = (Some(at), 0),
            Step::Wake => self.paused = None,
        }
    }

    fn host(&mut self, at: usize) {
        let may = |at: usize, s: &State| {
            s.alive[at] && s.parts[at].lease(KEY).is_some_and(|l| l.may_send(s.now))
        };
        match self.hosts[at] {
            Host::Owns => {
                let ask = Command::BeginAttempt {
                    ticket: 2,
                    key: KEY,
                    term: self.terms[at],
                    number: 1,
                    group: 1,
                };
                self.drive(at, |part, now, out| part.on_command(now, ask, out));
            }
            Host::Written if may(at, self) => {
                self.both |= may(1 - at, self);
                self.hosts[at] = Host::Sent(self.terms[at]);
            }
            Host::Written => self.hosts[at] = Host::None,
            // The archive: one run for each key, and its repeats are dropped in their window; here all are within it.
            Host::Sent(_) => {
                self.runs += (self.runs == 0) as u8;
                self.hosts[at] = Host::Ran;
                let ask = Command::Complete {
                    ticket: 3,
                    key: KEY,
                    term: self.terms[at],
                    answer: Answer::NotModified,
                };
                self.drive(at, |part, now, out| part.on_command(now, ask, out));
            }
            Host::Ran | Host::None => {}
        }
    }

    pub fn due(&self) -> u64 {
        let next = self
            .parts
            .iter()
            .filter_map(|part| part.next_tick())
            .filter(|due| *due > self.now)
            .min();
        next.unwrap_or(END + 1)
    }
}
