//! A pool's slots under random crashes, restarts, pauses, link failures and shutdowns, with a model of which
//! processes run: the pool's limit is never exceeded, and the slots of a crashed or unreachable process become vacant
//! exactly once, all of them.

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
    BlockLink(usize, usize),
    Heal,
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
            2 => (at(), at()).prop_map(|(from, to)| Step::BlockLink(from, to)),
            1 => Just(Step::Heal),
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
    type SystemUnderTest = Simulation;
    type Reference = Model;

    fn init_test(model: &Model) -> Simulation {
        let workload = Workload {
            tenant: "a".into(),
            weight: 1.0,
            processes: (0..PROCESSES).collect(),
            rate: 0.0,
            open: 6,
            durations: (10_000, 900_000),
            timeout: 3_000_000,
            start_at: 1_000,
        };
        let slots = SLOTS as u16;
        let config = SimulationConfig {
            processes: PROCESSES,
            slots,
            seed: model.seed,
            loss: 0.03,
            ..SimulationConfig::default()
        };
        let mut simulation = Simulation::new(config, vec![workload]);
        simulation.run(4_000_000);
        simulation
    }

    fn apply(mut simulation: Simulation, _: &Model, step: Step) -> Simulation {
        match step {
            Step::Run(time) => simulation.run(simulation.now + time),
            Step::Kill(at) => simulation.kill(at),
            Step::Restart(at) => simulation.restart(at),
            Step::Pause(at, time) => simulation.pause(at, time),
            Step::BlockLink(from, to) if from != to => {
                simulation.blocked_links.insert((from, to));
            }
            Step::BlockLink(..) => {}
            Step::Heal => simulation.blocked_links.clear(),
            Step::Leave(at) => {
                simulation.leave(at);
                simulation.run(simulation.now + 50_000);
                simulation.kill(at);
            }
        }
        simulation.run(simulation.now + 10_000);
        simulation
    }

    fn check_invariants(simulation: &Simulation, model: &Model) {
        assert_eq!(
            simulation.violations, 0,
            "a slot held by two processes or used by two requests"
        );
        assert!(simulation.max_running <= SLOTS);
        let up: Vec<bool> = simulation.processes.iter().map(|p| p.up).collect();
        assert_eq!(up, model.up);
    }

    fn teardown(mut simulation: Simulation, _: Model) {
        simulation.blocked_links.clear();
        (0..PROCESSES)
            .filter(|at| !simulation.processes[*at].up)
            .collect::<Vec<_>>()
            .into_iter()
            .for_each(|at| simulation.restart(at));
        simulation.run(simulation.now + 4_000_000 + 3 * LEASE);
        // One or two slots may be moving between processes at any moment.
        let held = (0..40).map(|_| {
            simulation.run(simulation.now + 50_000);
            simulation
                .processes
                .iter()
                .map(|p| {
                    p.local
                        .held_slots()
                        .unexpired(p.clock(simulation.now))
                        .count()
                })
                .sum::<usize>()
        });
        let held = held.max().unwrap_or(0);
        assert_eq!(
            (held, simulation.violations),
            (SLOTS, 0),
            "slots held again in the end"
        );
    }
}

prop_state_machine! {
    #![proptest_config(ProptestConfig { cases: 24, max_shrink_iters: 200, failure_persistence: None, ..ProptestConfig::default() })]
    #[test]
    fn slots_return_once_and_never_exceed_the_pool(sequential 1..24 => Fleet);
}
