//! The state of the walk, and what the crate's rules make of it.

use foldmux_replicas::{Drift, Granted, Held, Memory, Peer, Seats, Time, Votes};

pub const HOLDERS: usize = 2;
pub const SEATS: usize = 3;
/// By a clock that is right a step is 33, and a lease three steps; these are within 10 percent of it.
const SLOW: Time = 30;
const FAST: Time = 36;
const LEASE: Time = 100;
/// Nothing is told apart after that many steps.
const OLD: u8 = 4;

/// Between a holder and a seat: the claim of the holder's present round, and the answer to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Way {
    Idle,
    Claimed,
    Granted,
    Heard,
    /// The seat seems dead to the holder.
    Gone,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Holder {
    /// Steps since the present round was sent.
    pub sent: Option<u8>,
    /// What is left of the lease by its own clock.
    pub left: Time,
    pub paused: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Seat {
    pub ways: [Way; HOLDERS],
    /// A claim of an earlier round that is still under way; its answer is of no use to anyone.
    pub stale: [bool; HOLDERS],
    /// To whom, and steps since it was heard.
    pub granted: Option<(u8, u8)>,
    /// Steps since it started with no memory.
    pub fresh: Option<u8>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct State {
    pub holders: Vec<Holder>,
    pub seats: Vec<Seat>,
    /// What of the bounds is used up.
    pub rounds: u8,
    pub crashes: u8,
    pub pauses: u8,
}

fn drift() -> Drift {
    Drift::percent(10.0).unwrap()
}

fn runs(age: u8) -> bool {
    Granted::new(0, LEASE).runs(Time::from(age) * FAST)
}

fn older(age: u8) -> u8 {
    (age + 1).min(OLD)
}

impl Seat {
    fn speaks(&self) -> bool {
        let memory = Memory::fresh(0, &[LEASE], drift());
        self.fresh
            .is_none_or(|age| memory.speaks(Time::from(age) * FAST))
    }

    pub fn grants(&self, holder: u8) -> bool {
        self.speaks()
            && self
                .granted
                .is_none_or(|(to, age)| to == holder || !runs(age))
    }
}

impl State {
    fn votes(&self, holder: usize) -> Votes {
        let names = ["s0", "s1", "s2"].map(Peer::new);
        let seats = Seats::new(names.clone()).unwrap();
        let mut votes = Votes::new(seats.of(b"slot"));
        for (seat, name) in self.seats.iter().zip(&names) {
            match seat.ways[holder] {
                Way::Heard => drop(votes.grant(name)),
                #[cfg(feature = "planted")]
                Way::Gone => votes.gone(name),
                _ => {}
            }
        }
        votes
    }

    pub fn holding(&self) -> usize {
        self.holders.iter().filter(|holder| holder.left > 0).count()
    }

    /// Time goes on. What can't matter any more is forgotten, so that it tells no states apart: grants that are over,
    /// and rounds whose lease would be over (unless a holder counts from the answers).
    pub fn step(&mut self, from_answer: bool) {
        for seat in &mut self.seats {
            seat.granted = seat
                .granted
                .map(|(to, age)| (to, older(age)))
                .filter(|(_, age)| runs(*age));
            seat.fresh = seat.fresh.map(older);
        }
        for i in 0..HOLDERS {
            let holder = &mut self.holders[i];
            holder.left = holder.left.saturating_sub(SLOW);
            holder.sent = holder.sent.map(older);
            let over = |age| !Held::new(0, LEASE, drift()).holds(Time::from(age) * SLOW);
            if holder.sent.is_some_and(over) && !from_answer {
                self.end(i);
            }
        }
    }

    /// The holder's round is decided or over; a claim may still be under way.
    pub fn end(&mut self, holder: usize) {
        self.holders[holder].sent = None;
        for seat in &mut self.seats {
            seat.stale[holder] |= seat.ways[holder] == Way::Claimed;
            seat.ways[holder] = Way::Idle;
        }
    }

    pub fn decide(&mut self, holder: usize, from_answer: bool) {
        let Some(age) = self.holders[holder].sent else {
            return;
        };
        if !self.votes(holder).won() {
            return;
        }
        let now = Time::from(age) * SLOW;
        let held = Held::new(if from_answer { now } else { 0 }, LEASE, drift());
        if held.holds(now) {
            self.holders[holder].left = held.until() - now;
            self.end(holder);
        }
    }
}

impl stateright::Representative for State {
    /// The seats are alike, and so are the holders.
    fn representative(&self) -> State {
        let mut state = self.clone();
        state.seats.sort();
        let mut turned = self.clone();
        turned.holders.reverse();
        for seat in &mut turned.seats {
            seat.ways.reverse();
            seat.stale.reverse();
            seat.granted = seat.granted.map(|(to, age)| (1 - to, age));
        }
        turned.seats.sort();
        state.min(turned)
    }
}
