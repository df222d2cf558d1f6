//! The fleet's side of a pool: its numbered slots, each held by one process at a time, by lease at the pool's three replicas.
//!
//! A slot is held while two of three replicas lease it to this process, by this process's own, shorter count: no two ever hold
//! one number, so the sum never passes the cap. Who is cut off from the replicas has fewer by each lease that runs out, and then
//! none. A life of a process that ended keeps its slots for one lease, and they come back once: at the replicas, by their clocks.
//! Idle ones are lent: a process keeps what it holds until another is short of its part, then gives back what it has over
//! its own ([`crate::division`]), idle ones at once and those in use as they end.

use crate::message::{Ask, Message, PoolKey, Told, Word};
use crate::pool::Pool;
pub use crate::pool::PoolSetup;
use crate::{Peer, Time};
use foldmux_replicas::{ClockDrift, Effect, Effects, ReplicaConfiguration, StateMachine};
use std::collections::BTreeMap;

/// A pool's division is worked out anew so often, and offers and digests go out (us).
pub const STEP: Time = 20_000;
/// With nothing to tell, a digest goes out so often (us).
pub const DIGEST: Time = 200_000;

#[derive(Clone, Debug)]
pub struct FleetSetup {
    pub own: Peer,
    /// Another for each start of this process.
    pub life: u64,
    pub peers: Vec<Peer>,
    pub seats: ReplicaConfiguration,
    pub drift: ClockDrift,
    pub pools: Vec<PoolSetup>,
}

/// All pools of the fleet, at one process.
#[derive(Debug)]
pub struct FleetSlots {
    own: Peer,
    peers: BTreeMap<Peer, bool>,
    seats: ReplicaConfiguration,
    pools: BTreeMap<PoolKey, Pool>,
    due: Time,
}

impl FleetSlots {
    pub fn new(now: Time, setup: FleetSetup) -> FleetSlots {
        let FleetSetup {
            own,
            life,
            peers,
            seats,
            drift,
            pools,
        } = setup;
        let pools = pools
            .into_iter()
            .map(|setup| (setup.key, Pool::new(now, life, drift, setup)))
            .collect();
        let peers = peers
            .into_iter()
            .filter(|peer| *peer != own)
            .map(|peer| (peer, true))
            .collect();
        FleetSlots {
            own,
            peers,
            seats,
            pools,
            due: now,
        }
    }

    /// A change of the list of replicas is asked by both lists for one window.
    pub fn seats(&mut self) -> &mut ReplicaConfiguration {
        &mut self.seats
    }

    fn to_seats(&self, now: Time, pool: PoolKey, words: Vec<Word>, out: &mut Effects<Self>) {
        for word in words {
            for to in self.seats.replicas_of(now, &pool.to_le_bytes()) {
                let message = Message {
                    pool,
                    word: word.clone(),
                };
                out.push(Effect::Send {
                    to: to.clone(),
                    message,
                });
            }
        }
    }

    fn step(&mut self, now: Time, out: &mut Effects<Self>) {
        let keys: Vec<PoolKey> = self.pools.keys().copied().collect();
        for key in keys {
            let sits = self.seats.is_replica(now, &key.to_le_bytes(), &self.own);
            let Some(pool) = self.pools.get_mut(&key) else {
                continue;
            };
            if sits {
                send_offers(pool, now, out);
            }
            let (target, short_elsewhere) = pool.divide(now, &self.own);
            let held = pool.holder.held();
            pool.target = if pool.leaving { 0 } else { target };
            let words = pool.claim(now, &self.seats);
            let back = held.saturating_sub(target).min(short_elsewhere);
            let most = if back > 0 {
                (held - back) as u16
            } else {
                u16::MAX
            };
            if pool.most.replace(most) != Some(most) {
                out.push(Effect::Emit(Told::Most { pool: key, most }));
            }
            let often = if pool.news { STEP } else { DIGEST };
            if pool
                .told
                .is_none_or(|told| now >= told.saturating_add(often))
            {
                pool.told = Some(now);
                pool.news = false;
                let digest = pool.digest();
                for (to, _) in self.peers.iter().filter(|(_, alive)| **alive) {
                    let word = Word::Digest(digest.clone());
                    out.push(Effect::Send {
                        to: to.clone(),
                        message: Message { pool: key, word },
                    });
                }
            }
            self.to_seats(now, key, words, out);
        }
        self.due = now.saturating_add(STEP);
    }
}

fn send_offers(pool: &mut Pool, now: Time, out: &mut Effects<FleetSlots>) {
    let offers = pool.offers(now).into_iter();
    out.extend(offers.map(|(to, message)| Effect::Send { to, message }));
}

impl StateMachine for FleetSlots {
    type Message = Message;
    type Command = Ask;
    type Event = Told;

    fn on_message(&mut self, now: Time, from: &Peer, message: Message, out: &mut Effects<Self>) {
        let Message { pool: key, word } = message;
        let sits = self.seats.is_replica(now, &key.to_le_bytes(), &self.own);
        let Some(pool) = self.pools.get_mut(&key) else {
            return;
        };
        match word {
            Word::Claim {
                life,
                number,
                slots,
                more,
            } if sits => {
                let said = pool.replica.claim(now, from, (life, number), &slots, more);
                let (slots, refused, vacant) = (said.granted, said.refused, said.vacant);
                let word = Word::Granted {
                    life,
                    number,
                    slots,
                    refused,
                    vacant,
                };
                out.push(Effect::Send {
                    to: from.clone(),
                    message: Message { pool: key, word },
                });
            }
            Word::Free {
                life,
                number,
                slots,
            } if sits => {
                pool.replica.free(from, (life, number), &slots);
                send_offers(pool, now, out);
            }
            Word::Granted {
                life,
                number,
                slots,
                refused,
                vacant,
            } if life == pool.holder.life => {
                let (won, word) = pool.holder.granted(now, from, (number, &slots, &refused));
                pool.holder.vacant(vacant);
                out.extend(
                    won.into_iter()
                        .filter_map(|won| pool.told_held(won))
                        .map(Effect::Emit),
                );
                let words = word
                    .into_iter()
                    .chain(pool.claim(now, &self.seats))
                    .collect();
                self.to_seats(now, key, words, out);
            }
            Word::Vacant { slots } => {
                pool.holder.vacant(slots);
                let words = pool.claim(now, &self.seats);
                self.to_seats(now, key, words, out);
            }
            Word::Digest(digest) if self.peers.contains_key(from) => {
                let by = pool.heard.hear(now, from, digest, pool.setup.slots);
                if !by.is_empty() {
                    out.push(Effect::Emit(Told::Used { pool: key, by }));
                }
            }
            _ => {}
        }
    }

    fn on_command(&mut self, now: Time, ask: Ask, out: &mut Effects<Self>) {
        match ask {
            Ask::Uses { pool, at, uses } => {
                let Some(pool) = self.pools.get_mut(&pool) else {
                    return;
                };
                pool.uses(now, at, uses);
            }
            Ask::Gave { pool: key, gave } => {
                let Some(pool) = self.pools.get_mut(&key) else {
                    return;
                };
                let word = pool.holder.gave(&gave);
                pool.news = true;
                self.to_seats(now, key, word.into_iter().collect(), out);
            }
            Ask::Weights {
                pool,
                named,
                unnamed,
            } => {
                let Some(pool) = self.pools.get_mut(&pool) else {
                    return;
                };
                pool.setup.weights = named.into_iter().collect();
                pool.setup.unnamed = unnamed;
            }
            Ask::Leaving { pool: key } => {
                let Some(pool) = self.pools.get_mut(&key) else {
                    return;
                };
                pool.leaving = true;
                out.push(Effect::Emit(Told::Most { pool: key, most: 0 }));
            }
        }
    }

    fn on_peer_status(&mut self, _: Time, peer: &Peer, alive: bool, _: &mut Effects<Self>) {
        self.peers
            .get_mut(peer)
            .into_iter()
            .for_each(|own| *own = alive);
        if !alive {
            self.pools
                .values_mut()
                .for_each(|pool| pool.heard.gone(peer));
        }
    }

    fn on_tick(&mut self, now: Time, out: &mut Effects<Self>) {
        if now >= self.due {
            self.step(now, out);
        }
    }

    fn next_tick(&self) -> Option<Time> {
        Some(self.due)
    }
}
