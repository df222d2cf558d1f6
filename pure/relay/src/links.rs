//! What a relay says to one that it feeds: which link speaks, in its own numbers, and what is done where something was lost.

use crate::context::Shared;
use crate::follow::{Follower, Link};
use crate::messages::Message;
use crate::planted::{planted, Fault};
use crate::types::{Event, Told};
use foldmux_replicas::{Peer, Time};

/// How often it goes on to another at a relay's word, until it chooses again itself.
const HOPS: u32 = 4;

impl Follower {
    /// The link that speaks; a relay on trial that speaks is the relay from here on.
    fn link(
        &mut self,
        now: Time,
        from: &Peer,
        nonce: u64,
        shared: &mut Shared,
    ) -> Option<&mut Link> {
        let speaks = |link: &Link| link.nonce == nonce && link.peer == *from;
        let stays = self.stays();
        let over = self.now_by.as_ref().is_some_and(|link| link.over);
        // Where each counts for itself, another that fed it meanwhile has moved its place: it is fed from there, or not.
        if let Some(link) = self.trial.take_if(|link| speaks(link) && !stays(link)) {
            self.trial = Some(self.join(now, link.peer, None, shared));
            return None;
        }
        if self
            .now_by
            .as_ref()
            .is_some_and(|link| speaks(link) && !stays(link))
        {
            self.again(now, shared);
            return None;
        }
        if self.trial.as_ref().is_some_and(speaks) {
            let former = std::mem::replace(&mut self.now_by, self.trial.take());
            if let Some(link) = former {
                if !over {
                    shared.send(
                        &link.peer,
                        Message::Late {
                            branch: self.branch.clone(),
                        },
                    );
                }
                self.leave(link, shared);
            }
            shared.tell(Told::Relay {
                stream: self.stream.name.clone(),
                from: Some(from.clone()),
            });
        } else if planted(Fault::StaleTaken) && self.now_by.is_some() {
        } else if !self.now_by.as_ref().is_some_and(speaks) {
            return None;
        } else if let Some(link) = self.trial.take_if(|_| !over) {
            // It was late, not dead.
            self.leave(link, shared);
            shared.send(
                from,
                Message::Late {
                    branch: self.branch.clone(),
                },
            );
        }
        if self.stale(now) {
            self.ring.mark_gap();
        }
        (self.direct, self.contact) = (None, now);
        self.tries = if over { self.tries } else { 0 };
        let link = self.now_by.as_mut().expect("just seen");
        link.heard = now;
        Some(link)
    }

    fn stays(&self) -> impl Fn(&Link) -> bool {
        let epoch = self.ring.place().map(|place| place.epoch);
        let any = self.stream.shared || planted(Fault::FeedsMixed);
        move |link| any || link.epoch == epoch
    }

    pub fn news(
        &mut self,
        now: Time,
        from: &Peer,
        nonce: u64,
        first: u64,
        events: Vec<Event>,
        shared: &mut Shared,
    ) {
        let Some(link) = self.link(now, from, nonce, shared) else {
            return;
        };
        match first {
            first if first == link.told + 1 => {
                link.told += events.iter().map(Event::span).sum::<u64>();
                let owed = link.told - link.acked >= self.stream.ahead / 2;
                self.apply(now, events);
                let epoch = self.ring.place().map(|place| place.epoch);
                self.now_by.iter_mut().for_each(|link| link.epoch = epoch);
                if owed {
                    self.ack(shared);
                }
            }
            _ if planted(Fault::StaleTaken) => self.apply(now, events),
            first if first > link.told => self.again(now, shared),
            _ => {}
        }
    }

    pub fn beaten(&mut self, now: Time, from: &Peer, nonce: u64, told: u64, shared: &mut Shared) {
        let Some(link) = self.link(now, from, nonce, shared) else {
            return;
        };
        if told > link.told {
            self.again(now, shared);
        } else {
            // Also where there is nothing to take: it says that this process is there.
            self.ack(shared);
        }
    }

    fn ack(&mut self, shared: &mut Shared) {
        if let Some(link) = &mut self.now_by {
            link.acked = link.told;
            let (branch, nonce, told) = (self.branch.clone(), link.nonce, link.told);
            shared.send(
                &link.peer,
                Message::Taken {
                    branch,
                    nonce,
                    told,
                },
            );
        }
    }

    /// Something on the way was lost: from the place that it has, of the same relay.
    fn again(&mut self, now: Time, shared: &mut Shared) {
        if let Some(link) = self.now_by.take() {
            let heard = link.heard;
            self.now_by = Some(Link {
                heard,
                ..self.join(now, link.peer, None, shared)
            });
        }
    }

    pub fn elsewhere(
        &mut self,
        now: Time,
        from: &Peer,
        nonce: u64,
        to: Option<Peer>,
        shared: &mut Shared,
    ) {
        let speaks = |link: &Link| link.nonce == nonce && link.peer == *from;
        self.candidates.shun(from, now + shared.setup.lease);
        if self.trial.as_ref().is_some_and(speaks) {
            if self.hops < HOPS {
                self.try_next(now, to, shared);
            } else {
                self.trial = None;
                self.draw_next(now, shared);
            }
        } else if let Some(link) = self.now_by.as_mut().filter(|link| speaks(link)) {
            link.over = true;
            if self.trial.is_none() {
                self.hops = 0;
                self.try_next(now, to, shared);
                self.draw_next(now, shared);
            }
        }
    }
}
