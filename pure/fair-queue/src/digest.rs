//! Usage digests between processes: slot time used in total and slots wanted now, by tenant. A tenant whose requests
//! arrive at eight processes is charged at each for the slot time it got at the other seven (as in DSFQ: Wang,
//! Merchant: FAST 2007), and so has one share.
//!
//! Totals make up for lost digests: the next one covers the gap. Of a false digest no more is charged than the sender
//! could have given: the pool's slots for the time since its last digest. So a false digest can set a tenant back as
//! if it had used the whole pool, while it lasts and for [`MAX_DEBT`] after; where no other tenant waits, the tenant
//! is still served as usual.

use crate::planted::{planted, Fault};
use crate::{Peer, Time};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Most tenants in one digest.
pub const MAX_TENANTS: usize = 256;
/// Most senders that are remembered.
const MAX_PEERS: usize = 256;
/// A process that sent nothing for this long is left out (us). Digests are sent at least every
/// [`DIGEST_INTERVAL`](crate::slots::DIGEST_INTERVAL), so the loss of a few of them does not matter.
pub const PEER_EXPIRY: Time = 3_000_000;
/// Most slot time that a tenant may be charged in advance for use at other processes, for each slot held here (us). A
/// charge from digests is paid off within the same time.
pub const MAX_DEBT: Time = 1_000_000;

/// Usage and demand of one tenant at one process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TenantUsage {
    /// The hash of a named tenant's name, or the number of a bucket.
    pub tenant: u64,
    /// Slot time used since the sender's start (us).
    pub used: Time,
    /// Slots in use and requests waiting, in thousandths; smoothed.
    pub wanted: u32,
}

/// Usage and demand of all tenants at one process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    pub incarnation: u64,
    /// Number of slots that the sender holds.
    pub held: u16,
    pub usage: Vec<TenantUsage>,
}

/// The last digest of a process.
#[derive(Debug)]
struct PeerDigest {
    incarnation: u64,
    received_at: Time,
    held: u16,
    used: BTreeMap<u64, Time>,
    wanted: Vec<(u64, u32)>,
}

/// Usage of the other processes, by their digests.
#[derive(Debug, Default)]
pub struct PeerUsage {
    peers: BTreeMap<Peer, PeerDigest>,
}

/// A process, as input of [`crate::division`].
#[derive(Clone, Debug, PartialEq)]
pub struct ProcessDemand {
    pub peer: Peer,
    pub held: usize,
    pub wanted: Vec<(u64, u32)>,
}

impl PeerUsage {
    /// Records a digest. Returns the slot time (us) to charge to each tenant here. `slots` is the size of the pool.
    pub fn on_digest(
        &mut self,
        now: Time,
        from: &Peer,
        mut digest: Digest,
        slots: u16,
    ) -> Vec<(u64, Time)> {
        digest.usage.truncate(MAX_TENANTS);
        let wanted = digest
            .usage
            .iter()
            .filter(|u| u.wanted > 0)
            .map(|u| (u.tenant, u.wanted))
            .collect();
        let Digest {
            incarnation,
            held,
            usage,
        } = digest;
        let used = || {
            usage
                .iter()
                .map(|u| (u.tenant, u.used))
                .collect::<BTreeMap<u64, Time>>()
        };
        let Some(previous) = self
            .peers
            .get_mut(from)
            .filter(|previous| previous.incarnation == incarnation)
        else {
            // The first digest of an incarnation is the baseline.
            if self.peers.len() < MAX_PEERS || self.peers.contains_key(from) {
                self.peers.insert(
                    from.clone(),
                    PeerDigest {
                        incarnation,
                        received_at: now,
                        held,
                        used: used(),
                        wanted,
                    },
                );
            }
            return Vec::new();
        };
        (previous.held, previous.wanted) = (held.min(slots), wanted);
        let max_used = (now.saturating_sub(previous.received_at) as u128) * slots as u128;
        if max_used == 0 {
            return Vec::new();
        }
        previous.received_at = now;
        let more = |(tenant, used): (&u64, &Time)| {
            let more = used.saturating_sub(*previous.used.get(tenant).unwrap_or(used));
            (more > 0).then_some((*tenant, more))
        };
        let charges: Vec<(u64, Time)> = used().iter().filter_map(more).collect();
        previous.used = used();
        let total: u128 = charges.iter().map(|c| c.1 as u128).sum();
        if total <= max_used || planted(Fault::UnboundedDigestCharge) {
            return charges;
        }
        charges
            .into_iter()
            .map(|(t, time)| (t, (time as u128 * max_used / total) as Time))
            .collect()
    }

    /// Forgets a process.
    pub fn forget(&mut self, peer: &Peer) {
        self.peers.remove(peer);
    }

    /// The processes with a recent digest.
    pub fn recent(&mut self, now: Time) -> Vec<ProcessDemand> {
        self.peers
            .retain(|_, last| now < last.received_at.saturating_add(PEER_EXPIRY));
        let process = |(peer, last): (&Peer, &PeerDigest)| ProcessDemand {
            peer: peer.clone(),
            held: last.held as usize,
            wanted: last.wanted.clone(),
        };
        self.peers.iter().map(process).collect()
    }
}

#[cfg(test)]
mod tests;
