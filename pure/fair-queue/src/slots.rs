//! The fleet's part of a pool: numbered slots, each leased to one process at a time by the pool's three replicas.
//!
//! A process holds a slot while two of the three replicas lease it to the process, for a shorter time by the
//! process's own clock than by theirs. No two processes hold the same number, so the sum never exceeds the pool's
//! limit. A process that is cut off from the replicas loses slots as their leases expire, down to none. The slots of
//! an incarnation that ended stay leased for one lease and become vacant once: at the replicas, by their clocks.
//!
//! Idle slots are lent: a process keeps what it holds until another lacks slots of its share. Then it returns what it
//! holds above its own share ([`crate::division`]): idle slots at once, and those in use as their requests end.

use crate::fleet_pool::FleetPool;
pub use crate::fleet_pool::PoolSetup;
use crate::message::{Command, Event, Message, MessageBody, PoolKey};
use crate::{Peer, Time};
use foldmux_replicas::{ClockDrift, Effect, Effects, ReplicaConfiguration, StateMachine};
use std::collections::BTreeMap;

/// How often the division of each pool is computed and vacant slots are offered (us).
pub const DIVISION_INTERVAL: Time = 20_000;
/// How often a digest is sent if demand does not change (us).
pub const DIGEST_INTERVAL: Time = 200_000;

/// Configuration of [`FleetSlots`].
#[derive(Clone, Debug)]
pub struct FleetSetup {
    pub own: Peer,
    /// Differs for each start of this process.
    pub incarnation: u64,
    pub peers: Vec<Peer>,
    pub replicas: ReplicaConfiguration,
    pub drift: ClockDrift,
    pub pools: Vec<PoolSetup>,
}

/// All pools of the fleet at one process.
#[derive(Debug)]
pub struct FleetSlots {
    own: Peer,
    /// The other processes, and whether each is alive.
    peers: BTreeMap<Peer, bool>,
    replicas: ReplicaConfiguration,
    pools: BTreeMap<PoolKey, FleetPool>,
    /// When [`FleetSlots::step`] runs next (us).
    next_step: Time,
}

impl FleetSlots {
    pub fn new(now: Time, setup: FleetSetup) -> FleetSlots {
        let FleetSetup {
            own,
            incarnation,
            peers,
            replicas,
            drift,
            pools,
        } = setup;
        let pools = pools
            .into_iter()
            .map(|setup| (setup.key, FleetPool::new(now, incarnation, drift, setup)))
            .collect();
        let peers = peers
            .into_iter()
            .filter(|peer| *peer != own)
            .map(|peer| (peer, true))
            .collect();
        FleetSlots {
            own,
            peers,
            replicas,
            pools,
            next_step: now,
        }
    }

    /// The replicas. During a change of the list both lists vote, for one window.
    pub fn replicas_mut(&mut self) -> &mut ReplicaConfiguration {
        &mut self.replicas
    }

    /// Sends messages to each replica of a pool.
    fn send_to_replicas(
        &self,
        now: Time,
        pool: PoolKey,
        bodies: Vec<MessageBody>,
        out: &mut Effects<Self>,
    ) {
        for body in bodies {
            for to in self.replicas.replicas_of(now, &pool.to_le_bytes()) {
                let message = Message {
                    pool,
                    body: body.clone(),
                };
                out.push(Effect::Send {
                    to: to.clone(),
                    message,
                });
            }
        }
    }

    /// Recomputes the division of each pool, claims or calls back slots, and sends digests that are due.
    fn step(&mut self, now: Time, out: &mut Effects<Self>) {
        let keys: Vec<PoolKey> = self.pools.keys().copied().collect();
        for key in keys {
            let is_replica = self.replicas.is_replica(now, &key.to_le_bytes(), &self.own);
            let Some(pool) = self.pools.get_mut(&key) else {
                continue;
            };
            if is_replica {
                send_offers(pool, now, out);
            }
            let (target, short_elsewhere) = pool.divide(now, &self.own);
            let held = pool.holder.held_count();
            pool.target = if pool.leaving { 0 } else { target };
            let bodies = pool.claims(now, &self.replicas);
            let callback = held.saturating_sub(target).min(short_elsewhere);
            let limit = if callback > 0 {
                (held - callback) as u16
            } else {
                u16::MAX
            };
            if pool.hold_limit.replace(limit) != Some(limit) {
                out.push(Effect::Emit(Event::HoldLimit { pool: key, limit }));
            }
            let interval = if pool.digest_pending {
                DIVISION_INTERVAL
            } else {
                DIGEST_INTERVAL
            };
            if pool
                .digest_sent_at
                .is_none_or(|sent_at| now >= sent_at.saturating_add(interval))
            {
                pool.digest_sent_at = Some(now);
                pool.digest_pending = false;
                let digest = pool.digest();
                for (to, _) in self.peers.iter().filter(|(_, alive)| **alive) {
                    let body = MessageBody::Digest(digest.clone());
                    out.push(Effect::Send {
                        to: to.clone(),
                        message: Message { pool: key, body },
                    });
                }
            }
            self.send_to_replicas(now, key, bodies, out);
        }
        self.next_step = now.saturating_add(DIVISION_INTERVAL);
    }
}

fn send_offers(pool: &mut FleetPool, now: Time, out: &mut Effects<FleetSlots>) {
    let offers = pool.offers(now).into_iter();
    out.extend(offers.map(|(to, message)| Effect::Send { to, message }));
}

impl StateMachine for FleetSlots {
    type Message = Message;
    type Command = Command;
    type Event = Event;

    fn on_message(&mut self, now: Time, from: &Peer, message: Message, out: &mut Effects<Self>) {
        let Message { pool: key, body } = message;
        let is_replica = self.replicas.is_replica(now, &key.to_le_bytes(), &self.own);
        let Some(pool) = self.pools.get_mut(&key) else {
            return;
        };
        match body {
            MessageBody::Claim {
                incarnation,
                number,
                slots,
                additional,
            } if is_replica => {
                let reply =
                    pool.replica
                        .claim(now, from, (incarnation, number), &slots, additional);
                let (granted, refused, vacant) = (reply.granted, reply.refused, reply.vacant);
                let body = MessageBody::ClaimReply {
                    incarnation,
                    number,
                    granted,
                    refused,
                    vacant,
                };
                out.push(Effect::Send {
                    to: from.clone(),
                    message: Message { pool: key, body },
                });
            }
            MessageBody::Release {
                incarnation,
                number,
                slots,
            } if is_replica => {
                pool.replica.release(from, (incarnation, number), &slots);
                send_offers(pool, now, out);
            }
            MessageBody::ClaimReply {
                incarnation,
                number,
                granted,
                refused,
                vacant,
            } if incarnation == pool.holder.incarnation => {
                let (acquired, body) =
                    pool.holder
                        .on_reply(now, from, (number, &granted, &refused));
                pool.holder.add_offered(vacant);
                out.extend(
                    acquired
                        .into_iter()
                        .filter_map(|acquired| pool.slot_held_event(acquired))
                        .map(Effect::Emit),
                );
                let bodies = body
                    .into_iter()
                    .chain(pool.claims(now, &self.replicas))
                    .collect();
                self.send_to_replicas(now, key, bodies, out);
            }
            MessageBody::Vacant { slots } => {
                pool.holder.add_offered(slots);
                let bodies = pool.claims(now, &self.replicas);
                self.send_to_replicas(now, key, bodies, out);
            }
            MessageBody::Digest(digest) if self.peers.contains_key(from) => {
                let usage = pool
                    .peer_usage
                    .on_digest(now, from, digest, pool.setup.slots);
                if !usage.is_empty() {
                    out.push(Effect::Emit(Event::RemoteUsage { pool: key, usage }));
                }
            }
            _ => {}
        }
    }

    fn on_command(&mut self, now: Time, command: Command, out: &mut Effects<Self>) {
        match command {
            Command::ReportUsage { pool, at, usage } => {
                let Some(pool) = self.pools.get_mut(&pool) else {
                    return;
                };
                pool.on_usage(now, at, usage);
            }
            Command::ReturnSlots { pool: key, slots } => {
                let Some(pool) = self.pools.get_mut(&key) else {
                    return;
                };
                let body = pool.holder.return_slots(&slots);
                pool.digest_pending = true;
                self.send_to_replicas(now, key, body.into_iter().collect(), out);
            }
            Command::SetWeights {
                pool,
                named,
                unnamed_weight,
            } => {
                let Some(pool) = self.pools.get_mut(&pool) else {
                    return;
                };
                pool.setup.weights = named.into_iter().collect();
                pool.setup.unnamed_weight = unnamed_weight;
            }
            Command::Leave { pool: key } => {
                let Some(pool) = self.pools.get_mut(&key) else {
                    return;
                };
                pool.leaving = true;
                out.push(Effect::Emit(Event::HoldLimit {
                    pool: key,
                    limit: 0,
                }));
            }
        }
    }

    fn on_peer_status(&mut self, _: Time, peer: &Peer, alive: bool, _: &mut Effects<Self>) {
        self.peers
            .get_mut(peer)
            .into_iter()
            .for_each(|state| *state = alive);
        if !alive {
            self.pools
                .values_mut()
                .for_each(|pool| pool.peer_usage.forget(peer));
        }
    }

    fn on_tick(&mut self, now: Time, out: &mut Effects<Self>) {
        if now >= self.next_step {
            self.step(now, out);
        }
    }

    fn next_tick(&self) -> Option<Time> {
        Some(self.next_step)
    }
}
