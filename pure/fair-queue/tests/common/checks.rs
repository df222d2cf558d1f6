//! Properties that must hold. Each check passes on the unmodified crate, and describes the violation with a planted
//! fault.
#![allow(dead_code)]

use super::queue_simulation::{QueueSimulation, Tenant};
use super::*;

pub type Check = Result<(), String>;

pub fn ensure(holds: bool, else_what: impl FnOnce() -> String) -> Check {
    holds.then_some(()).ok_or_else(else_what)
}

/// Tenants that always wait get the same slot time per weight, and all slots are in use.
pub fn shares(queue_sim: &QueueSimulation, of: std::ops::Range<usize>) -> Check {
    let per: Vec<f64> = of
        .map(|at| queue_sim.time[at] as f64 / queue_sim.tenants[at].weight)
        .collect();
    ensure(jain(&per) >= 0.98, || {
        format!("Jain {:.3}: {per:?}", jain(&per))
    })?;
    let busy = queue_sim.busy.0 as f64 / queue_sim.busy.1.max(1) as f64;
    ensure(busy >= 0.98, || format!("{busy:.3} of the slots in use"))
}

/// Equal weights, costs of 10 to 200 ms: tenants are charged by time, not by count.
pub fn charged_by_slot_time() -> Check {
    let durations = [(5_000, 15_000), (50_000, 150_000), (100_000, 300_000)];
    let tenants = (0..6).map(|n| Tenant {
        slow: false,
        ..Tenant::new(&format!("t{n}"), 20, durations[n % 3])
    });
    let mut queue_sim = QueueSimulation::new(8, tenants.collect(), 7);
    queue_sim.run(60_000_000);
    shares(&queue_sim, 0..6)
}

/// A tenant whose requests are predicted to take a millisecond and take half a second gets no more than its share.
pub fn mispredicted_cost() -> Check {
    let mut tenants: Vec<_> = (0..4)
        .map(|n| Tenant::new(&format!("t{n}"), 20, (20_000, 60_000)))
        .collect();
    tenants.push(Tenant {
        predicted: 1_000,
        slow: false,
        ..Tenant::new("mispredicted", 40, (400_000, 600_000))
    });
    let mut queue_sim = QueueSimulation::new(8, tenants, 7);
    queue_sim.run(60_000_000);
    shares(&queue_sim, 0..5)
}

/// A retry does not overtake other requests.
pub fn retries_keep_their_place() -> Check {
    let mut queue_sim = QueueSimulation::new(1, vec![Tenant::new("a", 0, (10_000, 10_000))], 1);
    let ids: Vec<u64> = (0..40).map(|n| queue_sim.enter(0, n % 3 == 2)).collect();
    queue_sim.run(1_000_000);
    ensure(queue_sim.starts == ids, || {
        format!("{:?}", queue_sim.starts)
    })
}

/// A tenant whose slow requests were held back for a long time, and that then sends quick ones, takes at most one
/// longest request's time of its neighbours' slots.
pub fn bounded_credit() -> Check {
    let quick = Tenant::new("quick", 60, (10_000, 30_000));
    let slow = |n: usize| Tenant::new(&format!("s{n}"), 20, (200_000, 400_000));
    let mut tenants: Vec<Tenant> = vec![quick];
    tenants.extend((0..1).map(slow));
    tenants.push(Tenant::new("s9", 20, (200_000, 400_000)));
    let mut queue_sim = QueueSimulation::new(6, tenants, 3);
    queue_sim.run(60_000_000);
    queue_sim.tenants[1] = Tenant::new("s0", 0, (10_000, 30_000));
    let before = queue_sim.time[0];
    (0..4_000).for_each(|_| {
        queue_sim.enter(1, false);
    });
    queue_sim.run(66_000_000);
    let got = queue_sim.time[0] - before;
    ensure(got > 9_000_000, || {
        format!("the neighbour got {got} us of 36 s of slot time")
    })
}

/// Twenty tenants with slow requests and one with quick ones, which always wait: the quick ones get half of the
/// slots.
pub fn slow_requests_are_bounded() -> Check {
    let mut tenants = vec![Tenant::new("quick", 30, (10_000, 20_000))];
    tenants.extend((0..20).map(|n| Tenant::new(&format!("s{n}"), 5, (300_000, 600_000))));
    let mut queue_sim = QueueSimulation::new(8, tenants, 3);
    queue_sim.run(60_000_000);
    let all: Time = queue_sim.time.iter().sum();
    ensure(queue_sim.time[0] * 100 >= all * 45, || {
        format!("quick requests got {} of {all}", queue_sim.time[0])
    })
}

/// A client that invents tenant names takes slots from unnamed tenants alone.
pub fn invented_names_share_one_weight() -> Check {
    let inventor = Tenant {
        invents_names: true,
        ..Tenant::new("x", 200, (20_000, 40_000))
    };
    let mut both = QueueSimulation::new(
        8,
        vec![Tenant::new("named", 40, (20_000, 40_000)), inventor],
        5,
    );
    both.run(30_000_000);
    let all = both.time[0] + both.time[1];
    ensure(both.time[0] * 100 >= all * 45, || {
        format!("the named tenant got {} of {all}", both.time[0])
    })
}

/// A fleet under crashes, pauses and link failures, with more demand than slots: the pool's limit is never exceeded,
/// and in the end all slots are held again.
pub fn fleet_never_exceeds_pool(seed: u64, delay: Time, restart_replicas: bool) -> Check {
    let workload = Workload {
        tenant: "a".into(),
        weight: 1.0,
        processes: (0..5).collect(),
        rate: 0.0,
        open: 8,
        durations: (20_000, 900_000),
        timeout: 3_000_000,
        start_at: 3_000_000,
    };
    let config = SimulationConfig {
        processes: 5,
        slots: 16,
        seed,
        loss: 0.02,
        delay: (200, delay),
        ..SimulationConfig::default()
    };
    let mut simulation = Simulation::new(config, vec![workload]);
    simulation.run(5_000_000);
    for round in 0..12 {
        let at = simulation.rng.usize(..5);
        match round % 4 {
            0 if restart_replicas => {
                (0..5).for_each(|at| simulation.kill(at));
                (0..5).for_each(|at| simulation.restart(at));
            }
            0 => simulation.kill(at),
            1 => simulation.pause(at, 3_500_000),
            2 => (0..5).filter(|to| *to != at).for_each(|to| {
                simulation.blocked_links.insert((at, to));
                if round % 8 == 2 {
                    simulation.blocked_links.insert((to, at));
                }
            }),
            _ => simulation.blocked_links.clear(),
        }
        let span = simulation.rng.u64(300_000..3_500_000);
        simulation.run(simulation.now + span);
        (0..5).for_each(|at| {
            if !simulation.processes[at].up {
                simulation.restart(at);
            }
        });
    }
    simulation.blocked_links.clear();
    simulation.run(simulation.now + 3 * LEASE);
    ensure(simulation.violations == 0, || {
        format!("{} violations", simulation.violations)
    })?;
    let held: usize = simulation
        .processes
        .iter()
        .map(|p| p.local.usable_slots(p.clock(simulation.now)))
        .sum();
    ensure(held >= 15, || {
        format!("{held} of 16 slots are held in the end")
    })?;
    ensure(
        simulation.max_running <= 16 && simulation.stats[0].served > 100,
        || format!("{:?}", simulation.stats[0]),
    )
}

/// False digests of one process set a tenant back only while they arrive, and a little longer.
pub fn false_digests_are_bounded() -> Check {
    use foldmux_fair_queue::digest;
    let workload = |tenant: &str| Workload {
        tenant: tenant.into(),
        weight: 1.0,
        processes: vec![0],
        rate: 0.0,
        open: 20,
        durations: (20_000, 60_000),
        timeout: 3_000_000,
        start_at: 3_000_000,
    };
    let config = SimulationConfig {
        processes: 3,
        slots: 12,
        ..SimulationConfig::default()
    };
    let mut simulation = Simulation::new(config, vec![workload("victim"), workload("other")]);
    simulation.run(5_000_000);
    let mut reported = 0;
    for _ in 0..20 {
        reported += 1_000_000_000;
        simulation.digest_from(
            1,
            0,
            digest::TenantUsage {
                tenant: name_hash("victim"),
                used: reported,
                wanted: 1,
            },
        );
        simulation.run(simulation.now + 100_000);
    }
    let before = simulation.stats[0].slot_time;
    simulation.run(simulation.now + 4_000_000);
    let got = simulation.stats[0].slot_time - before;
    ensure(got > 8_000_000, || {
        format!("4 s after the false digests the victim got {got} us of slot time")
    })
}
