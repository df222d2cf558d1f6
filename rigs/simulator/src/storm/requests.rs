//! A client's request: it arrives, is asked of the module, and ends; its client may come back.

use super::play::{Event, Open, World};
use super::*;
use foldmux::interface::AttemptReport as Told;
use foldmux_limits::admission::{Admission, LimitKey};
use rand::RngExt;

/// A client that is refused does not come back sooner than this (us).
const SOONEST: Time = 50_000;
/// An answer later than this after its client's deadline breaks the account's rule (us): the slack and the module's tick.
const LATEST: Time = 60_000;
/// Objects that are wanted alike.
const OBJECTS: u64 = 1_000;

impl World<'_> {
    pub(super) fn arrive(&mut self, class: usize, tries: u32, budget: Time, key: u64) {
        self.serial += 1;
        let id = self.serial | 1 << 40;
        let object = self.rng.random_range(0..OBJECTS);
        let limits = self.admission.as_ref().and_then(|(_, table)| {
            let resolved = table
                .find(class, "edge", "", "msgpack")
                .filter(|r| !r.at.is_empty())?
                .clone();
            Some((LimitKey::from(&*resolved), resolved))
        });
        let mut budget = budget;
        if tries == 0 {
            self.day.requests += 1;
            let second = self.second(self.now);
            self.wanted[second] += self.classes[class].priority_weight;
            self.records.0 += (class == 2) as u64;
        }
        limits
            .iter()
            .for_each(|(_, r)| budget = budget.min(r.values.deadline_ms * 1_000));
        let ask = IncomingRequest {
            id: RequestId(id),
            class,
            object: ObjectId(object),
            part: 0,
            group: 0,
            size_kb: 12.0,
            time_budget: budget,
            placement_ttl: 0,
            required_group: None,
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
        let admitted = match (&mut self.admission, &open.limits) {
            (Some((admission, _)), Some((key, _))) => admission.admit(self.now, key, id),
            _ => Admission::Admitted,
        };
        self.open.insert(id, open);
        if self.s.patience_ms > 0.0 {
            self.after(self.s.patience_ms * 1e3, Event::Leaves(id));
        }
        match admitted {
            Admission::Admitted => self.ask(id),
            Admission::Queued => self.after(budget as f64, Event::Overdue(id)),
            Admission::Rejected => self.finish(id, None),
        }
    }

    pub(super) fn ask(&mut self, id: u64) {
        let Some(open) = self.open.get_mut(&id) else {
            return;
        };
        open.asked = true;
        let budget = open.deadline.saturating_sub(self.now).max(1);
        let ask = IncomingRequest {
            time_budget: budget,
            ..open.ask.clone()
        };
        self.tell(foldmux::interface::Event::Request(ask));
    }

    pub(super) fn answer(&mut self, id: u64, served: bool, wait: Option<Time>) {
        if served {
            if let Some(open) = self.open.get(&id) {
                let class = &self.classes[open.class];
                // In time by the client's first try.
                let began = open
                    .deadline
                    .saturating_sub(class.deadline)
                    .max(START)
                    .min(open.arrived);
                let took = self.now - began;
                let worth = if took <= class.latency_objective {
                    class.priority_weight
                } else {
                    class.priority_weight * class.late_value_ratio
                };
                let second = self.second(self.now);
                self.worth[second] += worth;
                self.records.1 += (open.class == 2) as u64;
            }
        }
        self.finish(id, if served { Some(Time::MAX) } else { wait });
    }

    /// The client leaves without an answer, and comes again at once. The module hears of it as from the core: what is out
    /// is cancelled, and the client is gone.
    pub(super) fn leaves(&mut self, id: u64) {
        let Some(open) = self.open.get(&id) else {
            return;
        };
        let (request, out, attempts) = (RequestId(id), open.out, open.attempts);
        if out > 0 {
            let attempt = (attempts - 1) as u8;
            let (outcome, note) = (Outcome::Cancelled, CacheStatus::Unknown);
            let report = Told {
                id: request,
                attempt,
                outcome,
                cache_status: note,
                elapsed: self.now - open.arrived,
                last: true,
            };
            self.tell(foldmux::interface::Event::Outcome(report));
        }
        self.tell(foldmux::interface::Event::ClientDisconnected { id: request });
        self.finish(id, Some(0));
    }

    /// The end of a try: its place goes to whoever waits, and a client that is refused may come back. `wait`: none where
    /// it failed or had no place, the greatest where it was served.
    pub(super) fn finish(&mut self, id: u64, wait: Option<Time>) {
        let Some(open) = self.open.remove(&id) else {
            return;
        };
        if self.now > open.deadline + LATEST {
            self.broken("answered late");
        }
        let mut next = None;
        if let (Some((admission, _)), Some((key, _))) = (&mut self.admission, &open.limits) {
            match open.asked {
                true => next = admission.release(self.now, key),
                false => admission.cancel(key, id),
            }
        }
        let advised = open
            .limits
            .as_ref()
            .map_or(SOONEST, |(_, r)| r.values.max_retry_after_ms * 1_000);
        let back = match wait {
            Some(Time::MAX) => None,
            Some(wait) => Some(wait.max(SOONEST)),
            None if !open.asked => Some(advised.max(SOONEST)),
            None => None,
        };
        if let Some(back) = back.filter(|_| open.tries + 1 < self.s.tries) {
            let left = open.deadline.saturating_sub(self.now + back);
            if left > 0 {
                let Open {
                    class, tries, key, ..
                } = open;
                self.after(
                    back as f64,
                    Event::Arrive {
                        class,
                        tries: tries + 1,
                        budget: left,
                        key,
                    },
                );
            }
        }
        next.into_iter().for_each(|id| self.ask(id));
    }
}
