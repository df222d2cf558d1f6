//! The world in virtual time: its queue, clocks that drift, and links that lose messages.

use super::archive::Archive;
use super::client::Client;
use super::host::{Host, Purpose};
use super::schedule::Scheduled;
use super::{Draw, Plan, Verdict, LONGEST, MS};
use foldmux_replicas::{Effect, StateMachine};
use foldmux_takeover::*;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap, HashSet};

pub struct Process {
    pub part: Option<Takeover>,
    pub life: u64,
    pub born: u64,
    /// The next tick that is on its way.
    pub tick: u64,
    ppm: i64,
    pub paused: bool,
    pub waiting: Vec<Scheduled>,
    pub hosts: HashMap<u8, Host>,
    pub tickets: HashMap<u64, Purpose>,
}

pub struct World {
    pub plan: Plan,
    pub now: u64,
    pub draw: Draw,
    pub processes: Vec<Process>,
    pub clients: Vec<Client>,
    pub verdict: Verdict,
    pub owners: HashMap<(u8, u64), (usize, u64)>,
    pub finals: Vec<(u8, Answer)>,
    pub lost_at: HashMap<u8, u64>,
    pub archive: Archive,
    events: BTreeMap<u64, Scheduled>,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    serial: u64,
    pub cut: HashMap<(usize, usize), u32>,
}

impl World {
    pub fn run(plan: Plan) -> Verdict {
        let draw = Draw(plan.seed);
        let mut world = World {
            now: 1_000 * MS,
            draw,
            processes: Vec::new(),
            clients: Vec::new(),
            verdict: Verdict::default(),
            owners: HashMap::new(),
            finals: Vec::new(),
            lost_at: HashMap::new(),
            archive: Archive::default(),
            events: BTreeMap::new(),
            queue: BinaryHeap::new(),
            serial: 0,
            cut: HashMap::new(),
            plan,
        };
        for at in 0..world.plan.processes {
            // The clocks run as far apart as they may.
            let ppm = [10_000, -10_000, 0, -10_000, 10_000][at % 5];
            let (part, tickets) = (None, HashMap::new());
            let hosts = HashMap::new();
            world.processes.push(Process {
                part,
                life: 0,
                born: 0,
                tick: 0,
                ppm,
                paused: false,
                waiting: vec![],
                hosts,
                tickets,
            });
            world.start(at, !world.plan.fresh);
        }
        world
            .plan
            .acts
            .clone()
            .into_iter()
            .for_each(|(at, act)| world.later(at, Scheduled::Act(act)));
        let last = world.plan.acts.iter().map(|a| a.0).max().unwrap_or(0);
        let end = world.now + last + 3 * LONGEST;
        while let Some(&Reverse((at, serial))) = world.queue.peek().filter(|next| next.0 .0 < end) {
            world.queue.pop();
            world.now = at;
            let event = world.events.remove(&serial).unwrap();
            world.take(event);
        }
        world.judge()
    }

    fn judge(mut self) -> Verdict {
        let mut answers: HashMap<u8, HashSet<Answer>> = HashMap::new();
        let given = self
            .clients
            .iter()
            .filter_map(|c| c.answer.clone().map(|answer| (c.key, answer)));
        for (key, answer) in given.chain(self.finals.drain(..)) {
            answers.entry(key).or_default().insert(answer);
        }
        let verdict = &mut self.verdict;
        verdict.two_answers = answers.values().filter(|all| all.len() > 1).count();
        (verdict.ran, verdict.ran_twice) = self.archive.ran();
        verdict.answered = self.clients.iter().filter(|c| c.answer.is_some()).count();
        verdict.failed = self
            .clients
            .iter()
            .filter(|c| c.answer == Some(Answer::Failed))
            .count();
        verdict.unanswered = self.clients.len() - verdict.answered;
        verdict.tickets_unanswered = self.processes.iter().map(|p| p.tickets.len()).sum();
        verdict.left = self
            .processes
            .iter()
            .filter_map(|p| p.part.as_ref())
            .map(|p| p.counts().1)
            .sum();
        self.verdict
    }

    pub fn later(&mut self, after: u64, event: Scheduled) {
        self.serial += 1;
        self.events.insert(self.serial, event);
        self.queue.push(Reverse((self.now + after, self.serial)));
    }

    pub fn local(&self, at: usize) -> u64 {
        let process = &self.processes[at];
        let passed = (self.now - process.born) as i64;
        5_000 + (passed + passed * process.ppm / 1_000_000) as u64
    }

    pub fn ticket(&mut self, at: usize, purpose: Purpose) -> u64 {
        self.serial += 1;
        self.processes[at].tickets.insert(self.serial, purpose);
        self.serial
    }

    pub fn purpose(&mut self, at: usize, ticket: u64) -> Option<Purpose> {
        let purpose = self.processes[at].tickets.remove(&ticket);
        self.verdict.tickets_twice += purpose.is_none() as usize;
        purpose
    }

    pub fn ask(&mut self, at: usize, ask: Command) {
        self.drive(at, |part, now, out| part.on_command(now, ask, out));
    }

    pub fn drive(
        &mut self,
        at: usize,
        what: impl FnOnce(&mut Takeover, u64, &mut Vec<Effect<Message, Event>>),
    ) {
        let (now, life, mut out) = (self.local(at), self.processes[at].life, Vec::new());
        let Some(part) = &mut self.processes[at].part else {
            return;
        };
        what(part, now, &mut out);
        let due = part.next_tick();
        for wish in out {
            match wish {
                Effect::Send { to, message } => {
                    self.send_message(at, to.as_str()[1..].parse().unwrap(), message)
                }
                Effect::Emit(told) => self.told(at, told),
            }
        }
        if let Some(due) = due {
            let rate = 1_000_000 + self.processes[at].ppm;
            let after = due.saturating_sub(now) as i64 * 1_000_000 / rate;
            let when = self.now + after as u64 + 1;
            if self.processes[at].tick == 0 || when < self.processes[at].tick {
                self.processes[at].tick = when;
                self.later(when - self.now, Scheduled::Tick { at, life });
            }
        }
    }

    fn send_message(&mut self, from: usize, to: usize, message: Message) {
        self.verdict.messages += 1;
        let (lost, twice) = (self.plan.lost, self.plan.twice);
        for _ in 0..1 + self.draw.in_thousand(twice) as usize {
            let cut = self.cut.get(&(from, to)).is_some_and(|n| *n > 0);
            if from != to && (cut || self.draw.in_thousand(lost)) {
                continue;
            }
            // One in fifty comes very late, also after what was sent later.
            let late = if self.draw.in_thousand(20 * (lost > 0) as u64) {
                900 * MS
            } else {
                0
            };
            let most = if from == to {
                0
            } else {
                self.plan.delay + late
            };
            let (after, life) = (self.draw.to(most), self.processes[to].life);
            self.later(
                after,
                Scheduled::Heard {
                    to,
                    from,
                    life,
                    message: Box::new(message.clone()),
                },
            );
        }
    }
}
