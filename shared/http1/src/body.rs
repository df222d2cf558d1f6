//! The body of one answer as a stream, for bodies that are longer than a buffer should be.

use crate::answer::{read_head, Length};
use crate::bounds::{Broken, MOST_HEAD};
use crate::io::read_some;
use std::io::{self, Read};
use std::net::TcpStream;
use std::ops::Range;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

/// Bytes that are read behind a body of known length: one shows that there are some.
const SURPLUS_READ: usize = 1;
/// The line end behind a chunk's bytes.
const CHUNK_END: &[u8] = b"\r\n";

/// What of the body is still to come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Remaining {
    /// This many bytes of a body whose length the head told.
    Known(usize),
    /// The size line of the next chunk.
    ChunkSize,
    /// This many bytes of a chunk, and its line end.
    Chunk(usize),
    /// Nothing.
    Ended,
}

/// Reads the body of one answer piece by piece. The end of the body is the end of the reader; a body that is cut off or
/// can't be read is an error, and [`BodyReader::broken`] tells which.
pub struct BodyReader<'a> {
    stream: &'a TcpStream,
    buffer: Vec<u8>,
    /// What of the buffer was read from the stream and is not handed out yet.
    buffered: Range<usize>,
    remaining: Remaining,
    /// Longest time without another byte.
    stall_time: Duration,
    /// Counts the bytes that have come, for those who watch whether any do.
    received: &'a AtomicU64,
    status: u16,
    keep_alive: bool,
    broken: Option<Broken>,
}

impl<'a> BodyReader<'a> {
    /// Reads the head of an answer until `deadline`. Each later read may take `stall_time`; `received` counts the bytes
    /// of the body.
    ///
    /// # Errors
    ///
    /// Returns how the connection broke, or that what came is no answer.
    pub fn read_head(
        stream: &'a TcpStream,
        deadline: Instant,
        stall_time: Duration,
        received: &'a AtomicU64,
    ) -> Result<BodyReader<'a>, Broken> {
        let (mut buffer, mut filled) = (vec![0; MOST_HEAD], 0);
        let (response, length) =
            read_head(stream, &mut buffer, &mut filled, deadline, &mut |_, _| ())?;
        let remaining = match length {
            Length::Known(0) => Remaining::Ended,
            Length::Known(length) => Remaining::Known(length),
            Length::Chunked => Remaining::ChunkSize,
        };
        Ok(BodyReader {
            stream,
            buffer,
            buffered: response.body.start..filled,
            remaining,
            stall_time,
            received,
            status: response.status,
            keep_alive: response.reusable,
            broken: None,
        })
    }

    /// The status of the answer.
    pub fn status(&self) -> u16 {
        self.status
    }

    /// How the body broke off; `None` if it has not.
    pub fn broken(&self) -> Option<Broken> {
        self.broken
    }

    /// Whether the connection may carry another request: the body was read to its end, nothing has come behind it, and
    /// the head allows it.
    pub fn is_reusable(&self) -> bool {
        self.keep_alive && self.remaining == Remaining::Ended && self.buffered.is_empty()
    }

    /// The bytes that may be handed out at once; empty at the end of the body.
    fn available(&mut self) -> Result<usize, Broken> {
        loop {
            match self.remaining {
                Remaining::Ended => return Ok(0),
                Remaining::Known(left) | Remaining::Chunk(left) if !self.buffered.is_empty() => {
                    if left > 0 {
                        return Ok(left.min(self.buffered.len()));
                    }
                    self.end_chunk()?;
                }
                Remaining::Known(left) => self.read_more(left + SURPLUS_READ)?,
                Remaining::Chunk(_) => self.read_more(MOST_HEAD)?,
                Remaining::ChunkSize => self.begin_chunk()?,
            }
        }
    }

    fn read_more(&mut self, most: usize) -> Result<(), Broken> {
        self.buffer.copy_within(self.buffered.clone(), 0);
        self.buffered = 0..self.buffered.len();
        let most = most
            .saturating_add(self.buffered.end)
            .min(self.buffer.len());
        let free = &mut self.buffer[self.buffered.end..most];
        if free.is_empty() {
            return Err(Broken::Unreadable);
        }
        let count = read_some(self.stream, free, Instant::now() + self.stall_time)?;
        if count == 0 {
            return Err(Broken::Reset);
        }
        self.received.fetch_add(count as u64, Ordering::Relaxed);
        self.buffered.end += count;
        Ok(())
    }

    fn begin_chunk(&mut self) -> Result<(), Broken> {
        let line = &self.buffer[self.buffered.clone()];
        // Guards against a line without a size, which would read as the last chunk.
        if line.first().is_some_and(|byte| !byte.is_ascii_hexdigit()) {
            return Err(Broken::Unreadable);
        }
        match httparse::parse_chunk_size(line) {
            Ok(httparse::Status::Complete((length, size))) => {
                let size = usize::try_from(size).map_err(|_| Broken::Unreadable)?;
                self.buffered.start += length;
                self.remaining = Remaining::Chunk(size);
                if size == 0 {
                    self.end_chunk()?;
                    self.remaining = Remaining::Ended;
                }
                Ok(())
            }
            Ok(httparse::Status::Partial) => self.read_more(MOST_HEAD),
            Err(_) => Err(Broken::Unreadable),
        }
    }

    /// Passes over the line end behind a chunk. Trailers, which nobody here sends, are unreadable.
    fn end_chunk(&mut self) -> Result<(), Broken> {
        while self.buffered.len() < CHUNK_END.len() {
            self.read_more(MOST_HEAD)?;
        }
        if !self.buffer[self.buffered.clone()].starts_with(CHUNK_END) {
            return Err(Broken::Unreadable);
        }
        self.buffered.start += CHUNK_END.len();
        self.remaining = Remaining::ChunkSize;
        Ok(())
    }

    fn hand_out(&mut self, to: &mut [u8], available: usize) -> usize {
        let count = available.min(to.len());
        let start = self.buffered.start;
        to[..count].copy_from_slice(&self.buffer[start..start + count]);
        self.buffered.start += count;
        self.remaining = match self.remaining {
            Remaining::Known(left) if left == count => Remaining::Ended,
            Remaining::Known(left) => Remaining::Known(left - count),
            Remaining::Chunk(left) => Remaining::Chunk(left - count),
            other => other,
        };
        count
    }
}

impl Read for BodyReader<'_> {
    fn read(&mut self, to: &mut [u8]) -> io::Result<usize> {
        if let Some(broken) = self.broken {
            return Err(io::Error::other(format!("{broken:?}")));
        }
        match self.available() {
            Ok(available) => Ok(self.hand_out(to, available)),
            Err(broken) => {
                self.broken = Some(broken);
                Err(io::Error::other(format!("{broken:?}")))
            }
        }
    }
}

#[cfg(test)]
mod tests;
