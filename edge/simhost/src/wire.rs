//! The simulator's frames: batches of events in, replies of actions out. Little-endian, without padding.

mod events;
mod reader;
mod reply;

use foldmux::interface::{AttemptReport, CacheId, Event, Time};
use reader::Reader;
pub use reply::Reply;
use std::{error, fmt};

/// Length of a batch's header in bytes.
pub const HEADER_LEN: usize = 16;
/// Where the header has the length of what follows it.
const LENGTH_OFFSET: usize = 8;
/// Length of the number of records, which the announced length includes.
const RECORD_COUNT_LEN: usize = 4;

/// What is wrong with a frame: where, and why.
#[derive(Debug, PartialEq)]
pub struct Malformed {
    /// The record's index in its batch; none where the header is wrong.
    pub record: Option<u32>,
    /// Offset in bytes, from the start of the header or else of the batch's records.
    pub offset: usize,
    /// What is wrong there.
    pub reason: String,
}

impl fmt::Display for Malformed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("malformed frame: ")?;
        match self.record {
            Some(record) => write!(f, "record {record}")?,
            None => f.write_str("header")?,
        }
        write!(f, ", offset {}: {}", self.offset, self.reason)
    }
}

impl error::Error for Malformed {}

/// The header of a batch.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Header {
    /// The batch's time.
    pub now: Time,
    /// Length of the records in bytes.
    pub length: usize,
    /// Number of records.
    pub records: u32,
}

impl Header {
    /// Decodes a header.
    ///
    /// # Errors
    ///
    /// An announced length that does not include the number of records.
    pub fn decode(bytes: &[u8; HEADER_LEN]) -> Result<Header, Malformed> {
        let word = |at: usize| u32::from_le_bytes(std::array::from_fn(|k| bytes[at + k]));
        let announced = word(LENGTH_OFFSET);
        let Some(length) = (announced as usize).checked_sub(RECORD_COUNT_LEN) else {
            return Err(Malformed {
                record: None,
                offset: LENGTH_OFFSET,
                reason: format!("length {announced} is under {RECORD_COUNT_LEN}"),
            });
        };
        Ok(Header {
            now: u64::from_le_bytes(std::array::from_fn(|k| bytes[k])),
            length,
            records: word(LENGTH_OFFSET + RECORD_COUNT_LEN),
        })
    }
}

/// A record of a batch.
#[derive(Debug)]
pub enum Incoming {
    /// A router starts.
    Start {
        /// Seeds its random draws.
        seed: u64,
        /// Its settings as JSON.
        settings: String,
    },
    /// A router stops.
    Stop,
    /// An event of a router.
    Event(Event),
    /// An attempt at a cache ended.
    AttemptEnded {
        /// How it ended.
        report: AttemptReport,
        /// The cache.
        cache: CacheId,
        /// The load report that came with the response; empty without one.
        load: Vec<f32>,
    },
    /// A health check ended.
    HealthChecked {
        /// The server that was checked.
        cache: CacheId,
        /// Whether it responded.
        ok: bool,
        /// How long the check took.
        elapsed: Time,
        /// The load report; empty where the check failed.
        report: Vec<f32>,
    },
}

/// The records of a batch, each with its router's instance number. Records of unknown codes are skipped.
///
/// # Errors
///
/// The first record that is truncated or has a value of no meaning, or bytes after the last record.
pub fn decode(body: &[u8], records: u32) -> Result<Vec<(u32, Incoming)>, Malformed> {
    let mut decoded = Vec::new();
    let mut at = 0;
    for record in 0..records {
        let mut header = Reader::new(body, at, record);
        let code = header.u8()?;
        let length = header.u32()? as usize;
        let start = header.offset();
        header.take(length)?;
        at = start + length;
        let mut fields = Reader::new(&body[..at], start, record);
        decoded.extend(events::decode(code, &mut fields)?);
    }
    if at != body.len() {
        return Err(Malformed {
            record: None,
            offset: at,
            reason: format!("{} bytes after the last record", body.len() - at),
        });
    }
    Ok(decoded)
}
