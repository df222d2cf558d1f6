//! A process's side of a branch: whom it is fed by, what it does when that one is silent, when it goes back. It is fed by
//! one relay at a time; a second is tried while the first may still speak, and whoever speaks first is kept.

use crate::context::{beat, Shared};
use crate::election::Candidates;
use crate::messages::Message;
use crate::planted::{planted, Fault};
use crate::readers::Reader;
use crate::ring::Ring;
use crate::source::Source;
use crate::types::{Branch, Event, Place, Slow, Stream, Told};
use foldmux_replicas::{Peer, Time};

/// A subscription at a relay.
pub(crate) struct Link {
    pub(crate) peer: Peer,
    pub(crate) nonce: u64,
    pub(crate) told: u64,
    pub(crate) acked: u64,
    pub(crate) asked: Time,
    pub(crate) heard: Time,
    /// It said to go elsewhere, and speaks on until that is done.
    pub(crate) over: bool,
    /// The epoch of the place that it feeds from.
    pub(crate) epoch: Option<u64>,
}

pub struct Follower {
    pub(crate) stream: Stream,
    pub(crate) branch: Branch,
    pub candidates: Candidates,
    pub ring: Ring,
    wanted: bool,
    pub(crate) now_by: Option<Link>,
    pub(crate) trial: Option<Link>,
    /// Reads the source itself.
    pub(crate) direct: Option<Reader>,
    /// Relays that were tried in vain since one last spoke.
    pub(crate) tries: u32,
    /// How often it was sent on since it last chose itself.
    pub(crate) hops: u32,
    /// When the next may be tried.
    pub(crate) next_try: Time,
    /// The last word of a relay or of the source.
    pub(crate) contact: Time,
    ticked: Time,
}

impl Follower {
    pub fn new(stream: &Stream, branch: Branch, candidates: Candidates) -> Follower {
        Follower {
            ring: Ring::new(stream),
            stream: stream.clone(),
            branch,
            candidates,
            wanted: false,
            now_by: None,
            trial: None,
            direct: None,
            tries: 0,
            hops: 0,
            next_try: 0,
            contact: 0,
            ticked: 0,
        }
    }

    pub fn direct(&self) -> bool {
        self.direct.is_some()
    }

    pub fn by(&self) -> Option<&Peer> {
        self.now_by.as_ref().map(|link| &link.peer)
    }

    pub fn wanted(&self) -> bool {
        self.wanted
    }

    /// Something feeds it.
    pub fn fed(&self) -> bool {
        self.now_by.is_some() || self.direct()
    }

    pub fn want(&mut self, now: Time, wanted: bool, shared: &mut Shared) {
        if self.wanted == wanted {
            return;
        }
        self.wanted = wanted;
        if wanted {
            (self.tries, self.next_try) = (0, now);
            self.tick(now, shared);
        } else {
            let links = [self.now_by.take(), self.trial.take()];
            links
                .into_iter()
                .flatten()
                .for_each(|link| self.leave(link, shared));
            self.direct = None;
        }
    }

    pub(crate) fn leave(&self, link: Link, shared: &mut Shared) {
        shared.send(
            &link.peer,
            Message::Leave {
                branch: self.branch.clone(),
                nonce: link.nonce,
            },
        );
    }

    pub(crate) fn join(
        &self,
        now: Time,
        peer: Peer,
        late: Option<Peer>,
        shared: &mut Shared,
    ) -> Link {
        let (branch, place, nonce) = (self.branch.clone(), self.ring.place(), shared.nonce());
        shared.send(
            &peer,
            Message::Join {
                branch,
                nonce,
                place,
                late,
                last: self.tries >= 3,
            },
        );
        Link {
            peer,
            nonce,
            told: 0,
            acked: 0,
            asked: now,
            heard: now,
            over: false,
            epoch: place.map(|place| place.epoch),
        }
    }

    pub(crate) fn try_next(&mut self, now: Time, to: Option<Peer>, shared: &mut Shared) {
        if let Some(link) = self.trial.take() {
            self.candidates.shun(&link.peer, now + shared.setup.lease);
            self.leave(link, shared);
        }
        let silent = self.now_by.as_ref().map(|link| link.peer.clone());
        let to = to.filter(|to| self.candidates.has(to) && Some(to) != silent.as_ref());
        let but: Vec<&Peer> = silent.iter().collect();
        let to = to.or_else(|| self.candidates.next(now, &shared.dead, &but).cloned());
        self.tries += u32::from(self.hops == 0);
        self.hops += 1;
        self.trial = to.map(|to| self.join(now, to, silent, shared));
    }

    fn silent(&self, now: Time) -> bool {
        self.now_by
            .as_ref()
            .is_none_or(|link| now >= link.heard + self.stream.patience)
    }

    /// What it waited for in its own numbers is longer ago than what a whole tells of: the source, asked from there, knows.
    pub(crate) fn stale(&self, now: Time) -> bool {
        !self.stream.shared
            && self.ring.place().is_some()
            && now > self.contact + self.stream.window / 2
    }

    pub fn tick(&mut self, now: Time, shared: &mut Shared) {
        self.ticked = now;
        let over = self.now_by.as_ref().is_some_and(|link| link.over);
        let silent = self.silent(now);
        if !self.wanted || !(silent || over) {
            return;
        }
        if silent && self.stale(now) && !self.direct() {
            self.go_direct(now, shared);
            return;
        }
        // One that is asked at the start may ask the seats first.
        let patience = if self.now_by.is_some() {
            beat(&self.stream)
        } else {
            self.stream.patience
        };
        let in_vain = self
            .trial
            .as_ref()
            .map_or(self.tries > 0, |link| now >= link.asked + patience);
        if in_vain && silent && !self.direct() {
            self.go_direct(now, shared);
        } else if self.tries == 0 || (in_vain && now >= self.next_try) {
            // While the source is read itself, one that stayed silent is no better than any other.
            if let Some(link) = self.now_by.take_if(|_| silent && self.direct.is_some()) {
                self.leave(link, shared);
            }
            self.hops = 0;
            self.try_next(now, None, shared);
            self.draw_next(now, shared);
        }
    }

    /// Drawn from a range that doubles: a fleet whose relays fell silent together does not come back in step.
    pub(crate) fn draw_next(&mut self, now: Time, shared: &mut Shared) {
        let most = (4 * self.stream.patience) << self.tries.min(5);
        let wait = if planted(Fault::ReturnsInStep) {
            most
        } else {
            shared.draw(self.stream.patience, most)
        };
        self.next_try = now + wait;
    }

    fn go_direct(&mut self, now: Time, shared: &mut Shared) {
        if planted(Fault::NeverDirect) || self.direct() {
            return;
        }
        self.direct = Some(Reader::new(now, 0, self.ring.place(), u64::MAX));
        self.draw_next(now, shared);
        shared.tell(Told::Relay {
            stream: self.stream.name.clone(),
            from: None,
        });
    }

    /// The source has spoken, or the ring of its reading has more.
    pub fn read_source(&mut self, now: Time, source: &Source) {
        if !source.fresh() {
            return;
        }
        while let Some(reader) = self.direct.as_mut() {
            let Ok(Some(run)) = reader.run(now, &source.ring, Slow::Skip) else {
                break;
            };
            // Its own place at the source is without a gap, however long it was away.
            self.contact = now;
            self.apply(now, run.events);
        }
        if self.direct() {
            self.contact = now;
        }
    }

    pub(crate) fn apply(&mut self, now: Time, events: Vec<Event>) {
        let mut short = false;
        let mut events = events.into_iter().peekable();
        while let Some(event) = events.next() {
            match event {
                Event::From { place } if self.ring.place().is_none() => {
                    self.ring.begin(place.epoch, place.number);
                }
                Event::From { .. } => {}
                Event::Item { epoch, item } => drop(self.ring.put(now, epoch, item)),
                Event::Whole {
                    place,
                    keyed,
                    recent,
                } => {
                    self.ring.whole(now, place, keyed, recent);
                    if std::mem::take(&mut short) {
                        self.ring.cut_at(now);
                    }
                }
                Event::Lost { epoch, to, .. } => {
                    // A whole behind it comes in its place, and the readers here are told the same.
                    short = matches!(events.peek(), Some(Event::Whole { .. }));
                    match to {
                        Some(to) if !short => self.ring.lost(epoch, to),
                        Some(_) => {}
                        None => self.ring.mark_gap(),
                    }
                }
            }
        }
    }

    /// Members say that a peer is gone: no need to wait for its silence.
    pub fn gone(&mut self, now: Time, peer: &Peer, shared: &mut Shared) {
        let patience = self.stream.patience;
        if let Some(link) = self.now_by.as_mut().filter(|link| link.peer == *peer) {
            link.heard = link.heard.min(now.saturating_sub(patience));
            self.tick(now, shared);
        }
    }

    pub fn place(&self) -> Option<Place> {
        self.ring.place()
    }

    pub fn due(&self) -> Option<Time> {
        let link = self
            .now_by
            .as_ref()
            .filter(|link| !link.over && self.trial.is_none());
        let silent = link.map(|link| link.heard + self.stream.patience);
        let often = self.ticked + (beat(&self.stream) / 4).max(1);
        self.wanted.then(|| silent.unwrap_or(0).max(often))
    }
}
