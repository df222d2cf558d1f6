//! How two ends come to one link: `magic | version u16 LE | length u16 LE | hello by postcard`, one each way, the dialler's first;
//! then each says a beat under the link's key, and only who can has the link. Magic, version and length stay as they
//! are in any version, so that two of them can tell each other.

use crate::frame::{self, End, Envelope, LinkKey, Way};
use crate::wire::{self, DeadlineReader};
use crate::{Config, Session};
use foldmux_replicas::Peer;
use serde::{Deserialize, Serialize};
use std::io::Read;
use std::net::TcpStream;
use std::time::Instant;

const MAGIC: &[u8; 4] = b"fldx";
pub const VERSION: u16 = 1;
const HEAD: usize = 8;
/// Longest hello: two names of 255 bytes, and what is around them.
const MOST: usize = 640;

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    pub name: Peer,
    pub to: Peer,
    pub session: Session,
    /// Of this link alone.
    pub nonce: [u8; 16],
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refused {
    Version,
    /// Not in time, no hello, of a stranger, for another, or without the key.
    Stranger,
}

/// A link as it begins.
pub struct Begun {
    pub hello: Hello,
    pub says: Way,
    pub hears: Way,
}

/// Who this process is to the others.
pub struct Own<'a> {
    pub config: &'a Config,
    pub session: Session,
}

pub fn encode(hello: &Hello, version: u16) -> Vec<u8> {
    let body = postcard::to_allocvec(hello).expect("a hello can be written");
    let mut bytes = MAGIC.to_vec();
    bytes.extend(version.to_le_bytes());
    bytes.extend((body.len() as u16).to_le_bytes());
    bytes.extend(body);
    bytes
}

/// A hello, and its bytes as they came.
pub fn read(from: &mut impl Read) -> Result<(Hello, Vec<u8>), Refused> {
    let mut bytes = vec![0; HEAD];
    from.read_exact(&mut bytes).map_err(|_| Refused::Stranger)?;
    if &bytes[..4] != MAGIC {
        return Err(Refused::Stranger);
    }
    let number = |at: usize| u16::from_le_bytes([bytes[at], bytes[at + 1]]);
    if number(4) != VERSION {
        return Err(Refused::Version);
    }
    let length = usize::from(number(6));
    if length > MOST {
        return Err(Refused::Stranger);
    }
    bytes.resize(HEAD + length, 0);
    from.read_exact(&mut bytes[HEAD..])
        .map_err(|_| Refused::Stranger)?;
    match postcard::take_from_bytes(&bytes[HEAD..]) {
        Ok((hello, [])) => Ok((hello, bytes)),
        _ => Err(Refused::Stranger),
    }
}

impl Own<'_> {
    fn hello(&self, to: Peer) -> Result<Hello, Refused> {
        let mut nonce = [0; 16];
        getrandom::fill(&mut nonce).map_err(|_| Refused::Stranger)?;
        Ok(Hello {
            name: self.config.name.clone(),
            to,
            session: self.session,
            nonce,
        })
    }

    pub fn dial(
        &self,
        stream: &TcpStream,
        reader: &mut DeadlineReader,
        to: &Peer,
    ) -> Result<Begun, Refused> {
        let own = encode(&self.hello(to.clone())?, VERSION);
        wire::write(stream, &own, reader.get_ref().until).map_err(|_| Refused::Stranger)?;
        let (hello, theirs) = read(reader)?;
        if hello.name != *to || hello.to != self.config.name {
            return Err(Refused::Stranger);
        }
        let key = LinkKey::new(&self.config.key, &own, &theirs);
        begin(stream, reader, hello, key, (End::Dialler, End::Acceptor))
    }

    pub fn accept(
        &self,
        stream: &TcpStream,
        reader: &mut DeadlineReader,
    ) -> Result<Begun, Refused> {
        let heard = read(reader);
        // One of another version is told this one, by the name that nobody has.
        let to = heard
            .as_ref()
            .map_or_else(|_| Peer::new(""), |(hello, _)| hello.name.clone());
        if heard == Err(Refused::Stranger) {
            return Err(Refused::Stranger);
        }
        let own = encode(&self.hello(to)?, VERSION);
        wire::write(stream, &own, reader.get_ref().until).map_err(|_| Refused::Stranger)?;
        let (hello, theirs) = heard?;
        let known = |(name, _): &(Peer, _)| *name == hello.name && hello.name != self.config.name;
        if hello.to != self.config.name || !self.config.peers.iter().any(known) {
            return Err(Refused::Stranger);
        }
        let key = LinkKey::new(&self.config.key, &theirs, &own);
        begin(stream, reader, hello, key, (End::Acceptor, End::Dialler))
    }
}

/// Each end shows that it has the key. Nothing of a peer changes before.
fn begin(
    stream: &TcpStream,
    reader: &mut DeadlineReader,
    hello: Hello,
    key: LinkKey,
    (own, other): (End, End),
) -> Result<Begun, Refused> {
    let (mut says, mut hears) = (Way::of(key.clone(), own), Way::of(key, other));
    let until: Instant = reader.get_ref().until;
    let mut bytes = Vec::new();
    says.seal(&Envelope::Beat, &mut bytes);
    wire::write(stream, &bytes, until).map_err(|_| Refused::Stranger)?;
    frame::read(reader, 0, &mut bytes).map_err(|_| Refused::Stranger)?;
    match hears.open(&bytes) {
        Ok(Envelope::Beat) => Ok(Begun { hello, says, hears }),
        _ => Err(Refused::Stranger),
    }
}
