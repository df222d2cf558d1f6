//! How long a client may take to send. Pure: moments and the state of the connection are passed in.
//!
//! A client may write slowly, and its request counts from its last byte. So what ends a connection is not how long a message
//! takes, but that it stalls, or that it comes at next to no pace; and never while an answer is owed on the connection.

use std::time::{Duration, Instant};

/// A connection on which nothing is asked or owed for this long is closed; clients do so after 4 s.
const IDLE_TIMEOUT: Duration = Duration::from_secs(6);
/// A client that has sent no whole message is owed an answer or a close within 3 s of connecting, whatever it sends.
const FIRST_MESSAGE_TIMEOUT: Duration = Duration::from_millis(2_500);
/// A message that stalls for this long, with nothing else open on its connection, makes way for a newcomer.
const YIELD_AFTER: Duration = FIRST_MESSAGE_TIMEOUT;
/// Pace that a message needs in the mean (bytes a second), beyond the time that its first bytes may take.
const MIN_PACE: u32 = 1024;
/// Longest time from a message's first byte to its last.
const MESSAGE_TIMEOUT: Duration = Duration::from_secs(60);
/// How often a connection with an overdue message is looked at while an answer is owed on it.
const RECHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Time for a read of what has arrived already.
const READ_NOW: Duration = Duration::from_millis(1);

/// What is open on a connection, apart from the message that is being read.
#[derive(Clone, Copy, Debug)]
pub(super) enum Open {
    /// An answer is owed.
    Owed,
    /// Nothing has been open for this long.
    Idle(Duration),
}

/// What follows when the time to send is over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Expiry {
    /// The read goes on until [`ReadTimeout::until`].
    Continue,
    /// As [`Expiry::Continue`], but the connection may be ended for a newcomer until more arrives.
    Yield,
    /// The client has had its time.
    Over,
}

/// A message of which some bytes have come.
#[derive(Clone, Copy, Debug)]
struct PartialMessage {
    began: Instant,
    last_read: Instant,
    received: usize,
}

/// Decides until when the next bytes of a connection are waited for.
#[derive(Debug)]
pub(super) struct ReadTimeout {
    /// How long nothing may come.
    patience: Duration,
    message: Option<PartialMessage>,
    until: Instant,
}

impl ReadTimeout {
    /// Of a connection that comes up now.
    pub fn new(now: Instant) -> ReadTimeout {
        ReadTimeout {
            patience: FIRST_MESSAGE_TIMEOUT,
            message: None,
            until: now + FIRST_MESSAGE_TIMEOUT,
        }
    }

    /// A message is waited for. `is_first`: the client has asked for nothing yet.
    pub fn expect_message(&mut self, now: Instant, is_first: bool) {
        self.patience = if is_first {
            FIRST_MESSAGE_TIMEOUT
        } else {
            IDLE_TIMEOUT
        };
        self.message = None;
        self.until = now + self.patience;
    }

    /// Some bytes of a message have come, or it begins with bytes that came with the one before.
    pub fn record_read(&mut self, now: Instant, count: usize) {
        let message = self.message.get_or_insert(PartialMessage {
            began: now,
            last_read: now,
            received: 0,
        });
        message.last_read = now;
        message.received += count;
        let message = *message;
        self.until = self.next_look(message);
    }

    /// When [`ReadTimeout::expire`] is to be called, unless bytes come before.
    pub fn until(&self) -> Instant {
        self.until
    }

    /// The wait until [`ReadTimeout::until`] is over. `has_arrived`: bytes stand unread, as this thread came late to them.
    pub fn expire(&mut self, now: Instant, open: Open, has_arrived: bool) -> Expiry {
        match self.message {
            Some(message) => self.expire_message(message, now, open, has_arrived),
            None => self.expire_pause(now, open, has_arrived),
        }
    }

    fn expire_message(
        &mut self,
        message: PartialMessage,
        now: Instant,
        open: Open,
        has_arrived: bool,
    ) -> Expiry {
        let deadline = self.message_deadline(message);
        if matches!(open, Open::Owed) {
            // The connection stays for its answer in any case: until then the message may still become whole.
            self.until = now + RECHECK_INTERVAL;
            return Expiry::Continue;
        }
        if has_arrived && now < message.began + MESSAGE_TIMEOUT {
            self.until = now + READ_NOW;
            return Expiry::Continue;
        }
        if now >= deadline {
            return Expiry::Over;
        }
        self.until = deadline;
        Expiry::Yield
    }

    /// Between two messages.
    fn expire_pause(&mut self, now: Instant, open: Open, has_arrived: bool) -> Expiry {
        let left = match open {
            Open::Owed => self.patience,
            Open::Idle(idle) => self.patience.saturating_sub(idle),
        };
        if !left.is_zero() {
            self.until = now + left;
        } else if has_arrived {
            self.until = now + READ_NOW;
        } else {
            return Expiry::Over;
        }
        Expiry::Continue
    }

    fn message_deadline(&self, message: PartialMessage) -> Instant {
        let stalled = message.last_read + self.patience;
        let received = u32::try_from(message.received).unwrap_or(u32::MAX);
        let slow = message.began + self.patience + Duration::from_secs(1) * received / MIN_PACE;
        stalled.min(slow).min(message.began + MESSAGE_TIMEOUT)
    }

    fn next_look(&self, message: PartialMessage) -> Instant {
        let stalls = message.last_read + YIELD_AFTER;
        self.message_deadline(message).min(stalls)
    }
}

#[cfg(test)]
mod tests;
