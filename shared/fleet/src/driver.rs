//! How one part is driven, whatever it decides: messages by postcard, those to oneself without a socket.

use crate::port::Sink;
use foldmux_replicas::Effects;
use foldmux_replicas::{Effect, Peer, StateMachine, Time};
use std::any::Any;
use std::collections::VecDeque;

/// Messages to oneself that are heard at one turn; those beyond are heard at the next, behind what came meanwhile.
pub const LOOPS: usize = 256;

/// A message for a peer, encoded.
pub type Frames = Vec<(Peer, Vec<u8>)>;

/// The bytes are no message of this part.
#[derive(Debug, PartialEq, Eq)]
pub struct Unreadable;

/// A part, its kinds put away.
pub trait Driven: Send {
    fn heard(
        &mut self,
        now: Time,
        from: &Peer,
        bytes: &[u8],
        out: &mut Frames,
    ) -> Result<(), Unreadable>;
    /// An ask of another kind than the part's is passed over.
    fn ask(&mut self, now: Time, ask: Box<dyn Any + Send>, out: &mut Frames);
    fn peer(&mut self, now: Time, peer: &Peer, alive: bool, out: &mut Frames);
    fn tick(&mut self, now: Time, out: &mut Frames);
    fn due(&self) -> Option<Time>;
    /// It is out of service.
    fn gone(&self);
}

pub struct Driver<P: StateMachine> {
    own: Peer,
    part: P,
    sink: Box<dyn Sink<P::Event>>,
    acts: Effects<P>,
    /// To oneself, not heard yet.
    own_messages: VecDeque<P::Message>,
}

impl<P: StateMachine> Driver<P> {
    pub fn new(own: Peer, part: P, sink: Box<dyn Sink<P::Event>>) -> Driver<P> {
        Driver {
            own,
            part,
            sink,
            acts: Vec::new(),
            own_messages: VecDeque::new(),
        }
    }

    /// Carries out what the part wants, and what comes of that.
    fn settle(&mut self, now: Time, out: &mut Frames) {
        for _ in 0..LOOPS {
            self.carry_out(out);
            let Some(message) = self.own_messages.pop_front() else {
                return;
            };
            self.part
                .on_message(now, &self.own, message, &mut self.acts);
        }
        self.carry_out(out);
    }

    fn carry_out(&mut self, out: &mut Frames) {
        for act in self.acts.drain(..) {
            match act {
                Effect::Emit(told) => self.sink.told(told),
                Effect::Send { to, message } if to == self.own => {
                    self.own_messages.push_back(message)
                }
                // Only a map without a length, or one that a sequence is not told of, can't be written: none is sent.
                Effect::Send { to, message } => {
                    out.extend(postcard::to_allocvec(&message).map(|bytes| (to, bytes)))
                }
            }
        }
    }
}

impl<P> Driven for Driver<P>
where
    P: StateMachine + Send,
    P::Message: Send,
    P::Command: 'static,
    P::Event: Send,
{
    fn heard(
        &mut self,
        now: Time,
        from: &Peer,
        bytes: &[u8],
        out: &mut Frames,
    ) -> Result<(), Unreadable> {
        let Ok((message, [])) = postcard::take_from_bytes(bytes) else {
            return Err(Unreadable);
        };
        self.part.on_message(now, from, message, &mut self.acts);
        self.settle(now, out);
        Ok(())
    }

    fn ask(&mut self, now: Time, ask: Box<dyn Any + Send>, out: &mut Frames) {
        if let Ok(ask) = ask.downcast() {
            self.part.on_command(now, *ask, &mut self.acts);
            self.settle(now, out);
        }
    }

    fn peer(&mut self, now: Time, peer: &Peer, alive: bool, out: &mut Frames) {
        self.part.on_peer_status(now, peer, alive, &mut self.acts);
        self.settle(now, out);
    }

    fn tick(&mut self, now: Time, out: &mut Frames) {
        if self.part.next_tick().is_some_and(|due| due <= now) {
            self.part.on_tick(now, &mut self.acts);
        }
        self.settle(now, out);
    }

    fn due(&self) -> Option<Time> {
        // What it has to say to itself is due at once.
        if self.own_messages.is_empty() {
            self.part.next_tick()
        } else {
            Some(0)
        }
    }

    fn gone(&self) {
        self.sink.gone();
    }
}
