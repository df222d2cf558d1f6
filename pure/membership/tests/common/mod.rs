//! A fleet of members in virtual time: messages that are late, lost or cut, processes that die, pause and
//! start again.
#![allow(dead_code)]

use foldmux_membership::*;
use foldmux_replicas::{Effect, Peer, StateMachine, Time};
use rand::{rngs::SmallRng, RngExt, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};

pub const MS: Time = 1_000;
pub const SECOND: Time = 1_000 * MS;
/// Each way, at most.
pub const DELAY: Time = 20 * MS;

pub struct Net {
    pub now: Time,
    pub members: Vec<Option<Members>>,
    /// Runs no further until then.
    pub paused: BTreeMap<usize, Time>,
    pub told: Vec<Vec<(Time, Event)>>,
    pub cut: BTreeSet<(usize, usize)>,
    pub loss: f64,
    pub sent: u64,
    pub pace: Pace,
    queue: BTreeMap<(Time, u64), (usize, usize, Packet)>,
    rng: SmallRng,
}

pub fn name(i: usize) -> Peer {
    Peer::new(&format!("n{i}"))
}

impl Net {
    pub fn new(size: usize, seed: u64) -> Net {
        Net {
            now: 0,
            members: (0..size).map(|_| None).collect(),
            paused: BTreeMap::new(),
            told: vec![Vec::new(); size],
            cut: BTreeSet::new(),
            loss: 0.0,
            sent: 0,
            pace: Pace {
                rtt: 100 * MS,
                size: size as u32,
            },
            queue: BTreeMap::new(),
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// All joined, by n0, and known to each other.
    pub fn whole(size: usize, seed: u64) -> Net {
        let mut net = Net::new(size, seed);
        (0..size).for_each(|i| net.start(i, 1_000 + i as u64, &[0]));
        net.run(3 * SECOND);
        assert!(net.converged(), "not converged after 3 s");
        net.told.iter_mut().for_each(Vec::clear);
        net
    }

    pub fn start(&mut self, i: usize, born: u64, contacts: &[usize]) {
        let address = format!("127.0.0.1:{}", 7000 + i).parse().unwrap();
        let me = NodeIdentity::new(name(i), ["east", "west"][i % 2], address, born);
        let setup = Setup {
            me,
            pace: self.pace,
            most: self.members.len(),
            seed: self.rng.random(),
        };
        self.members[i] = Some(Members::new(setup).unwrap());
        self.ask(
            i,
            Command::Join(contacts.iter().map(|c| name(*c)).collect()),
        );
    }

    pub fn kill(&mut self, i: usize) {
        self.members[i] = None;
    }

    pub fn ask(&mut self, i: usize, ask: Command) {
        self.drive(i, |member, now, out| member.on_command(now, ask, out));
    }

    /// Each process has a clock of its own.
    fn clock(&self, i: usize) -> Time {
        self.now + i as u64 * 1_000_003
    }

    fn drive(
        &mut self,
        i: usize,
        with: impl FnOnce(&mut Members, Time, &mut Vec<Effect<Packet, Event>>),
    ) {
        let now = self.clock(i);
        let Some(member) = &mut self.members[i] else {
            return;
        };
        let mut out = Vec::new();
        with(member, now, &mut out);
        assert!(
            member.waiting() <= 2 * self.told.len() + 8,
            "{} timers",
            member.waiting()
        );
        for act in out {
            match act {
                Effect::Emit(told) => self.told[i].push((self.now, told)),
                Effect::Send { to, message } => {
                    self.send(i, to.as_str()[1..].parse().unwrap(), message)
                }
            }
        }
    }

    fn send(&mut self, from: usize, to: usize, packet: Packet) {
        self.sent += 1;
        if self.cut.contains(&(from, to)) || self.rng.random_bool(self.loss) {
            return;
        }
        let at = self.now + self.rng.random_range(MS..=DELAY);
        self.queue.insert((at, self.sent), (from, to, packet));
    }

    /// Cuts each from each, both ways.
    pub fn part(&mut self, these: &[usize], those: &[usize]) {
        for (a, b) in these
            .iter()
            .flat_map(|a| those.iter().map(move |b| (*a, *b)))
        {
            self.cut.extend([(a, b), (b, a)]);
        }
    }

    fn next_tick(&self) -> Option<(Time, usize)> {
        let due = |i: usize| {
            self.members[i]
                .as_ref()?
                .next_tick()
                .map(|due| due.saturating_sub(self.clock(i) - self.now))
        };
        let at =
            |i: usize| due(i).map(|due| (due.max(self.paused.get(&i).copied().unwrap_or(0)), i));
        (0..self.members.len()).filter_map(at).min()
    }

    pub fn run(&mut self, span: Time) {
        let end = self.now + span;
        self.until(end, |_| false);
        self.now = end;
    }

    /// Runs until it holds, or the end comes; when it held.
    pub fn until(&mut self, end: Time, holds: impl Fn(&Net) -> bool) -> Option<Time> {
        loop {
            if holds(self) {
                return Some(self.now);
            }
            let tick = self.next_tick();
            let packet = self.queue.first_key_value().map(|(key, _)| key.0);
            match (tick, packet) {
                (Some((at, i)), packet) if packet.is_none_or(|p| at < p) && at <= end => {
                    self.now = self.now.max(at);
                    self.drive(i, |member, now, out| member.on_tick(now, out));
                }
                (_, Some(at)) if at <= end => {
                    self.now = self.now.max(at);
                    let (key, (from, to, packet)) = self.queue.pop_first().unwrap();
                    match self
                        .paused
                        .get(&to)
                        .copied()
                        .filter(|until| *until > self.now)
                    {
                        Some(until) => drop(self.queue.insert((until, key.1), (from, to, packet))),
                        None => self.drive(to, |member, now, out| {
                            member.on_message(now, &name(from), packet, out)
                        }),
                    }
                }
                _ => return None,
            }
        }
    }

    pub fn running(&self) -> Vec<usize> {
        (0..self.members.len())
            .filter(|i| self.members[*i].as_ref().is_some_and(|m| !m.me().left))
            .collect()
    }

    pub fn seen(&self, i: usize, other: usize) -> Option<MemberView> {
        self.members[i]
            .as_ref()?
            .seen()
            .into_iter()
            .find(|seen| seen.peer == name(other))
    }

    /// Each that runs sees each that runs alive in its present generation, and nobody else.
    pub fn converged(&self) -> bool {
        let running = self.running();
        running.iter().all(|i| {
            let seen = self.members[*i].as_ref().unwrap().seen();
            let alive: Vec<&MemberView> = seen.iter().filter(|seen| seen.state.alive()).collect();
            alive.len() + 1 == running.len()
                && alive.iter().all(|seen| {
                    let other: usize = seen.peer.as_str()[1..].parse().unwrap();
                    self.members[other]
                        .as_ref()
                        .is_some_and(|m| m.me().generation == seen.generation)
                })
        })
    }

    /// Who of those that run was told this of the peer.
    pub fn heard_of(&self, told: impl Fn(&Event) -> bool) -> usize {
        self.running()
            .iter()
            .filter(|i| self.told[**i].iter().any(|(_, t)| told(t)))
            .count()
    }
}
