//! Drawn orders of news, readers, losses, cuts, pauses, kills, leavings and restarts, against the plain model; a failing run
//! is shrunk, and kept in `drawn.proptest-regressions`.

mod world;

use foldmux_relay::{First, Slow};
use proptest::prelude::*;
use proptest_state_machine::{prop_state_machine, ReferenceStateMachine, StateMachineTest};
use world::{stream, World, MS, SOURCE};

const PLACES: [&str; 7] = ["a/x", "a/x", "a/y", "a/y", "b/x", "b/x", "b/x"];
const N: usize = PLACES.len();

#[derive(Clone, Debug)]
enum Step {
    Tell {
        key: Option<u8>,
        gone: bool,
        times: u8,
    },
    Pass(u32),
    Subscribe(usize),
    Slow(usize),
    Cancel(usize),
    Kill(usize),
    Restart(usize),
    Leave(usize),
    Pause(usize),
    Wake(usize),
    Members(usize, bool),
    Cut(usize, usize),
    CutSource(usize, bool),
    Heal,
    Loss(u8),
    NewEpoch,
}

/// What the fleet is told to be: which kind of stream, and who is up.
#[derive(Clone, Debug)]
struct Told {
    seed: u64,
    kind: usize,
    up: [bool; N],
}

const KINDS: [(Slow, First, bool); 5] = [
    (Slow::Skip, First::Whole, false),
    (Slow::Skip, First::Live, true),
    (Slow::Latest, First::Whole, true),
    (Slow::All, First::Ring, true),
    (Slow::All, First::Whole, false),
];

impl ReferenceStateMachine for Told {
    type State = Told;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<Told> {
        (any::<u64>(), 0..KINDS.len())
            .prop_map(|(seed, kind)| Told {
                seed,
                kind,
                up: [true; N],
            })
            .boxed()
    }

    fn transitions(_: &Told) -> BoxedStrategy<Step> {
        let key = proptest::option::of(0..4u8);
        prop_oneof![
            8 => (key, any::<bool>(), 1..20u8).prop_map(|(key, gone, times)| Step::Tell { key, gone, times }),
            8 => (1..2_000u32).prop_map(Step::Pass),
            6 => (0..N).prop_map(Step::Subscribe),
            1 => (0..N).prop_map(Step::Slow),
            2 => (0..20usize).prop_map(Step::Cancel),
            2 => (0..N).prop_map(Step::Kill),
            2 => (0..N).prop_map(Step::Restart),
            1 => (0..N).prop_map(Step::Leave),
            2 => (0..N).prop_map(Step::Pause),
            2 => (0..N).prop_map(Step::Wake),
            1 => ((0..N), any::<bool>()).prop_map(|(i, alive)| Step::Members(i, alive)),
            3 => ((0..N), (0..N)).prop_map(|(a, b)| Step::Cut(a, b)),
            2 => ((0..N), any::<bool>()).prop_map(|(i, there)| Step::CutSource(i, there)),
            2 => Just(Step::Heal),
            1 => (0..30u8).prop_map(Step::Loss),
            1 => Just(Step::NewEpoch),
        ]
        .boxed()
    }

    fn apply(mut told: Told, step: &Step) -> Told {
        match step {
            Step::Kill(i) => told.up[*i] = false,
            Step::Restart(i) => told.up[*i] = true,
            _ => {}
        }
        told
    }

    fn preconditions(told: &Told, step: &Step) -> bool {
        match step {
            Step::Restart(i) => !told.up[*i],
            Step::Subscribe(i)
            | Step::Slow(i)
            | Step::Kill(i)
            | Step::Leave(i)
            | Step::Pause(i) => told.up[*i],
            _ => true,
        }
    }
}

struct Fleet;

impl StateMachineTest for Fleet {
    type SystemUnderTest = World;
    type Reference = Told;

    fn init_test(told: &Told) -> World {
        let (slow, first, shared) = KINDS[told.kind];
        World::new(told.seed, stream(slow, first, shared), &PLACES)
    }

    fn apply(mut world: World, _: &Told, step: Step) -> World {
        match step {
            Step::Tell { key, gone, times } => {
                for _ in 0..times {
                    let key = key.map(|key| format!("k{key}"));
                    world.publish(key.as_deref(), gone && key.is_some());
                    world.pass(2 * MS);
                }
            }
            Step::Pass(ms) => world.pass(u64::from(ms) * MS),
            Step::Subscribe(i) | Step::Slow(i) if world.processes[i].paused => {}
            Step::Subscribe(i) => {
                world.subscribe(i);
            }
            Step::Slow(i) => {
                let reader = world.next_reader;
                world
                    .slow
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
            Step::Leave(i) => world.leave(i),
            Step::Pause(i) => world.pause(i),
            Step::Wake(i) if world.processes[i].paused => world.wake(i),
            Step::Wake(_) => {}
            Step::Members(i, alive) => world.members_say(i, alive),
            Step::Cut(a, b) => {
                world.cut.insert((a, b));
            }
            Step::CutSource(i, there) => {
                world
                    .cut
                    .insert(if there { (i, SOURCE) } else { (SOURCE, i) });
            }
            Step::Heal => {
                world.cut.clear();
                world.loss = 0.0;
            }
            Step::Loss(percent) => world.loss = f64::from(percent) / 100.0,
            Step::NewEpoch => {
                world.log.restart();
                let (log, readers) = (&world.log, &mut world.readers);
                readers
                    .values_mut()
                    .for_each(|(_, model)| model.forget(log));
            }
        }
        world
    }

    fn teardown(mut world: World, _: Told) {
        (0..N).for_each(|i| world.members_say(i, true));
        world.settle();
    }
}

prop_state_machine! {
    #![proptest_config(ProptestConfig { cases: 96, ..ProptestConfig::default() })]

    #[test]
    fn each_reader_has_all_in_order_once_or_is_told(sequential 1..60 => Fleet);
}
