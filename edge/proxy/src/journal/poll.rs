//! The poll loop: requests the events that follow, wherever the service is, for as long as the process runs.

use super::request::{PollError, PollRequest, MAX_RESPONSE, RESPONSE_TIMEOUT};
use super::service::{JournalService, Location};
use super::{EventBatch, JournalClient};
use crate::backoff::{Backoff, MAX_DELAY as MAX_BACKOFF};
use foldmux_event_stream::StreamReaders;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Longest wait that a poll asks the service for; each asks for a random part of it. Short, so that a connection that
/// fell silent is noticed well within [`DELIVERY_TIME`].
const MAX_WAIT: Duration = Duration::from_millis(1_000);
/// By the platform's protocol, what the service has to tell counts as delivered after this.
const DELIVERY_TIME: Duration = Duration::from_secs(7);
/// Longest time from when a connection falls silent to when the next request is written: the wait for the response, the
/// backoff and the dial.
const MAX_SILENCE: Duration = MAX_WAIT
    .saturating_add(RESPONSE_TIMEOUT)
    .saturating_add(MAX_BACKOFF)
    .saturating_add(RESPONSE_TIMEOUT);
// Two connections that fall silent in a row leave time for a third.
const _: () = assert!(MAX_SILENCE.saturating_mul(2).as_millis() < DELIVERY_TIME.as_millis());

/// What a response came to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Polled {
    /// Events were applied.
    Applied,
    /// There was no event that follows.
    NoEvents,
}

struct PollLoop<'a> {
    client: JournalClient,
    service: &'a JournalService,
    /// The stream that shares the events with other processes, where there is one.
    shared: Option<Arc<StreamReaders>>,
    buffer: Vec<u8>,
    /// A response ended before an event that was applied: it was an old one, or the service numbers its events anew. The
    /// next poll requests, on another connection, all events from 1.
    restart: bool,
}

impl JournalClient {
    /// Polls for as long as the process runs, wherever the service is. `backoff` spaces the retries.
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
            if self.is_gate_shut() {
                self.service.close_connection();
            }
            self.client.pool.sweep();
        }
    }

    fn poll_once(&mut self, backoff: &mut Backoff) {
        let max_wait = self.next_wait(backoff);
        let location = self.service.location();
        let asked = Instant::now();
        match self.poll(location, max_wait) {
            // Without a pause this would spin where the service does not hold requests for as long as they ask.
            Ok(Polled::NoEvents) if asked.elapsed() < max_wait / 2 => {
                self.report_fed();
                let pause = backoff.next_delay();
                self.service.sleep_unless_moved(location.moves, pause);
            }
            Ok(_) => {
                backoff.reset();
                self.report_fed();
            }
            // A poll that was ended by a move says nothing of the service.
            Err(_)
                if self
                    .service
                    .sleep_unless_moved(location.moves, Duration::ZERO) =>
            {
                backoff.reset()
            }
            Err(error) => {
                let pause = backoff.next_delay();
                tracing::warn!("journal service: {error}; asking again in {pause:?}");
                self.service.close_connection();
                if let Some(readers) = &self.shared {
                    readers.on_source_failure();
                }
                self.service.sleep_unless_moved(location.moves, pause);
            }
        }
    }

    /// After a while without polls, what there is now is requested at once.
    fn next_wait(&self, backoff: &mut Backoff) -> Duration {
        let shared = self.shared.as_ref();
        match shared.is_some_and(|readers| readers.gate.wait_until_open()) {
            true => Duration::ZERO,
            false => backoff.poll_wait(MAX_WAIT),
        }
    }

    /// Whether another process of the site reads the service now.
    fn is_gate_shut(&self) -> bool {
        let shared = self.shared.as_ref();
        shared.is_some_and(|readers| readers.gate.is_closed())
    }

    fn report_fed(&self) {
        if let Some(readers) = &self.shared {
            readers.on_source_answer();
        }
    }

    fn poll(&mut self, location: Location, max_wait: Duration) -> Result<Polled, PollError> {
        let stream = self.service.connection(location)?;
        let request = PollRequest {
            address: location.address,
            tail: if self.restart {
                0
            } else {
                self.client.position
            },
            max_wait,
        };
        let response = request.send(&stream, &mut self.buffer)?;
        let service = self.service;
        // One step with the check: a response of an address that the service has left is not applied.
        let polled = service.unless_moved(location.moves, || self.apply(&response.feed))??;
        if !response.reusable {
            service.close_connection();
        }
        Ok(polled)
    }

    fn apply(&mut self, feed: &EventBatch) -> Result<Polled, PollError> {
        if std::mem::take(&mut self.restart) {
            return self.apply_restart(feed);
        }
        let (last, applied) = (feed.last_position(), self.client.position);
        if last < applied {
            self.restart = true;
            return Err(PollError::Outdated { last, applied });
        }
        if !self.client.apply(feed) {
            return Err(PollError::Gap { after: applied });
        }
        match self.client.position > applied {
            true => Ok(Polled::Applied),
            false if last > applied => Err(PollError::Gap { after: applied }),
            false => Ok(Polled::NoEvents),
        }
    }

    /// Applies all events from 1, where the feed has them.
    fn apply_restart(&mut self, feed: &EventBatch) -> Result<Polled, PollError> {
        if feed.last_position() == 0 {
            // The service started anew and has no events yet: the endpoint list stays until it has.
            self.restart = true;
            return Ok(Polled::NoEvents);
        }
        let applied = self.client.position;
        if !self.client.apply_restart(feed) {
            return Err(PollError::Gap { after: 0 });
        }
        let position = self.client.position;
        if position < applied {
            tracing::warn!("journal service: it numbers anew, to {position} after {applied}");
        }
        Ok(Polled::Applied)
    }
}
