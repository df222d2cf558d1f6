//! One pool at one process, on the fleet's side: its replica's and its holder's books, what was heard of others, its part.

use crate::digest::{Digest, Heard, Process, Use};
use crate::division::{targets, wants};
use crate::holder::{Holder, Won};
use crate::message::{Message, PoolKey, Told, Word};
use crate::replica::Replica;
use crate::{Peer, Time};
use foldmux_replicas::{ClockDrift, ReplicaConfiguration};
use std::collections::BTreeMap;

/// Wants that fall fade (us), those that rise are taken nearly as they come: slots would else be under way after each
/// moment's needs, or too late.
const FADE: f64 = 300_000.0;
const RISE: f64 = 10_000.0;
/// The others are told at once where wants move by so much, in thousandths of a slot.
const NEWS: u64 = 500;

#[derive(Clone, Debug)]
pub struct PoolSetup {
    pub key: PoolKey,
    pub slots: u16,
    /// Longer than the longest request, as none starts that may outlast its slot's lease.
    pub lease: Time,
    pub weights: BTreeMap<u64, u64>,
    pub unnamed: u64,
}

#[derive(Debug)]
pub(crate) struct Pool {
    pub setup: PoolSetup,
    pub replica: Replica,
    pub holder: Holder,
    pub heard: Heard,
    pub uses: Vec<Use>,
    /// When they were last told here.
    pub used: Time,
    /// This process's part, as it was last worked out.
    pub target: usize,
    /// This part's clock less that of whoever asks, at the most: an ask is heard after it was made.
    pub ahead: Option<i128>,
    pub told: Option<Time>,
    /// What this process was last told to hold at most.
    pub most: Option<u16>,
    pub news: bool,
    /// What was wanted here when the others were last told.
    pub wanted_told: u64,
    pub leaving: bool,
}

impl Pool {
    pub fn new(now: Time, life: u64, drift: ClockDrift, setup: PoolSetup) -> Pool {
        Pool {
            replica: Replica::new(now, setup.slots, setup.lease, drift),
            holder: Holder::new(life, setup.key, setup.lease, drift),
            heard: Heard::default(),
            uses: Vec::new(),
            used: now,
            target: 0,
            ahead: None,
            told: None,
            most: None,
            news: false,
            wanted_told: 0,
            leaving: false,
            setup,
        }
    }

    /// The messages that tell processes that want more slots which are vacant at this replica.
    pub fn offers(&mut self, now: Time) -> Vec<(Peer, Message)> {
        if !self.replica.wanted() {
            return Vec::new();
        }
        let pool = self.setup.key;
        let offers = self.replica.offers(now).into_iter();
        offers
            .map(|(to, slots)| {
                let word = Word::Vacant { slots };
                (to, Message { pool, word })
            })
            .collect()
    }

    /// A slot, with its end on the clock of whoever asks: none before it has asked.
    pub fn told_held(&self, Won { slot, turn, until }: Won) -> Option<Told> {
        let until = until as i128 - self.ahead?;
        Some(Told::Held {
            pool: self.setup.key,
            slot,
            turn,
            until: until.max(0) as Time,
        })
    }

    pub fn claim(&mut self, now: Time, seats: &ReplicaConfiguration) -> Vec<Word> {
        let short = self
            .ahead
            .map_or(0, |_| self.target.saturating_sub(self.holder.held()));
        self.holder.step(now, seats, short)
    }

    /// What tenants want fades over [`FADE`]: slots would else be under way after each moment's needs.
    pub fn uses(&mut self, now: Time, at: Time, mut uses: Vec<Use>) {
        let ahead = now as i128 - at as i128;
        self.ahead = Some(self.ahead.map_or(ahead, |old| old.min(ahead)));
        let span = now.saturating_sub(std::mem::replace(&mut self.used, now)) as f64;
        let was: BTreeMap<u64, u32> = self.uses.iter().map(|u| (u.tenant, u.wants)).collect();
        for one in &mut uses {
            let old = was.get(&one.tenant).copied().unwrap_or_default() as f64;
            let fade = if one.wants as f64 > old { RISE } else { FADE };
            one.wants = (old + (one.wants as f64 - old) * span / (span + fade)) as u32;
        }
        self.uses = uses;
        let moved = self.wanted().abs_diff(self.wanted_told);
        self.news |= moved >= NEWS;
    }

    /// All that tenants want here, in thousandths of a slot.
    fn wanted(&self) -> u64 {
        self.uses.iter().map(|u| u.wants as u64).sum()
    }

    pub fn digest(&mut self) -> Digest {
        self.wanted_told = self.wanted();
        let held = self.holder.held().min(u16::MAX as usize) as u16;
        Digest {
            life: self.holder.life,
            held,
            uses: self.uses.clone(),
        }
    }

    /// This process's part, and what others lack of theirs.
    pub fn divide(&mut self, now: Time, own: &Peer) -> (usize, usize) {
        let own_wants = self
            .uses
            .iter()
            .filter(|u| u.wants > 0)
            .map(|u| (u.tenant, u.wants))
            .collect();
        let mut fleet = self.heard.fleet(now);
        fleet.push(Process {
            peer: own.clone(),
            held: self.holder.held(),
            wants: own_wants,
        });
        fleet.sort_by(|a, b| a.peer.cmp(&b.peer));
        let PoolSetup {
            slots,
            weights,
            unnamed,
            ..
        } = &self.setup;
        let parts = targets(
            *slots as usize,
            &fleet,
            |tenant| weights.get(&tenant).copied(),
            *unnamed,
        );
        let (mut target, mut short) = (0, 0);
        for (process, part) in fleet.iter().zip(parts) {
            match process.peer == *own {
                true => target = part,
                // One that only lacks spare slots calls nothing back.
                false => {
                    short += part
                        .min(wants(process).ceil() as usize)
                        .saturating_sub(process.held)
                }
            }
        }
        (target, short)
    }
}
