//! `make demo-fleet`: six real processes at three sites, traffic, two kills, a pause, a cut, an upgrade; a table of what was
//! kept. What the program does not have on yet has no figure, and the demo fails.

use crate::archive::Policy;
use crate::check;
use crate::customer::{key, Manner};
use crate::fleet::Fleet;
use crate::line::Way;
use crate::neighbours;
use crate::plan::Plan;
use crate::settings::{self, KEYED, READS};
use crate::wired::{self, Wired};
use foldmux_fakes::rpc::Said;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

const PROCESSES: usize = 6;
const CUSTOMERS: usize = 12;
/// Of two tenants at the pool: one quick, one of slow requests, both by all processes.
const TENANTS: usize = 12;
const MS: fn(u64) -> Duration = Duration::from_millis;

pub fn play(seed: u64, time: Duration) -> Result<bool, String> {
    let plan = Plan {
        processes: PROCESSES,
        sites: 3,
        seats: PROCESSES,
        seed,
        fleet: true,
        operator: wired::lines(Duration::from_secs(2)) + &neighbours::weights([1.0; 4]),
        tenants: 2,
        archive: Policy {
            slow: Some((settings::TENANTS[0], neighbours::SLOW)),
            ..Policy::default()
        },
        ..Plan::default()
    };
    let fleet = Fleet::start(&plan)?;
    let wired = Wired::of(&fleet);
    println!(
        "{PROCESSES} processes at 3 sites, a journal service, caches and an archive (stand-ins)"
    );
    let (over, next, began) = (AtomicBool::new(false), AtomicU64::new(0), Instant::now());
    let served = [const { AtomicU64::new(0) }; 2];
    thread::scope(|scope| {
        for _ in 0..CUSTOMERS {
            scope.spawn(|| ask_on(&fleet, seed, wired.cover, &next, &over));
        }
        for client in 0..TENANTS {
            let (fleet, over, served) = (&fleet, &over, &served);
            scope.spawn(move || tenant(fleet, client, over, &served[client % 2]));
        }
        let broken = act(&fleet, time, began);
        over.store(true, Ordering::SeqCst);
        broken
    })?;
    let lines = fleet.record().lines().ok_or("the record is full")?;
    let verdict = check::read(&lines);
    let [slow, quick] = [0, 1].map(|at: usize| served[at].load(Ordering::SeqCst));
    println!("\ntwo tenants: {quick} quick and {slow} slow requests served");
    let mut facts = String::new();
    let _ = verdict.facts(&mut facts);
    println!(
        "\n{facts}\n{wired}\n{}{:.1} s",
        wired.judge(&verdict),
        began.elapsed().as_secs_f64()
    );
    Ok(verdict.sound() && verdict.served > 0 && slow > 0 && quick > 0 && wired.all())
}

/// The play, at parts of the time.
fn act(fleet: &Fleet, time: Duration, began: Instant) -> Result<(), String> {
    let at = |part: f64, what: &str| {
        thread::sleep((began + time.mul_f64(part)).saturating_duration_since(Instant::now()));
        println!("{:>5.1} s  {what}", began.elapsed().as_secs_f64());
    };
    at(0.2, "n1 is killed, and started again");
    fleet.kill(1);
    fleet.restart(1)?;
    at(0.35, "n2 is stopped for longer than its lease, and woken");
    fleet.pause(2)?;
    thread::sleep(MS(1_200));
    fleet.wake(2)?;
    at(0.5, "what n0 sends to n3 is cut off, and nothing else");
    fleet.cut(0, 3, Way::There);
    thread::sleep(MS(1_500));
    fleet.heal(0, 3);
    at(0.6, "n4 is killed, and started again");
    fleet.kill(4);
    fleet.restart(4)?;
    at(0.7, "n5 is upgraded beside itself");
    fleet.upgrade(5)?;
    at(1.0, "done");
    Ok(())
}

fn ask_on(fleet: &Fleet, seed: u64, covered: bool, next: &AtomicU64, over: &AtomicBool) {
    let mut customer = fleet.customer(MS(900));
    let (patience, deadline, longest) = (MS(900), MS(3_000), MS(12_000));
    let manner = Manner {
        class: KEYED.into(),
        covered,
        patience,
        deadline,
        longest,
    };
    while !over.load(Ordering::SeqCst) {
        let number = next.fetch_add(1, Ordering::SeqCst);
        let process = number as usize % PROCESSES;
        if number.is_multiple_of(3) {
            let manner = Manner {
                class: READS[number as usize % 2].into(),
                ..manner.clone()
            };
            let _ = customer.once(process, &manner, number % 500, None);
        }
        customer.ask(process, &manner, number % 500, &key(seed, number));
        thread::sleep(MS(20));
    }
}

fn tenant(fleet: &Fleet, client: usize, over: &AtomicBool, served: &AtomicU64) {
    let (mut customer, manner) = (
        fleet.customer(MS(3_000)),
        neighbours::manner(client % 2, MS(2_500)),
    );
    for object in 0.. {
        if over.load(Ordering::SeqCst) {
            return;
        }
        let said = customer.once(client % PROCESSES, &manner, (1 << 32) | (object % 64), None);
        served.fetch_add(
            matches!(said, Some(Said::Served(_))) as u64,
            Ordering::SeqCst,
        );
        thread::sleep(MS(20));
    }
}
