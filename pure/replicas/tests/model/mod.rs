//! One lease as a model that stateright explores: two holders, three replicas, messages that may take any time or
//! be lost, a crash and a pause. Votes, leases and recovery are the crate's own code; the actions are the model's.
//!
//! Time advances in ticks, and the state keeps ages, so that it is finite. The clocks run as far apart as the
//! drift allows, in the worst direction: those of the holders slow, those of the replicas fast.
#![allow(dead_code)]

mod state;

use state::{Holder, Replica, RequestState, State, HOLDERS, REPLICAS};
use stateright::{Model, Property};

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Action {
    Tick,
    Request(u8),
    /// The replica (second) receives the request of the holder (first), one of an earlier round if `true`.
    DeliverRequest(u8, u8, bool),
    /// The holder (first) receives the reply of the replica (second).
    DeliverReply(u8, u8),
    /// The holder (first) comes to believe that the replica (second) is dead.
    Suspect(u8, u8),
    CrashReplica(u8),
    CrashHolder(u8),
    Pause(u8),
    Resume(u8),
}

/// The bounds of the exploration, and from when the holders count their leases.
pub struct LeaseModel {
    pub rounds: u8,
    pub crashes: u8,
    pub pauses: u8,
    /// A holder may believe that a replica is dead.
    pub suspicion: bool,
    pub lease_from_reply: fn() -> bool,
}

impl Model for LeaseModel {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        let holder = Holder {
            sent: None,
            left: 0,
            paused: false,
        };
        let replica = Replica {
            requests: [RequestState::Idle; 2],
            stale: [false; 2],
            granted: None,
            state_lost: None,
        };
        let (holders, replicas) = (vec![holder; HOLDERS], vec![replica; REPLICAS]);
        vec![State {
            holders,
            replicas,
            rounds: 0,
            crashes: 0,
            pauses: 0,
        }]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        actions.push(Action::Tick);
        for (i, holder) in state.holders.iter().enumerate() {
            let h = i as u8;
            if holder.paused {
                actions.push(Action::Resume(h));
            } else if state.pauses < self.pauses {
                actions.push(Action::Pause(h));
            }
            if !holder.paused && state.rounds < self.rounds {
                actions.push(Action::Request(h));
            }
            if state.crashes < self.crashes && holder.sent.is_some() {
                actions.push(Action::CrashHolder(h));
            }
            for (s, replica) in state.replicas.iter().enumerate() {
                let s = s as u8;
                match replica.requests[i] {
                    RequestState::Requested => actions.push(Action::DeliverRequest(h, s, false)),
                    RequestState::Granted if !holder.paused => {
                        actions.push(Action::DeliverReply(h, s))
                    }
                    _ => {}
                }
                if replica.stale[i] {
                    actions.push(Action::DeliverRequest(h, s, true));
                }
                let waits = matches!(
                    replica.requests[i],
                    RequestState::Requested | RequestState::Granted
                );
                if self.suspicion && waits && !holder.paused {
                    actions.push(Action::Suspect(h, s));
                }
            }
        }
        if state.crashes < self.crashes {
            actions.extend((0..REPLICAS as u8).map(Action::CrashReplica));
        }
    }

    fn next_state(&self, state: &State, action: Action) -> Option<State> {
        let mut next = state.clone();
        match action {
            Action::Tick => next.tick((self.lease_from_reply)()),
            Action::Request(h) => {
                let i = usize::from(h);
                next.end_round(i);
                next.holders[i].sent = Some(0);
                next.rounds += 1;
                next.replicas
                    .iter_mut()
                    .for_each(|replica| replica.requests[i] = RequestState::Requested);
            }
            Action::DeliverRequest(h, s, stale) => {
                let (i, replica) = (usize::from(h), &mut next.replicas[usize::from(s)]);
                let grants = replica.may_grant(h);
                if grants {
                    replica.granted = Some((h, 0));
                }
                if stale {
                    replica.stale[i] = false;
                } else {
                    replica.requests[i] = if grants {
                        RequestState::Granted
                    } else {
                        RequestState::Idle
                    };
                }
            }
            Action::DeliverReply(h, s) => {
                next.replicas[usize::from(s)].requests[usize::from(h)] = RequestState::Received;
                next.decide(usize::from(h), (self.lease_from_reply)());
            }
            Action::Suspect(h, s) => {
                next.replicas[usize::from(s)].requests[usize::from(h)] = RequestState::SeemsDead;
                next.decide(usize::from(h), (self.lease_from_reply)());
            }
            Action::CrashReplica(s) => {
                next.crashes += 1;
                let replica = &mut next.replicas[usize::from(s)];
                (replica.granted, replica.state_lost) = (None, Some(0));
            }
            Action::CrashHolder(h) => {
                next.crashes += 1;
                next.end_round(usize::from(h));
                next.holders[usize::from(h)].left = 0;
            }
            Action::Pause(h) => {
                next.pauses += 1;
                next.holders[usize::from(h)].paused = true;
            }
            Action::Resume(h) => next.holders[usize::from(h)].paused = false,
        }
        (next != *state).then_some(next)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("at most one holder", |_, state: &State| {
                state.holders_of_the_lease() <= 1
            }),
            Property::sometimes("the lease changes hands", |_, state: &State| {
                let waits = |holder: &Holder| holder.left == 0 && holder.sent.is_some();
                let late = |i: usize| {
                    state
                        .replicas
                        .iter()
                        .filter(|replica| replica.stale[i])
                        .count()
                        == 1
                };
                (0..2).any(|i| {
                    state.holders[i].left > 0 && waits(&state.holders[1 - i]) && late(1 - i)
                })
            }),
            Property::sometimes("a replica without state votes again", |_, state: &State| {
                state
                    .replicas
                    .iter()
                    .any(|replica| replica.state_lost.is_some() && replica.granted.is_some())
            }),
            Property::sometimes(
                "the lease is held while its holder is paused",
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
