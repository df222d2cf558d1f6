//! One request's limits and place, from its entry to its end.

use super::Limiter;
use foldmux::interface::{Fetch, Repeat, Time};
use foldmux_limits::gate::Place;
use foldmux_limits::table::Resolved;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// One request's limits and place, until it is dropped.
pub struct Held {
    pub(super) limiter: Arc<Limiter>,
    pub(super) at: Place,
    pub resolved: Arc<Resolved>,
    pub(super) id: u64,
    pub(super) open: bool,
    pub(super) attempts: u64,
    /// When the first attempt that may have run was sent.
    pub(super) sent: Option<Instant>,
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
        let pause =
            self.limiter
                .state()
                .gate
                .attempt(&self.at, values, self.attempts, fastrand::f64());
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
        if let Some(by) = self.repeat_by() {
            fetch.begin_by(by);
        }
        fetch.keep = fetch.keep.min(values.keep.min(3) as u8);
        if self
            .resolved
            .from
            .get("stale_ms")
            .is_some_and(|at| at != "today")
        {
            fetch.renew &= values.stale_ms > 0;
        }
    }

    /// Before when a repeat of a keyed request must begin, by the window of its limits.
    fn repeat_by(&self) -> Option<Time> {
        let keyed = matches!(
            self.limiter.repeats.get(self.resolved.class),
            Some(Repeat::Keyed(_))
        );
        let sent = self.sent.filter(|_| keyed)?;
        Some(
            self.limiter
                .clock
                .at(sent + Duration::from_millis(self.resolved.values.window_ms)),
        )
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
        let next = state
            .gate
            .ended(now, &self.at)
            .and_then(|id| state.grant(id));
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
