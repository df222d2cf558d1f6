//! The state that all branches of a process share while they handle an input.

use crate::messages::Message;
use crate::types::{Notification, RelayConfig, StreamConfig};
use foldmux_replicas::{Effect, Peer, Time};
use rand::rngs::Xoshiro256PlusPlus;
use rand::{RngExt, SeedableRng};
use std::collections::BTreeMap;

/// The state of the process that belongs to no single branch.
pub struct Context {
    pub config: RelayConfig,
    /// Peers that the membership reports as dead. This is a hint. Only configured peers are kept, so the map
    /// is bounded.
    pub dead: BTreeMap<Peer, ()>,
    pub draining: bool,
    nonce: u64,
    rng: Xoshiro256PlusPlus,
    pub effects: Vec<Effect<Message, Notification>>,
}

impl Context {
    pub fn new(config: RelayConfig) -> Context {
        let rng = Xoshiro256PlusPlus::seed_from_u64(config.seed);
        Context {
            dead: BTreeMap::new(),
            draining: false,
            nonce: config.incarnation,
            rng,
            effects: Vec::new(),
            config,
        }
    }

    pub fn send(&mut self, to: &Peer, message: Message) {
        self.effects.push(Effect::Send {
            to: to.clone(),
            message,
        });
    }

    pub fn emit(&mut self, notification: Notification) {
        self.effects.push(Effect::Emit(notification));
    }

    /// A number greater than any before it, in this run of the process and in earlier ones.
    pub fn next_nonce(&mut self) -> u64 {
        self.nonce += 1;
        self.nonce
    }

    /// A time drawn evenly from this range.
    pub fn random_between(&mut self, from: Time, to: Time) -> Time {
        self.rng.random_range(from..=to.max(from))
    }
}

/// The time between two heartbeats: a third of the silence timeout. A second relay is given as long to answer
/// before a process reads the source itself.
pub fn heartbeat_interval(stream: &StreamConfig) -> Time {
    (stream.silence_timeout / 3).max(1)
}
