//! The polls in flight: when the next one is due, and which of them are obsolete.

use crate::wait::{AdaptiveWait, WaitRange};
use std::collections::VecDeque;
use std::time::Duration;

/// Identifies a poll; a poll that started later has a greater one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PollId(u64);

/// The bounds of a [`PollSchedule`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ScheduleConfig {
    /// The time within which an event has to be delivered.
    pub delivery_time: Duration,
    /// The longest wait that a poll asks for.
    pub wait: WaitRange,
    /// How long after the end of its wait a poll that is not answered is hedged.
    pub hedge_delay: Duration,
    /// Most polls in flight at once; at least 1.
    pub max_in_flight: usize,
    /// How long a poll whose response has begun to arrive may make no progress before it is hedged.
    pub stall_time: Duration,
    /// The least time between two starts while as many polls as allowed are in flight. Each replaces the one before:
    /// the oldest ones stay, as a service that answers in order answers them first.
    pub replacement_interval: Duration,
    /// The interval doubles with each replacement up to this one, until an answer comes. So a client with a single
    /// connection gets to hear a slow service.
    pub max_replacement_interval: Duration,
}

/// A poll that may be sent now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Started {
    /// The poll.
    pub id: PollId,
    /// The poll that makes way for it.
    pub replaced: Option<PollId>,
}

#[derive(Clone, Copy, Debug)]
struct InFlight {
    id: PollId,
    started: Duration,
    wait_ends: Duration,
    /// When the next poll is started beside it.
    hedged_at: Duration,
}

/// The polls in flight, in the order of their starts.
///
/// An answer to a poll makes all that started before it obsolete: they asked for no later events, and the service had
/// their events when it answered.
#[derive(Debug)]
pub struct PollSchedule {
    config: ScheduleConfig,
    wait: AdaptiveWait,
    in_flight: VecDeque<InFlight>,
    last_id: u64,
    /// The present interval between replacements.
    replacement_interval: Duration,
    /// No poll starts before this time: the pause after a failure.
    not_before: Duration,
}

impl PollSchedule {
    /// A schedule whose first poll is due at once.
    pub fn new(config: ScheduleConfig) -> PollSchedule {
        PollSchedule {
            wait: AdaptiveWait::new(config.wait, config.delivery_time, config.hedge_delay),
            replacement_interval: config.replacement_interval,
            config,
            in_flight: VecDeque::new(),
            last_id: 0,
            not_before: Duration::ZERO,
        }
    }

    /// When the next poll is due.
    pub fn due_at(&self) -> Duration {
        let hedged_at = self.in_flight.back().map(|latest| {
            let replaceable = latest.started + self.replacement_interval;
            match self.in_flight.len() < self.config.max_in_flight {
                true => latest.hedged_at,
                false => latest.hedged_at.max(replaceable),
            }
        });
        hedged_at.unwrap_or_default().max(self.not_before)
    }

    /// Starts a poll that asks the service to hold it for `wait`.
    pub fn start(&mut self, now: Duration, wait: Duration) -> Started {
        let full = self.in_flight.len() >= self.config.max_in_flight;
        let replaced = full.then(|| self.in_flight.pop_back()).flatten();
        if replaced.is_some() {
            self.set_replacement_interval(2 * self.replacement_interval);
        }
        self.last_id += 1;
        let id = PollId(self.last_id);
        let wait_ends = now + wait;
        self.in_flight.push_back(InFlight {
            id,
            started: now,
            wait_ends,
            // A poll that asks for no wait, or a short one, is hedged no sooner than others.
            hedged_at: (wait_ends + self.config.hedge_delay).max(now + self.config.wait.min),
        });
        Started {
            id,
            replaced: replaced.map(|poll| poll.id),
        }
    }

    /// Records that the response of a poll arrives: it is not hedged as long as it goes on.
    pub fn on_progress(&mut self, id: PollId, now: Duration) {
        if let Some(poll) = self.in_flight.iter_mut().find(|poll| poll.id == id) {
            poll.hedged_at = poll.hedged_at.max(now + self.config.stall_time);
        }
    }

    /// Records the answer to a poll; the next one starts `pause` later at the earliest. `has_news`: it had events that
    /// no earlier answer had. Then the polls that started after it wait for no later event at the service, as these
    /// events were later than what they asked for: the next poll is due without regard to them.
    ///
    /// Returns the polls that are obsolete now. `None`: the poll is not in flight any more, and its answer does not
    /// count.
    pub fn on_answer(
        &mut self,
        id: PollId,
        now: Duration,
        has_news: bool,
        pause: Duration,
    ) -> Option<Vec<PollId>> {
        let index = self.index_of(id)?;
        let answered = self.in_flight[index];
        // Twice as long as this answer took: the next one may be later.
        self.set_replacement_interval(2 * (now - answered.started));
        // How long the service held an answer back is known only where no event ended the wait.
        if now >= answered.wait_ends {
            self.wait.record(now - answered.wait_ends);
        }
        let obsolete = self.in_flight.drain(..=index).map(|poll| poll.id);
        let obsolete = obsolete.filter(|obsolete| *obsolete != id).collect();
        if let Some(latest) = self.in_flight.back_mut().filter(|_| has_news) {
            latest.hedged_at = now;
        }
        self.not_before = now + pause;
        Some(obsolete)
    }

    /// Records that a poll failed; the next one starts `pause` later at the earliest. False: the poll is not in flight
    /// any more.
    pub fn on_failure(&mut self, id: PollId, now: Duration, pause: Duration) -> bool {
        let Some(index) = self.index_of(id) else {
            return false;
        };
        self.in_flight.remove(index);
        self.not_before = now + pause;
        true
    }

    /// Gives up all polls: what they ask for, or whom, is of no use any more. The next one starts `pause` later at the
    /// earliest.
    pub fn clear(&mut self, now: Duration, pause: Duration) {
        self.in_flight.clear();
        self.not_before = now + pause;
    }

    /// The polls in flight, in the order of their starts.
    pub fn in_flight(&self) -> impl DoubleEndedIterator<Item = PollId> + '_ {
        self.in_flight.iter().map(|poll| poll.id)
    }

    /// Whether a poll is in flight.
    pub fn is_in_flight(&self, id: PollId) -> bool {
        self.index_of(id).is_some()
    }

    /// The longest wait that the next poll asks for.
    pub fn max_wait(&self) -> Duration {
        self.wait.get()
    }

    fn set_replacement_interval(&mut self, interval: Duration) {
        let ScheduleConfig {
            replacement_interval: min,
            max_replacement_interval: max,
            ..
        } = self.config;
        self.replacement_interval = interval.clamp(min, max);
    }

    fn index_of(&self, id: PollId) -> Option<usize> {
        self.in_flight.iter().position(|poll| poll.id == id)
    }
}
