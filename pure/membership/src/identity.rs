//! The identity of a process to the others: its name, where it is, and which life of it speaks.

use foldmux_replicas::Peer;
use serde::{Deserialize, Serialize};
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;

/// Bytes of a name and of a site, at most: an identity stands several times in each packet.
pub const MAX_NAME_BYTES: usize = 64;

/// A process as the others know it. Two with one name are the same process in two lives, or before and after
/// it was taken for dead; the higher generation holds, at once and everywhere.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeIdentity {
    pub name: Peer,
    pub site: Arc<str>,
    pub address: SocketAddr,
    /// The generation that this life started with: tells a restart from a return.
    pub born: u64,
    /// Higher with each life, and with each return of one that was taken for dead.
    pub generation: u64,
    /// It left on purpose. Kept in the identity, so that whoever hears of it at all knows that it left.
    pub left: bool,
}

impl NodeIdentity {
    /// `born` must be higher than in the life before, as the time of the start is by the calendar's clock.
    /// When that clock was set back, the process still comes in, by as many returns as it takes.
    pub fn new(name: Peer, site: &str, address: SocketAddr, born: u64) -> NodeIdentity {
        NodeIdentity {
            name,
            site: site.into(),
            address,
            born,
            generation: born,
            left: false,
        }
    }

    /// Someone of whom only the name is known: enough to announce oneself to.
    pub(crate) fn contact(name: &Peer) -> NodeIdentity {
        NodeIdentity::new(
            name.clone(),
            "",
            SocketAddr::from((Ipv4Addr::UNSPECIFIED, 0)),
            0,
        )
    }

    pub(crate) fn leaving(&self) -> NodeIdentity {
        NodeIdentity {
            left: true,
            ..self.clone()
        }
    }

    /// The next generation. The steps double, so that a life that began too low passes the one before it in
    /// as many returns as the difference has bits.
    pub(crate) fn again(&self) -> NodeIdentity {
        let step = (self.generation - self.born).clamp(1, 1 << 32);
        NodeIdentity {
            generation: self.generation.saturating_add(step),
            left: false,
            ..self.clone()
        }
    }

    pub(crate) fn fits(&self) -> bool {
        let sized = |text: &str| text.len() <= MAX_NAME_BYTES;
        !self.name.as_str().is_empty()
            && sized(self.name.as_str())
            && sized(&self.site)
            && self.generation >= self.born
    }

    fn rank(&self) -> impl Ord + '_ {
        // What follows the first two only has everyone choose the same of two that should not both be.
        (
            self.generation,
            self.left,
            self.born,
            self.address,
            &self.site,
        )
    }
}

impl foca::Identity for NodeIdentity {
    type Addr = Peer;

    fn renew(&self) -> Option<NodeIdentity> {
        (!self.left).then(|| self.again())
    }

    fn addr(&self) -> Peer {
        self.name.clone()
    }

    fn win_addr_conflict(&self, other: &NodeIdentity) -> bool {
        #[cfg(feature = "planted")]
        if crate::planted::on(crate::planted::Fault::AnyLifeHolds) {
            return false;
        }
        self.rank() > other.rank()
    }
}
