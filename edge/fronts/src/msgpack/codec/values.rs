//! Single values of a message, each read within its bounds.

use super::{Fault, Part, MAX_TEXT_BYTES};
use rmp::decode::{read_marker, RmpRead};
use rmp::Marker;
use std::io::Read;

pub(super) fn array(r: &mut impl Read) -> Part<u32> {
    match read_marker(r)? {
        Marker::FixArray(n) => Ok(n as u32),
        Marker::Array16 => Ok(r.read_data_u16()? as u32),
        Marker::Array32 => Ok(r.read_data_u32()?),
        _ => Err(Fault::Bad("not an array")),
    }
}

pub(super) fn uint(r: &mut impl Read) -> Part<u64> {
    match read_marker(r)? {
        Marker::FixPos(n) => Ok(n as u64),
        Marker::U8 => Ok(r.read_data_u8()? as u64),
        Marker::U16 => Ok(r.read_data_u16()? as u64),
        Marker::U32 => Ok(r.read_data_u32()? as u64),
        Marker::U64 => Ok(r.read_data_u64()?),
        _ => Err(Fault::Bad("not a whole number")),
    }
}

pub(super) fn text(r: &mut impl Read) -> Part<String> {
    text_in(r, &mut [0; MAX_TEXT_BYTES]).map(str::to_string)
}

/// As [`text`], in memory of the caller's.
pub(super) fn text_in<'a>(r: &mut impl Read, bytes: &'a mut [u8; MAX_TEXT_BYTES]) -> Part<&'a str> {
    let length = match read_marker(r)? {
        Marker::FixStr(n) => n as usize,
        Marker::Str8 => r.read_data_u8()? as usize,
        Marker::Str16 => r.read_data_u16()? as usize,
        Marker::Str32 => r.read_data_u32()? as usize,
        _ => return Err(Fault::Bad("not a text")),
    };
    if length > MAX_TEXT_BYTES {
        return Err(Fault::Bad("a text is too long"));
    }
    r.read_exact(&mut bytes[..length])?;
    std::str::from_utf8(&bytes[..length]).map_err(|_| Fault::Bad("a text is not UTF-8"))
}

/// Reads so many bytes and keeps nothing of them.
pub(super) fn skip(r: &mut impl Read, mut bytes: usize) -> Part<()> {
    let mut bin = [0; 256];
    while bytes > 0 {
        let n = bytes.min(bin.len());
        r.read_exact(&mut bin[..n])?;
        bytes -= n;
    }
    Ok(())
}

/// Reads a value of any type and keeps nothing of it.
pub(super) fn pass_over(r: &mut impl Read, depth: usize, left: &mut usize) -> Part<()> {
    let depth = depth.checked_sub(1).ok_or(Fault::Bad("nested too deep"))?;
    let (bytes, values) = match read_marker(r)? {
        Marker::FixPos(_) | Marker::FixNeg(_) | Marker::Null | Marker::True | Marker::False => {
            (0, 0)
        }
        Marker::U8 | Marker::I8 => (1, 0),
        Marker::U16 | Marker::I16 => (2, 0),
        Marker::U32 | Marker::I32 | Marker::F32 => (4, 0),
        Marker::U64 | Marker::I64 | Marker::F64 => (8, 0),
        Marker::FixStr(n) => (n as usize, 0),
        Marker::Str8 | Marker::Bin8 => (r.read_data_u8()? as usize, 0),
        Marker::Str16 | Marker::Bin16 => (r.read_data_u16()? as usize, 0),
        Marker::Str32 | Marker::Bin32 => (r.read_data_u32()? as usize, 0),
        Marker::FixArray(n) => (0, n as usize),
        Marker::Array16 => (0, r.read_data_u16()? as usize),
        Marker::Array32 => (0, r.read_data_u32()? as usize),
        Marker::FixMap(n) => (0, 2 * n as usize),
        Marker::Map16 => (0, 2 * r.read_data_u16()? as usize),
        Marker::Map32 => (0, 2 * r.read_data_u32()? as usize),
        _ => return Err(Fault::Bad("a type that is not spoken here")),
    };
    *left = left
        .checked_sub(bytes + values + 1)
        .ok_or(Fault::Bad("too long"))?;
    skip(r, bytes)?;
    (0..values).try_for_each(|_| pass_over(r, depth, left))
}
