//! The record of one key's attempts, and its form in a store.

use crate::token::Mark;
use crate::Millis;

/// How an attempt ended, as far as anyone can tell.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// It is proved that the archive never ran it.
    NeverRan,
    /// Nothing proves that it did not run.
    MayHaveRun,
}

/// What is known of one key. Plain values, so that a store can keep them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Entry {
    /// The last attempt's number, from 0.
    pub attempt: u8,
    /// Whether the last attempt's end is still unknown.
    pub out: bool,
    /// No attempt is running after this, whatever became of it.
    pub quiet_at: Millis,
    /// The first attempt that may have run: when it was handed out, and its group.
    pub ran: Option<(Millis, u32)>,
    /// The request that the last attempt was of: unlike any other's, also at another instance.
    pub request: Mark,
    /// Where the attempt that is out was sent.
    pub group: u32,
    /// When the last attempt was handed out.
    pub handed: Millis,
    /// From then on no repeat of the key can come.
    pub forget_at: Millis,
}

/// Version of an entry as it is stored.
const STORED: u8 = 2;
/// Length of an entry as it is stored, in bytes.
pub const STORED_LENGTH: usize = 2 + 8 * 4 + 4 * 2 + 1 + 16;

impl Entry {
    /// The entry as a store keeps it.
    pub fn to_bytes(&self) -> [u8; STORED_LENGTH] {
        let (ran, first, ran_group) = self.ran.map_or((0, 0, 0), |(at, group)| (2, at, group));
        let mut bytes = [0; STORED_LENGTH];
        let parts: [&[u8]; 8] = [
            &[STORED, self.attempt, self.out as u8 | ran],
            &self.quiet_at.to_be_bytes(),
            &first.to_be_bytes(),
            &ran_group.to_be_bytes(),
            &self.group.to_be_bytes(),
            &self.handed.to_be_bytes(),
            &self.forget_at.to_be_bytes(),
            &self.request.0,
        ];
        let mut at = 0;
        for part in parts {
            bytes[at..at + part.len()].copy_from_slice(part);
            at += part.len();
        }
        bytes
    }

    /// None where it is not what [`Entry::to_bytes`] made.
    pub fn from_bytes(bytes: &[u8]) -> Option<Entry> {
        let bytes: &[u8; STORED_LENGTH] = bytes.try_into().ok()?;
        let long = |at: usize| u64::from_be_bytes(bytes[at..at + 8].try_into().expect("8 bytes"));
        let short = |at: usize| u32::from_be_bytes(bytes[at..at + 4].try_into().expect("4 bytes"));
        let flags = bytes[2];
        if bytes[0] != STORED || flags > 3 {
            return None;
        }
        Some(Entry {
            attempt: bytes[1],
            out: flags & 1 != 0,
            quiet_at: long(3),
            ran: (flags & 2 != 0).then(|| (long(11), short(19))),
            group: short(23),
            handed: long(27),
            forget_at: long(35),
            request: Mark(bytes[43..59].try_into().expect("16 bytes")),
        })
    }
}
