//! The fleet's part of one pool at one process: its state as a replica and as a holder, the usage of other processes,
//! and its own share.

use crate::digest::{Digest, PeerUsage, ProcessDemand, TenantUsage};
use crate::division::{demand, targets};
use crate::holder::{AcquiredSlot, Holder};
use crate::message::{Event, Message, MessageBody, PoolKey};
use crate::replica::Replica;
use crate::{Peer, Time};
use foldmux_replicas::{ClockDrift, ReplicaConfiguration};
use std::collections::BTreeMap;

/// Time constants (us) over which reported demand falls and rises. Demand rises almost at once and falls slowly:
/// otherwise slots would move with each short peak, or arrive too late.
const DEMAND_FALL_TIME: f64 = 300_000.0;
const DEMAND_RISE_TIME: f64 = 10_000.0;
/// A change of demand by this much, in thousandths of a slot, is sent to the other processes at once.
const PROMPT_DIGEST_CHANGE: u64 = 500;

/// Configuration of one pool.
#[derive(Clone, Debug)]
pub struct PoolSetup {
    pub key: PoolKey,
    pub slots: u16,
    /// Longer than the longest request, as no request starts that may outlast the lease of its slot (us).
    pub lease: Time,
    /// Weights of named tenants in thousandths, by the hash of the name.
    pub weights: BTreeMap<u64, u64>,
    /// Weight of all unnamed tenants together, in thousandths.
    pub unnamed_weight: u64,
}

#[derive(Debug)]
pub(crate) struct FleetPool {
    pub setup: PoolSetup,
    pub replica: Replica,
    pub holder: Holder,
    pub peer_usage: PeerUsage,
    pub usage: Vec<TenantUsage>,
    /// When this process last reported its usage (us).
    pub reported_at: Time,
    /// This process's share of the slots, as last computed.
    pub target: usize,
    /// The least difference seen between the fleet's clock and the clock of the process's own commands (us). As a
    /// command arrives after it was sent, this is an upper bound of the clocks' difference, and no expiry is
    /// converted to too late a time. `None` before the first report.
    pub clock_difference: Option<i128>,
    /// When the last digest was sent.
    pub digest_sent_at: Option<Time>,
    /// The limit on held slots that this process was last told.
    pub hold_limit: Option<u16>,
    /// Whether a digest should be sent at the next step.
    pub digest_pending: bool,
    /// Demand when the last digest was sent, in thousandths of a slot.
    pub reported_demand: u64,
    /// Whether this process shuts down and claims no more slots.
    pub leaving: bool,
}

impl FleetPool {
    pub fn new(now: Time, incarnation: u64, drift: ClockDrift, setup: PoolSetup) -> FleetPool {
        FleetPool {
            replica: Replica::new(now, setup.slots, setup.lease, drift),
            holder: Holder::new(incarnation, setup.key, setup.lease, drift),
            peer_usage: PeerUsage::default(),
            usage: Vec::new(),
            reported_at: now,
            target: 0,
            clock_difference: None,
            digest_sent_at: None,
            hold_limit: None,
            digest_pending: false,
            reported_demand: 0,
            leaving: false,
            setup,
        }
    }

    /// Messages to the processes that asked for more slots, with the slots that are vacant at this replica.
    pub fn offers(&mut self, now: Time) -> Vec<(Peer, Message)> {
        if !self.replica.has_requesters() {
            return Vec::new();
        }
        let pool = self.setup.key;
        let offers = self.replica.offers(now).into_iter();
        offers
            .map(|(to, slots)| {
                let body = MessageBody::Vacant { slots };
                (to, Message { pool, body })
            })
            .collect()
    }

    /// The event for a slot that was acquired, with its expiry on the clock of the commands; `None` before the first
    /// report gives the difference of the clocks.
    pub fn slot_held_event(
        &self,
        AcquiredSlot {
            slot,
            tenure,
            expires_at,
        }: AcquiredSlot,
    ) -> Option<Event> {
        let expires_at = expires_at as i128 - self.clock_difference?;
        Some(Event::SlotHeld {
            pool: self.setup.key,
            slot,
            tenure,
            expires_at: expires_at.max(0) as Time,
        })
    }

    /// Messages to the replicas that renew held slots and claim those missing from the share.
    pub fn claims(&mut self, now: Time, replicas: &ReplicaConfiguration) -> Vec<MessageBody> {
        let wanted = self
            .clock_difference
            .map_or(0, |_| self.target.saturating_sub(self.holder.held_count()));
        self.holder.step(now, replicas, wanted)
    }

    /// Records reported usage. Demand is smoothed by [`DEMAND_RISE_TIME`] and
    /// [`DEMAND_FALL_TIME`], so that slots don't move with each short peak.
    pub fn on_usage(&mut self, now: Time, at: Time, mut usage: Vec<TenantUsage>) {
        let difference = now as i128 - at as i128;
        self.clock_difference = Some(
            self.clock_difference
                .map_or(difference, |old| old.min(difference)),
        );
        let elapsed = now.saturating_sub(std::mem::replace(&mut self.reported_at, now)) as f64;
        let previous: BTreeMap<u64, u32> =
            self.usage.iter().map(|u| (u.tenant, u.wanted)).collect();
        for tenant in &mut usage {
            let old = previous.get(&tenant.tenant).copied().unwrap_or_default() as f64;
            let time_constant = if tenant.wanted as f64 > old {
                DEMAND_RISE_TIME
            } else {
                DEMAND_FALL_TIME
            };
            tenant.wanted =
                (old + (tenant.wanted as f64 - old) * elapsed / (elapsed + time_constant)) as u32;
        }
        self.usage = usage;
        let moved = self.demand().abs_diff(self.reported_demand);
        self.digest_pending |= moved >= PROMPT_DIGEST_CHANGE;
    }

    /// Total demand of this process, in thousandths of a slot.
    fn demand(&self) -> u64 {
        self.usage.iter().map(|u| u.wanted as u64).sum()
    }

    /// The digest to send to the other processes.
    pub fn digest(&mut self) -> Digest {
        self.reported_demand = self.demand();
        let held = self.holder.held_count().min(u16::MAX as usize) as u16;
        Digest {
            incarnation: self.holder.incarnation,
            held,
            usage: self.usage.clone(),
        }
    }

    /// Computes this process's share of the slots, and how many slots the other processes lack of theirs.
    pub fn divide(&mut self, now: Time, own: &Peer) -> (usize, usize) {
        let own_demand = self
            .usage
            .iter()
            .filter(|u| u.wanted > 0)
            .map(|u| (u.tenant, u.wanted))
            .collect();
        let mut fleet = self.peer_usage.recent(now);
        fleet.push(ProcessDemand {
            peer: own.clone(),
            held: self.holder.held_count(),
            wanted: own_demand,
        });
        fleet.sort_by(|a, b| a.peer.cmp(&b.peer));
        let PoolSetup {
            slots,
            weights,
            unnamed_weight,
            ..
        } = &self.setup;
        let shares = targets(
            *slots as usize,
            &fleet,
            |tenant| weights.get(&tenant).copied(),
            *unnamed_weight,
        );
        let (mut target, mut short_elsewhere) = (0, 0);
        for (process, share) in fleet.iter().zip(shares) {
            match process.peer == *own {
                true => target = share,
                // Slots that a process would hold idle are not called back from others.
                false => {
                    short_elsewhere += share
                        .min(demand(process).ceil() as usize)
                        .saturating_sub(process.held)
                }
            }
        }
        (target, short_elsewhere)
    }
}
