//! The context of a step of the state machine.

use crate::interface::Event;
use crate::messages::Message;
use crate::setup::Setup;
use foldmux_replicas::{Effect, Peer, Time};

/// The time and the configuration of a step, and the buffer for its effects.
pub struct Context<'a> {
    pub now: Time,
    pub setup: &'a Setup,
    pub effects: &'a mut Vec<Effect<Message, Event>>,
}

impl Context<'_> {
    pub fn emit(&mut self, event: Event) {
        self.effects.push(Effect::Emit(event));
    }

    pub fn send(&mut self, to: &Peer, message: Message) {
        self.effects.push(Effect::Send {
            to: to.clone(),
            message,
        });
    }
}
