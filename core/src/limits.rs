//! Limits in service: the table that holds and the state that enforces it, behind one lock. Each request finds its limits
//! once and keeps them, whatever is loaded meanwhile; its place is given back where its [`Held`] is dropped.

use crate::clock::Clock;
use foldmux::interface::{Fetch, Repeat, Time};
use foldmux_limits::gate::{place, Admitted, Gate, Place};
use foldmux_limits::table::{Resolved, Standing, Table};
use std::collections::{HashMap, HashSet};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Called once, where a request waits: whether it has a place now.
pub type Tell = Box<dyn FnOnce(bool) + Send>;

struct State {
    table: Standing,
    gate: Gate,
    waiting: HashMap<u64, Tell>,
    /// Those that were told that they have a place, and have not heard it yet.
    granted: HashSet<u64>,
    next: u64,
}

impl State {
    fn grant(&mut self, id: u64) -> Option<Tell> {
        let tell = self.waiting.remove(&id)?;
        self.granted.insert(id);
        Some(tell)
    }
}

pub struct Limiter {
    state: Mutex<State>,
    clock: Clock,
    /// Where this proxy stands, as routes name it.
    zone: String,
    /// By class.
    repeats: Vec<Repeat>,
}

/// What a request is told when it comes.
pub enum Entered {
    /// No limits but the module's own.
    Free,
    In(Held),
    /// Told later, by what it handed in; so long at the most.
    Waits(Held, Duration),
    Refused {
        wait: Time,
    },
}

impl Limiter {
    pub fn new(table: Table, clock: Clock, zone: String, repeats: Vec<Repeat>) -> Arc<Limiter> {
        let gate = Gate::new(&table);
        let state = State {
            table: Standing::new(&table, &zone),
            gate,
            waiting: HashMap::new(),
            granted: HashSet::new(),
            next: 0,
        };
        Arc::new(Limiter { state: Mutex::new(state), clock, zone, repeats })
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// All limits at once: requests that are open keep theirs.
    pub fn swap(&self, table: Table) {
        let standing = Standing::new(&table, &self.zone);
        let mut state = self.state();
        // Under the lock, so that times come to the gate in their order.
        let now = self.clock.now();
        let (gone, admitted) = state.gate.swap(now, &table);
        state.table = standing;
        let gone: Vec<Tell> = gone.iter().filter_map(|id| state.waiting.remove(id)).collect();
        let admitted: Vec<Tell> = admitted.into_iter().filter_map(|id| state.grant(id)).collect();
        drop(state);
        gone.into_iter().for_each(|tell| tell(false));
        admitted.into_iter().for_each(|tell| tell(true));
    }

    pub fn enter(self: &Arc<Limiter>, class: usize, caller: &str, front: &str, tell: Tell) -> Entered {
        let mut state = self.state();
        let now = self.clock.now();
        let Some(resolved) = state.table.find(class, caller, front).cloned() else {
            return Entered::Free;
        };
        if resolved.at.is_empty() {
            return Entered::Free;
        }
        let at = place(&resolved);
        state.next += 1;
        let id = state.next;
        let admitted = state.gate.admit(now, &at, id);
        if admitted == Admitted::Waits {
            state.waiting.insert(id, tell);
        }
        let over = self.expire(&mut state, now);
        drop(state);
        over.into_iter().for_each(|tell| tell(false));
        let held = |open| Held {
            limiter: self.clone(),
            at: at.clone(),
            resolved: resolved.clone(),
            id,
            open,
            attempts: 0,
            sent: None,
        };
        match admitted {
            Admitted::Now => Entered::In(held(true)),
            Admitted::Waits => {
                Entered::Waits(held(false), Duration::from_millis(resolved.values.queue_age_ms))
            }
            Admitted::Refused => Entered::Refused { wait: resolved.values.wait_ms.saturating_mul(1_000) },
        }
    }

    /// A place at once or none, for who can't wait for one.
    pub fn enter_now(
        self: &Arc<Limiter>,
        class: usize,
        caller: &str,
        front: &str,
    ) -> Result<Option<Held>, Time> {
        match self.enter(class, caller, front, Box::new(|_| ())) {
            Entered::Free => Ok(None),
            Entered::In(held) => Ok(Some(held)),
            Entered::Waits(held, _) => Err(held.advice(Time::MAX)),
            Entered::Refused { wait } => Err(wait),
        }
    }

    fn expire(&self, state: &mut State, now: Time) -> Vec<Tell> {
        let over = state.gate.expired(now);
        over.iter().filter_map(|id| state.waiting.remove(id)).collect()
    }

    /// Open, and waiting.
    pub fn sizes(&self) -> [u64; 2] {
        self.state().gate.sizes()
    }
}

/// One request's limits and place, until it is dropped.
pub struct Held {
    limiter: Arc<Limiter>,
    at: Place,
    pub resolved: Arc<Resolved>,
    id: u64,
    open: bool,
    attempts: u64,
    /// When the first attempt that may have run was sent.
    sent: Option<Instant>,
}

/// Whether the attempt that the module wants is made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Allowed {
    Now,
    After(Duration),
    No,
}

impl Held {
    /// It was told that it has a place.
    pub fn admitted(&mut self) {
        self.limiter.state().granted.remove(&self.id);
        self.open = true;
    }

    pub fn deadline(&self, arrived: Instant) -> Instant {
        arrived + Duration::from_millis(self.resolved.values.deadline_ms)
    }

    /// The module wants an attempt: whether the limits allow it, and after which pause.
    pub fn attempt(&mut self) -> Allowed {
        let values = &self.resolved.values;
        let pause = self.limiter.state().gate.attempt(&self.at, values, self.attempts, fastrand::f64());
        self.attempts += pause.is_some() as u64;
        match pause {
            None => Allowed::No,
            Some(0) => Allowed::Now,
            Some(pause) => Allowed::After(Duration::from_millis(pause)),
        }
    }

    /// After a pause: whether the attempt may be sent still. Guards against a repeat that was decided within the window
    /// and comes to the archive after it.
    pub fn in_window(&self) -> bool {
        match (self.limiter.repeats.get(self.resolved.class), self.sent) {
            (Some(Repeat::Keyed(_)), Some(sent)) => {
                sent.elapsed() < Duration::from_millis(self.resolved.values.window_ms)
            }
            (Some(Repeat::SingleShot), Some(_)) => false,
            _ => true,
        }
    }

    /// What the module chose, within the limits.
    pub fn narrow(&self, fetch: &mut Fetch) {
        let values = &self.resolved.values;
        fetch.time_out = values.time_out(fetch.time_out);
        fetch.keep = fetch.keep.min(values.keep.min(3) as u8);
        if self.resolved.from.get("stale_ms").is_some_and(|at| at != "today") {
            fetch.renew &= values.stale_ms > 0;
        }
    }

    /// A fill at a source, if there is room for one more.
    pub fn fill(&self, fetch: &Fetch) -> Option<Fill> {
        let most = self.resolved.values.fills;
        let class = self.resolved.class;
        if most == 0 || fetch.source == fetch.cache {
            return Some(Fill(None));
        }
        let source = fetch.source.0 as u64;
        let room = self.limiter.state().gate.fill(source, class, most);
        room.then(|| Fill(Some((self.limiter.clone(), source, class))))
    }

    /// How an attempt ended.
    pub fn heard(&mut self, began: Instant, served: bool, never_ran: bool) {
        if !never_ran {
            self.sent.get_or_insert(began);
        }
        let elapsed = began.elapsed().as_micros() as Time;
        self.limiter.state().gate.heard(&self.at, elapsed, served);
    }

    /// Whether it is said that trying again is harmless.
    pub fn harmless(&self) -> bool {
        use foldmux::interface::Group;
        let repeat = self.limiter.repeats.get(self.resolved.class);
        matches!(repeat, Some(Repeat::Safe | Repeat::Keyed(Group::All))) || self.sent.is_none()
    }

    /// Advice to come back, within the limits.
    pub fn advice(&self, wait: Time) -> Time {
        wait.min(self.resolved.values.wait_ms.saturating_mul(1_000))
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        let mut state = self.limiter.state();
        let now = self.limiter.clock.now();
        // One that still waits is not told any more; one that was told meanwhile, and did not hear it, has a place.
        if !self.open && state.waiting.remove(&self.id).is_some() {
            state.gate.left(&self.at, self.id);
            return;
        }
        if !self.open && !state.granted.remove(&self.id) {
            return;
        }
        let next = state.gate.ended(now, &self.at).and_then(|id| state.grant(id));
        let over = self.limiter.expire(&mut state, now);
        drop(state);
        next.into_iter().for_each(|tell| tell(true));
        over.into_iter().for_each(|tell| tell(false));
    }
}

/// One fill under way; it ends with this.
pub struct Fill(Option<(Arc<Limiter>, u64, usize)>);

impl Drop for Fill {
    fn drop(&mut self) {
        if let Some((limiter, source, class)) = self.0.take() {
            limiter.state().gate.filled(source, class);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use foldmux_limits::table::{Draft, Said};
    use foldmux_limits::values::{Concurrency, Layer};
    use foldmux_limits::Account;
    use std::sync::mpsc::channel;

    fn table(places: u64) -> Table {
        let layer = Layer {
            concurrency: Some(Concurrency::Fixed { most: places }),
            queue: Some(4),
            queue_age_ms: Some(60_000),
            attempts: Some(2),
            keep: Some(1),
            attempt_ms: Some(200),
            ..Layer::default()
        };
        let said = Said { at: "f:1".into(), value: ("formula-card".to_string(), layer) };
        Table::new(&Account::default(), &Draft { classes: vec![said], ..Draft::default() })
    }

    fn limiter() -> Arc<Limiter> {
        let repeats = vec![Repeat::Safe, Repeat::Safe, Repeat::Keyed(foldmux::interface::Group::All)];
        Limiter::new(table(1), Clock::default(), "turku".into(), repeats)
    }

    fn held(entered: Entered) -> Held {
        match entered {
            Entered::In(held) | Entered::Waits(held, _) => held,
            _ => panic!("no place and no wait"),
        }
    }

    #[test]
    fn a_place_goes_to_whoever_waits_also_when_it_was_granted_and_never_heard_of() {
        let limiter = limiter();
        let (tell, told) = channel();
        let enter = || {
            let tell = tell.clone();
            limiter.enter(
                1,
                "",
                "msgpack",
                Box::new(move |has| {
                    let _ = tell.send(has);
                }),
            )
        };
        assert!(
            matches!(limiter.enter(0, "", "msgpack", Box::new(|_| ())), Entered::Free),
            "no limits were set"
        );
        let first = held(enter());
        let (second, third) = (held(enter()), held(enter()));
        assert_eq!(limiter.sizes(), [1, 2]);
        drop(first);
        assert_eq!((told.recv(), limiter.sizes()), (Ok(true), [1, 1]));
        // It had a place, and its client left before it heard of it.
        drop(second);
        assert_eq!((told.recv(), limiter.sizes()), (Ok(true), [1, 0]));
        drop(third);
        assert_eq!(limiter.sizes(), [0, 0]);
    }

    #[test]
    fn another_table_holds_for_those_that_come_and_not_for_those_that_are_open() {
        let limiter = limiter();
        let mut old = held(limiter.enter(1, "", "dns", Box::new(|_| ())));
        limiter.swap(Table::new(&Account::default(), &Draft::default()));
        assert!(matches!(limiter.enter(1, "", "dns", Box::new(|_| ())), Entered::Free));
        let mut fetch = Fetch {
            id: foldmux::interface::RequestId(1),
            cache: foldmux::interface::CacheId(1),
            time_out: 900_000,
            source: foldmux::interface::CacheId(2),
            keep: 3,
            max_age: 0,
            join: false,
            hold_only: false,
            renew: true,
        };
        old.narrow(&mut fetch);
        assert_eq!((fetch.time_out, fetch.keep, fetch.renew), (200_000, 1, true));
        assert_eq!([0, 1, 2].map(|_| old.attempt()), [Allowed::Now, Allowed::Now, Allowed::No]);
        drop(old);
        assert_eq!(limiter.sizes(), [0, 0]);
    }
}
