//! A storm: part of the boxes fail for a while, under clients that come back. The real module and the real limits decide;
//! the day is played once as today's build would, and once with the limits of a file.

use crate::model::usual;
use foldmux::interface::{Report as Told, *};
use foldmux::Router;
use foldmux_limits::gate::{place, Admitted, Gate, Place};
use foldmux_limits::table::{Draft, Resolved, Table};
use foldmux_limits::Account;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rand_distr::{Distribution, Exp, LogNormal};
use serde::{Deserialize, Serialize};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap, HashSet};
use std::path::Path;
use std::sync::Arc;

const SECOND: f64 = 1e6;
const START: Time = 1_000_000_000;
/// One way between proxy and box (us).
const WAY: f64 = 300.0;
/// A client that is refused comes back so often at the most, unless a scenario says otherwise, and not sooner than this (us).
const TRIES: u32 = 4;
const SOONEST: Time = 50_000;
/// An answer later than this after its client's deadline breaks the account's rule (us): the slack and the module's tick.
const LATEST: Time = 60_000;
/// Objects that are wanted alike, and what a fill from a parent takes beside the box's own work (us).
const OBJECTS: u64 = 1_000;
const FILL: f64 = 15_000.0;
/// Seconds over which the load is looked at: one alone is mostly chance.
const LOOK: usize = 5;
/// A box that would make one wait for longer turns it away untouched (ms), unless a scenario says otherwise.
const FULL_AFTER: f64 = 400.0;

#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum How {
    /// No connection comes up.
    Refuse,
    /// Each is answered with an error, at once.
    Errors,
    /// Nothing is answered.
    Silence,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Storm {
    #[serde(default)]
    pub seed: u64,
    pub seconds: f64,
    pub boxes: usize,
    /// Requests a second, and the parts of video, cards and records in them.
    pub rate: f64,
    pub shares: [f64; 3],
    /// Requests that a box serves at once, and how long each takes (ms).
    pub slots: usize,
    pub service_ms: f64,
    pub fail_at_s: f64,
    pub fail_for_s: f64,
    pub fail_part: f64,
    pub how: How,
    /// A flood of cards beside the rest, in the same time (requests a second).
    #[serde(default)]
    pub flood: f64,
    /// Clients that wait no longer than this (ms) leave, and ask again at once: plain repeats. The box goes on with what
    /// nobody awaits any more. 0: they wait until their deadline.
    #[serde(default)]
    pub patience_ms: f64,
    /// Tries of a client, the first among them.
    #[serde(default = "tries")]
    pub tries: u32,
    /// How long a box lets a request wait before it turns one away (ms).
    #[serde(default = "full_after")]
    pub full_after_ms: f64,
    /// The operator's file with the limits; beside the scenario.
    pub limits: Option<String>,
}

/// What a day came to.
fn tries() -> u32 {
    TRIES
}

fn full_after() -> f64 {
    FULL_AFTER
}

#[derive(Clone, Debug, Default, Serialize)]
pub struct Day {
    pub requests: u64,
    /// Attempts at the boxes that live on, in the worst five seconds of the storm, over the mean before it.
    pub load_factor: f64,
    /// From the boxes' return until three seconds in a row are worth what they were before (0.98 of it).
    pub recovery_s: f64,
    /// The part of the worth asked for that was had before the storm.
    pub worth_before: f64,
    /// Worth in the storm, over that before it.
    pub worth_kept: f64,
    /// Worth from three seconds after the boxes' return to the end of the arrivals, over that before the storm: well
    /// under 1 where the storm outlives its cause.
    pub worth_after: f64,
    /// The part of records that was served, over the whole day.
    pub records_served: f64,
    pub attempts_per_request: f64,
    /// By second, the part of the worth asked for that was had.
    #[serde(skip)]
    pub series: Vec<f64>,
    /// Rules of the account that were broken; none may be.
    pub broken: BTreeMap<&'static str, u64>,
}

#[derive(Debug, Serialize)]
pub struct Report {
    pub load_factor: f64,
    pub recovery_s: f64,
    pub worth_kept: f64,
    /// With the limits of the file, and as today's build would.
    pub limited: Day,
    pub today: Day,
}

enum Event {
    Arrive {
        class: usize,
        tries: u32,
        budget: Time,
        key: u64,
    },
    /// An attempt is sent, after its pause.
    Send {
        id: u64,
        fetch: Fetch,
        attempt: u8,
    },
    Ended {
        id: u64,
        attempt: u8,
        outcome: Outcome,
        sent: Time,
    },
    Timer {
        token: u32,
    },
    /// Its client waits no longer.
    Leaves(u64),
    /// A request that waits for a place has waited until its client's deadline.
    Overdue(u64),
    Fails(bool),
}

struct Open {
    class: usize,
    key: u64,
    tries: u32,
    deadline: Time,
    limits: Option<(Place, Arc<Resolved>)>,
    asked: bool,
    attempts: u64,
    out: u32,
    /// When the first attempt that may have run was sent.
    ran: Option<Time>,
    ask: Ask,
    arrived: Time,
}

struct World<'a> {
    s: &'a Storm,
    now: Time,
    events: BinaryHeap<Reverse<(Time, u64)>>,
    bodies: HashMap<u64, Event>,
    next: u64,
    classes: Vec<Class>,
    router: Router,
    gate: Option<(Gate, Table)>,
    open: HashMap<u64, Open>,
    /// By box: when each of its slots is free.
    slots: Vec<Vec<f64>>,
    failing: bool,
    rng: StdRng,
    service: LogNormal<f64>,
    /// By key: when its first run began.
    keys: HashMap<u64, Time>,
    /// What each box holds.
    held: HashSet<(usize, u64)>,
    /// By second: attempts at boxes that live on; worth; worth that was asked for.
    load: Vec<u64>,
    worth: Vec<f64>,
    wanted: Vec<f64>,
    day: Day,
    attempts: u64,
    records: (u64, u64),
    serial: u64,
}

impl Storm {
    pub fn parse(name: &str, text: &str) -> Result<Storm, String> {
        let storm: Storm = toml::from_str(text).map_err(|e| format!("{name}: {e}"))?;
        let sound = storm.boxes > 0 && storm.boxes <= 200 && storm.slots > 0 && storm.rate > 0.0;
        let sound = sound && storm.seconds > 0.0 && storm.seconds * (storm.rate + storm.flood) <= 5e6;
        match sound && (0.0..=1.0).contains(&storm.fail_part) {
            true => Ok(storm),
            false => Err(format!(
                "{name}: boxes (1 to 200), slots, rate and seconds are above 0; 5 million requests at most"
            )),
        }
    }
}

fn settings() -> Settings {
    let account = Account::default();
    let class = |n: usize, worth: f64, repeat| Class {
        aim: account.classes[n].aim_ms * 1_000,
        aim_stretch: 0.0,
        deadline: account.classes[n].deadline_ms * 1_000,
        worth,
        late_worth: 0.15,
        repeat,
        repeat_window: account.classes[n].window_ms * 1_000,
        fresh: 0,
        grace: 0,
        pass_on: n == 2,
    };
    Settings {
        index: 0,
        routers: 1,
        zone: 1,
        classes: vec![
            class(0, 2.0, Repeat::Safe),
            class(1, 1.0, Repeat::Safe),
            class(2, 3.0, Repeat::Keyed(Group::All)),
        ],
        routers_by_zone: vec![0, 1],
        hub_of: vec![0, 0],
        parent_kind: Some(1),
        origin_kind: 2,
        direct: false,
        client_kb_per_s: 4_200.0,
        max_attempts: account.max_attempts as u32,
        retry_after: account.max_wait_ms.map(|ms| ms * 1_000),
        answer_slack: account.answer_slack_ms * 1_000,
        purge_slack: account.purge_slack_ms * 1_000,
        ..usual()
    }
}

impl<'a> World<'a> {
    fn new(s: &'a Storm, table: Option<Table>) -> World<'a> {
        let (spread, settings): (f64, Settings) = (0.3, settings());
        let seconds = s.seconds as usize + 10;
        World {
            s,
            now: START,
            events: BinaryHeap::new(),
            bodies: HashMap::new(),
            next: 0,
            classes: settings.classes.clone(),
            router: Router::new(settings, s.seed),
            gate: table.map(|table| (Gate::new(&table), table)),
            open: HashMap::new(),
            slots: vec![vec![0.0; s.slots]; s.boxes],
            failing: false,
            rng: StdRng::seed_from_u64(s.seed),
            service: LogNormal::new((s.service_ms * 1e3).ln() - spread * spread / 2.0, spread)
                .expect("sound"),
            keys: HashMap::new(),
            held: HashSet::new(),
            load: vec![0; seconds],
            worth: vec![0.0; seconds],
            wanted: vec![0.0; seconds],
            day: Day::default(),
            attempts: 0,
            records: (0, 0),
            serial: 0,
        }
    }

    fn after(&mut self, us: f64, event: Event) {
        self.next += 1;
        self.events.push(Reverse((self.now + us.max(0.0) as Time, self.next)));
        self.bodies.insert(self.next, event);
    }

    fn second(&self, at: Time) -> usize {
        (((at - START) as f64 / SECOND) as usize).min(self.load.len() - 1)
    }

    fn broken(&mut self, what: &'static str) {
        *self.day.broken.entry(what).or_default() += 1;
    }

    fn run(mut self) -> Day {
        let member = |n: usize, zone, kind| Member {
            cache: CacheId(n as u32),
            zone,
            kind,
            cell: 0,
            state: State::Ready,
            weight: 1.0,
            boot: 0,
        };
        let mut members: Vec<Member> = (0..self.s.boxes).map(|n| member(n, 1, 0)).collect();
        members.extend([member(1_000, 0, 1), member(2_000, 0, 2)]);
        self.tell(foldmux::interface::Event::Members { full: true, members });
        self.after(self.s.fail_at_s * SECOND, Event::Fails(true));
        self.after((self.s.fail_at_s + self.s.fail_for_s) * SECOND, Event::Fails(false));
        self.schedule();
        let end = START + (self.s.seconds * SECOND) as Time;
        while let Some(Reverse((at, number))) = self.events.pop() {
            self.now = at;
            if at > end && self.open.is_empty() {
                break;
            }
            let Some(event) = self.bodies.remove(&number) else { continue };
            self.handle(event);
            if let Some((gate, _)) = &mut self.gate {
                for id in gate.expired(at) {
                    self.finish(id, None);
                }
            }
        }
        self.figures()
    }

    /// All arrivals, by the seed alone: the same day for all limits.
    fn schedule(&mut self) {
        let mut rng = StdRng::seed_from_u64(self.s.seed ^ 0x5bd1);
        let total: f64 = self.s.shares.iter().sum();
        let gap = Exp::new(self.s.rate).expect("checked");
        let mut at = 0.0;
        loop {
            at += gap.sample(&mut rng);
            if at >= self.s.seconds {
                break;
            }
            let mut draw = rng.random_range(0.0..total);
            let class = self.s.shares.iter().position(|share| {
                draw -= share;
                draw < 0.0
            });
            self.arrival(at, class.unwrap_or(0));
        }
        if self.s.flood > 0.0 {
            let gap = Exp::new(self.s.flood).expect("checked");
            let mut at = self.s.fail_at_s;
            while at < self.s.fail_at_s + self.s.fail_for_s {
                self.arrival(at, 1);
                at += gap.sample(&mut rng);
            }
        }
    }

    fn arrival(&mut self, at: f64, class: usize) {
        self.serial += 1;
        let (key, budget) = (self.serial, self.classes[class].deadline);
        self.after(at * SECOND, Event::Arrive { class, tries: 0, budget, key });
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive { class, tries, budget, key } => self.arrive(class, tries, budget, key),
            Event::Send { id, fetch, attempt } => self.send(id, fetch, attempt),
            Event::Ended { id, attempt, outcome, sent } => self.ended(id, attempt, outcome, sent),
            Event::Timer { token } => self.tell(foldmux::interface::Event::Timer { token }),
            Event::Overdue(id) => {
                if self.open.get(&id).is_some_and(|open| !open.asked) {
                    self.finish(id, None);
                }
            }
            Event::Leaves(id) => self.leaves(id),
            Event::Fails(fails) => {
                self.failing = fails;
                let count = self.failed_boxes();
                // Nothing waits at them any more.
                self.slots[..count].iter_mut().for_each(|slots| slots.fill(0.0));
            }
        }
    }

    fn failed_boxes(&self) -> usize {
        (self.s.boxes as f64 * self.s.fail_part).round() as usize
    }

    fn arrive(&mut self, class: usize, tries: u32, budget: Time, key: u64) {
        self.serial += 1;
        let id = self.serial | 1 << 40;
        let object = self.rng.random_range(0..OBJECTS);
        let limits = self.gate.as_ref().and_then(|(_, table)| {
            let resolved = table.find(class, "edge", "", "msgpack").filter(|r| !r.at.is_empty())?.clone();
            Some((place(&resolved), resolved))
        });
        let mut budget = budget;
        if tries == 0 {
            self.day.requests += 1;
            let second = self.second(self.now);
            self.wanted[second] += self.classes[class].worth;
            self.records.0 += (class == 2) as u64;
        }
        limits.iter().for_each(|(_, r)| budget = budget.min(r.values.deadline_ms * 1_000));
        let ask = Ask {
            id: RequestId(id),
            class,
            object: ObjectId(object),
            part: 0,
            group: 0,
            size_kb: 12.0,
            budget,
            lease: 0,
            within: None,
        };
        let open = Open {
            class,
            key,
            tries,
            deadline: self.now + budget,
            limits,
            asked: false,
            attempts: 0,
            out: 0,
            ran: None,
            ask,
            arrived: self.now,
        };
        let admitted = match (&mut self.gate, &open.limits) {
            (Some((gate, _)), Some((at, _))) => gate.admit(self.now, at, id),
            _ => Admitted::Now,
        };
        self.open.insert(id, open);
        if self.s.patience_ms > 0.0 {
            self.after(self.s.patience_ms * 1e3, Event::Leaves(id));
        }
        match admitted {
            Admitted::Now => self.ask(id),
            Admitted::Waits => self.after(budget as f64, Event::Overdue(id)),
            Admitted::Refused => self.finish(id, None),
        }
    }

    fn ask(&mut self, id: u64) {
        let Some(open) = self.open.get_mut(&id) else { return };
        open.asked = true;
        let budget = open.deadline.saturating_sub(self.now).max(1);
        let ask = Ask { budget, ..open.ask.clone() };
        self.tell(foldmux::interface::Event::Request(ask));
    }

    fn tell(&mut self, event: foldmux::interface::Event) {
        let mut actions = Vec::new();
        self.router.handle(self.now, event, &mut actions);
        for action in actions {
            match action {
                Action::Fetch(fetch) => self.fetch(fetch),
                Action::Refuse { id, retry_after } => self.answer(id.0, false, Some(retry_after)),
                Action::Fail { id } => self.answer(id.0, false, None),
                Action::Timer { after, token } => self.after(after as f64, Event::Timer { token }),
                _ => {}
            }
        }
    }

    /// The module wants an attempt: by the limits that the core goes by.
    fn fetch(&mut self, mut fetch: Fetch) {
        let id = fetch.id.0;
        let draw = self.rng.random_range(0.0..1.0);
        let Some(open) = self.open.get_mut(&id) else { return };
        let attempt = open.attempts as u8;
        let mut pause = Some(0);
        if let (Some((gate, _)), Some((at, resolved))) = (&mut self.gate, &open.limits) {
            pause = gate.attempt(at, &resolved.values, open.attempts, draw).map(|ms| ms * 1_000);
            fetch.time_out = resolved.values.time_out(fetch.time_out);
        }
        open.attempts += 1;
        match pause.filter(|pause| self.now + pause < open.deadline) {
            Some(pause) => self.after(pause as f64, Event::Send { id, fetch, attempt }),
            None => self.limited(id, attempt),
        }
    }

    /// The limits end it: nothing is sent, and the final answer is given at once.
    fn limited(&mut self, id: u64, attempt: u8) {
        let report = Told {
            id: RequestId(id),
            attempt,
            outcome: Outcome::NeverSent,
            note: Note::Untold,
            elapsed: 0,
            last: true,
        };
        self.tell(foldmux::interface::Event::Outcome(report));
        // All classes here are free, or keyed within all caches: coming back is harmless.
        self.answer(id, false, Some(0));
    }

    fn send(&mut self, id: u64, fetch: Fetch, attempt: u8) {
        let (now, fails, count) = (self.now, self.failing, self.failed_boxes());
        let Some(open) = self.open.get_mut(&id) else { return };
        if let (Some(ran), 2) = (open.ran, open.class) {
            let window = open.limits.as_ref().map_or(2_000_000, |(_, r)| r.values.window_ms * 1_000);
            if now >= ran + window {
                // Decided within the window, and paused beyond it: looked at once more, and not sent.
                return self.limited(id, attempt);
            }
        }
        open.out += 1;
        // A request's own repeats are the account's rule: what a client does under its key after its answer is not seen.
        let key = open.key | (open.tries as u64) << 48;
        let (twice, too_many, class) = (open.out > 1, open.attempts > 8, open.class);
        if twice {
            self.broken("two at once");
        }
        if too_many {
            self.broken("too many attempts");
        }
        self.attempts += 1;
        let number = fetch.cache.0 as usize;
        let second = self.second(now);
        if number >= self.s.boxes {
            // A parent or the origin by itself: this day has all at its boxes.
            return self.after(2.0 * WAY, Event::Ended { id, attempt, outcome: Outcome::Miss, sent: now });
        }
        if number >= count {
            self.load[second] += 1;
        }
        let end = |world: &mut World, us: f64, outcome| {
            let limit = if fetch.time_out > 0 { fetch.time_out as f64 } else { f64::INFINITY };
            let (us, outcome) = if us > limit { (limit, Outcome::TimedOut) } else { (us, outcome) };
            world.after(us, Event::Ended { id, attempt, outcome, sent: now });
        };
        if number < count && fails {
            return match self.s.how {
                How::Refuse => end(self, 2.0 * WAY, Outcome::ConnectFailed),
                How::Errors => end(self, 2.0 * WAY, Outcome::Error),
                How::Silence => {
                    let left = self.open.get(&id).map_or(0, |open| open.deadline.saturating_sub(now));
                    end(self, left as f64, Outcome::TimedOut)
                }
            };
        }
        let at = now as f64 + WAY;
        let slots = &mut self.slots[number];
        let (slot, free) =
            slots.iter().copied().enumerate().min_by(|a, b| a.1.total_cmp(&b.1)).expect("a box has slots");
        let begins = free.max(at);
        if begins - at > self.s.full_after_ms * 1e3 {
            return end(self, 2.0 * WAY, Outcome::Full);
        }
        let object = self.open.get(&id).map_or(0, |open| open.ask.object.0);
        let kept = class == 2 || self.held.contains(&(number, object));
        if !kept && fetch.source == fetch.cache {
            return end(self, 2.0 * WAY, Outcome::Miss);
        }
        if !kept {
            self.held.insert((number, object));
        }
        let fill = if kept { 0.0 } else { FILL };
        let ends = begins + self.service.sample(&mut self.rng) + fill;
        self.slots[number][slot] = ends;
        if class == 2 {
            // The archive drops repeats for two seconds from the first run.
            let first = *self.keys.entry(key).or_insert(now);
            if now >= first + 2_000_000 {
                self.broken("a key ran twice");
            }
        }
        end(self, ends - now as f64 + WAY, Outcome::Served);
    }

    fn ended(&mut self, id: u64, attempt: u8, outcome: Outcome, sent: Time) {
        let (now, served) = (self.now, outcome == Outcome::Served);
        if let Some(open) = self.open.get_mut(&id) {
            open.out -= 1;
            if !outcome.never_ran() {
                open.ran.get_or_insert(sent);
            }
            if let (Some((gate, _)), Some((at, _))) = (&mut self.gate, &open.limits) {
                gate.heard(at, now - sent, served);
            }
        }
        if served {
            self.answer(id, true, None);
        }
        let report = Told {
            id: RequestId(id),
            attempt,
            outcome,
            note: Note::Untold,
            elapsed: now - sent,
            last: served,
        };
        self.tell(foldmux::interface::Event::Outcome(report));
    }

    fn answer(&mut self, id: u64, served: bool, wait: Option<Time>) {
        if served {
            if let Some(open) = self.open.get(&id) {
                let class = &self.classes[open.class];
                // In time by the client's first try.
                let began = open.deadline.saturating_sub(class.deadline).max(START).min(open.arrived);
                let took = self.now - began;
                let worth = if took <= class.aim { class.worth } else { class.worth * class.late_worth };
                let second = self.second(self.now);
                self.worth[second] += worth;
                self.records.1 += (open.class == 2) as u64;
            }
        }
        self.finish(id, if served { Some(Time::MAX) } else { wait });
    }

    /// The client leaves without an answer, and comes again at once. The module hears of it as from the core: what is out
    /// is cancelled, and the client is gone.
    fn leaves(&mut self, id: u64) {
        let Some(open) = self.open.get(&id) else { return };
        let (request, out, attempts) = (RequestId(id), open.out, open.attempts);
        if out > 0 {
            let attempt = (attempts - 1) as u8;
            let (outcome, note) = (Outcome::Cancelled, Note::Untold);
            let report =
                Told { id: request, attempt, outcome, note, elapsed: self.now - open.arrived, last: true };
            self.tell(foldmux::interface::Event::Outcome(report));
        }
        self.tell(foldmux::interface::Event::ClientGone { id: request });
        self.finish(id, Some(0));
    }

    /// The end of a try: its place goes to whoever waits, and a client that is refused may come back. `wait`: none where
    /// it failed or had no place, the greatest where it was served.
    fn finish(&mut self, id: u64, wait: Option<Time>) {
        let Some(open) = self.open.remove(&id) else { return };
        if self.now > open.deadline + LATEST {
            self.broken("answered late");
        }
        let mut next = None;
        if let (Some((gate, _)), Some((at, _))) = (&mut self.gate, &open.limits) {
            match open.asked {
                true => next = gate.ended(self.now, at),
                false => gate.left(at, id),
            }
        }
        let advised = open.limits.as_ref().map_or(SOONEST, |(_, r)| r.values.wait_ms * 1_000);
        let back = match wait {
            Some(Time::MAX) => None,
            Some(wait) => Some(wait.max(SOONEST)),
            None if !open.asked => Some(advised.max(SOONEST)),
            None => None,
        };
        if let Some(back) = back.filter(|_| open.tries + 1 < self.s.tries) {
            let left = open.deadline.saturating_sub(self.now + back);
            if left > 0 {
                let Open { class, tries, key, .. } = open;
                self.after(back as f64, Event::Arrive { class, tries: tries + 1, budget: left, key });
            }
        }
        next.into_iter().for_each(|id| self.ask(id));
    }

    fn figures(mut self) -> Day {
        let (from, to) = (self.s.fail_at_s as usize, (self.s.fail_at_s + self.s.fail_for_s) as usize);
        let mean = |values: &[f64]| values.iter().sum::<f64>() / values.len().max(1) as f64;
        // The first seconds fill the boxes and teach the module.
        let settled = (from / 3).max(1).min(from);
        let load: Vec<f64> = self.load.iter().map(|n| *n as f64).collect();
        let before = mean(&load[settled..from]);
        let worst = load[from..to].windows(LOOK.min(to - from)).map(mean).fold(0.0, f64::max);
        self.day.load_factor = worst / before.max(1.0);
        let part = |second: usize| self.worth[second] / self.wanted[second].max(1e-9);
        let usual = mean(&(settled..from).map(part).collect::<Vec<_>>());
        self.day.worth_before = usual;
        let in_storm = mean(&(from..to).map(part).collect::<Vec<_>>());
        self.day.worth_kept = in_storm / usual.max(1e-9);
        let end = self.s.seconds as usize;
        let three = |second: usize| mean(&(second..(second + 3).min(end)).map(part).collect::<Vec<_>>());
        let back = (to..end).find(|second| three(*second) >= 0.98 * usual);
        self.day.recovery_s = back.map_or(f64::INFINITY, |second| (second - to) as f64);
        let after = (to + 3).min(end)..end.max((to + 3).min(end));
        self.day.worth_after = mean(&after.map(part).collect::<Vec<_>>()) / usual.max(1e-9);
        self.day.series = (0..end).map(part).collect();
        self.day.records_served = self.records.1 as f64 / (self.records.0.max(1)) as f64;
        self.day.attempts_per_request = self.attempts as f64 / self.day.requests.max(1) as f64;
        self.day
    }
}

/// A day with the limits of a draft, or without any.
pub fn play(storm: &Storm, draft: Option<&Draft>) -> Day {
    let table = draft.map(|draft| Table::new(&Account::default(), draft));
    World::new(storm, table).run()
}

/// The limits that a scenario names, checked as the program checks them.
pub fn limits(storm: &Storm, beside: &Path) -> Result<Draft, String> {
    let Some(file) = &storm.limits else { return Ok(Draft::default()) };
    let file = beside.parent().unwrap_or(Path::new(".")).join(file);
    let operator = foldmux_operator::load(&file).map_err(|faults| faults.join("; "))?;
    let draft = operator.limits.unwrap_or_default();
    match foldmux_limits::check::check(&Account::default(), &draft).first() {
        Some(fault) => Err(fault.to_string()),
        None => Ok(draft),
    }
}

pub fn report(storm: &Storm, draft: &Draft) -> Report {
    let (limited, today) = (play(storm, Some(draft)), play(storm, None));
    let Day { load_factor, recovery_s, worth_kept, .. } = limited;
    Report { load_factor, recovery_s, worth_kept, limited, today }
}

#[cfg(test)]
mod tests {
    use super::*;
    use foldmux_limits::table::Said;
    use foldmux_limits::values::{Budget, Concurrency, Layer};
    use proptest::prelude::*;
    use proptest::strategy::ValueTree;
    use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

    const CLASSES: [&str; 3] = ["mix-video", "formula-card", "mix-record"];

    fn scenario() -> Storm {
        Storm::parse("storm.toml", include_str!("../scenarios/storm.toml")).unwrap()
    }

    fn draft() -> Draft {
        let beside = Path::new(env!("CARGO_MANIFEST_DIR")).join("scenarios/storm.toml");
        limits(&scenario(), &beside).unwrap()
    }

    #[test]
    fn in_a_storm_limits_cost_no_worth_and_it_recovers_within_three_seconds() {
        let storm = scenario();
        let Report { limited, today, .. } = report(&storm, &draft());
        assert!(limited.broken.is_empty() && today.broken.is_empty(), "{limited:?} {today:?}");
        // How far, and why no further, stands in docs/limits.md.
        assert!(limited.load_factor <= today.load_factor + 0.02, "{limited:?} {today:?}");
        assert!(limited.recovery_s <= 3.0, "{limited:?}");
        assert!(limited.worth_kept >= 0.98 * today.worth_kept, "{limited:?} {today:?}");
        let again = report(&storm, &draft()).limited;
        assert_eq!(
            (again.load_factor, again.worth_kept),
            (limited.load_factor, limited.worth_kept),
            "by its seed alone"
        );
    }

    /// The clients' plain repeats, not the failure, keep it alive: without them it ends with its cause, and so it does
    /// under limits.
    #[test]
    fn a_storm_that_plain_repeats_keep_alive_ends_under_limits() {
        let file = Path::new(env!("CARGO_MANIFEST_DIR")).join("scenarios/kept-alive.toml");
        let text = std::fs::read_to_string(&file).unwrap();
        let storm = Storm::parse("kept-alive.toml", &text).unwrap();
        let draft = limits(&storm, &file).unwrap();
        let seeds = [1, 2, 3, 4, 7];
        let mean = |tries: u32, fails: f64, draft: Option<&Draft>| {
            let days = seeds.map(|seed| {
                let fail_part = storm.fail_part * fails;
                play(&Storm { seed, tries, fail_part, ..storm.clone() }, draft)
            });
            assert!(days.iter().all(|day| day.broken.is_empty()), "{days:?}");
            days.iter().map(|day| day.worth_after).sum::<f64>() / days.len() as f64
        };
        let alive = mean(storm.tries, 1.0, None);
        assert!(alive < 0.3, "{alive} of the worth after the boxes' return");
        assert!(mean(1, 1.0, None) > 0.95, "clients that ask once");
        assert!(mean(storm.tries, 0.0, None) > 0.98, "no cause, no storm");
        let ended = mean(storm.tries, 1.0, Some(&draft));
        assert!(ended > 0.95, "{ended}");
        let own = report(&storm, &draft);
        assert!(own.recovery_s <= 3.0 && own.today.worth_after < 0.1, "{own:?}");
    }

    #[test]
    fn a_flood_of_cards_does_not_push_records_out() {
        let storm = Storm { fail_part: 0.0, flood: 1_500.0, ..scenario() };
        let day = play(&storm, Some(&draft()));
        assert!(day.records_served >= 0.99 && day.broken.is_empty(), "{day:?}");
    }

    /// Files made by changing good ones: whatever the checks accept, no drawn day breaks a rule under it.
    fn layers() -> impl Strategy<Value = Layer> {
        let some = |range: std::ops::Range<u64>| proptest::option::of(range);
        let times = (some(1..6_000), some(0..4_000), some(0..10), some(0..1_200), some(0..2_000));
        let places = (some(1..40), some(0..20), some(0..800), some(0..600), some(0..2_500));
        let rest =
            (proptest::option::of(0.5f64..4.0), proptest::option::of(0.0f64..120.0), 0u8..4, any::<bool>());
        (times, places, rest).prop_map(|(times, places, (factor, jitter, budget, adaptive))| Layer {
            deadline_ms: times.0,
            attempt_ms: times.1,
            attempts: times.2,
            backoff_ms: times.3,
            backoff_most_ms: times.4.filter(|_| times.3.is_some()).map(|most| most + times.3.unwrap_or(0)),
            backoff_factor: factor,
            jitter_percent: jitter,
            concurrency: places.0.map(|most| match adaptive {
                true => Concurrency::Adaptive { least: most.div_ceil(3), most },
                false => Concurrency::Fixed { most },
            }),
            queue: places.1.filter(|_| places.0.is_some()),
            queue_age_ms: places.2.filter(|_| places.1.is_some_and(|n| n > 0) && places.0.is_some()),
            wait_ms: places.3,
            window_ms: places.4,
            budget: (budget > 0).then(|| ["a", "b", "none"][budget as usize - 1].to_string()),
            ..Layer::default()
        })
    }

    fn drafts() -> impl Strategy<Value = Draft> {
        let budget = |name: &'static str| {
            (0.0f64..300.0, 1u64..60).prop_map(move |(percent, burst)| Said {
                at: format!("f:{name}"),
                value: Budget { name: name.to_string(), percent, burst, parent: None },
            })
        };
        let class = |n: usize| {
            proptest::option::weighted(0.6, layers()).prop_map(move |layer| {
                let mut layer = layer?;
                // Windows are for the keyed class alone; most files know that.
                layer.window_ms = layer.window_ms.filter(|_| n == 2);
                Some(Said { at: format!("f:{n}"), value: (CLASSES[n].to_string(), layer) })
            })
        };
        (class(0), class(1), class(2), budget("a"), budget("b")).prop_map(|(a, b, c, one, other)| Draft {
            classes: [a, b, c].into_iter().flatten().collect(),
            budgets: vec![one, other],
            ..Draft::default()
        })
    }

    #[test]
    fn whatever_the_checks_accept_breaks_no_rule_on_a_thousand_drawn_days() {
        // The same files each time.
        let config = Config { cases: 1, failure_persistence: None, ..Config::default() };
        let mut runner = TestRunner::new_with_rng(config, TestRng::deterministic_rng(RngAlgorithm::ChaCha));
        let (mut accepted, mut refused, mut queued) = (0u64, 0u64, 0);
        while accepted < 1_000 {
            let draft = drafts().new_tree(&mut runner).unwrap().current();
            if !foldmux_limits::check::check(&Account::default(), &draft).is_empty() {
                refused += 1;
                assert!(refused < 200_000, "the checks accept nothing: {accepted}");
                continue;
            }
            accepted += 1;
            queued += draft.classes.iter().any(|said| said.value.1.queue.is_some_and(|n| n > 0)) as u64;
            let how = [How::Refuse, How::Errors, How::Silence][(accepted % 3) as usize];
            let storm = Storm {
                seed: accepted,
                seconds: 5.0,
                boxes: 4,
                rate: 150.0,
                slots: 2,
                fail_at_s: 1.0,
                fail_for_s: 2.0,
                fail_part: (accepted % 5) as f64 / 4.0,
                how,
                flood: (accepted % 4) as f64 * 60.0,
                ..scenario()
            };
            let day = play(&storm, Some(&draft));
            assert!(day.broken.is_empty(), "day {accepted}: {:?}\n{draft:#?}", day.broken);
        }
        assert!(refused > 1_000 && queued > 50, "{refused} refused, {queued} with queues");
    }
}
