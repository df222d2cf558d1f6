//! Reads from a client's connection for as long as [`ReadTimeout`] allows: neither a client that says nothing nor one that
//! never finishes a message keeps its slot.

use super::connection::Connection;
use super::end::EndReason;
use super::read_timeout::{Expiry, Open, ReadTimeout};
use crate::closing::has_arrived;
use foldmux_sockets::stream::{self, Stop};
use foldmux_sockets::watch::Watch;
use std::io::{ErrorKind, Read};
use std::sync::Arc;
use std::time::Instant;

pub(super) struct TimedReader {
    connection: Arc<Connection>,
    timeout: ReadTimeout,
    /// A message has begun, and counts as open on the connection.
    begun: bool,
    /// The connection may be ended for a newcomer until more of the message arrives.
    yields: bool,
    /// The client has had its time.
    timed_out: bool,
    /// Why nothing more could be read, where a call failed.
    failure: Option<std::io::Error>,
    /// When what was read may have arrived.
    watch: Watch,
}

impl TimedReader {
    pub fn new(connection: Arc<Connection>) -> TimedReader {
        let watch = Watch::new(connection.slot.opened);
        TimedReader {
            connection,
            timeout: ReadTimeout::new(Instant::now()),
            begun: false,
            yields: false,
            timed_out: false,
            failure: None,
            watch,
        }
    }

    /// Waits for the next message. `begun`: some of it has been read already. `is_first`: the client has asked for nothing yet.
    pub fn expect_message(&mut self, begun: bool, is_first: bool) {
        let now = Instant::now();
        self.timeout.expect_message(now, is_first);
        if begun {
            self.timeout.record_read(now, 0);
        } else {
            self.finish_message();
        }
    }

    /// What was read of the last message has been dealt with.
    fn finish_message(&mut self) {
        if std::mem::take(&mut self.begun) {
            self.yields = false;
            self.connection.slot.finish();
        }
    }

    pub fn has_timed_out(&self) -> bool {
        self.timed_out
    }

    /// The earliest moment at which what was read by now may have arrived.
    pub fn arrived(&self) -> Instant {
        self.watch.earliest()
    }

    /// Why nothing more was read.
    pub fn end_reason(&mut self) -> EndReason {
        match self.failure.take() {
            Some(error) => EndReason::ReadFailed(error),
            None if self.connection.slot.ended_for().is_some() => EndReason::EndedHere,
            None if self.timed_out && self.begun => EndReason::HalfMessage,
            None if self.timed_out => EndReason::Idle,
            None => EndReason::ClientClosed,
        }
    }

    /// Reads. Before the first bytes of a message it has the message count as open: while they are not read, they show that the
    /// connection is not idle, and from then on the message does. So no end is decided between the two.
    fn read_message(&mut self, buffer: &mut [u8]) -> Result<usize, Stop> {
        let connection = self.connection.clone();
        let stream = connection.stream();
        if !self.begun || self.yields {
            // What comes after the end was decided is not sent on.
            let until = self.timeout.until();
            if !stream::wait_for_bytes(stream, until, &mut self.watch)? || !self.claim() {
                return Ok(0);
            }
        }
        let count = stream::read_watched(stream, buffer, self.timeout.until(), &mut self.watch)?;
        if count > 0 {
            self.timeout.record_read(Instant::now(), count);
        }
        Ok(count)
    }

    /// Has the message count as open from now on; false if the connection has ended.
    fn claim(&mut self) -> bool {
        let slot = &self.connection.slot;
        let claimed = match self.begun {
            true => slot.set_yielding(false),
            false => slot.begin_message(),
        };
        if claimed {
            (self.begun, self.yields) = (true, false);
            self.timeout.record_read(Instant::now(), 0);
        }
        claimed
    }

    /// The time is over: whether the read goes on.
    fn goes_on(&mut self, now: Instant) -> bool {
        let slot = &self.connection.slot;
        let has_arrived = has_arrived(self.connection.stream());
        let open = match slot.idle_for(self.begun) {
            Some(idle) => Open::Idle(idle),
            None => Open::Owed,
        };
        match self.timeout.expire(now, open, has_arrived) {
            Expiry::Continue => true,
            Expiry::Yield => {
                self.yields = true;
                slot.set_yielding(true)
            }
            Expiry::Over => false,
        }
    }
}

impl Read for TimedReader {
    fn read(&mut self, buffer: &mut [u8]) -> std::io::Result<usize> {
        loop {
            let now = Instant::now();
            if now >= self.timeout.until() && !self.goes_on(now) {
                self.timed_out = true;
                return Err(ErrorKind::TimedOut.into());
            }
            match self.read_message(buffer) {
                Ok(count) => return Ok(count),
                Err(Stop::TimedOut | Stop::Failing(_)) => {}
                Err(Stop::Over(error)) => {
                    let kind = error.kind();
                    self.failure = Some(error);
                    return Err(kind.into());
                }
            }
        }
    }
}

impl Drop for TimedReader {
    fn drop(&mut self) {
        self.finish_message();
    }
}
