//! Writing to a connection: short messages, and the bodies of answers.
//!
//! A client may read slowly: what it is sent is written for as long as it takes some of it. Only a client that takes nothing,
//! or next to nothing, for a while loses its connection, with all that is open on it.

use super::connection::Connection;
use super::end::EndReason;
use super::outbound::{Body, NoTurn, Turn};
use super::SEND_BUFFER_SIZE;
use foldmux_core::buffers::Buffer;
use foldmux_sockets::stream::{self, Stop};
use std::ops::Range;
use std::time::{Duration, Instant};

/// How long a client may take nothing of a message that has begun: as long as a client waits for an answer, by the platform's
/// count of the longest deadline.
const STALL_TIMEOUT: Duration = Duration::from_secs(3);
/// Bytes a second that a client must take in the mean, beyond one stall, so that no message holds its buffer for good.
const MIN_PACE: usize = 16 * 1024;
/// How long past its call's deadline a body may be written, whether or not its client takes any of it.
const GRACE: Duration = Duration::from_millis(500);

/// A message with a body, in the buffer that the body was read into.
pub(super) struct BodyMessage {
    pub buffer: Buffer,
    pub range: Range<usize>,
}

impl BodyMessage {
    pub fn bytes(&self) -> &[u8] {
        &self.buffer[self.range.clone()]
    }
}

/// What became of a body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Delivery {
    /// It was written, or the connection has ended in it.
    Done,
    /// It can't be in time, and nothing of it was written. Its call is closed, and owed a short message.
    TooLate,
    /// Its client gave the call up, or the connection has ended.
    Unwanted,
}

/// How a write of a message ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Written {
    Whole,
    /// Calls failed until its time was over, and nothing of it was written.
    NotBegun,
    /// The connection has ended.
    Broken,
}

impl Connection {
    /// Sends a message of the reader's own. Called while the message that it answers counts as open on the connection. Blocks
    /// while too many are queued: a client that does not read is not read from.
    pub fn tell(&self, message: Vec<u8>) {
        self.outbound.wait_for_room(|| self.is_broken());
        self.slot.begin_response();
        self.send_short(message);
    }

    /// Sends a short message that is owed: writes it, or leaves it to whoever writes.
    pub fn send_short(&self, message: Vec<u8>) {
        if let Some(turn) = self.outbound.push_short(message) {
            self.write_queued(turn);
        }
    }

    /// Sends the answer to a call with a body, when its turn comes, and closes the call. The buffer is given back as soon as
    /// it is not needed any more.
    pub fn send_body(&self, id: u32, message: BodyMessage, deadline: Instant) -> Delivery {
        let body = Body {
            length: message.range.len(),
            held: SEND_BUFFER_SIZE,
            deadline: &|| self.latest(deadline),
            is_wanted: &|| !self.is_broken() && self.is_open(id),
        };
        let turn = self.outbound.wait_for_turn(&body);
        // From here on the client can't give it up any more: it would get a second answer.
        let is_owed = self.close(id).is_some() && !self.is_broken();
        match turn {
            Ok(turn) if is_owed => self.write_body(turn, message, deadline),
            Ok(turn) => {
                drop(message);
                self.write_queued(turn);
                Delivery::Unwanted
            }
            Err(NoTurn::TooLate) if is_owed => Delivery::TooLate,
            Err(NoTurn::TooLate | NoTurn::Unwanted) => Delivery::Unwanted,
        }
    }

    fn write_body(&self, turn: Turn, message: BodyMessage, deadline: Instant) -> Delivery {
        let began = Instant::now();
        let written = self.write_whole(message.bytes(), deadline + GRACE);
        turn.record_write(message.range.len(), began.elapsed());
        drop(message);
        let delivery = match written {
            Written::NotBegun => Delivery::TooLate,
            Written::Whole | Written::Broken => {
                self.slot.finish();
                Delivery::Done
            }
        };
        self.write_queued(turn);
        delivery
    }

    /// Writes the short messages that are queued, and those that come meanwhile.
    fn write_queued(&self, mut turn: Turn) {
        while let Some(message) = turn.next_short() {
            self.write_whole(&message, Instant::now() + STALL_TIMEOUT);
            self.slot.finish();
        }
    }

    /// Writes a message until `until`, and beyond as long as the client takes some of it. A client that does not loses its
    /// connection: the rest of a cut message would be read as something else.
    fn write_whole(&self, message: &[u8], until: Instant) -> Written {
        let began = Instant::now();
        let longest = Duration::from_secs((message.len() / MIN_PACE) as u64) + STALL_TIMEOUT;
        let mut left = message;
        while !left.is_empty() && !self.is_broken() {
            let stalled = (Instant::now() + STALL_TIMEOUT).min(began + longest);
            match stream::write(self.stream(), left, until.max(stalled)) {
                Ok(count) => left = &left[count..],
                // Not for the client's sake, and the client can read on: what else is open on the connection is not lost.
                Err(Stop::Failing(_)) if left.len() == message.len() => return Written::NotBegun,
                Err(Stop::TimedOut) => self.fail(EndReason::NotTaken),
                Err(Stop::Over(error) | Stop::Failing(error)) => {
                    self.fail(EndReason::WriteFailed(error))
                }
            }
        }
        if left.is_empty() {
            Written::Whole
        } else {
            Written::Broken
        }
    }
}
