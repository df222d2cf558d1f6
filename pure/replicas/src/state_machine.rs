//! The interface of a deterministic state machine: messages, commands and time in, effects out.
//!
//! A state machine is driven by one owner: the fleet's thread (`shared/fleet`) in a process, a simulator in
//! virtual time. It never blocks, does no I/O and reads no clock, and all its state is bounded. Its effects
//! are carried out in the order in which it pushed them.

use crate::{Peer, Time};
use serde::de::DeserializeOwned;
use serde::Serialize;

/// One output of a state machine.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect<M, E> {
    /// Send a message once. Delivery is not guaranteed; messages stay in order while the link lasts. A message
    /// to the process itself comes back to [`StateMachine::on_message`].
    Send {
        /// The receiver.
        to: Peer,
        /// What it receives.
        message: M,
    },
    /// Emit an event to this process.
    Emit(E),
}

/// The output buffer that a state machine pushes its effects to.
pub type Effects<S> = Vec<Effect<<S as StateMachine>::Message, <S as StateMachine>::Event>>;

/// A deterministic state machine of the fleet.
pub trait StateMachine {
    /// What its instances in different processes send to each other. The driver encodes it.
    type Message: Serialize + DeserializeOwned;
    /// What this process requests of it.
    type Command;
    /// What it reports to this process.
    type Event;

    /// Handles a message from a peer, or from this process. A message may arrive twice, late, out of order
    /// after a reconnect, or never.
    fn on_message(
        &mut self,
        now: Time,
        from: &Peer,
        message: Self::Message,
        effects: &mut Effects<Self>,
    );

    /// Handles a command of this process.
    fn on_command(&mut self, now: Time, command: Self::Command, effects: &mut Effects<Self>);

    /// Handles what the membership reports of a peer. It is a hint, never proof that the peer is dead.
    fn on_peer_status(&mut self, now: Time, peer: &Peer, alive: bool, effects: &mut Effects<Self>);

    /// Handles the timers that are due. Called at [`StateMachine::next_tick`] or later.
    fn on_tick(&mut self, now: Time, effects: &mut Effects<Self>);

    /// When the next timer is due, if one is set.
    fn next_tick(&self) -> Option<Time>;
}
