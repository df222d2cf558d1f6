//! A follower's handling of a relay's messages: which link they belong to, their numbering, and recovery from
//! lost ones.

use crate::context::Context;
use crate::follower::{Follower, Link};
use crate::messages::Message;
use crate::planted::{planted, Fault};
use crate::types::{Event, Notification};
use foldmux_replicas::{Peer, Time};

/// Most redirects that are followed before this process chooses a candidate itself again.
const MAX_REDIRECTS: u32 = 4;

impl Follower {
    /// The active link if the message belongs to it. A link on trial becomes the active one with its first
    /// message.
    fn accept_link(
        &mut self,
        now: Time,
        from: &Peer,
        nonce: u64,
        ctx: &mut Context,
    ) -> Option<&mut Link> {
        let is_sender = |link: &Link| link.nonce == nonce && link.peer == *from;
        let unchanged = self.position_unchanged();
        let redirected = self.active.as_ref().is_some_and(|link| link.redirected);
        // Where each process numbers the items by itself, another relay or the source may have moved this
        // process's position since it joined. It must then join again from its new position.
        if let Some(link) = self
            .trial
            .take_if(|link| is_sender(link) && !unchanged(link))
        {
            self.trial = Some(self.send_join(now, link.peer, None, ctx));
            return None;
        }
        if self
            .active
            .as_ref()
            .is_some_and(|link| is_sender(link) && !unchanged(link))
        {
            self.rejoin(now, ctx);
            return None;
        }
        if self.trial.as_ref().is_some_and(is_sender) {
            let former = std::mem::replace(&mut self.active, self.trial.take());
            if let Some(link) = former {
                if !redirected {
                    ctx.send(
                        &link.peer,
                        Message::Late {
                            branch: self.branch.clone(),
                        },
                    );
                }
                self.send_leave(link, ctx);
            }
            ctx.emit(Notification::Upstream {
                stream: self.stream.name.clone(),
                from: Some(from.clone()),
            });
        } else if planted(Fault::AcceptsStaleRelay) && self.active.is_some() {
        } else if !self.active.as_ref().is_some_and(is_sender) {
            return None;
        } else if let Some(link) = self.trial.take_if(|_| !redirected) {
            // The active relay was late, not dead.
            self.send_leave(link, ctx);
            ctx.send(
                from,
                Message::Late {
                    branch: self.branch.clone(),
                },
            );
        }
        if self.is_stale(now) {
            self.ring.mark_gap();
        }
        (self.direct, self.last_contact) = (None, now);
        self.failed_attempts = if redirected { self.failed_attempts } else { 0 };
        let link = self.active.as_mut().expect("just seen");
        link.last_heard = now;
        Some(link)
    }

    fn position_unchanged(&self) -> impl Fn(&Link) -> bool {
        let epoch = self.ring.position().map(|position| position.epoch);
        let always = self.stream.shared_numbering || planted(Fault::ResumesMovedPosition);
        move |link| always || link.epoch == epoch
    }

    pub fn on_events(
        &mut self,
        now: Time,
        from: &Peer,
        nonce: u64,
        first: u64,
        events: Vec<Event>,
        ctx: &mut Context,
    ) {
        let Some(link) = self.accept_link(now, from, nonce, ctx) else {
            return;
        };
        match first {
            first if first == link.received + 1 => {
                link.received += events.iter().map(Event::span).sum::<u64>();
                let acknowledge_now =
                    link.received - link.acknowledged >= self.stream.max_unacknowledged / 2;
                self.apply(now, events);
                let epoch = self.ring.position().map(|position| position.epoch);
                self.active.iter_mut().for_each(|link| link.epoch = epoch);
                if acknowledge_now {
                    self.acknowledge(ctx);
                }
            }
            _ if planted(Fault::AcceptsStaleRelay) => self.apply(now, events),
            first if first > link.received => self.rejoin(now, ctx),
            _ => {}
        }
    }

    pub fn on_heartbeat(
        &mut self,
        now: Time,
        from: &Peer,
        nonce: u64,
        sent: u64,
        ctx: &mut Context,
    ) {
        let Some(link) = self.accept_link(now, from, nonce, ctx) else {
            return;
        };
        if sent > link.received {
            self.rejoin(now, ctx);
        } else {
            // Also without new events: it shows the relay that this process is alive.
            self.acknowledge(ctx);
        }
    }

    fn acknowledge(&mut self, ctx: &mut Context) {
        if let Some(link) = &mut self.active {
            link.acknowledged = link.received;
            let (branch, nonce, received) = (self.branch.clone(), link.nonce, link.received);
            ctx.send(
                &link.peer,
                Message::Acknowledge {
                    branch,
                    nonce,
                    received,
                },
            );
        }
    }

    /// Joins the same relay again from the current position, after a message was lost.
    fn rejoin(&mut self, now: Time, ctx: &mut Context) {
        if let Some(link) = self.active.take() {
            let last_heard = link.last_heard;
            self.active = Some(Link {
                last_heard,
                ..self.send_join(now, link.peer, None, ctx)
            });
        }
    }

    pub fn on_redirect(
        &mut self,
        now: Time,
        from: &Peer,
        nonce: u64,
        to: Option<Peer>,
        ctx: &mut Context,
    ) {
        let is_sender = |link: &Link| link.nonce == nonce && link.peer == *from;
        self.candidates.exclude(from, now + ctx.config.lease);
        if self.trial.as_ref().is_some_and(is_sender) {
            if self.redirects < MAX_REDIRECTS {
                self.try_candidate(now, to, ctx);
            } else {
                self.trial = None;
                self.schedule_attempt(now, ctx);
            }
        } else if let Some(link) = self.active.as_mut().filter(|link| is_sender(link)) {
            link.redirected = true;
            if self.trial.is_none() {
                self.redirects = 0;
                self.try_candidate(now, to, ctx);
                self.schedule_attempt(now, ctx);
            }
        }
    }
}
