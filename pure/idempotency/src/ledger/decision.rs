//! What a class allows of its keyed requests, and what is decided of an attempt.

use crate::Millis;
use std::fmt;

/// What a class allows of its keyed requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rule {
    /// For so long after its first run the archive drops a repeat.
    pub window: Millis,
    /// Attempts of one key, all proxies together, as far as they are known here.
    pub attempts: u8,
    /// How long after it was handed out an attempt may be sent.
    pub good_for: Millis,
    /// How long an attempt may run after it was sent.
    pub runs_for: Millis,
    /// A key's repeat may come for so long after its last attempt.
    pub remember: Millis,
}

/// Where an attempt may go. `first`: when the first attempt that may have run was handed out; `expires`: until when this
/// one may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Grant {
    /// The first, or all before it are proved not to have run: anywhere.
    Anywhere {
        attempt: u8,
        first: Millis,
        expires: Millis,
    },
    /// One may have run: only within its group.
    Within {
        attempt: u8,
        group: u32,
        first: Millis,
        expires: Millis,
    },
}

/// Why no attempt may be handed out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// An attempt is out, or may still be running; come back then.
    Running { until: Millis },
    /// Another request under this key is being placed this moment.
    Deciding,
    /// One may have run, and the archive no longer drops a repeat.
    WindowOver,
    /// All attempts that the class allows are used.
    TooMany,
    /// Attempts at two instances may have run, in two groups.
    Torn,
    /// What was written of this key can't be read: an attempt may have run, and nothing more is known of it.
    Unread,
    /// The token is of an attempt that another has followed.
    Replayed,
    /// The token is of another key.
    OtherKey,
    /// The ledger holds as many keys as it may.
    Full,
}

impl Refusal {
    /// Whether an attempt of this key may have run: the refusal must not tell the client that nothing did.
    pub fn may_have_run(self) -> bool {
        !matches!(self, Refusal::Full | Refusal::OtherKey | Refusal::Deciding)
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Refusal::Running { until } => write!(f, "an attempt may be running until {until}"),
            Refusal::Deciding => f.write_str("another request under this key is being placed"),
            Refusal::WindowOver => {
                f.write_str("an attempt may have run, and a repeat would run again")
            }
            Refusal::TooMany => f.write_str("all attempts are used"),
            Refusal::Torn => f.write_str("attempts may have run in two groups"),
            Refusal::Unread => f.write_str("what was written of this key can't be read"),
            Refusal::Replayed => f.write_str("the token's attempt has been followed by another"),
            Refusal::OtherKey => f.write_str("the token is of another key"),
            Refusal::Full => f.write_str("the ledger of keyed attempts is full"),
        }
    }
}
