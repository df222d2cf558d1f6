//! The state of one key, and its stored form.

use crate::token::KeyHash;
use crate::Millis;

/// How an attempt ended, as far as it is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// It has certainly not been executed.
    NotExecuted,
    /// It may have been executed: nothing proves that it was not.
    MayHaveExecuted,
}

/// The state of one key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Entry {
    /// The last attempt's number, from 0.
    pub attempt: u8,
    /// Whether the end of the last attempt is unknown.
    pub in_flight: bool,
    /// Time after which no attempt can be running, however it ended.
    pub running_until: Millis,
    /// Issue time and group of the first attempt that may have been executed.
    pub may_have_run: Option<(Millis, u32)>,
    /// The request of the last attempt; unique over all instances.
    pub request: KeyHash,
    /// The group of caches of the last attempt.
    pub group: u32,
    /// When the last attempt was issued.
    pub issued_at: Millis,
    /// Time from which no retry of the key can come.
    pub evict_at: Millis,
}

/// Version of the stored form.
const STORED_VERSION: u8 = 2;
/// Length of the stored form (bytes).
pub const STORED_LENGTH: usize = 2 + 8 * 4 + 4 * 2 + 1 + 16;

impl Entry {
    /// Encodes the stored form.
    pub fn to_bytes(&self) -> [u8; STORED_LENGTH] {
        let (ran_flag, first, ran_group) = self
            .may_have_run
            .map_or((0, 0, 0), |(at, group)| (2, at, group));
        let mut bytes = [0; STORED_LENGTH];
        let parts: [&[u8]; 8] = [
            &[
                STORED_VERSION,
                self.attempt,
                self.in_flight as u8 | ran_flag,
            ],
            &self.running_until.to_be_bytes(),
            &first.to_be_bytes(),
            &ran_group.to_be_bytes(),
            &self.group.to_be_bytes(),
            &self.issued_at.to_be_bytes(),
            &self.evict_at.to_be_bytes(),
            &self.request.0,
        ];
        let mut at = 0;
        for part in parts {
            bytes[at..at + part.len()].copy_from_slice(part);
            at += part.len();
        }
        bytes
    }

    /// Decodes the stored form; `None` if it is of another version, of another length, or has unknown flags.
    pub fn from_bytes(bytes: &[u8]) -> Option<Entry> {
        let bytes: &[u8; STORED_LENGTH] = bytes.try_into().ok()?;
        let u64_at = |at: usize| u64::from_be_bytes(bytes[at..at + 8].try_into().expect("8 bytes"));
        let u32_at = |at: usize| u32::from_be_bytes(bytes[at..at + 4].try_into().expect("4 bytes"));
        let flags = bytes[2];
        if bytes[0] != STORED_VERSION || flags > 3 {
            return None;
        }
        Some(Entry {
            attempt: bytes[1],
            in_flight: flags & 1 != 0,
            running_until: u64_at(3),
            may_have_run: (flags & 2 != 0).then(|| (u64_at(11), u32_at(19))),
            group: u32_at(23),
            issued_at: u64_at(27),
            evict_at: u64_at(35),
            request: KeyHash(bytes[43..59].try_into().expect("16 bytes")),
        })
    }
}
