//! The poll loop: requests the next events at the service's current address, for as long as the process runs.

use super::request::{PollError, PollRequest, MAX_RESPONSE, RESPONSE_TIMEOUT};
use super::service::{JournalService, Location};
use super::{EventBatch, JournalClient};
use crate::backoff::{Backoff, MAX_DELAY as MAX_BACKOFF};
use foldmux_event_stream::StreamReaders;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Longest time that a poll asks the service to hold it; each poll asks for a random part of it. It is short, so that a
/// connection that no longer delivers anything is noticed well within [`DELIVERY_TIME`].
const MAX_WAIT: Duration = Duration::from_millis(1_000);
/// The platform's protocol assumes that an event has been delivered after this time.
const DELIVERY_TIME: Duration = Duration::from_secs(7);
/// Longest time from the moment when a connection stops delivering to the next request on another one: the wait for the
/// response, the backoff and the dial.
const MAX_SILENCE: Duration = MAX_WAIT
    .saturating_add(RESPONSE_TIMEOUT)
    .saturating_add(MAX_BACKOFF)
    .saturating_add(RESPONSE_TIMEOUT);
// Two connections in a row that stop delivering must leave time for a third.
const _: () = assert!(MAX_SILENCE.saturating_mul(2).as_millis() < DELIVERY_TIME.as_millis());

/// The result of a poll whose response could be applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PollOutcome {
    /// Events were applied.
    Applied,
    /// The response had no new event.
    NoEvents,
}

struct PollLoop<'a> {
    client: JournalClient,
    service: &'a JournalService,
    /// The stream that shares the events with other processes, if there is one.
    shared: Option<Arc<StreamReaders>>,
    buffer: Vec<u8>,
    /// The last response ended before an event that was already applied: it was outdated, or the service renumbers its
    /// events. The next poll requests all events from 1 on another connection.
    restart: bool,
}

impl JournalClient {
    /// Polls the service at its current address for as long as the process runs. `backoff` spaces the retries.
    pub fn follow(self, service: &JournalService, backoff: Backoff) {
        let shared = self.shared.as_ref().map(|shared| shared.readers.clone());
        let mut poll_loop = PollLoop {
            client: self,
            service,
            shared,
            buffer: vec![0; MAX_RESPONSE],
            restart: false,
        };
        poll_loop.run(backoff);
    }
}

impl PollLoop<'_> {
    fn run(&mut self, mut backoff: Backoff) {
        loop {
            self.poll_once(&mut backoff);
            if self.is_read_elsewhere() {
                self.service.close_connection();
            }
            self.client.pool.sweep();
        }
    }

    fn poll_once(&mut self, backoff: &mut Backoff) {
        let max_wait = self.next_wait(backoff);
        let location = self.service.location();
        let sent_at = Instant::now();
        match self.poll(location, max_wait) {
            // Without a pause this would spin if the service responds sooner than the requests ask it to.
            Ok(PollOutcome::NoEvents) if sent_at.elapsed() < max_wait / 2 => {
                self.report_source_response();
                let pause = backoff.next_delay();
                self.service.sleep_unless_moved(location.moves, pause);
            }
            Ok(_) => {
                backoff.reset();
                self.report_source_response();
            }
            // A poll that a move ended is no failure of the service.
            Err(_)
                if self
                    .service
                    .sleep_unless_moved(location.moves, Duration::ZERO) =>
            {
                backoff.reset()
            }
            Err(error) => {
                let pause = backoff.next_delay();
                tracing::warn!("journal service: {error}; retrying in {pause:?}");
                self.service.close_connection();
                if let Some(readers) = &self.shared {
                    readers.on_source_failure();
                }
                self.service.sleep_unless_moved(location.moves, pause);
            }
        }
    }

    /// How long the service may hold the next poll: not at all after a time without polls, so that the present events
    /// come at once. Blocks while another process of the site reads the service.
    fn next_wait(&self, backoff: &mut Backoff) -> Duration {
        let shared = self.shared.as_ref();
        match shared.is_some_and(|readers| readers.gate.wait_until_open()) {
            true => Duration::ZERO,
            false => backoff.poll_wait(MAX_WAIT),
        }
    }

    /// Whether another process of the site reads the service now.
    fn is_read_elsewhere(&self) -> bool {
        let shared = self.shared.as_ref();
        shared.is_some_and(|readers| readers.gate.is_closed())
    }

    /// Tells the readers of the shared stream that the service has responded.
    fn report_source_response(&self) {
        if let Some(readers) = &self.shared {
            readers.on_source_answer();
        }
    }

    fn poll(&mut self, location: Location, max_wait: Duration) -> Result<PollOutcome, PollError> {
        let stream = self.service.connection(location)?;
        let request = PollRequest {
            address: location.address,
            position: if self.restart {
                0
            } else {
                self.client.position
            },
            max_wait,
        };
        let response = request.send(&stream, &mut self.buffer)?;
        let service = self.service;
        // The check and the applying are one step: a response of a former address is not applied.
        let outcome = service.unless_moved(location.moves, || self.apply(&response.batch))??;
        if !response.reusable {
            service.close_connection();
        }
        Ok(outcome)
    }

    fn apply(&mut self, batch: &EventBatch) -> Result<PollOutcome, PollError> {
        if std::mem::take(&mut self.restart) {
            return self.apply_restart(batch);
        }
        let (last, applied) = (batch.last_position(), self.client.position);
        if last < applied {
            self.restart = true;
            return Err(PollError::Outdated { last, applied });
        }
        if !self.client.apply(batch) {
            return Err(PollError::Gap { after: applied });
        }
        match self.client.position > applied {
            true => Ok(PollOutcome::Applied),
            false if last > applied => Err(PollError::Gap { after: applied }),
            false => Ok(PollOutcome::NoEvents),
        }
    }

    /// Applies all events from 1 on, if the batch has them.
    fn apply_restart(&mut self, batch: &EventBatch) -> Result<PollOutcome, PollError> {
        if batch.last_position() == 0 {
            // The service has restarted and has no events yet. The endpoint list stays until it has.
            self.restart = true;
            return Ok(PollOutcome::NoEvents);
        }
        let applied = self.client.position;
        if !self.client.apply_restart(batch) {
            return Err(PollError::Gap { after: 0 });
        }
        let position = self.client.position;
        if position < applied {
            tracing::warn!(
                "journal service: events are renumbered; the last one is {position}, was {applied}"
            );
        }
        Ok(PollOutcome::Applied)
    }
}
