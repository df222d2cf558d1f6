//! Follows the events of the journal service by its long poll, however late or seldom the service answers.
//!
//! Events are applied in order, without gaps, each once. A response that is lost, cut off or unreadable changes nothing,
//! and its events are requested again. A poll that is overdue stays in flight, and another one is started beside it:
//! when, and which polls are obsolete, is decided by [`foldmux_long_poll`].
//!
//! | concern | module |
//! | --- | --- |
//! | the loop: starting polls, and what their outcomes change | this one |
//! | which events of a response are applied | [`applier`] |
//! | one connection, with the thread that polls on it | [`connection`] |
//! | all connections, and the polls in flight | [`connections`] |
//! | whether the service is slow | [`lateness`] |
//! | times | [`timing`] |
//! | decoding a response event by event | [`response`] |

mod applier;
mod connection;
mod connections;
mod error;
mod lateness;
mod response;
mod sink;
mod timing;

use crate::backoff::Backoff;
use crate::journal::{Entry, EventBatch};
use crate::readers::StreamReaders;
use crate::service::{JournalService, Location, Moved};
use applier::{Applier, News};
use connection::{Connection, PollOutcome, PollReport, PollRequest};
use connections::{Connections, Poll};
use crossbeam_channel::select;
use foldmux_long_poll::{PollId, PollSchedule};
use lateness::Lateness;
use std::sync::Arc;
use std::time::{Duration, Instant};
use timing::{schedule_config, HEDGE_DELAY, MAX_SILENCE, MIN_PROGRESS};

pub use connections::FollowerLimits;
pub use error::PollError;
pub use sink::EventSink;

/// Polls the journal service at its current address for as long as its sink wants events.
pub struct Follower<'a, S> {
    applier: Applier<S>,
    service: &'a JournalService,
    /// The stream that shares the events with other processes, if there is one.
    shared: Option<Arc<StreamReaders>>,
    limits: FollowerLimits,
    backoff: Backoff,
    schedule: PollSchedule,
    /// The origin of the schedule's times.
    origin: Instant,
    location: Location,
    connections: Connections,
    lateness: Lateness,
    /// The present events are wanted at once: the service was not read for a time.
    read_owed: bool,
}

impl<'a, S: EventSink> Follower<'a, S> {
    /// A follower of `service` that has sent no poll. `backoff` spaces the retries after failures.
    pub fn new(
        sink: S,
        service: &'a JournalService,
        shared: Option<Arc<StreamReaders>>,
        limits: FollowerLimits,
        backoff: Backoff,
    ) -> Follower<'a, S> {
        Follower {
            applier: Applier::new(sink),
            location: service.location(),
            service,
            shared,
            limits,
            backoff,
            schedule: PollSchedule::new(schedule_config(limits.max_connections)),
            origin: Instant::now(),
            connections: Connections::new(limits.max_connections.max(1)),
            lateness: Lateness::new(HEDGE_DELAY),
            read_owed: false,
        }
    }

    /// Polls until the sink wants no more events.
    pub fn run(mut self) {
        while self.applier.sink.is_running() {
            self.follow_move();
            if self.location.address.is_none() {
                let _ = self.service.moved().recv();
                continue;
            }
            let left = self.schedule.due_at().saturating_sub(self.now());
            match left.is_zero() && !self.note_progress() {
                true => self.start_poll(),
                false => self.wait(left),
            }
        }
    }

    fn now(&self) -> Duration {
        self.origin.elapsed()
    }

    /// Gives up the polls at a former address.
    fn follow_move(&mut self) {
        let location = self.service.location();
        if location != self.location {
            self.location = location;
            self.give_up_polls(Duration::ZERO);
            self.backoff.reset();
        }
    }

    /// Ends all polls in flight and all connections; the next poll starts `pause` later.
    fn give_up_polls(&mut self, pause: Duration) {
        let now = self.now();
        self.schedule.clear(now, pause);
        self.connections.clear();
    }

    /// Waits for a report or a move, for `left` at most.
    fn wait(&mut self, left: Duration) {
        let report = select! {
            recv(self.connections.reports) -> report => report.ok(),
            recv(self.service.moved()) -> _ => None,
            default(left) => None,
        };
        if let Some(report) = report {
            self.on_report(report);
            self.applier.sink.after_poll();
        }
    }

    /// Whether the response of the latest poll arrives, so that the poll is not overdue.
    fn note_progress(&mut self) -> bool {
        let Some(id) = self.schedule.in_flight().next_back() else {
            return false;
        };
        let poll = self.connections.get_mut(id);
        let progresses = poll.is_some_and(|poll| poll.take_progress() >= MIN_PROGRESS);
        if progresses {
            let now = self.now();
            self.schedule.on_progress(id, now);
        }
        progresses
    }

    fn start_poll(&mut self) {
        let wait = self.next_wait();
        // The gate may have been closed for any time.
        if self.service.location() != self.location {
            return;
        }
        let Some(address) = self.location.address else {
            return;
        };
        self.report_silence();
        let connection = self.connections.take_idle();
        let now = self.now();
        let started = self.schedule.start(now, wait);
        if let Some(replaced) = started.replaced {
            self.connections.remove(replaced);
        }
        let connection = match connection {
            Ok(connection) => connection,
            Err(error) => return self.on_failure(started.id, &PollError::Connect(error)),
        };
        let position = self.applier.position();
        let is_restart = self.applier.needs_restart();
        let request = PollRequest {
            id: started.id,
            address,
            position,
            wait,
            whole: is_restart,
            max_batch_bytes: self.limits.max_batch_bytes,
            applied: self.applier.applied(),
        };
        let received = connection.received();
        connection.send(request);
        let poll = Poll {
            connection,
            started: Instant::now(),
            wait,
            position,
            is_restart,
            has_news: false,
            received,
        };
        self.connections.insert(started.id, poll);
    }

    /// How long the service may hold the next poll: not at all after a time without polls, so that the present events
    /// come at once. Blocks while another process of the site reads the service.
    fn next_wait(&mut self) -> Duration {
        if let Some(readers) = self.shared.clone() {
            if !self.read_owed && readers.gate.is_closed() {
                self.give_up_polls(Duration::ZERO);
            }
            if !self.read_owed && readers.gate.wait_until_open() {
                self.read_owed = true;
                self.lateness.restart();
            }
        }
        match self.read_owed {
            true => Duration::ZERO,
            false => self.backoff.poll_wait(self.schedule.max_wait()),
        }
    }

    /// Tells the log, and those who could read the service elsewhere, that polls are overdue.
    fn report_silence(&mut self) {
        if self.connections.have_polls() {
            self.lateness.on_hedge();
            if self.lateness.silence() >= MAX_SILENCE {
                self.report_source_failure();
            }
        }
    }

    fn on_report(&mut self, report: PollReport) {
        let PollReport { id, outcome } = report;
        // Of a poll that was given up: its events are of a former address or numbering, or are applied already.
        if !self.schedule.is_in_flight(id) {
            return;
        }
        match outcome {
            PollOutcome::Failed(error) => self.on_failure(id, &error),
            PollOutcome::Events(entries) => self.on_events(id, &entries),
            PollOutcome::Answered {
                entries,
                last,
                reusable,
            } => self.on_answer(id, EventBatch { pos: last, entries }, reusable),
        }
    }

    /// Applies a part of a response.
    fn on_events(&mut self, id: PollId, entries: &[Entry]) {
        let (service, applier) = (self.service, &mut self.applier);
        match service.unless_moved(self.location, || applier.apply_part(entries)) {
            Ok(Ok(news)) => {
                if let Some(poll) = self.connections.get_mut(id) {
                    poll.has_news |= news == News::Applied;
                }
            }
            Ok(Err(error)) => self.on_failure(id, &error),
            Err(Moved) => (),
        }
    }

    fn on_answer(&mut self, id: PollId, batch: EventBatch, reusable: bool) {
        let Some(poll) = self.connections.remove(id) else {
            return;
        };
        let (service, applier) = (self.service, &mut self.applier);
        let applied = service.unless_moved(self.location, || applier.apply(&poll, &batch));
        let news = match applied {
            Ok(Ok(news)) => news,
            Ok(Err(error)) => return self.on_failure(id, &error),
            Err(Moved) => return,
        };
        let has_news = poll.has_news || news == News::Applied;
        let is_empty = !has_news && batch.last_position() <= poll.position;
        // Without a pause this would spin if the service responds sooner than the requests ask it to.
        let pause = match is_empty && poll.started.elapsed() < poll.wait / 2 {
            true => self.backoff.next_delay(),
            false => {
                self.backoff.reset();
                Duration::ZERO
            }
        };
        let now = self.now();
        let obsolete = self.schedule.on_answer(id, now, has_news, pause);
        for id in obsolete.unwrap_or_default() {
            self.connections.remove(id);
        }
        self.read_owed = false;
        let delay = poll.started.elapsed().saturating_sub(poll.wait);
        self.lateness.on_answer(delay);
        self.report_source_answer();
        if reusable {
            self.keep(poll.connection);
        }
    }

    fn report_source_answer(&self) {
        if let Some(readers) = &self.shared {
            readers.on_source_answer();
        }
    }

    /// Keeps a connection for the next poll, and other idle ones only for a slow service.
    fn keep(&mut self, connection: Connection) {
        let shared = self.shared.as_ref();
        let is_read_elsewhere = shared.is_some_and(|readers| readers.gate.is_closed());
        if is_read_elsewhere || !self.lateness.is_slow() {
            self.connections.close_idle();
        }
        if !is_read_elsewhere {
            self.connections.keep_idle(connection);
        }
    }

    fn on_failure(&mut self, id: PollId, error: &PollError) {
        self.connections.remove(id);
        let pause = self.backoff.next_delay();
        tracing::warn!("journal service: {error}; retrying in {pause:?}");
        let now = self.now();
        self.schedule.on_failure(id, now, pause);
        if matches!(error, PollError::Outdated { .. }) {
            // What the others ask for may be of a former numbering.
            self.give_up_polls(pause);
        }
        self.report_source_failure();
    }

    fn report_source_failure(&self) {
        if let Some(readers) = &self.shared {
            readers.on_source_failure();
        }
    }
}
