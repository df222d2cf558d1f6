//! What ends a host: a fault of its input, of a router's settings or of its streams.

use crate::wire::Malformed;
use std::{error, fmt, io};

/// Why a host ended before its input did.
#[derive(Debug)]
pub enum HostError {
    /// The input could not be read.
    Read(io::Error),
    /// A reply could not be written.
    Write(io::Error),
    /// The input ends within a header.
    TruncatedHeader {
        /// Bytes of the header that were there.
        offset: usize,
    },
    /// The input ends within a batch's records.
    TruncatedBody {
        /// Bytes of the records that were there.
        offset: usize,
        /// Bytes that the header announced.
        length: usize,
    },
    /// A frame that is not in the wire format.
    Malformed(Malformed),
    /// A router's settings that cannot be used: all faults, on one line.
    Settings(String),
}

impl fmt::Display for HostError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            HostError::Read(error) => write!(f, "reading: {error}"),
            HostError::Write(error) => write!(f, "writing: {error}"),
            HostError::TruncatedHeader { offset } => write!(
                f,
                "malformed frame: header, offset {offset}: the input ends"
            ),
            HostError::TruncatedBody { offset, length } => write!(
                f,
                "malformed frame: body, offset {offset}: the input ends, {length} bytes were due"
            ),
            HostError::Malformed(malformed) => malformed.fmt(f),
            HostError::Settings(faults) => f.write_str(faults),
        }
    }
}

impl error::Error for HostError {
    fn source(&self) -> Option<&(dyn error::Error + 'static)> {
        match self {
            HostError::Read(error) | HostError::Write(error) => Some(error),
            HostError::Malformed(malformed) => Some(malformed),
            HostError::TruncatedHeader { .. }
            | HostError::TruncatedBody { .. }
            | HostError::Settings(_) => None,
        }
    }
}

impl From<Malformed> for HostError {
    fn from(malformed: Malformed) -> HostError {
        HostError::Malformed(malformed)
    }
}
