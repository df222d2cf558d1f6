//! One slot's lease as a state machine that stateright walks through: two holders, three seats, a message
//! that may take any time or never come, one crash and one pause. The rules are the crate's own code; only
//! the moves are the model's.
//!
//! Time goes in steps, and the state keeps ages, so that it is finite with no end of time. The clocks run as
//! far apart as the drift allows, in the way that is worst: the holders' slow, the seats' fast.
#![allow(dead_code)]

use foldmux_seats::{Drift, Granted, Held, Memory, Peer, Seats, Time, Votes};
use stateright::{Model, Property};

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
    sent: Option<u8>,
    /// What is left of the lease by its own clock.
    left: Time,
    paused: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Seat {
    ways: [Way; HOLDERS],
    /// A claim of an earlier round that is still under way; its answer is of no use to anyone.
    stale: [bool; HOLDERS],
    /// To whom, and steps since it was heard.
    granted: Option<(u8, u8)>,
    /// Steps since it started with no memory.
    fresh: Option<u8>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct State {
    pub holders: Vec<Holder>,
    pub seats: Vec<Seat>,
    /// What of the bounds is used up.
    rounds: u8,
    crashes: u8,
    pauses: u8,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Move {
    Step,
    Claim(u8),
    /// The seat hears the claim; of an earlier round, if so.
    Hear(u8, u8, bool),
    /// The holder hears the answer.
    Answer(u8, u8),
    Suspect(u8, u8),
    CrashSeat(u8),
    CrashHolder(u8),
    Pause(u8),
    Wake(u8),
}

/// The bounds of the walk, and how the holders count.
pub struct Slot {
    pub rounds: u8,
    pub crashes: u8,
    pub pauses: u8,
    /// A holder may believe of any seat that it is dead.
    pub suspicion: bool,
    pub from_answer: fn() -> bool,
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
        self.fresh.is_none_or(|age| memory.speaks(Time::from(age) * FAST))
    }

    fn grants(&self, holder: u8) -> bool {
        self.speaks() && self.granted.is_none_or(|(to, age)| to == holder || !runs(age))
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
    fn step(&mut self, from_answer: bool) {
        for seat in &mut self.seats {
            seat.granted = seat.granted.map(|(to, age)| (to, older(age))).filter(|(_, age)| runs(*age));
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
    fn end(&mut self, holder: usize) {
        self.holders[holder].sent = None;
        for seat in &mut self.seats {
            seat.stale[holder] |= seat.ways[holder] == Way::Claimed;
            seat.ways[holder] = Way::Idle;
        }
    }

    fn decide(&mut self, holder: usize, from_answer: bool) {
        let Some(age) = self.holders[holder].sent else { return };
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

impl Model for Slot {
    type State = State;
    type Action = Move;

    fn init_states(&self) -> Vec<State> {
        let holder = Holder { sent: None, left: 0, paused: false };
        let seat = Seat { ways: [Way::Idle; 2], stale: [false; 2], granted: None, fresh: None };
        let (holders, seats) = (vec![holder; HOLDERS], vec![seat; SEATS]);
        vec![State { holders, seats, rounds: 0, crashes: 0, pauses: 0 }]
    }

    fn actions(&self, state: &State, moves: &mut Vec<Move>) {
        moves.push(Move::Step);
        for (i, holder) in state.holders.iter().enumerate() {
            let h = i as u8;
            if holder.paused {
                moves.push(Move::Wake(h));
            } else if state.pauses < self.pauses {
                moves.push(Move::Pause(h));
            }
            if !holder.paused && state.rounds < self.rounds {
                moves.push(Move::Claim(h));
            }
            if state.crashes < self.crashes && holder.sent.is_some() {
                moves.push(Move::CrashHolder(h));
            }
            for (s, seat) in state.seats.iter().enumerate() {
                let s = s as u8;
                match seat.ways[i] {
                    Way::Claimed => moves.push(Move::Hear(h, s, false)),
                    Way::Granted if !holder.paused => moves.push(Move::Answer(h, s)),
                    _ => {}
                }
                if seat.stale[i] {
                    moves.push(Move::Hear(h, s, true));
                }
                let waits = matches!(seat.ways[i], Way::Claimed | Way::Granted);
                if self.suspicion && waits && !holder.paused {
                    moves.push(Move::Suspect(h, s));
                }
            }
        }
        if state.crashes < self.crashes {
            moves.extend((0..SEATS as u8).map(Move::CrashSeat));
        }
    }

    fn next_state(&self, state: &State, action: Move) -> Option<State> {
        let mut next = state.clone();
        match action {
            Move::Step => next.step((self.from_answer)()),
            Move::Claim(h) => {
                let i = usize::from(h);
                next.end(i);
                next.holders[i].sent = Some(0);
                next.rounds += 1;
                next.seats.iter_mut().for_each(|seat| seat.ways[i] = Way::Claimed);
            }
            Move::Hear(h, s, stale) => {
                let (i, seat) = (usize::from(h), &mut next.seats[usize::from(s)]);
                let grants = seat.grants(h);
                if grants {
                    seat.granted = Some((h, 0));
                }
                if stale {
                    seat.stale[i] = false;
                } else {
                    seat.ways[i] = if grants { Way::Granted } else { Way::Idle };
                }
            }
            Move::Answer(h, s) => {
                next.seats[usize::from(s)].ways[usize::from(h)] = Way::Heard;
                next.decide(usize::from(h), (self.from_answer)());
            }
            Move::Suspect(h, s) => {
                next.seats[usize::from(s)].ways[usize::from(h)] = Way::Gone;
                next.decide(usize::from(h), (self.from_answer)());
            }
            Move::CrashSeat(s) => {
                next.crashes += 1;
                let seat = &mut next.seats[usize::from(s)];
                (seat.granted, seat.fresh) = (None, Some(0));
            }
            Move::CrashHolder(h) => {
                next.crashes += 1;
                next.end(usize::from(h));
                next.holders[usize::from(h)].left = 0;
            }
            Move::Pause(h) => {
                next.pauses += 1;
                next.holders[usize::from(h)].paused = true;
            }
            Move::Wake(h) => next.holders[usize::from(h)].paused = false,
        }
        (next != *state).then_some(next)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("never two hold", |_, state: &State| state.holding() <= 1),
            Property::sometimes("it passes on", |_, state: &State| {
                let claims = |holder: &Holder| holder.left == 0 && holder.sent.is_some();
                let late = |i: usize| state.seats.iter().filter(|seat| seat.stale[i]).count() == 1;
                (0..2).any(|i| state.holders[i].left > 0 && claims(&state.holders[1 - i]) && late(1 - i))
            }),
            Property::sometimes("a fresh seat speaks again", |_, state: &State| {
                state.seats.iter().any(|seat| seat.fresh.is_some() && seat.granted.is_some())
            }),
            Property::sometimes("it is held while its holder is paused", |_, state: &State| {
                state.holders.iter().any(|holder| holder.paused && holder.left > 0)
            }),
        ]
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
