//! The poll loop: asks for the events that follow, wherever the service is, for as long as the program runs.

use super::request::{Call, Fault, MOST_ANSWER, PATIENCE};
use super::{Feed, JournalClient, Service};
use crate::backoff::{Backoff, LONGEST};
use foldmux_event_stream::Desk;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Asked for at the longest: short, so that a connection that went silent is noticed well within [`TOLD`]. Each poll
/// asks for a part of its own.
const MAX_WAIT: Duration = Duration::from_millis(1_000);
/// By the platform's protocol: after this all that the service has to tell counts as told.
const TOLD: Duration = Duration::from_secs(7);
/// From the moment in which a connection falls silent until the next call is written, at the longest: the wait for the
/// answer, the pause after it and the dial.
const SILENCE: Duration = MAX_WAIT
    .saturating_add(PATIENCE)
    .saturating_add(LONGEST)
    .saturating_add(PATIENCE);
/// Two connections that fall silent one after the other leave time for a third.
const _: () = assert!(SILENCE.saturating_mul(2).as_millis() < TOLD.as_millis());

/// What an answer came to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Polled {
    Taken,
    /// It had no event that follows.
    Nothing,
}

/// Where the service is, and how often it had moved by then.
#[derive(Clone, Copy)]
pub struct Place {
    pub address: SocketAddr,
    pub moves: u64,
}

struct Watch<'a> {
    journal: JournalClient,
    service: &'a Service,
    buffer: Vec<u8>,
    /// An answer ended before an event that was taken. Either it was an old one, or the service numbers its events anew:
    /// the next call asks, on another connection, for all of them from 1.
    recount: bool,
}

impl JournalClient {
    /// Polls for as long as the program runs, wherever the service is; asks again as `backoff` says.
    pub fn follow(self, service: &Service, backoff: Backoff) {
        let shared = self.shared.as_ref().map(|shared| shared.desk.clone());
        let buffer = vec![0; MOST_ANSWER];
        Watch {
            journal: self,
            service,
            buffer,
            recount: false,
        }
        .run(shared, backoff);
    }
}

impl Watch<'_> {
    fn run(mut self, shared: Option<Arc<Desk>>, mut backoff: Backoff) {
        loop {
            // One that was not read for a while is asked for what there is.
            let at_once = shared.as_ref().is_some_and(|desk| desk.gate.pass());
            let max_wait = if at_once {
                Duration::ZERO
            } else {
                backoff.hold(MAX_WAIT)
            };
            let place = self.service.current();
            let asked = Instant::now();
            match self.poll(place, max_wait) {
                // Guards against a loop without a pause, where the service does not hold a call as long as it is asked to.
                Ok(Polled::Nothing) if asked.elapsed() < max_wait / 2 => {
                    shared.iter().for_each(|desk| desk.fed());
                    self.service.pause(place.moves, backoff.failed());
                }
                Ok(_) => {
                    backoff.well();
                    shared.iter().for_each(|desk| desk.fed());
                }
                // What ended with the move to another address is no news of the service.
                Err(_) if self.service.pause(place.moves, Duration::ZERO) => backoff.well(),
                Err(fault) => {
                    let wait = backoff.failed();
                    tracing::warn!("journal service: {fault}; asking again in {wait:?}");
                    self.service.hang_up();
                    shared.iter().for_each(|desk| desk.unfed());
                    self.service.pause(place.moves, wait);
                }
            }
            if shared.as_ref().is_some_and(|desk| desk.gate.shut()) {
                self.service.hang_up();
            }
            self.journal.pool.sweep();
        }
    }

    fn poll(&mut self, place: Place, max_wait: Duration) -> Result<Polled, Fault> {
        let stream = self.service.connection(place)?;
        let tail = if self.recount { 0 } else { self.journal.pos };
        let call = Call {
            address: place.address,
            tail,
            max_wait,
        };
        let answer = call.make(&stream, &mut self.buffer)?;
        let service = self.service;
        // One step with the check: an answer of an address that the service has left is not taken.
        let polled = service.unless_moved(place.moves, || self.take(&answer.feed))??;
        if !answer.reusable {
            service.hang_up();
        }
        Ok(polled)
    }

    fn take(&mut self, feed: &Feed) -> Result<Polled, Fault> {
        if std::mem::take(&mut self.recount) {
            return self.take_anew(feed);
        }
        let (last, taken) = (feed.last(), self.journal.pos);
        if last < taken {
            self.recount = true;
            return Err(Fault::Older { last, taken });
        }
        if !self.journal.take(feed) {
            return Err(Fault::Missing { after: taken });
        }
        match self.journal.pos > taken {
            true => Ok(Polled::Taken),
            false if last > taken => Err(Fault::Missing { after: taken }),
            false => Ok(Polled::Nothing),
        }
    }

    /// Takes all events from 1, if these are they.
    fn take_anew(&mut self, feed: &Feed) -> Result<Polled, Fault> {
        if feed.last() == 0 {
            // It started anew and has nothing yet: the list stays until it has.
            self.recount = true;
            return Ok(Polled::Nothing);
        }
        let taken = self.journal.pos;
        if !self.journal.take_anew(feed) {
            return Err(Fault::Missing { after: 0 });
        }
        if self.journal.pos < taken {
            tracing::warn!(
                "journal service: it numbers anew, to {} after {taken}",
                self.journal.pos
            );
        }
        Ok(Polled::Taken)
    }
}
