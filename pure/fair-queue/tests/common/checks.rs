//! What must hold, each as one check: of the sound crate it is none the worse, of one with a planted fault it tells what
//! broke.
#![allow(dead_code)]

use super::one::{One, Tenant};
use super::*;

pub type Check = Result<(), String>;

pub fn must(holds: bool, else_what: impl FnOnce() -> String) -> Check {
    holds.then_some(()).ok_or_else(else_what)
}

/// Slot time over weight, of tenants that wait at all times; and slots in use.
pub fn shares(one: &One, of: std::ops::Range<usize>) -> Check {
    let per: Vec<f64> = of
        .map(|at| one.time[at] as f64 / one.tenants[at].weight)
        .collect();
    must(jain(&per) >= 0.98, || {
        format!("Jain {:.3}: {per:?}", jain(&per))
    })?;
    let busy = one.busy.0 as f64 / one.busy.1.max(1) as f64;
    must(busy >= 0.98, || format!("{busy:.3} of the slots in use"))
}

/// Equal weights, costs of 10 to 200 ms: charged by time and not by count.
pub fn by_time() -> Check {
    let takes = [(5_000, 15_000), (50_000, 150_000), (100_000, 300_000)];
    let tenants = (0..6).map(|n| Tenant {
        slow: false,
        ..Tenant::new(&format!("t{n}"), 20, takes[n % 3])
    });
    let mut one = One::new(8, tenants.collect(), 7);
    one.run(60_000_000);
    shares(&one, 0..6)
}

/// One that is foretold a millisecond and takes half a second has no more than its share.
pub fn foretold_wrongly() -> Check {
    let mut tenants: Vec<_> = (0..4)
        .map(|n| Tenant::new(&format!("t{n}"), 20, (20_000, 60_000)))
        .collect();
    tenants.push(Tenant {
        foretold: 1_000,
        slow: false,
        ..Tenant::new("liar", 40, (400_000, 600_000))
    });
    let mut one = One::new(8, tenants, 7);
    one.run(60_000_000);
    shares(&one, 0..5)
}

/// A repeat passes nobody.
pub fn repeats_in_turn() -> Check {
    let mut one = One::new(1, vec![Tenant::new("a", 0, (10_000, 10_000))], 1);
    let ids: Vec<u64> = (0..40).map(|n| one.ask(0, n % 3 == 2)).collect();
    one.run(1_000_000);
    must(one.starts == ids, || format!("{:?}", one.starts))
}

/// One whose slow ones were held back by their bound for a long time, and that then sends quick ones, takes no more of its
/// neighbours' slots than one longest request's time.
pub fn held_back_is_no_credit() -> Check {
    let quick = Tenant::new("quick", 60, (10_000, 30_000));
    let slow = |n: usize| Tenant::new(&format!("s{n}"), 20, (200_000, 400_000));
    let mut tenants: Vec<Tenant> = vec![quick];
    tenants.extend((0..1).map(slow));
    tenants.push(Tenant::new("s9", 20, (200_000, 400_000)));
    let mut one = One::new(6, tenants, 3);
    one.run(60_000_000);
    one.tenants[1] = Tenant::new("s0", 0, (10_000, 30_000));
    let before = one.time[0];
    (0..4_000).for_each(|_| {
        one.ask(1, false);
    });
    one.run(66_000_000);
    let got = one.time[0] - before;
    must(got > 9_000_000, || {
        format!("its neighbour got {got} us of 36 s of slot time")
    })
}

/// Twenty tenants of slow ones, one of quick: while it waits they have half of the slots.
pub fn slow_have_a_part() -> Check {
    let mut tenants = vec![Tenant::new("quick", 30, (10_000, 20_000))];
    tenants.extend((0..20).map(|n| Tenant::new(&format!("s{n}"), 5, (300_000, 600_000))));
    let mut one = One::new(8, tenants, 3);
    one.run(60_000_000);
    let all: Time = one.time.iter().sum();
    must(one.time[0] * 100 >= all * 45, || {
        format!("quick ones got {} of {all}", one.time[0])
    })
}

/// Whoever invents names takes from the unnamed alone.
pub fn invented_names() -> Check {
    let inventor = Tenant {
        renames: true,
        ..Tenant::new("x", 200, (20_000, 40_000))
    };
    let mut both = One::new(
        8,
        vec![Tenant::new("named", 40, (20_000, 40_000)), inventor],
        5,
    );
    both.run(30_000_000);
    let all = both.time[0] + both.time[1];
    must(both.time[0] * 100 >= all * 45, || {
        format!("the named got {} of {all}", both.time[0])
    })
}

/// A fleet under kills, pauses and cuts, all wanting more than there is: never over the cap, and in the end all slots are
/// held again.
pub fn fleet_keeps_its_cap(seed: u64, delay: Time, restart_seats: bool) -> Check {
    let stream = Stream {
        tenant: "a".into(),
        weight: 1.0,
        by: (0..5).collect(),
        rate: 0.0,
        open: 8,
        takes: (20_000, 900_000),
        patience: 3_000_000,
        from: 3_000_000,
    };
    let plan = Plan {
        processes: 5,
        slots: 16,
        seed,
        loss: 0.02,
        delay: (200, delay),
        ..Plan::default()
    };
    let mut world = World::new(plan, vec![stream]);
    world.run(5_000_000);
    for round in 0..12 {
        let at = world.rng.usize(..5);
        match round % 4 {
            0 if restart_seats => {
                (0..5).for_each(|at| world.kill(at));
                (0..5).for_each(|at| world.restart(at));
            }
            0 => world.kill(at),
            1 => world.pause(at, 3_500_000),
            2 => (0..5).filter(|to| *to != at).for_each(|to| {
                world.cut.insert((at, to));
                if round % 8 == 2 {
                    world.cut.insert((to, at));
                }
            }),
            _ => world.cut.clear(),
        }
        let span = world.rng.u64(300_000..3_500_000);
        world.run(world.now + span);
        (0..5).for_each(|at| {
            if !world.processes[at].up {
                world.restart(at);
            }
        });
    }
    world.cut.clear();
    world.run(world.now + 3 * LEASE);
    must(world.overrun == 0, || format!("{} overruns", world.overrun))?;
    let held: usize = world
        .processes
        .iter()
        .map(|p| p.local.slots(p.clock(world.now)))
        .sum();
    must(held >= 15, || {
        format!("{held} of 16 slots are held in the end")
    })?;
    must(
        world.most_running <= 16 && world.figures[0].served > 100,
        || format!("{:?}", world.figures[0]),
    )
}

/// What one process says of a tenant pushes it back for no longer than it lies, and a little.
pub fn a_liar_is_bounded() -> Check {
    use foldmux_fair_queue::digest;
    let stream = |tenant: &str| Stream {
        tenant: tenant.into(),
        weight: 1.0,
        by: vec![0],
        rate: 0.0,
        open: 20,
        takes: (20_000, 60_000),
        patience: 3_000_000,
        from: 3_000_000,
    };
    let plan = Plan {
        processes: 3,
        slots: 12,
        ..Plan::default()
    };
    let mut world = World::new(plan, vec![stream("victim"), stream("other")]);
    world.run(5_000_000);
    let mut lie = 0;
    for _ in 0..20 {
        lie += 1_000_000_000;
        world.digest_from(
            1,
            0,
            digest::Use {
                tenant: key("victim"),
                used: lie,
                wants: 1,
            },
        );
        world.run(world.now + 100_000);
    }
    let before = world.figures[0].slot_time;
    world.run(world.now + 4_000_000);
    let got = world.figures[0].slot_time - before;
    must(got > 8_000_000, || {
        format!("4 s after the lies the victim got {got} us of slot time")
    })
}
