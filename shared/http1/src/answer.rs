//! One answer read whole into one buffer, or its head alone.

mod head;

pub use crate::bounds::{Broken, MOST_HEAD};
use crate::io::read_some;
use head::{parse_head, Head};
pub use head::{Length, Response};
use std::net::TcpStream;
use std::ops::DerefMut;
use std::time::Instant;

/// Most interim answers (1xx) before the one that counts.
const MOST_INTERIM: usize = 8;

/// Bytes that one read of a head may take.
const HEAD_READ: usize = 4 * 1024;
/// Bytes that are read behind a body of known length: one shows that there are some.
const SURPLUS_READ: usize = 1;

/// Reads one answer. The buffer bounds its length; the deadline bounds the whole, not each read.
pub fn read_response(
    stream: &TcpStream,
    mut buffer: &mut [u8],
    deadline: Instant,
) -> Result<Response, Broken> {
    read_response_reserving(stream, &mut buffer, deadline, |_, _, _| true)
}

/// As [`read_response`]. Once the answer's length is known, and before more than its head is read, `reserve` is called with the
/// number of bytes of the buffer that are read and with that of all that the answer takes; it may exchange the buffer's memory. False ends the read with [`Broken::NoMemory`].
pub fn read_response_reserving<B: DerefMut<Target = [u8]>>(
    stream: &TcpStream,
    buffer: &mut B,
    deadline: Instant,
    reserve: impl FnOnce(&mut B, usize, usize) -> bool,
) -> Result<Response, Broken> {
    let mut filled = 0;
    let (mut response, length) = read_head(stream, buffer, &mut filled, deadline, &mut |_, _| ())?;
    let start = response.body.start;
    let whole = match length {
        Length::Known(n) if n > buffer.len() - start => return Err(Broken::Unreadable),
        Length::Known(n) => start + n,
        Length::Chunked => buffer.len(),
    };
    if !reserve(buffer, filled, whole) {
        return Err(Broken::NoMemory);
    }
    let most = (whole + SURPLUS_READ).min(buffer.len());
    let buffer = &mut buffer[..most];
    match length {
        Length::Known(n) => {
            while filled < start + n {
                if read_more(stream, buffer, &mut filled, deadline)? == 0 {
                    return Err(Broken::Reset);
                }
            }
            response.has_surplus = filled > start + n;
            response.body = start..start + n;
        }
        Length::Chunked => {
            let (mut at, mut end) = (start, start);
            loop {
                if buffer[at..filled]
                    .first()
                    .is_some_and(|b| !b.is_ascii_hexdigit())
                {
                    // Guards against a line without a size, which would read as the last chunk.
                    return Err(Broken::Unreadable);
                }
                let left = match httparse::parse_chunk_size(&buffer[at..filled]) {
                    Ok(httparse::Status::Complete((head, size))) => {
                        let size = usize::try_from(size).map_err(|_| Broken::Unreadable)?;
                        let from = at + head;
                        // The chunk, and the line end behind it.
                        let whole = from.checked_add(size).and_then(|n| n.checked_add(2));
                        let whole = whole
                            .filter(|n| *n <= buffer.len())
                            .ok_or(Broken::Unreadable)?;
                        (filled >= whole).then_some((from, size, whole))
                    }
                    Ok(httparse::Status::Partial) => None,
                    Err(_) => return Err(Broken::Unreadable),
                };
                let Some((from, size, whole)) = left else {
                    if read_more(stream, buffer, &mut filled, deadline)? == 0 {
                        return Err(Broken::Reset);
                    }
                    continue;
                };
                if &buffer[from + size..whole] != b"\r\n" {
                    // The end of a chunk, or trailers, which nobody here sends.
                    return Err(Broken::Unreadable);
                }
                buffer.copy_within(from..from + size, end);
                (at, end) = (whole, end + size);
                if size == 0 {
                    break;
                }
            }
            response.has_surplus = filled > at;
            response.body = start..end;
        }
    }
    response.reusable &= !response.has_surplus;
    Ok(response)
}

/// Reads as far as the end of the head that counts; interim answers before it are passed over. What is behind it
/// stands in the buffer up to `filled`, from where the answer's body begins. `field` is shown each other header,
/// and may be shown those of a head more than once, as it is parsed anew with each piece that comes.
pub fn read_head(
    stream: &TcpStream,
    buffer: &mut [u8],
    filled: &mut usize,
    deadline: Instant,
    field: &mut dyn FnMut(&str, &[u8]),
) -> Result<(Response, Length), Broken> {
    let mut interim = 0;
    loop {
        match parse_head(&buffer[..*filled], field)? {
            Some(Head::Final(response, length)) => return Ok((response, length)),
            Some(Head::Interim(length)) if interim < MOST_INTERIM => {
                interim += 1;
                buffer.copy_within(length..*filled, 0);
                *filled -= length;
            }
            None if *filled < MOST_HEAD => {
                let most = (*filled + HEAD_READ).min(buffer.len());
                if read_more(stream, &mut buffer[..most], filled, deadline)? == 0 {
                    return Err(Broken::Reset);
                }
            }
            _ => return Err(Broken::Unreadable),
        }
    }
}

fn read_more(
    stream: &TcpStream,
    buffer: &mut [u8],
    filled: &mut usize,
    deadline: Instant,
) -> Result<usize, Broken> {
    if *filled == buffer.len() {
        return Err(Broken::Unreadable);
    }
    let n = read_some(stream, &mut buffer[*filled..], deadline)?;
    *filled += n;
    Ok(n)
}

#[cfg(test)]
mod tests;
