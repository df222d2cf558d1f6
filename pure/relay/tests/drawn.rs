//! Random sequences of publications, subscriptions, message losses, cut links, pauses, kills, drains and
//! restarts, checked against the reference model. A failing sequence is shrunk and kept in
//! `drawn.proptest-regressions`.

mod world;

use foldmux_relay::{SlowReaderPolicy, StartPosition};
use proptest::prelude::*;
use proptest_state_machine::{prop_state_machine, ReferenceStateMachine, StateMachineTest};
use world::{stream, World, MS, SOURCE};

const LOCATIONS: [&str; 7] = ["a/x", "a/x", "a/y", "a/y", "b/x", "b/x", "b/x"];
const N: usize = LOCATIONS.len();

#[derive(Clone, Debug)]
enum Step {
    Publish {
        key: Option<u8>,
        delete: bool,
        times: u8,
    },
    Advance(u32),
    Subscribe(usize),
    SubscribeSlow(usize),
    Cancel(usize),
    Kill(usize),
    Restart(usize),
    Drain(usize),
    Pause(usize),
    Resume(usize),
    PeerStatus(usize, bool),
    CutLink(usize, usize),
    CutSource(usize, bool),
    Heal,
    MessageLoss(u8),
    NewEpoch,
}

/// The initial state of the fleet: the kind of stream, and which processes are up.
#[derive(Clone, Debug)]
struct InitialState {
    seed: u64,
    kind: usize,
    up: [bool; N],
}

const STREAM_KINDS: [(SlowReaderPolicy, StartPosition, bool); 5] = [
    (SlowReaderPolicy::Skip, StartPosition::Snapshot, false),
    (SlowReaderPolicy::Skip, StartPosition::Live, true),
    (SlowReaderPolicy::Conflate, StartPosition::Snapshot, true),
    (SlowReaderPolicy::Disconnect, StartPosition::Buffered, true),
    (SlowReaderPolicy::Disconnect, StartPosition::Snapshot, false),
];

impl ReferenceStateMachine for InitialState {
    type State = InitialState;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<InitialState> {
        (any::<u64>(), 0..STREAM_KINDS.len())
            .prop_map(|(seed, kind)| InitialState {
                seed,
                kind,
                up: [true; N],
            })
            .boxed()
    }

    fn transitions(_: &InitialState) -> BoxedStrategy<Step> {
        let key = proptest::option::of(0..4u8);
        prop_oneof![
            8 => (key, any::<bool>(), 1..20u8).prop_map(|(key, delete, times)| Step::Publish { key, delete, times }),
            8 => (1..2_000u32).prop_map(Step::Advance),
            6 => (0..N).prop_map(Step::Subscribe),
            1 => (0..N).prop_map(Step::SubscribeSlow),
            2 => (0..20usize).prop_map(Step::Cancel),
            2 => (0..N).prop_map(Step::Kill),
            2 => (0..N).prop_map(Step::Restart),
            1 => (0..N).prop_map(Step::Drain),
            2 => (0..N).prop_map(Step::Pause),
            2 => (0..N).prop_map(Step::Resume),
            1 => ((0..N), any::<bool>()).prop_map(|(i, alive)| Step::PeerStatus(i, alive)),
            3 => ((0..N), (0..N)).prop_map(|(a, b)| Step::CutLink(a, b)),
            2 => ((0..N), any::<bool>()).prop_map(|(i, there)| Step::CutSource(i, there)),
            2 => Just(Step::Heal),
            1 => (0..30u8).prop_map(Step::MessageLoss),
            1 => Just(Step::NewEpoch),
        ]
        .boxed()
    }

    fn apply(mut state: InitialState, step: &Step) -> InitialState {
        match step {
            Step::Kill(i) => state.up[*i] = false,
            Step::Restart(i) => state.up[*i] = true,
            _ => {}
        }
        state
    }

    fn preconditions(state: &InitialState, step: &Step) -> bool {
        match step {
            Step::Restart(i) => !state.up[*i],
            Step::Subscribe(i)
            | Step::SubscribeSlow(i)
            | Step::Kill(i)
            | Step::Drain(i)
            | Step::Pause(i) => state.up[*i],
            _ => true,
        }
    }
}

struct Fleet;

impl StateMachineTest for Fleet {
    type SystemUnderTest = World;
    type Reference = InitialState;

    fn init_test(state: &InitialState) -> World {
        let (slow, start, shared) = STREAM_KINDS[state.kind];
        World::new(state.seed, stream(slow, start, shared), &LOCATIONS)
    }

    fn apply(mut world: World, _: &InitialState, step: Step) -> World {
        match step {
            Step::Publish { key, delete, times } => {
                for _ in 0..times {
                    let key = key.map(|key| format!("k{key}"));
                    world.publish(key.as_deref(), delete && key.is_some());
                    world.advance(2 * MS);
                }
            }
            Step::Advance(ms) => world.advance(u64::from(ms) * MS),
            Step::Subscribe(i) | Step::SubscribeSlow(i) if world.processes[i].paused => {}
            Step::Subscribe(i) => {
                world.subscribe(i);
            }
            Step::SubscribeSlow(i) => {
                let reader = world.next_reader;
                world
                    .slow_readers
                    .insert(reader, reader.is_multiple_of(2).then_some(700 * MS));
                world.subscribe(i);
            }
            Step::Cancel(n) => {
                let reader = world
                    .readers
                    .iter()
                    .filter(|(_, (i, _))| !world.processes[*i].paused);
                if let Some(reader) = reader.map(|(reader, _)| *reader).nth(n) {
                    world.cancel(reader);
                }
            }
            Step::Kill(i) => world.kill(i),
            Step::Restart(i) => world.restart(i),
            Step::Drain(i) => world.drain(i),
            Step::Pause(i) => world.pause(i),
            Step::Resume(i) if world.processes[i].paused => world.resume(i),
            Step::Resume(_) => {}
            Step::PeerStatus(i, alive) => world.report_peer_status(i, alive),
            Step::CutLink(a, b) => {
                world.cut_links.insert((a, b));
            }
            Step::CutSource(i, there) => {
                world
                    .cut_links
                    .insert(if there { (i, SOURCE) } else { (SOURCE, i) });
            }
            Step::Heal => {
                world.cut_links.clear();
                world.loss_probability = 0.0;
            }
            Step::MessageLoss(percent) => world.loss_probability = f64::from(percent) / 100.0,
            Step::NewEpoch => {
                world.log.restart();
                let (log, readers) = (&world.log, &mut world.readers);
                readers
                    .values_mut()
                    .for_each(|(_, model)| model.exempt_lost_items(log));
            }
        }
        world
    }

    fn teardown(mut world: World, _: InitialState) {
        (0..N).for_each(|i| world.report_peer_status(i, true));
        world.heal_and_check();
    }
}

prop_state_machine! {
    #![proptest_config(ProptestConfig { cases: 96, ..ProptestConfig::default() })]

    #[test]
    fn each_reader_receives_all_in_order_once_or_is_told_of_gaps(sequential 1..60 => Fleet);
}
