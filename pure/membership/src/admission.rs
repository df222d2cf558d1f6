//! What of a packet comes in. foca takes whoever it is told of; here members are bounded in number and size,
//! and a peer speaks for no other than itself.

use crate::identity::NodeIdentity;
use crate::{Packet, MAX_PACKET_BYTES};
use foca::{Codec, Header, Identity, Member, PostcardCodec};
use foldmux_replicas::Peer;
use std::collections::BTreeSet;

/// Why a packet stays outside. The count of these is the operator's.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refused {
    Unread,
    /// It says that another sent it than the link does.
    Forged,
    /// Its sender is one too many.
    Full,
}

/// The names that foca may know of, at most so many.
pub(crate) struct Admission {
    most: usize,
    names: BTreeSet<Peer>,
    /// Those that the packet at hand brought.
    fresh: Vec<Peer>,
}

impl Admission {
    pub fn new(most: usize) -> Admission {
        Admission {
            most,
            names: BTreeSet::new(),
            fresh: Vec::new(),
        }
    }

    pub fn most(&self) -> usize {
        self.most
    }

    /// Whether there is room for it. `known` are the names that foca knows of, asked once a packet at most:
    /// it may have forgotten some, or never have taken those of a packet that it did not believe.
    fn lets(
        &mut self,
        who: &NodeIdentity,
        known: &mut Option<impl FnOnce() -> BTreeSet<Peer>>,
    ) -> bool {
        if !who.fits() || self.names.contains(&who.name) {
            return who.fits();
        }
        if self.names.len() >= self.most {
            if let Some(known) = known.take() {
                self.names = known();
                self.names.extend(self.fresh.iter().cloned());
            }
        }
        let room = self.names.len() < self.most;
        if room {
            self.names.insert(who.name.clone());
            self.fresh.push(who.name.clone());
        }
        room
    }

    /// The packet without those updates that are too many or too large, or that speak of another life of this
    /// process: foca would declare that one dead, and the two would go on declaring each other. What spoke of
    /// a higher one comes beside it.
    pub fn admit(
        &mut self,
        me: &NodeIdentity,
        from: &Peer,
        packet: &Packet,
        known: impl FnOnce() -> BTreeSet<Peer>,
    ) -> Result<(Vec<u8>, Option<NodeIdentity>), Refused> {
        let mut known = Some(known);
        self.fresh.clear();
        if packet.0.len() > MAX_PACKET_BYTES {
            return Err(Refused::Unread);
        }
        let mut rest = &packet.0[..];
        let read: Header<NodeIdentity> = PostcardCodec
            .decode_header(&mut rest)
            .map_err(|_| Refused::Unread)?;
        if read.src.name != *from {
            return Err(Refused::Forged);
        }
        if !self.lets(&read.src, &mut known) {
            return Err(Refused::Full);
        }
        let above = |who: &NodeIdentity| {
            who.name == me.name && who.born != me.born && who.win_addr_conflict(me)
        };
        let mut rival = above(&read.dst).then(|| read.dst.clone());
        let mut out = Vec::with_capacity(packet.0.len());
        PostcardCodec
            .encode_header(&read, &mut out)
            .map_err(|_| Refused::Unread)?;
        if rest.is_empty() {
            return Ok((out, rival));
        }
        let (count, mut rest) = rest.split_first_chunk::<2>().ok_or(Refused::Unread)?;
        let place = out.len();
        let mut kept = 0_u16;
        out.extend_from_slice(&[0, 0]);
        // The packet's size bounds the loop: an update that is not there is not read.
        for _ in 0..u16::from_be_bytes(*count) {
            let member: Member<NodeIdentity> = PostcardCodec
                .decode_member(&mut rest)
                .map_err(|_| Refused::Unread)?;
            let who = member.id();
            if who.name == me.name && who != me {
                rival = rival.or_else(|| above(who).then(|| who.clone()));
            } else if who == me || self.lets(who, &mut known) {
                PostcardCodec
                    .encode_member(&member, &mut out)
                    .map_err(|_| Refused::Unread)?;
                kept += 1;
            }
        }
        out[place..place + 2].copy_from_slice(&kept.to_be_bytes());
        if rest.is_empty() {
            Ok((out, rival))
        } else {
            Err(Refused::Unread)
        }
    }
}
