//! Reading from a connection with bounded patience. Guards against one that says nothing, or sends half a message,
//! keeping its place.

use super::connection::Connection;
use super::end::EndReason;
use crate::closing::has_arrived;
use foldmux_sockets::stream::{self, Stop};
use foldmux_sockets::watch::Watch;
use std::io::{ErrorKind, Read};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// A connection that neither asks nor awaits anything for so long is closed; clients do so after 4 s.
const IDLE: Duration = Duration::from_secs(6);
/// For the first message, and for the rest of any message that has begun: a client is owed a word or a close
/// within 3 s, whatever it sends.
const HALF: Duration = Duration::from_millis(2_500);

/// For a read of what has arrived already.
const AT_ONCE: Duration = Duration::from_millis(1);

pub(super) struct Patient {
    connection: Arc<Connection>,
    /// A message has begun, and counts as open on the connection.
    begun: bool,
    /// How long nothing may come.
    patience: Duration,
    until: Instant,
    /// What was waited for did not come whole in time.
    late: bool,
    /// Why nothing more could be read, where a call failed.
    failure: Option<std::io::Error>,
    /// When what was read may have arrived.
    watch: Watch,
}

impl Patient {
    pub fn new(connection: Arc<Connection>) -> Patient {
        let watch = Watch::new(connection.place.opened);
        let until = Instant::now();
        Patient {
            connection,
            begun: false,
            patience: HALF,
            until,
            late: false,
            failure: None,
            watch,
        }
    }

    /// A message is waited for. `begun`: some of it has been read already. `asked`: it is not the first.
    pub fn next(&mut self, begun: bool, asked: bool) {
        if !begun {
            self.stop();
        }
        self.patience = if begun || !asked { HALF } else { IDLE };
        self.until = Instant::now() + self.patience;
    }

    /// What was read of the last message has been dealt with.
    pub fn stop(&mut self) {
        if std::mem::take(&mut self.begun) {
            self.connection.place.done();
        }
    }

    pub fn is_late(&self) -> bool {
        self.late
    }

    /// The earliest moment at which what was read by now may have arrived.
    pub fn arrived(&self) -> Instant {
        self.watch.earliest()
    }

    /// Why nothing more was read.
    pub fn end_reason(&mut self) -> EndReason {
        match self.failure.take() {
            Some(error) => EndReason::ReadFailed(error),
            None if self.connection.place.ended_for().is_some() => EndReason::EndedHere,
            None if self.late && self.begun => EndReason::HalfMessage,
            None if self.late => EndReason::Idle,
            None => EndReason::ClientClosed,
        }
    }

    /// Reads, and before the first bytes of a message has it count as open: while they are not read, they show that the
    /// connection is not idle, and from then on the message does. So no end is decided between the two.
    fn read_begun(&mut self, buffer: &mut [u8]) -> Result<usize, Stop> {
        let stream = self.connection.stream();
        if !self.begun {
            // What comes after the end was decided is not sent on.
            if !stream::wait_for_bytes(stream, self.until, &mut self.watch)?
                || !self.connection.place.begin()
            {
                return Ok(0);
            }
            (self.begun, self.until) = (true, Instant::now() + HALF);
        }
        stream::read_watched(stream, buffer, self.until, &mut self.watch)
    }

    /// The time is over: whether the connection has its answers still to wait for, or to follow on.
    fn waits_on(&mut self, now: Instant) -> bool {
        if self.begun {
            return false;
        }
        let left = match self.connection.place.idle_for() {
            None => self.patience,
            Some(idle) => self.patience.saturating_sub(idle),
        };
        // What has arrived meanwhile is read, however late this thread comes to it.
        let arrived = left.is_zero() && has_arrived(self.connection.stream());
        self.until = now + if arrived { AT_ONCE } else { left };
        arrived || !left.is_zero()
    }
}

impl Read for Patient {
    fn read(&mut self, buffer: &mut [u8]) -> std::io::Result<usize> {
        loop {
            let now = Instant::now();
            if now >= self.until && !self.waits_on(now) {
                self.late = true;
                return Err(ErrorKind::TimedOut.into());
            }
            match self.read_begun(buffer) {
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

impl Drop for Patient {
    fn drop(&mut self) {
        self.stop();
    }
}
