//! An attempt: whether the limits let it go, and how a box answers it.

use super::play::{Event, World};
use super::*;
use foldmux::interface::AttemptReport as Told;
use rand::RngExt;
use rand_distr::Distribution;

/// One way between proxy and box (us).
const WAY: f64 = 300.0;
/// What a fill from a parent takes beside the box's own work (us).
const FILL: f64 = 15_000.0;

impl World<'_> {
    pub(super) fn tell(&mut self, event: foldmux::interface::Event) {
        let mut actions = Vec::new();
        self.router.handle(self.now, event, &mut actions);
        for action in actions {
            match action {
                Action::Fetch(fetch) => self.fetch(fetch),
                Action::Reject { id, retry_after } => self.answer(id.0, false, Some(retry_after)),
                Action::Fail { id } => self.answer(id.0, false, None),
                Action::StartTimer { after, token } => {
                    self.after(after as f64, Event::Timer { token })
                }
                _ => {}
            }
        }
    }

    /// The module wants an attempt: by the limits that the core goes by.
    pub(super) fn fetch(&mut self, mut fetch: Fetch) {
        let id = fetch.id.0;
        let draw = self.rng.random_range(0.0..1.0);
        let Some(open) = self.open.get_mut(&id) else {
            return;
        };
        let attempt = open.attempts as u8;
        let mut pause = Some(0);
        if let (Some((admission, _)), Some((key, resolved))) = (&mut self.admission, &open.limits) {
            pause = admission
                .start_attempt(key, &resolved.values, open.attempts, draw)
                .map(|pause| pause.as_micros() as Time);
            fetch.timeout = resolved.values.attempt_timeout().within_us(fetch.timeout);
        }
        open.attempts += 1;
        match pause.filter(|pause| self.now + pause < open.deadline) {
            Some(pause) => self.after(pause as f64, Event::Send { id, fetch, attempt }),
            None => self.limited(id, attempt),
        }
    }

    /// The limits end it: nothing is sent, and the final answer is given at once.
    pub(super) fn limited(&mut self, id: u64, attempt: u8) {
        let report = Told {
            id: RequestId(id),
            attempt,
            outcome: Outcome::NeverSent,
            cache_status: CacheStatus::Unknown,
            elapsed: 0,
            last: true,
        };
        self.tell(foldmux::interface::Event::Outcome(report));
        // All classes here are free, or keyed within all caches: coming back is harmless.
        self.answer(id, false, Some(0));
    }

    pub(super) fn send(&mut self, id: u64, fetch: Fetch, attempt: u8) {
        let (now, fails, count) = (self.now, self.failing, self.failed_boxes());
        let Some(open) = self.open.get_mut(&id) else {
            return;
        };
        if let (Some(ran), 2) = (open.ran, open.class) {
            let window = open
                .limits
                .as_ref()
                .map_or(2_000_000, |(_, r)| r.values.idempotency_window_ms * 1_000);
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
            return self.after(
                2.0 * WAY,
                Event::Ended {
                    id,
                    attempt,
                    outcome: Outcome::Miss,
                    sent: now,
                },
            );
        }
        if number >= count {
            self.load[second] += 1;
        }
        let attempt_key = (id, key, class);
        let (us, outcome) = self.serve(attempt_key, number, number < count && fails, &fetch);
        let limit = if fetch.timeout > 0 {
            fetch.timeout as f64
        } else {
            f64::INFINITY
        };
        let (us, outcome) = if us > limit {
            (limit, Outcome::TimedOut)
        } else {
            (us, outcome)
        };
        self.after(
            us,
            Event::Ended {
                id,
                attempt,
                outcome,
                sent: now,
            },
        );
    }

    /// How an attempt at a box ends, and after how long (us).
    fn serve(
        &mut self,
        (id, key, class): (u64, u64, usize),
        number: usize,
        failing: bool,
        fetch: &Fetch,
    ) -> (f64, Outcome) {
        let now = self.now;
        if failing {
            return match self.s.how {
                How::Refuse => (2.0 * WAY, Outcome::ConnectFailed),
                How::Errors => (2.0 * WAY, Outcome::Error),
                How::Silence => {
                    let left = self
                        .open
                        .get(&id)
                        .map_or(0, |open| open.deadline.saturating_sub(now));
                    (left as f64, Outcome::TimedOut)
                }
            };
        }
        let at = now as f64 + WAY;
        let slots = &mut self.slots[number];
        let (slot, free) = slots
            .iter()
            .copied()
            .enumerate()
            .min_by(|a, b| a.1.total_cmp(&b.1))
            .expect("a box has slots");
        let begins = free.max(at);
        if begins - at > self.s.full_after_ms * 1e3 {
            return (2.0 * WAY, Outcome::Overloaded);
        }
        let object = self.open.get(&id).map_or(0, |open| open.ask.object.0);
        let kept = class == 2 || self.held.contains(&(number, object));
        if !kept && fetch.source == fetch.cache {
            return (2.0 * WAY, Outcome::Miss);
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
        (ends - now as f64 + WAY, Outcome::Served)
    }

    pub(super) fn ended(&mut self, id: u64, attempt: u8, outcome: Outcome, sent: Time) {
        let (now, served) = (self.now, outcome == Outcome::Served);
        if let Some(open) = self.open.get_mut(&id) {
            open.out -= 1;
            if !outcome.not_processed() {
                open.ran.get_or_insert(sent);
            }
            if let (Some((admission, _)), Some((key, _))) = (&mut self.admission, &open.limits) {
                admission.record_attempt(key, now - sent, served);
            }
        }
        if served {
            self.answer(id, true, None);
        }
        let report = Told {
            id: RequestId(id),
            attempt,
            outcome,
            cache_status: CacheStatus::Unknown,
            elapsed: now - sent,
            last: served,
        };
        self.tell(foldmux::interface::Event::Outcome(report));
    }
}
