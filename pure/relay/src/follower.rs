//! A process as the follower of a branch: which relay it receives from, what it does when that relay is
//! silent, and when it returns from the source to a relay. It receives from one relay at a time. While that
//! one is silent a second is tried, and the first of the two to answer is kept.

use crate::context::{heartbeat_interval, Context};
use crate::election::Candidates;
use crate::messages::Message;
use crate::planted::{planted, Fault};
use crate::readers::Reader;
use crate::ring::Ring;
use crate::source::Source;
use crate::types::{Branch, Event, Notification, Position, SlowReaderPolicy, StreamConfig};
use foldmux_replicas::{Peer, Time};

/// A subscription at a relay.
pub(crate) struct Link {
    pub(crate) peer: Peer,
    pub(crate) nonce: u64,
    /// The last event number that was received, and the last that was acknowledged.
    pub(crate) received: u64,
    pub(crate) acknowledged: u64,
    pub(crate) joined_at: Time,
    pub(crate) last_heard: Time,
    /// The relay redirected this process, and sends on until the process has moved.
    pub(crate) redirected: bool,
    /// The epoch of the position that the relay sends from.
    pub(crate) epoch: Option<u64>,
}

pub struct Follower {
    pub(crate) stream: StreamConfig,
    pub(crate) branch: Branch,
    pub candidates: Candidates,
    pub ring: Ring,
    wanted: bool,
    /// The relay that this process receives from.
    pub(crate) active: Option<Link>,
    /// A second relay, which is tried while the active one is silent or has redirected this process.
    pub(crate) trial: Option<Link>,
    /// Set while this process reads the source itself.
    pub(crate) direct: Option<Reader>,
    /// Candidates that were tried without success since a relay last answered.
    pub(crate) failed_attempts: u32,
    /// Redirects followed since this process last chose a candidate itself.
    pub(crate) redirects: u32,
    /// When the next candidate may be tried.
    pub(crate) next_attempt: Time,
    /// When a relay or the source was last heard.
    pub(crate) last_contact: Time,
    last_tick: Time,
}

impl Follower {
    pub fn new(stream: &StreamConfig, branch: Branch, candidates: Candidates) -> Follower {
        Follower {
            ring: Ring::new(stream),
            stream: stream.clone(),
            branch,
            candidates,
            wanted: false,
            active: None,
            trial: None,
            direct: None,
            failed_attempts: 0,
            redirects: 0,
            next_attempt: 0,
            last_contact: 0,
            last_tick: 0,
        }
    }

    pub fn is_direct(&self) -> bool {
        self.direct.is_some()
    }

    pub fn upstream(&self) -> Option<&Peer> {
        self.active.as_ref().map(|link| &link.peer)
    }

    pub fn is_wanted(&self) -> bool {
        self.wanted
    }

    /// Whether a relay or the source delivers the branch.
    pub fn is_fed(&self) -> bool {
        self.active.is_some() || self.is_direct()
    }

    pub fn set_wanted(&mut self, now: Time, wanted: bool, ctx: &mut Context) {
        if self.wanted == wanted {
            return;
        }
        self.wanted = wanted;
        if wanted {
            (self.failed_attempts, self.next_attempt) = (0, now);
            self.tick(now, ctx);
        } else {
            let links = [self.active.take(), self.trial.take()];
            links
                .into_iter()
                .flatten()
                .for_each(|link| self.send_leave(link, ctx));
            self.direct = None;
        }
    }

    pub(crate) fn send_leave(&self, link: Link, ctx: &mut Context) {
        ctx.send(
            &link.peer,
            Message::Leave {
                branch: self.branch.clone(),
                nonce: link.nonce,
            },
        );
    }

    pub(crate) fn send_join(
        &self,
        now: Time,
        peer: Peer,
        replaces: Option<Peer>,
        ctx: &mut Context,
    ) -> Link {
        let (branch, position, nonce) =
            (self.branch.clone(), self.ring.position(), ctx.next_nonce());
        ctx.send(
            &peer,
            Message::Join {
                branch,
                nonce,
                position,
                replaces,
                last_resort: self.failed_attempts >= 3,
            },
        );
        Link {
            peer,
            nonce,
            received: 0,
            acknowledged: 0,
            joined_at: now,
            last_heard: now,
            redirected: false,
            epoch: position.map(|position| position.epoch),
        }
    }

    pub(crate) fn try_candidate(&mut self, now: Time, to: Option<Peer>, ctx: &mut Context) {
        if let Some(link) = self.trial.take() {
            self.candidates.exclude(&link.peer, now + ctx.config.lease);
            self.send_leave(link, ctx);
        }
        let silent = self.active.as_ref().map(|link| link.peer.clone());
        let to = to.filter(|to| self.candidates.contains(to) && Some(to) != silent.as_ref());
        let except: Vec<&Peer> = silent.iter().collect();
        let to = to.or_else(|| self.candidates.next(now, &ctx.dead, &except).cloned());
        self.failed_attempts += u32::from(self.redirects == 0);
        self.redirects += 1;
        self.trial = to.map(|to| self.send_join(now, to, silent, ctx));
    }

    fn is_silent(&self, now: Time) -> bool {
        self.active
            .as_ref()
            .is_none_or(|link| now >= link.last_heard + self.stream.silence_timeout)
    }

    /// Whether this process was without contact for so long that a snapshot may lack items that it missed.
    /// Only the source, read from this process's own position, has them. Applies where each process numbers
    /// the items by itself.
    pub(crate) fn is_stale(&self, now: Time) -> bool {
        !self.stream.shared_numbering
            && self.ring.position().is_some()
            && now > self.last_contact + self.stream.snapshot_window / 2
    }

    pub fn tick(&mut self, now: Time, ctx: &mut Context) {
        self.last_tick = now;
        let redirected = self.active.as_ref().is_some_and(|link| link.redirected);
        let silent = self.is_silent(now);
        if !self.wanted || !(silent || redirected) {
            return;
        }
        if silent && self.is_stale(now) && !self.is_direct() {
            self.read_directly(now, ctx);
            return;
        }
        // At the start, the candidate may have to ask the replicas before it answers.
        let trial_timeout = if self.active.is_some() {
            heartbeat_interval(&self.stream)
        } else {
            self.stream.silence_timeout
        };
        let trial_failed = self
            .trial
            .as_ref()
            .map_or(self.failed_attempts > 0, |link| {
                now >= link.joined_at + trial_timeout
            });
        if trial_failed && silent && !self.is_direct() {
            self.read_directly(now, ctx);
        } else if self.failed_attempts == 0 || (trial_failed && now >= self.next_attempt) {
            // While the source is read directly, the silent relay has no preference over other candidates.
            if let Some(link) = self.active.take_if(|_| silent && self.direct.is_some()) {
                self.send_leave(link, ctx);
            }
            self.redirects = 0;
            self.try_candidate(now, None, ctx);
            self.schedule_attempt(now, ctx);
        }
    }

    /// Sets the time of the next attempt, drawn from a range that doubles with each failure. Processes whose
    /// relays fall silent together must not retry at the same moment.
    pub(crate) fn schedule_attempt(&mut self, now: Time, ctx: &mut Context) {
        let longest = (4 * self.stream.silence_timeout) << self.failed_attempts.min(5);
        let wait = if planted(Fault::RetriesInStep) {
            longest
        } else {
            ctx.random_between(self.stream.silence_timeout, longest)
        };
        self.next_attempt = now + wait;
    }

    fn read_directly(&mut self, now: Time, ctx: &mut Context) {
        if planted(Fault::NeverReadsSource) || self.is_direct() {
            return;
        }
        self.direct = Some(Reader::new(now, 0, self.ring.position(), u64::MAX));
        self.schedule_attempt(now, ctx);
        ctx.emit(Notification::Upstream {
            stream: self.stream.name.clone(),
            from: None,
        });
    }

    /// Takes the new items of this process's own reading of the source.
    pub fn read_source(&mut self, now: Time, source: &Source) {
        if !source.is_fresh() {
            return;
        }
        while let Some(reader) = self.direct.as_mut() {
            let Ok(Some(batch)) = reader.next_batch(now, &source.ring, SlowReaderPolicy::Skip)
            else {
                break;
            };
            // This process's own position at the source has no gap, however long the process was away.
            self.last_contact = now;
            self.apply(now, batch.events);
        }
        if self.is_direct() {
            self.last_contact = now;
        }
    }

    pub(crate) fn apply(&mut self, now: Time, events: Vec<Event>) {
        let mut truncated = false;
        let mut events = events.into_iter().peekable();
        while let Some(event) = events.next() {
            match event {
                Event::Start { position } if self.ring.position().is_none() => {
                    self.ring.start_epoch(position.epoch, position.number);
                }
                Event::Start { .. } => {}
                Event::Item { epoch, item } => drop(self.ring.insert(now, epoch, item)),
                Event::Snapshot {
                    position,
                    keyed,
                    recent,
                } => {
                    self.ring.apply_snapshot(now, position, keyed, recent);
                    if std::mem::take(&mut truncated) {
                        self.ring.truncate_at(now);
                    }
                }
                Event::Gap { epoch, to, .. } => {
                    // The snapshot behind the gap replaces the missing items. The readers of this process are
                    // told of the gap too.
                    truncated = matches!(events.peek(), Some(Event::Snapshot { .. }));
                    match to {
                        Some(to) if !truncated => self.ring.skip_to(epoch, to),
                        Some(_) => {}
                        None => self.ring.mark_gap(),
                    }
                }
            }
        }
    }

    /// Handles a report of the membership that a peer is dead: the silence timeout is not awaited.
    pub fn on_peer_dead(&mut self, now: Time, peer: &Peer, ctx: &mut Context) {
        let silence_timeout = self.stream.silence_timeout;
        if let Some(link) = self.active.as_mut().filter(|link| link.peer == *peer) {
            link.last_heard = link.last_heard.min(now.saturating_sub(silence_timeout));
            self.tick(now, ctx);
        }
    }

    pub fn position(&self) -> Option<Position> {
        self.ring.position()
    }

    pub fn next_tick(&self) -> Option<Time> {
        let active = self
            .active
            .as_ref()
            .filter(|link| !link.redirected && self.trial.is_none());
        let silent = active.map(|link| link.last_heard + self.stream.silence_timeout);
        let next_check = self.last_tick + (heartbeat_interval(&self.stream) / 4).max(1);
        self.wanted.then(|| silent.unwrap_or(0).max(next_check))
    }
}
