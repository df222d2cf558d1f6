//! What processes tell each other of their tenants: slot time used, in all, and slots wanted now. A tenant that comes by eight
//! processes is charged at each for what it got at the other seven (as DSFQ does: Wang, Merchant: FAST 2007), and so has one
//! share.
//!
//! A digest that is lost is made good by the next. Of one that lies, no more is believed than the sender could have given:
//! the pool's slots for the time since its last. So a liar can push a tenant back as if it had used the whole pool, while
//! it lies and for [`DEBT`] after; where no other waits the tenant is served as ever.

use crate::planted::{planted, Fault};
use crate::{Peer, Time};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Tenants that one digest tells of.
pub const MOST: usize = 256;
/// Senders that are remembered.
const PEERS: usize = 256;
/// Who was not heard of for so long is left out (us): three of the longest pauses between two digests.
pub const STALE: Time = 3_000_000;
/// So much of a pool's time may a tenant be charged ahead for use elsewhere (us): what came by digests is then paid off
/// within as long.
pub const DEBT: Time = 1_000_000;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Use {
    pub tenant: u64,
    /// Slot time since the sender's start (us).
    pub used: Time,
    /// Slots in use and requests that wait, in thousandths; faded.
    pub wants: u32,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    pub life: u64,
    /// Slots that the sender holds.
    pub held: u16,
    pub uses: Vec<Use>,
}

#[derive(Debug)]
struct Known {
    life: u64,
    at: Time,
    held: u16,
    used: BTreeMap<u64, Time>,
    wants: Vec<(u64, u32)>,
}

/// What was heard of others.
#[derive(Debug, Default)]
pub struct Heard {
    peers: BTreeMap<Peer, Known>,
}

/// One process as the division sees it.
#[derive(Clone, Debug, PartialEq)]
pub struct Process {
    pub peer: Peer,
    pub held: usize,
    pub wants: Vec<(u64, u32)>,
}

impl Heard {
    /// Whom to charge here for what, by what came. `slots`: of the pool.
    pub fn hear(
        &mut self,
        now: Time,
        from: &Peer,
        mut digest: Digest,
        slots: u16,
    ) -> Vec<(u64, Time)> {
        digest.uses.truncate(MOST);
        let wants = digest
            .uses
            .iter()
            .filter(|u| u.wants > 0)
            .map(|u| (u.tenant, u.wants))
            .collect();
        let Digest { life, held, uses } = digest;
        let used = || {
            uses.iter()
                .map(|u| (u.tenant, u.used))
                .collect::<BTreeMap<u64, Time>>()
        };
        let Some(known) = self.peers.get_mut(from).filter(|known| known.life == life) else {
            // The first of a life: from here it counts.
            if self.peers.len() < PEERS || self.peers.contains_key(from) {
                self.peers.insert(
                    from.clone(),
                    Known {
                        life,
                        at: now,
                        held,
                        used: used(),
                        wants,
                    },
                );
            }
            return Vec::new();
        };
        (known.held, known.wants) = (held.min(slots), wants);
        let could = (now.saturating_sub(known.at) as u128) * slots as u128;
        if could == 0 {
            return Vec::new();
        }
        known.at = now;
        let more = |(tenant, used): (&u64, &Time)| {
            let more = used.saturating_sub(*known.used.get(tenant).unwrap_or(used));
            (more > 0).then_some((*tenant, more))
        };
        let charges: Vec<(u64, Time)> = used().iter().filter_map(more).collect();
        known.used = used();
        let sum: u128 = charges.iter().map(|c| c.1 as u128).sum();
        if sum <= could || planted(Fault::EveryDigestBelieved) {
            return charges;
        }
        charges
            .into_iter()
            .map(|(t, time)| (t, (time as u128 * could / sum) as Time))
            .collect()
    }

    pub fn gone(&mut self, peer: &Peer) {
        self.peers.remove(peer);
    }

    /// Those heard of lately.
    pub fn fleet(&mut self, now: Time) -> Vec<Process> {
        self.peers
            .retain(|_, known| now < known.at.saturating_add(STALE));
        let process = |(peer, known): (&Peer, &Known)| Process {
            peer: peer.clone(),
            held: known.held as usize,
            wants: known.wants.clone(),
        };
        self.peers.iter().map(process).collect()
    }
}

#[cfg(test)]
mod tests;
