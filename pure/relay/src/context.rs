//! What the pieces of the part need of it while one thing is dealt with.

use crate::messages::Message;
use crate::types::{Setup, Stream, Told};
use foldmux_replicas::{Effect, Peer, Time};
use rand::rngs::Xoshiro256PlusPlus;
use rand::{RngExt, SeedableRng};
use std::collections::BTreeMap;

/// What is the process's, over all branches.
pub struct Shared {
    pub setup: Setup,
    /// Those that members say are gone: a hint. Only processes that the file names are remembered.
    pub dead: BTreeMap<Peer, ()>,
    pub leaving: bool,
    nonce: u64,
    draws: Xoshiro256PlusPlus,
    pub out: Vec<Effect<Message, Told>>,
}

impl Shared {
    pub fn new(setup: Setup) -> Shared {
        let draws = Xoshiro256PlusPlus::seed_from_u64(setup.seed);
        Shared {
            dead: BTreeMap::new(),
            leaving: false,
            nonce: setup.life,
            draws,
            out: Vec::new(),
            setup,
        }
    }

    pub fn send(&mut self, to: &Peer, message: Message) {
        self.out.push(Effect::Send {
            to: to.clone(),
            message,
        });
    }

    pub fn tell(&mut self, told: Told) {
        self.out.push(Effect::Emit(told));
    }

    /// Greater than any before it, in this life and in earlier ones.
    pub fn nonce(&mut self) -> u64 {
        self.nonce += 1;
        self.nonce
    }

    /// Evenly between the two.
    pub fn draw(&mut self, from: Time, to: Time) -> Time {
        self.draws.random_range(from..=to.max(from))
    }
}

/// A beat comes three times within the patience; a second relay is given as long before the source itself is asked.
pub fn beat(stream: &Stream) -> Time {
    (stream.patience / 3).max(1)
}
