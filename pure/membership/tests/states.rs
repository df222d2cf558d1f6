//! What a process holds of the others, against a plain model: whatever is said in whatever order, the higher
//! generation holds, no older life comes back, and what was told agrees with what is seen.

use foca::{Codec, Header, Member, Message, PostcardCodec};
use foldmux_membership::*;
use foldmux_replicas::{Effect, Peer, StateMachine};
use proptest::prelude::*;
use proptest_state_machine::{prop_state_machine, ReferenceStateMachine, StateMachineTest};
use std::collections::{BTreeMap, BTreeSet};

/// Of one member: who, in which life, how it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Says {
    name: u8,
    generation: u64,
    left: bool,
    incarnation: u16,
    state: u8,
}

impl Says {
    fn who(self) -> NodeIdentity {
        let address = "127.0.0.1:7000".parse().unwrap();
        let mut who = NodeIdentity::new(
            Peer::new(&format!("n{}", self.name)),
            "east",
            address,
            self.generation,
        );
        who.left = self.left;
        who
    }

    fn member(self) -> Member<NodeIdentity> {
        let states = [foca::State::Alive, foca::State::Suspect, foca::State::Down];
        Member::new(
            self.who(),
            self.incarnation,
            states[usize::from(self.state)],
        )
    }

    fn alive(self) -> bool {
        self.state < 2 && !self.left
    }
}

/// A packet from one, with what it says of others; or this process is said to be suspected, or dead.
#[derive(Clone, Debug)]
enum Step {
    Packet(Says, Vec<Says>),
    Myself(Says, u8),
}

/// The model: the last word on each name.
#[derive(Clone, Debug, Default)]
struct Model(BTreeMap<u8, Says>);

impl Model {
    /// Whether its subject lives after it.
    fn take(&mut self, says: Says) -> bool {
        let Some(known) = self.0.get_mut(&says.name) else {
            self.0.insert(says.name, says);
            return says.state < 2;
        };
        let (old, new) = ((known.generation, known.left), (says.generation, says.left));
        let newer = match (known.state, says.state) {
            _ if old != new => new > old,
            (2, _) => false,
            (_, 2) => true,
            (0, 1) => says.incarnation >= known.incarnation,
            _ => says.incarnation > known.incarnation,
        };
        if newer {
            *known = says;
        }
        old <= new && known.state < 2
    }

    /// One that left is dead, once all is read.
    fn settle(&mut self) {
        self.0
            .values_mut()
            .filter(|says| says.left)
            .for_each(|says| says.state = 2);
    }
}

fn says() -> impl Strategy<Value = Says> {
    (
        1..6_u8,
        1..4_u64,
        prop::bool::weighted(0.15),
        0..3_u16,
        0..3_u8,
    )
        .prop_map(|(name, generation, left, incarnation, state)| Says {
            name,
            generation,
            left,
            incarnation,
            state,
        })
}

impl ReferenceStateMachine for Model {
    type State = Model;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<Model> {
        Just(Model::default()).boxed()
    }

    fn transitions(_: &Model) -> BoxedStrategy<Step> {
        let from = says().prop_map(|says| Says { state: 0, ..says }).boxed();
        prop_oneof![
            8 => (from.clone(), prop::collection::vec(says(), 0..6)).prop_map(|(from, of)| Step::Packet(from, of)),
            1 => (from, 1..3_u8).prop_map(|(from, state)| Step::Myself(from, state)),
        ]
        .boxed()
    }

    fn apply(mut model: Model, step: &Step) -> Model {
        match step {
            Step::Packet(from, of) => {
                if model.take(*from) {
                    for says in of {
                        model.take(*says);
                    }
                }
            }
            Step::Myself(from, _) => {
                model.take(*from);
            }
        }
        model.settle();
        model
    }
}

struct Real {
    members: Members,
    up: BTreeSet<Peer>,
    generations: BTreeMap<Peer, u64>,
}

impl Real {
    fn hear(&mut self, from: Says, of: &[Member<NodeIdentity>]) -> Vec<Packet> {
        let header: Header<NodeIdentity> = Header {
            src: from.who(),
            src_incarnation: from.incarnation,
            dst: self.members.me().clone(),
            message: Message::Gossip,
        };
        let mut bytes = Vec::new();
        PostcardCodec.encode_header(&header, &mut bytes).unwrap();
        bytes.extend((of.len() as u16).to_be_bytes());
        of.iter()
            .for_each(|member| PostcardCodec.encode_member(member, &mut bytes).unwrap());
        let mut out = Vec::new();
        self.members
            .on_message(0, &header.src.name, Packet(bytes), &mut out);
        let mut sent = Vec::new();
        for act in out {
            match act {
                Effect::Send { message, .. } => sent.push(message),
                Effect::Emit(Event::Up(seen)) => assert!(self.up.insert(seen.peer), "up twice"),
                Effect::Emit(Event::Down(peer) | Event::Left(peer)) => {
                    assert!(self.up.remove(&peer), "down, not up")
                }
                Effect::Emit(Event::Restarted(seen)) => {
                    assert!(self.up.contains(&seen.peer), "restarted, not up")
                }
                Effect::Emit(Event::Rival(seen)) => panic!("nobody has this name: {seen:?}"),
            }
        }
        sent
    }
}

impl StateMachineTest for Real {
    type SystemUnderTest = Real;
    type Reference = Model;

    fn init_test(_: &Model) -> Real {
        let me = NodeIdentity::new(
            Peer::new("n0"),
            "east",
            "127.0.0.1:7000".parse().unwrap(),
            1,
        );
        let setup = Setup {
            me,
            pace: Pace {
                rtt: 1_000,
                size: 6,
            },
            most: 8,
            seed: 1,
        };
        Real {
            members: Members::new(setup).unwrap(),
            up: BTreeSet::new(),
            generations: BTreeMap::new(),
        }
    }

    fn apply(mut real: Real, model: &Model, step: Step) -> Real {
        match step {
            Step::Packet(from, of) => {
                real.hear(
                    from,
                    &of.iter().map(|says| says.member()).collect::<Vec<_>>(),
                );
            }
            Step::Myself(from, state) => {
                let me = real.members.me().clone();
                let state = [foca::State::Suspect, foca::State::Down][usize::from(state) - 1];
                let sent = real.hear(from, &[Member::new(me.clone(), 7, state)]);
                let heeded = model.0[&from.name] == Says { state: 0, ..from };
                if heeded && state == foca::State::Down {
                    assert!(
                        real.members.me().generation > me.generation,
                        "it comes back in a next generation"
                    );
                }
                for Packet(bytes) in sent
                    .into_iter()
                    .filter(|_| heeded && state == foca::State::Suspect)
                {
                    let header: Header<NodeIdentity> =
                        PostcardCodec.decode_header(&bytes[..]).unwrap();
                    assert!(
                        header.src == me && header.src_incarnation == 8,
                        "it refutes: {header:?}"
                    );
                }
            }
        }
        real
    }

    fn check_invariants(real: &Real, model: &Model) {
        let seen = real.members.seen();
        assert_eq!(seen.len(), model.0.len());
        let name = |name: u8| Peer::new(&format!("n{name}"));
        for says in model.0.values() {
            let seen = seen
                .iter()
                .find(|seen| seen.peer == name(says.name))
                .expect("known");
            let states = [State::Alive, State::Suspect, State::Down];
            let state = if says.left {
                State::Left
            } else {
                states[usize::from(says.state)]
            };
            assert_eq!(
                (seen.generation, seen.state),
                (says.generation, state),
                "{says:?}"
            );
            assert!(
                says.left || seen.incarnation == says.incarnation,
                "{seen:?} {says:?}"
            );
            assert!(real
                .generations
                .get(&seen.peer)
                .is_none_or(|before| *before <= seen.generation));
        }
        let up: BTreeSet<Peer> = model
            .0
            .values()
            .filter(|says| says.alive())
            .map(|says| name(says.name))
            .collect();
        assert_eq!(real.up, up, "told and seen agree");
    }
}

prop_state_machine! {
    #[test]
    fn what_is_held_of_others_is_the_last_word(sequential 1..40 => Real);
}
