//! The retry policy of a class of keyed requests, and the decision on one attempt.

use crate::Millis;
use std::fmt;

/// The retry policy of a class of keyed requests; all durations are in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryPolicy {
    /// How long after the first execution the origin drops duplicates.
    pub idempotency_window: Millis,
    /// Maximum number of attempts of one key over all proxies, as far as they are known here.
    pub max_attempts: u8,
    /// How long after its issue an attempt may be sent.
    pub send_window: Millis,
    /// How long an attempt may run after its latest send time.
    pub max_run_time: Millis,
    /// How long after the end of its last attempt a retry of a key may come.
    pub retention: Millis,
}

/// Where an attempt may go.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Grant {
    /// To any group: no earlier attempt can have been executed.
    Anywhere {
        /// The attempt's number, from 0.
        attempt: u8,
        /// When the attempt was granted.
        first: Millis,
        /// Until when it may be sent.
        expires: Millis,
    },
    /// Only to the group of an earlier attempt that may have been executed.
    Within {
        /// The attempt's number, from 0.
        attempt: u8,
        /// The group of caches.
        group: u32,
        /// When the first attempt that may have been executed was issued.
        first: Millis,
        /// Until when it may be sent.
        expires: Millis,
    },
}

/// Why no attempt is granted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Denied {
    /// An attempt is in flight, or may still be running.
    InFlight {
        /// Time from which none can be running.
        until: Millis,
    },
    /// Another request with this key has a grant that is not issued yet.
    Pending,
    /// An attempt may have been executed, and the origin no longer drops duplicates of it.
    WindowExpired,
    /// All attempts that the class allows are used.
    AttemptsExhausted,
    /// Attempts of two instances may have been executed in two groups.
    ConflictingGroups,
    /// The stored entry can't be read: an attempt may have been executed, but nothing more is known.
    Unreadable,
    /// The token is of an attempt that another has followed.
    Superseded,
    /// The token is of another key.
    KeyMismatch,
    /// The table has reached its maximum number of keys.
    TableFull,
}

impl Denied {
    /// Returns whether an attempt of the key may have been executed, so that the client must not be told that none was.
    pub fn may_have_run(self) -> bool {
        !matches!(
            self,
            Denied::TableFull | Denied::KeyMismatch | Denied::Pending
        )
    }
}

impl fmt::Display for Denied {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Denied::InFlight { until } => write!(f, "an attempt may be running until {until}"),
            Denied::Pending => f.write_str("another request under this key is being placed"),
            Denied::WindowExpired => {
                f.write_str("an attempt may have run, and a repeat would run again")
            }
            Denied::AttemptsExhausted => f.write_str("all attempts are used"),
            Denied::ConflictingGroups => f.write_str("attempts may have run in two groups"),
            Denied::Unreadable => f.write_str("what was written of this key can't be read"),
            Denied::Superseded => f.write_str("the token's attempt has been followed by another"),
            Denied::KeyMismatch => f.write_str("the token is of another key"),
            Denied::TableFull => f.write_str("the ledger of keyed attempts is full"),
        }
    }
}
