//! MessagePack-RPC messages to and from bytes. Reading goes by the stream, so that nothing is held twice;
//! every length is checked against a bound before anything is kept for it.

use foldmux_core::buffers::{Buffer, BufferPool};
use rmp::decode::{read_marker, MarkerReadError, RmpRead, ValueReadError};
use rmp::Marker;
use std::io::Read;
use std::sync::Arc;

mod fields;
mod values;
mod write;

pub use fields::Asked;
use fields::FieldCheck;
use values::{array, pass_over, skip, text, text_in, uint};
pub use write::{error, same, served, shed, well};

/// Longest body of a write (bytes).
const MAX_BODY_BYTES: usize = 48_000;
/// Longest text (bytes).
const MAX_TEXT_BYTES: usize = 256;
/// Most fields of a map.
const MAX_FIELDS: u32 = 64;
/// Deepest nesting of a value that is skipped.
const MAX_SKIPPED_DEPTH: usize = 8;
/// Most bytes of a value that is skipped.
const MAX_SKIPPED_BYTES: usize = 64 * 1024;

pub enum Heard {
    Call(Call),
    Forget(Vec<u32>),
    /// A whole message with an id and nothing to serve.
    Refused(u32, &'static str),
    /// A whole call of this method, whose body there was no buffer for.
    NoRoom(u32, String),
}

pub struct Call {
    pub id: u32,
    pub method: String,
    /// What is asked for, or the field that is missing or can't be used.
    pub asked: Result<Asked, &'static str>,
    pub body: Option<(Buffer, usize)>,
}

pub enum Unread {
    /// The connection ended.
    Over,
    /// Where the next message begins is lost; the id, if it was read.
    Garbled(Option<u32>, &'static str),
}

type Part<T> = Result<T, Fault>;

enum Fault {
    Over,
    Bad(&'static str),
}

impl From<std::io::Error> for Fault {
    fn from(_: std::io::Error) -> Fault {
        Fault::Over
    }
}

impl From<MarkerReadError> for Fault {
    fn from(_: MarkerReadError) -> Fault {
        Fault::Over
    }
}

impl From<ValueReadError> for Fault {
    fn from(error: ValueReadError) -> Fault {
        match error {
            ValueReadError::TypeMismatch(_) => Fault::Bad("not the type that belongs here"),
            _ => Fault::Over,
        }
    }
}

/// The next message of a connection.
pub fn read(r: &mut impl Read, buffers: &Arc<BufferPool>) -> Result<Heard, Unread> {
    let mut id = None;
    message(r, buffers, &mut id).map_err(|fault| match fault {
        Fault::Over => Unread::Over,
        Fault::Bad(why) => Unread::Garbled(id, why),
    })
}

fn message(r: &mut impl Read, buffers: &Arc<BufferPool>, id: &mut Option<u32>) -> Part<Heard> {
    let length = array(r)?;
    if !matches!(length, 3 | 4) {
        // Guards against one with nothing in it, whose kind would be read out of what follows.
        return Err(Fault::Bad("neither a request nor a notification"));
    }
    match (uint(r)?, length) {
        (0, 4) => {}
        (2, 3) => return notification(r),
        _ => return Err(Fault::Bad("neither a request nor a notification")),
    }
    let number = u32::try_from(uint(r)?).map_err(|_| Fault::Bad("an id over 32 bits"))?;
    *id = Some(number);
    let method = text(r)?;
    let length = array(r)?;
    if length == 0 {
        return Ok(Heard::Refused(number, "no fields"));
    }
    // Guards against a length that would have this wait for what never comes.
    if length > MAX_FIELDS {
        return Err(Fault::Bad("too many parameters"));
    }
    let asked = fields(r)?;
    let body = if length > 1 {
        body(r, buffers)?
    } else {
        Body::None
    };
    for _ in 2..length {
        pass_over(r, MAX_SKIPPED_DEPTH, &mut { MAX_SKIPPED_BYTES })?;
    }
    let body = match body {
        Body::None => None,
        Body::Read(lease, length) => Some((lease, length)),
        Body::NoRoom => return Ok(Heard::NoRoom(number, method)),
    };
    Ok(Heard::Call(Call {
        id: number,
        method,
        asked,
        body,
    }))
}

fn notification(r: &mut impl Read) -> Part<Heard> {
    let method = text(r)?;
    let length = array(r)?;
    if length > MAX_FIELDS {
        return Err(Fault::Bad("too many parameters"));
    }
    if method != "forget" {
        (0..length)
            .try_for_each(|_| pass_over(r, MAX_SKIPPED_DEPTH, &mut { MAX_SKIPPED_BYTES }))?;
        return Ok(Heard::Forget(Vec::new()));
    }
    let ids: Part<Vec<u64>> = (0..length).map(|_| uint(r)).collect();
    Ok(Heard::Forget(
        ids?.into_iter()
            .filter_map(|id| u32::try_from(id).ok())
            .collect(),
    ))
}

/// The map of a call. Fields of no use here are passed over; those of use are texts.
fn fields(r: &mut impl Read) -> Part<Result<Asked, &'static str>> {
    let length = match read_marker(r)? {
        Marker::FixMap(n) => n as u32,
        Marker::Map16 => r.read_data_u16()? as u32,
        Marker::Map32 => r.read_data_u32()?,
        _ => return Err(Fault::Bad("the fields are no map")),
    };
    if length > MAX_FIELDS {
        return Err(Fault::Bad("too many fields"));
    }
    let mut check = FieldCheck::default();
    let (mut key, mut value) = ([0; MAX_TEXT_BYTES], [0; MAX_TEXT_BYTES]);
    for _ in 0..length {
        check.add(text_in(r, &mut key)?, text_in(r, &mut value)?);
    }
    Ok(check.finish())
}

/// The body of a call.
enum Body {
    None,
    Read(Buffer, usize),
    /// It was passed over: no buffer was free for it. Guards against a shortage of ours ending the connection, with all that
    /// is open on it and all that the client has sent behind.
    NoRoom,
}

fn body(r: &mut impl Read, buffers: &Arc<BufferPool>) -> Part<Body> {
    let length = match read_marker(r)? {
        Marker::Null => 0,
        Marker::Bin8 => r.read_data_u8()? as usize,
        Marker::Bin16 => r.read_data_u16()? as usize,
        Marker::Bin32 => r.read_data_u32()? as usize,
        _ => return Err(Fault::Bad("the body is not binary")),
    };
    if length > MAX_BODY_BYTES {
        return Err(Fault::Bad("the body is too long"));
    }
    if length == 0 {
        return Ok(Body::None);
    }
    let Some(mut lease) = buffers.acquire_for_request_body(length) else {
        skip(r, length)?;
        return Ok(Body::NoRoom);
    };
    r.read_exact(&mut lease[..length])?;
    Ok(Body::Read(lease, length))
}
