//! Hosts foldmux routers on the simulator's wire format. It translates and decides nothing.
//!
//! The simulator sends batches of events for many routers and gets the routers' actions back, one reply a
//! batch, all in virtual time. [`wire`] is the format, [`host`] the routers.

#![warn(missing_docs)]

pub mod error;
pub mod host;
pub mod wire;

pub use error::HostError;
use host::Host;
use std::io::{self, Read, Write};

/// Plays batches until the input ends.
///
/// # Errors
///
/// The first fault of the input, of a router's settings or of the streams.
pub fn run(input: impl Read, output: impl Write) -> Result<(), HostError> {
    run_on(Host::default(), input, output)
}

/// Plays batches on a host that was set up before.
///
/// # Errors
///
/// As [`run`].
pub fn run_on(
    mut host: Host,
    mut input: impl Read,
    mut output: impl Write,
) -> Result<(), HostError> {
    let mut header = [0u8; wire::HEADER_LEN];
    let mut body = Vec::new();
    while let Some(batch) = read_header(&mut input, &mut header)? {
        read_body(&mut input, &mut body, batch.length)?;
        let reply = host.play(batch.now, &body, batch.records)?;
        output
            .write_all(&reply)
            .and_then(|()| output.flush())
            .map_err(HostError::Write)?;
    }
    Ok(())
}

/// The next batch's header; none at the end of the input.
fn read_header(
    input: &mut impl Read,
    header: &mut [u8; wire::HEADER_LEN],
) -> Result<Option<wire::Header>, HostError> {
    let read = fill(input, header).map_err(HostError::Read)?;
    if read == 0 {
        return Ok(None);
    }
    if read < header.len() {
        return Err(HostError::TruncatedHeader { offset: read });
    }
    Ok(Some(wire::Header::decode(header)?))
}

fn read_body(input: &mut impl Read, body: &mut Vec<u8>, length: usize) -> Result<(), HostError> {
    body.clear();
    let read = input
        .take(length as u64)
        .read_to_end(body)
        .map_err(HostError::Read)?;
    if read < length {
        return Err(HostError::TruncatedBody {
            offset: read,
            length,
        });
    }
    Ok(())
}

/// Reads until the buffer is full or the input ends; gives the number of bytes read.
fn fill(input: &mut impl Read, buffer: &mut [u8]) -> io::Result<usize> {
    let mut filled = 0;
    while filled < buffer.len() {
        match input.read(&mut buffer[filled..]) {
            Ok(0) => break,
            Ok(read) => filled += read,
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            Err(error) => return Err(error),
        }
    }
    Ok(filled)
}
