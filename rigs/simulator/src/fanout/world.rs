//! Instances in virtual time and what waits to happen to them.

use super::play::Plan;
use super::queue::{Next, What};
use super::subscribers::Subscribers;
use foldmux_relay::{
    Command, Item, Relay, RelayConfig, SlowReaderPolicy, StartPosition, StreamConfig,
};
use foldmux_replicas::{ClockDrift, Peer, ReplicaSet, StateMachine, Time};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::{BTreeMap, BinaryHeap};
use std::sync::Arc;

pub const MS: Time = 1_000;
pub const NAME: &str = "journal";
/// As the edge proxy reads: a poll without news, and one that is lost.
pub const WAIT: Time = 1_000 * MS;
const LEASE: Time = 500 * MS;

pub struct Instance {
    pub relay: Option<Relay>,
    pub life: u64,
    pub site: usize,
    /// It reads the source; which poll is out; how far it has read in this life.
    pub open: bool,
    pub first: bool,
    pub poll: u64,
    pub tail: usize,
    pub tick_at: Time,
}

pub struct World {
    pub now: Time,
    pub plan: Plan,
    /// Without it each instance reads the source by a poll of its own.
    pub relayed: bool,
    pub instances: Vec<Instance>,
    names: Vec<(Peer, Vec<Arc<str>>)>,
    pub log: Vec<(Time, Item)>,
    pub purges: u64,
    pub subscribers: Subscribers,
    pub waiting: BTreeMap<usize, (u64, u64)>,
    queue: BinaryHeap<Next>,
    order: u64,
    pub last_sent: BTreeMap<(usize, usize), Time>,
    pub draws: StdRng,
    /// Open streams now; the source's bytes and answers; messages between instances.
    pub open: usize,
    pub bytes: u64,
    pub answers: u64,
    pub sent: u64,
}

impl World {
    pub fn new(plan: &Plan, relayed: bool) -> World {
        let site = |n: usize| vec![Arc::<str>::from(format!("site{}", n % plan.sites))];
        let mut world = World {
            now: 0,
            relayed,
            instances: Vec::new(),
            names: (0..plan.instances)
                .map(|n| (Peer::new(&format!("n{n}")), site(n)))
                .collect(),
            log: Vec::new(),
            purges: 0,
            subscribers: Subscribers::default(),
            waiting: BTreeMap::new(),
            queue: BinaryHeap::new(),
            order: 0,
            last_sent: BTreeMap::new(),
            draws: StdRng::seed_from_u64(plan.seed),
            open: 0,
            bytes: 0,
            answers: 0,
            sent: 0,
            plan: plan.clone(),
        };
        for n in 0..plan.instances {
            let (relay, site) = (None, n % plan.sites);
            let own = Instance {
                relay,
                life: 0,
                site,
                open: false,
                first: false,
                poll: 0,
                tail: 0,
                tick_at: Time::MAX,
            };
            world.instances.push(own);
            world.begin(n);
        }
        world
    }

    fn part(&self, n: usize, life: u64) -> Relay {
        let seats =
            ReplicaSet::new((0..5).map(|n| Peer::new(&format!("n{n}")))).expect("five seats");
        let ms = |ms: u64| ms * MS;
        let stream = StreamConfig {
            name: NAME.into(),
            slow_readers: SlowReaderPolicy::Disconnect,
            start: StartPosition::Snapshot,
            shared_numbering: false,
            silence_timeout: ms(self.plan.patience_ms),
            snapshot_window: ms(10_000),
            max_items: 4_096,
            max_bytes: 1 << 20,
            max_keys: 4_096,
            max_unacknowledged: 256,
        };
        let setup = RelayConfig {
            own: self.names[n].0.clone(),
            incarnation: life << 32,
            locations: self.names.clone(),
            replicas: seats,
            drift: ClockDrift::default(),
            lease: LEASE,
            streams: vec![stream],
            max_readers: 100_000,
            max_followers: self.plan.instances,
            min_tenure: ms(10_000),
            seed: self.plan.seed ^ (n as u64) << 32 ^ life,
        };
        Relay::new(setup, self.now)
    }

    /// An instance starts: it forgot what it read.
    pub fn begin(&mut self, n: usize) {
        let life = self.instances[n].life + 1;
        let relay = self.relayed.then(|| self.part(n, life));
        let site = self.instances[n].site;
        self.instances[n] = Instance {
            relay,
            life,
            site,
            open: false,
            first: false,
            poll: 0,
            tail: 0,
            tick_at: Time::MAX,
        };
        if !self.relayed {
            (self.instances[n].open, self.open) = (true, self.open + 1);
            self.poll(n);
        }
    }

    /// kill -9; those who read from it come back elsewhere, and it starts again after a while.
    pub fn end(&mut self, n: usize) {
        let own = &mut self.instances[n];
        self.open -= usize::from(std::mem::take(&mut own.open));
        own.relay = None;
        own.life += 1;
        self.waiting.remove(&n);
        for sub in self.subscribers.parted(n) {
            let wait = self.drawn(10 * MS, 150 * MS);
            self.at(wait, usize::MAX, What::Back(sub));
        }
        self.at(2_000 * MS, n, What::Begin(n));
    }

    pub fn lives(&self, n: usize) -> bool {
        self.instances[n].open || self.instances[n].relay.is_some()
    }

    pub fn drawn(&mut self, from: Time, to: Time) -> Time {
        self.draws.random_range(from..=to)
    }

    /// After so long, if the instance still has this life.
    pub fn at(&mut self, after: Time, n: usize, what: What) {
        self.order += 1;
        let life = self.instances.get(n).map_or(0, |own| own.life);
        self.queue.push(Next {
            time: self.now + after,
            order: self.order,
            life,
            what,
        });
    }

    pub fn run(&mut self, until: Time) {
        while self.queue.peek().is_some_and(|next| next.time <= until) {
            let Some(Next {
                time, life, what, ..
            }) = self.queue.pop()
            else {
                break;
            };
            self.now = time;
            let of = match &what {
                What::Hear(_, n, _) | What::Tick(n) | What::Poll(n, _) => Some(*n),
                What::Answer(n, ..) | What::Quiet(n, _) | What::End(n) | What::Begin(n) => Some(*n),
                What::Back(_) => None,
            };
            if of.is_none_or(|n| self.instances[n].life == life) {
                self.happen(what);
            }
        }
        self.now = until;
    }

    fn happen(&mut self, what: What) {
        let now = self.now;
        match what {
            What::Hear(from, to, message) => {
                let from = self.names[from].0.clone();
                self.drive(to, |relay, out| relay.on_message(now, &from, message, out));
            }
            What::Tick(n) if self.instances[n].tick_at <= now => {
                self.instances[n].tick_at = Time::MAX;
                self.drive(n, |relay, out| relay.on_tick(now, out));
            }
            What::Tick(_) => {}
            What::Poll(n, poll) => self.polled(n, poll),
            What::Answer(n, poll, upto) => self.answered(n, poll, upto),
            What::Quiet(n, poll) => {
                if self.waiting.get(&n).is_some_and(|(_, own)| *own == poll) {
                    self.answer(n, poll);
                }
            }
            What::Back(sub) => self.subscribe(sub),
            What::End(n) => self.end(n),
            What::Begin(n) => self.begin(n),
        }
    }

    /// A subscriber begins, or begins anew, at an instance of its site that lives.
    pub fn subscribe(&mut self, sub: usize) {
        if self.subscribers.reads(sub) {
            return;
        }
        let site = self.subscribers.site(sub);
        let size = self.plan.instances / self.plan.sites;
        let drawn: Vec<usize> = (0..64)
            .map(|_| site + self.plan.sites * self.draws.random_range(0..size.max(1)))
            .collect();
        let Some(n) = drawn.into_iter().find(|n| self.lives(*n)) else {
            return self.at(100 * MS, usize::MAX, What::Back(sub));
        };
        let (ticket, after) = self.subscribers.begin(sub, n);
        self.ask(
            n,
            Command::Subscribe {
                reader: ticket,
                stream: NAME.into(),
                after,
                position: None,
            },
        );
    }

    pub fn cancel(&mut self, sub: usize) {
        if let Some((n, ticket)) = self.subscribers.end(sub) {
            self.ask(n, Command::Cancel { reader: ticket });
        }
    }

    pub fn ask(&mut self, n: usize, command: Command) {
        let now = self.now;
        self.drive(n, |relay, out| relay.on_command(now, command, out));
    }

    pub fn name(&self, peer: &Peer) -> usize {
        peer.as_str()[1..].parse().expect("a name of the plan")
    }
}
