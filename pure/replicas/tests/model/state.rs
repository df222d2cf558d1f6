//! The state of the model, and its changes by the crate's rules.

use foldmux_replicas::{
    ClockDrift, GrantedLease, HeldLease, Peer, RecoveryDelay, ReplicaSet, Time, Votes,
};

pub const HOLDERS: usize = 2;
pub const REPLICAS: usize = 3;
/// The length of a tick on the slowest and the fastest clock. It is 33 on an exact one, of which these are within 10
/// percent; a lease takes three ticks.
const SLOW_TICK: Time = 30;
const FAST_TICK: Time = 36;
const LEASE: Time = 100;
/// Ages above this are not distinguished.
const MAX_AGE: u8 = 4;

/// The state of the request of the present round, from a holder to a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum RequestState {
    Idle,
    Requested,
    Granted,
    Received,
    /// The replica seems dead to the holder.
    SeemsDead,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Holder {
    /// Ticks since the request of the present round was sent.
    pub sent: Option<u8>,
    /// What is left of the lease, on the holder's own clock.
    pub left: Time,
    pub paused: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Replica {
    pub requests: [RequestState; HOLDERS],
    /// A request of an earlier round that is still under way; its reply is ignored.
    pub stale: [bool; HOLDERS],
    /// The holder that the lease is granted to, and ticks since its request was received.
    pub granted: Option<(u8, u8)>,
    /// Ticks since it started without its state.
    pub state_lost: Option<u8>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct State {
    pub holders: Vec<Holder>,
    pub replicas: Vec<Replica>,
    /// Counts against the bounds of [`super::LeaseModel`].
    pub rounds: u8,
    pub crashes: u8,
    pub pauses: u8,
}

fn drift() -> ClockDrift {
    ClockDrift::from_percent(10.0).unwrap()
}

fn is_active(age: u8) -> bool {
    GrantedLease::new(0, LEASE).is_active(Time::from(age) * FAST_TICK)
}

fn aged(age: u8) -> u8 {
    (age + 1).min(MAX_AGE)
}

impl Replica {
    fn may_vote(&self) -> bool {
        let delay = RecoveryDelay::state_lost(0, &[LEASE], drift());
        self.state_lost
            .is_none_or(|age| delay.may_vote(Time::from(age) * FAST_TICK))
    }

    pub fn may_grant(&self, holder: u8) -> bool {
        self.may_vote()
            && self
                .granted
                .is_none_or(|(to, age)| to == holder || !is_active(age))
    }
}

impl State {
    fn votes(&self, holder: usize) -> Votes {
        let names = ["s0", "s1", "s2"].map(Peer::new);
        let replicas = ReplicaSet::new(names.clone()).unwrap();
        let mut votes = Votes::new(replicas.replicas_of(b"lease"));
        for (replica, name) in self.replicas.iter().zip(&names) {
            match replica.requests[holder] {
                RequestState::Received => drop(votes.grant(name)),
                #[cfg(feature = "planted")]
                RequestState::SeemsDead => votes.mark_dead(name),
                _ => {}
            }
        }
        votes
    }

    pub fn holders_of_the_lease(&self) -> usize {
        self.holders.iter().filter(|holder| holder.left > 0).count()
    }

    /// Advances time. Drops what has no effect any more, so that it doesn't distinguish states: grants that have
    /// expired, and rounds whose lease would have expired (unless a holder counts from the replies).
    pub fn tick(&mut self, lease_from_reply: bool) {
        for replica in &mut self.replicas {
            replica.granted = replica
                .granted
                .map(|(to, age)| (to, aged(age)))
                .filter(|(_, age)| is_active(*age));
            replica.state_lost = replica.state_lost.map(aged);
        }
        for i in 0..HOLDERS {
            let holder = &mut self.holders[i];
            holder.left = holder.left.saturating_sub(SLOW_TICK);
            holder.sent = holder.sent.map(aged);
            let expired =
                |age| !HeldLease::new(0, LEASE, drift()).is_valid(Time::from(age) * SLOW_TICK);
            if holder.sent.is_some_and(expired) && !lease_from_reply {
                self.end_round(i);
            }
        }
    }

    /// Ends the round of a holder; its request may still be under way.
    pub fn end_round(&mut self, holder: usize) {
        self.holders[holder].sent = None;
        for replica in &mut self.replicas {
            replica.stale[holder] |= replica.requests[holder] == RequestState::Requested;
            replica.requests[holder] = RequestState::Idle;
        }
    }

    pub fn decide(&mut self, holder: usize, lease_from_reply: bool) {
        let Some(age) = self.holders[holder].sent else {
            return;
        };
        if !self.votes(holder).won() {
            return;
        }
        let now = Time::from(age) * SLOW_TICK;
        let held = HeldLease::new(if lease_from_reply { now } else { 0 }, LEASE, drift());
        if held.is_valid(now) {
            self.holders[holder].left = held.expires_at() - now;
            self.end_round(holder);
        }
    }
}

impl stateright::Representative for State {
    /// Replicas are interchangeable, and so are the holders.
    fn representative(&self) -> State {
        let mut state = self.clone();
        state.replicas.sort();
        let mut mirrored = self.clone();
        mirrored.holders.reverse();
        for replica in &mut mirrored.replicas {
            replica.requests.reverse();
            replica.stale.reverse();
            replica.granted = replica.granted.map(|(to, age)| (1 - to, age));
        }
        mirrored.replicas.sort();
        state.min(mirrored)
    }
}
