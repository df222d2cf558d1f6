//! Frames: `length u32 LE | keyed hash, 32 bytes | envelope by postcard`. The hash is under the link's own key, which comes
//! of the fleet's key and of both hellos (and so of nonces that are new for each link), over direction, number and
//! envelope. A frame that is torn, repeated, moved or from elsewhere does not open, and its link ends.

use serde::{Deserialize, Serialize};
use std::io::{self, Read};

const LENGTH: usize = 4;
const HASH: usize = blake3::OUT_LEN;
/// What a frame takes beside its message, at most: length, hash, kind, part, and the message's own length.
pub const AROUND: usize = LENGTH + HASH + 2 + 10;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Envelope<'a> {
    /// Nothing is to be said, and the sender is there.
    Beat,
    Message {
        part: u8,
        bytes: &'a [u8],
    },
}

/// The frame did not open: its link ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Broken;

/// Which end speaks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    Dialler,
    Acceptor,
}

/// The key of one link.
#[derive(Clone)]
pub struct LinkKey([u8; 32]);

impl LinkKey {
    pub fn new(fleet: &[u8; 32], dialler: &[u8], acceptor: &[u8]) -> LinkKey {
        let mut hasher = blake3::Hasher::new_keyed(fleet);
        for hello in [dialler, acceptor] {
            hasher
                .update(&(hello.len() as u64).to_le_bytes())
                .update(hello);
        }
        LinkKey(*hasher.finalize().as_bytes())
    }

    fn hash(&self, end: End, number: u64, body: &[u8]) -> blake3::Hash {
        let mut hasher = blake3::Hasher::new_keyed(&self.0);
        hasher
            .update(&[end as u8])
            .update(&number.to_le_bytes())
            .update(body)
            .finalize()
    }
}

/// One direction of a link: what it sends, or what it hears.
pub struct Way {
    key: LinkKey,
    end: End,
    number: u64,
}

impl Way {
    /// What `end` says on a link.
    pub fn of(key: LinkKey, end: End) -> Way {
        Way {
            key,
            end,
            number: 0,
        }
    }

    /// Appends the next frame.
    pub fn seal(&mut self, envelope: &Envelope, out: &mut Vec<u8>) {
        let start = out.len();
        out.resize(start + LENGTH + HASH, 0);
        let whole = postcard::to_extend(envelope, std::mem::take(out));
        // A vector takes whatever an envelope holds.
        *out = whole.expect("an envelope can be written");
        let hash = self
            .key
            .hash(self.end, self.number, &out[start + LENGTH + HASH..]);
        self.number += 1;
        let length = (out.len() - start - LENGTH) as u32;
        out[start..start + LENGTH].copy_from_slice(&length.to_le_bytes());
        out[start + LENGTH..start + LENGTH + HASH].copy_from_slice(hash.as_bytes());
    }

    /// Opens what follows a frame's length.
    pub fn open<'a>(&mut self, frame: &'a [u8]) -> Result<Envelope<'a>, Broken> {
        let (hash, body) = frame.split_at_checked(HASH).ok_or(Broken)?;
        // Compared in constant time, by the library.
        if self.key.hash(self.end, self.number, body)
            != *<&[u8; HASH]>::try_from(hash).map_err(|_| Broken)?
        {
            return Err(Broken);
        }
        self.number += 1;
        match postcard::take_from_bytes(body) {
            Ok((envelope, [])) => Ok(envelope),
            _ => Err(Broken),
        }
    }
}

/// Reads one frame's hash and envelope into `frame`; `most`: longest message.
pub fn read(from: &mut impl Read, most: usize, frame: &mut Vec<u8>) -> io::Result<()> {
    let mut length = [0; LENGTH];
    from.read_exact(&mut length)?;
    let length = u32::from_le_bytes(length) as usize;
    if !(HASH + 1..=most + AROUND).contains(&length) {
        return Err(io::Error::from(io::ErrorKind::InvalidData));
    }
    frame.resize(length, 0);
    from.read_exact(frame)
}
