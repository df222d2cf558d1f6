//! One slot's lease as a state machine that stateright walks through: two holders, three seats, a message
//! that may take any time or never come, one crash and one pause. The rules are the crate's own code; only
//! the moves are the model's.
//!
//! Time goes in steps, and the state keeps ages, so that it is finite with no end of time. The clocks run as
//! far apart as the drift allows, in the way that is worst: the holders' slow, the seats' fast.
#![allow(dead_code)]

mod state;

use state::{Holder, Seat, State, Way, HOLDERS, SEATS};
use stateright::{Model, Property};

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

impl Model for Slot {
    type State = State;
    type Action = Move;

    fn init_states(&self) -> Vec<State> {
        let holder = Holder {
            sent: None,
            left: 0,
            paused: false,
        };
        let seat = Seat {
            ways: [Way::Idle; 2],
            stale: [false; 2],
            granted: None,
            fresh: None,
        };
        let (holders, seats) = (vec![holder; HOLDERS], vec![seat; SEATS]);
        vec![State {
            holders,
            seats,
            rounds: 0,
            crashes: 0,
            pauses: 0,
        }]
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
                next.seats
                    .iter_mut()
                    .for_each(|seat| seat.ways[i] = Way::Claimed);
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
                (0..2).any(|i| {
                    state.holders[i].left > 0 && claims(&state.holders[1 - i]) && late(1 - i)
                })
            }),
            Property::sometimes("a fresh seat speaks again", |_, state: &State| {
                state
                    .seats
                    .iter()
                    .any(|seat| seat.fresh.is_some() && seat.granted.is_some())
            }),
            Property::sometimes(
                "it is held while its holder is paused",
                |_, state: &State| {
                    state
                        .holders
                        .iter()
                        .any(|holder| holder.paused && holder.left > 0)
                },
            ),
        ]
    }
}
