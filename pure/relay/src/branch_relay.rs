//! The relay of a branch: its followers, lease, heartbeats and shutdown. It opens when the first follower
//! joins and closes some time after the last has left.

use crate::context::{heartbeat_interval, Context};
use crate::election::{Candidates, LeaseClaim};
use crate::messages::Message;
use crate::planted::{planted, Fault};
use crate::readers::{Reader, Readers};
use crate::ring::Ring;
use crate::types::{Branch, Position, SlowReaderPolicy, StreamConfig};
use foldmux_replicas::{Peer, Time};
use std::collections::BTreeMap;

/// Silence timeouts without a message after which a follower counts as gone. A live follower acknowledges
/// every heartbeat.
const FOLLOWER_TIMEOUTS: Time = 20;
/// Lease lengths without a follower after which a relay closes. Followers that left only because the relay
/// was late are redirected back sooner than that.
const IDLE_LEASES: Time = 3;

pub struct BranchRelay {
    pub(crate) stream: StreamConfig,
    pub(crate) branch: Branch,
    pub(crate) followers: Readers<Peer>,
    /// The nonce of each follower's subscription, and when it was last heard.
    pub(crate) sessions: BTreeMap<Peer, (u64, Time)>,
    pub(crate) claim: Option<LeaseClaim>,
    /// When it opened.
    pub(crate) opened_at: Time,
    /// The relay that it replaces, and until when that one may still hold the lease.
    pub(crate) replacing: Option<(Peer, Time)>,
    /// When it may start to send. A relay that did not open to replace a late one first waits for the
    /// replicas' replies.
    pub(crate) sends_from: Time,
    empty_since: Option<Time>,
    next_heartbeat: Time,
    pub(crate) late_reports: BTreeMap<Peer, Time>,
    /// Until when a handover lasts. The followers have been redirected.
    pub(crate) handover_until: Option<Time>,
    /// Until when it declines the role, because it was too slow or cut off from the source.
    pub(crate) ineligible_until: Time,
    /// Whether it declines the role only because the source failed.
    pub(crate) source_failed: bool,
    /// The position of the ring up to which all followers were sent events.
    pub sent_position: Option<Position>,
}

impl BranchRelay {
    pub fn new(stream: &StreamConfig, branch: Branch, max_followers: usize) -> BranchRelay {
        BranchRelay {
            stream: stream.clone(),
            branch,
            followers: Readers::new(max_followers),
            sessions: BTreeMap::new(),
            claim: None,
            opened_at: 0,
            replacing: None,
            sends_from: 0,
            empty_since: None,
            next_heartbeat: 0,
            late_reports: BTreeMap::new(),
            handover_until: None,
            ineligible_until: 0,
            source_failed: false,
            sent_position: None,
        }
    }

    /// Whether it relays the branch, and so needs the stream from upstream.
    pub fn is_open(&self) -> bool {
        self.claim.is_some() || self.handover_until.is_some()
    }

    pub fn holds_lease(&self, now: Time) -> bool {
        self.claim
            .as_ref()
            .is_some_and(|claim| claim.holds_lease(now))
    }

    pub fn follower_count(&self) -> usize {
        self.followers.len()
    }

    #[allow(clippy::too_many_arguments)]
    pub fn on_join(
        &mut self,
        now: Time,
        from: &Peer,
        nonce: u64,
        position: Option<Position>,
        (replaces, last_resort): (Option<Peer>, bool),
        candidates: &Candidates,
        ctx: &mut Context,
    ) {
        if !candidates.contains(from)
            || self
                .sessions
                .get(from)
                .is_some_and(|(current, _)| nonce <= *current)
        {
            return;
        }
        let own = ctx.config.own.clone();
        let except: Vec<&Peer> = [&own].into_iter().chain(&replaces).collect();
        let next = candidates.next(now, &ctx.dead, &except).cloned();
        let declines = ctx.draining
            || (!last_resort && (self.handover_until.is_some() || now < self.ineligible_until));
        // Without another candidate it keeps the role.
        if (declines && (next.is_some() || ctx.draining)) || !self.has_room(from) {
            let branch = self.branch.clone();
            return ctx.send(
                from,
                Message::Redirect {
                    branch,
                    nonce,
                    to: next,
                },
            );
        }
        if self.claim.is_none() {
            self.handover_until = None;
            self.opened_at = now;
            let wait = if replaces.is_none() {
                heartbeat_interval(&self.stream)
            } else {
                0
            };
            self.sends_from = now + wait;
            self.claim = Some(LeaseClaim::new(now, &self.branch, &ctx.config.replicas));
            self.replacing = None;
            self.next_heartbeat = now + heartbeat_interval(&self.stream);
            self.request_lease(now, ctx);
        }
        if self.replacing.is_none() {
            self.replacing = replaces.map(|replaces| (replaces, now + 2 * ctx.config.lease));
        }
        if planted(Fault::YieldsOnJoin)
            && from != &own
            && candidates.rank(from) < candidates.rank(&own)
        {
            return self.hand_over(now, Some(from.clone()), ctx);
        }
        self.empty_since = None;
        self.followers.insert(
            from.clone(),
            Reader::new(now, 0, position, self.stream.max_unacknowledged),
        );
        self.sessions.insert(from.clone(), (nonce, now));
        self.sent_position = None;
    }

    fn has_room(&self, from: &Peer) -> bool {
        self.sessions.contains_key(from) || self.followers.has_room()
    }

    pub(crate) fn close(&mut self) {
        (
            self.claim,
            self.handover_until,
            self.empty_since,
            self.sent_position,
        ) = (None, None, None, None);
        self.followers.retain(|_| false);
        self.sessions.clear();
        self.late_reports.clear();
    }

    /// Handles an answer of the source after a failure.
    pub fn on_source_recovered(&mut self) {
        if std::mem::take(&mut self.source_failed) {
            self.ineligible_until = 0;
        }
    }

    pub fn on_leave(&mut self, now: Time, from: &Peer, nonce: u64) {
        if self
            .sessions
            .get(from)
            .is_some_and(|(current, _)| *current == nonce)
        {
            self.remove_follower(now, &from.clone());
        }
    }

    fn remove_follower(&mut self, now: Time, peer: &Peer) {
        self.sessions.remove(peer);
        self.followers.remove(peer);
        if self.followers.is_empty() {
            self.empty_since = Some(now);
        }
    }

    /// Records an acknowledgement. Returns whether the follower was blocked, and may now be sent more.
    pub fn on_acknowledge(
        &mut self,
        now: Time,
        from: &Peer,
        nonce: u64,
        received: u64,
        ctx: &mut Context,
    ) -> bool {
        match self.sessions.get_mut(from) {
            Some((current, last_heard)) if *current == nonce => {
                *last_heard = now;
                self.followers.get_mut(from).is_some_and(|reader| {
                    let was_blocked = reader.is_blocked();
                    reader.acknowledge(received);
                    was_blocked
                })
            }
            Some((current, _)) if *current > nonce => false,
            _ => {
                // The follower joined an earlier run of this process.
                ctx.send(
                    from,
                    Message::Redirect {
                        branch: self.branch.clone(),
                        nonce,
                        to: None,
                    },
                );
                false
            }
        }
    }

    /// Sends followers the events that are due: to all when the ring has grown, or `only` to one that can
    /// accept events again.
    pub fn send_events(&mut self, now: Time, ring: &Ring, only: Option<&Peer>, ctx: &mut Context) {
        if now < self.sends_from || !self.is_open() {
            return;
        }
        let BranchRelay {
            followers,
            sessions,
            branch,
            ..
        } = self;
        let mut send = |peer: &Peer, batch: crate::readers::Batch| {
            let Some((nonce, _)) = sessions.get(peer) else {
                return;
            };
            let first = if planted(Fault::RestartsNumbering) {
                1
            } else {
                batch.first
            };
            let message = Message::Events {
                branch: branch.clone(),
                nonce: *nonce,
                first,
                events: batch.events,
            };
            ctx.send(peer, message);
        };
        // Between processes evicted items are always reported as a gap. The stream's policy applies to the
        // readers of the receiving process.
        let policy = SlowReaderPolicy::Skip;
        match only {
            Some(peer) => drop(followers.send_to(now, peer, ring, policy, &mut send)),
            None => {
                followers.send_to_all(now, ring, policy, send);
                self.sent_position = ring.position();
            }
        }
    }

    /// Sends heartbeats, renews the lease, removes followers that are gone, and closes an idle relay.
    /// `upstream_ready`: the upstream has delivered, so that a heartbeat does not announce outdated state.
    pub fn tick(&mut self, now: Time, upstream_ready: bool, ctx: &mut Context) {
        if !self.is_open() {
            return;
        }
        let expired: Vec<Peer> = (self.sessions.iter())
            .filter(|(_, (_, last_heard))| {
                now > last_heard + FOLLOWER_TIMEOUTS * self.stream.silence_timeout
            })
            .map(|(peer, _)| peer.clone())
            .collect();
        expired
            .iter()
            .for_each(|peer| self.remove_follower(now, peer));
        let idle_too_long = self
            .empty_since
            .is_some_and(|at| now >= at + IDLE_LEASES * ctx.config.lease);
        if self
            .handover_until
            .is_some_and(|until| now >= until || self.followers.is_empty())
        {
            return self.close();
        }
        if idle_too_long && !planted(Fault::NeverCloses) {
            self.hand_over(now, None, ctx);
            return self.close();
        }
        if self
            .claim
            .as_ref()
            .is_some_and(|claim| now >= claim.next_request)
        {
            self.request_lease(now, ctx);
        }
        if now >= self.next_heartbeat {
            let interval = heartbeat_interval(&self.stream);
            self.next_heartbeat = now + interval;
            if !upstream_ready || now < self.sends_from {
                return;
            }
            for (peer, reader) in self
                .followers
                .iter_mut()
                .filter(|(_, reader)| now >= reader.last_sent_at + interval / 2)
            {
                let Some((nonce, _)) = self.sessions.get(peer) else {
                    continue;
                };
                let (branch, sent) = (self.branch.clone(), reader.sent());
                ctx.send(
                    peer,
                    Message::Heartbeat {
                        branch,
                        nonce: *nonce,
                        sent,
                    },
                );
            }
        }
    }

    pub fn next_tick(&self) -> Option<Time> {
        let claim = self.claim.as_ref().map(|claim| claim.next_request);
        self.is_open()
            .then(|| claim.into_iter().chain([self.next_heartbeat]).min())
            .flatten()
    }
}
