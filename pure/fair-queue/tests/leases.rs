//! A pool's slots under drawn kills, restarts, pauses, cuts, losses and reloads, beside a plain model of who is up and who
//! hears whom: never over the cap; what a dead or silent process held comes back once, and all of it.

mod common;
use common::*;
use proptest::prelude::*;
use proptest_state_machine::{prop_state_machine, ReferenceStateMachine, StateMachineTest};

const PROCESSES: usize = 5;
const SLOTS: usize = 12;

#[derive(Clone, Debug)]
struct Model {
    up: [bool; PROCESSES],
    seed: u64,
}

#[derive(Clone, Debug)]
enum Step {
    Run(u64),
    Kill(usize),
    Restart(usize),
    Pause(usize, u64),
    Cut(usize, usize),
    Mend,
    Leave(usize),
}

impl ReferenceStateMachine for Model {
    type State = Model;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<Model> {
        any::<u64>()
            .prop_map(|seed| Model {
                up: [true; PROCESSES],
                seed,
            })
            .boxed()
    }

    fn transitions(_: &Model) -> BoxedStrategy<Step> {
        let at = || 0..PROCESSES;
        prop_oneof![
            4 => (50_000..3_000_000u64).prop_map(Step::Run),
            2 => at().prop_map(Step::Kill),
            2 => at().prop_map(Step::Restart),
            1 => (at(), 100_000..4_000_000u64).prop_map(|(at, time)| Step::Pause(at, time)),
            2 => (at(), at()).prop_map(|(from, to)| Step::Cut(from, to)),
            1 => Just(Step::Mend),
            1 => at().prop_map(Step::Leave),
        ]
        .boxed()
    }

    fn preconditions(state: &Model, step: &Step) -> bool {
        match step {
            Step::Kill(at) | Step::Pause(at, _) | Step::Leave(at) => state.up[*at],
            Step::Restart(at) => !state.up[*at],
            _ => true,
        }
    }

    fn apply(mut state: Model, step: &Step) -> Model {
        match step {
            Step::Kill(at) | Step::Leave(at) => state.up[*at] = false,
            Step::Restart(at) => state.up[*at] = true,
            _ => {}
        }
        state
    }
}

struct Fleet;

impl StateMachineTest for Fleet {
    type SystemUnderTest = World;
    type Reference = Model;

    fn init_test(model: &Model) -> World {
        let stream = Stream {
            tenant: "a".into(),
            weight: 1.0,
            by: (0..PROCESSES).collect(),
            rate: 0.0,
            open: 6,
            takes: (10_000, 900_000),
            patience: 3_000_000,
            from: 1_000,
        };
        let slots = SLOTS as u16;
        let plan = Plan {
            processes: PROCESSES,
            slots,
            seed: model.seed,
            loss: 0.03,
            ..Plan::default()
        };
        let mut world = World::new(plan, vec![stream]);
        world.run(4_000_000);
        world
    }

    fn apply(mut world: World, _: &Model, step: Step) -> World {
        match step {
            Step::Run(time) => world.run(world.now + time),
            Step::Kill(at) => world.kill(at),
            Step::Restart(at) => world.restart(at),
            Step::Pause(at, time) => world.pause(at, time),
            Step::Cut(from, to) if from != to => {
                world.cut.insert((from, to));
            }
            Step::Cut(..) => {}
            Step::Mend => world.cut.clear(),
            Step::Leave(at) => {
                world.leave(at);
                world.run(world.now + 50_000);
                world.kill(at);
            }
        }
        world.run(world.now + 10_000);
        world
    }

    fn check_invariants(world: &World, model: &Model) {
        assert_eq!(world.overrun, 0, "a slot held by two, or running twice");
        assert!(world.most_running <= SLOTS);
        let up: Vec<bool> = world.processes.iter().map(|p| p.up).collect();
        assert_eq!(up, model.up);
    }

    fn teardown(mut world: World, _: Model) {
        world.cut.clear();
        (0..PROCESSES)
            .filter(|at| !world.processes[*at].up)
            .collect::<Vec<_>>()
            .into_iter()
            .for_each(|at| world.restart(at));
        world.run(world.now + 4_000_000 + 3 * LEASE);
        // One or two are on their way from one to another now and then.
        let held = (0..40).map(|_| {
            world.run(world.now + 50_000);
            world
                .processes
                .iter()
                .map(|p| p.local.stock().surely(p.clock(world.now)).count())
                .sum::<usize>()
        });
        let held = held.max().unwrap_or(0);
        assert_eq!((held, world.overrun), (SLOTS, 0), "slots that came back");
    }
}

prop_state_machine! {
    #![proptest_config(ProptestConfig { cases: 24, max_shrink_iters: 200, failure_persistence: None, ..ProptestConfig::default() })]
    #[test]
    fn slots_come_back_once_and_never_pass_the_cap(sequential 1..24 => Fleet);
}
