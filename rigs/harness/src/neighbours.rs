//! Tenants beside one that floods a pool with many times its share of slow requests: what its neighbours wait and are served,
//! alone, with turns, and first come, first served at the archive itself.

use crate::check::percentile;
use crate::customer::Manner;
use crate::fleet::Fleet;
use crate::plan::Plan;
use crate::record::{Event, Line};
use crate::settings::TENANTS;
use foldmux_fakes::rpc::Said;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};

/// What a neighbour's request takes at the archive, and one of the flood.
pub const QUICK: Duration = Duration::from_millis(20);
pub const SLOW: Duration = Duration::from_millis(600);
/// A neighbour's client gives up after so long.
const PATIENCE: Duration = Duration::from_millis(1_500);
/// Connections that a flood has at one process, within the front's bound for clients.
const MOST: usize = 280;
/// Neighbours' clients, all together: half of the slots with the pauses between their requests.
const CLIENTS: usize = 16;
/// Objects that are asked for: few, as a source that is new is spared by the module.
const OBJECTS: u64 = 64;

#[derive(Clone, Debug)]
pub struct Scene {
    pub processes: usize,
    pub slots: u64,
    /// How many times its share the flood has open; 0: none.
    pub times: usize,
    /// Off: no pool, and the archive serves first come.
    pub fair: bool,
    pub seed: u64,
    pub time: Duration,
}

/// What a scene came to. Times in microseconds.
#[derive(Clone, Debug, Default)]
pub struct Seen {
    /// Of the neighbours: beyond what a request takes.
    pub waits: Vec<u64>,
    pub asked: u64,
    pub served: u64,
    pub flood_asked: u64,
    pub flood_served: u64,
    /// Slots in use, in parts of all, once the flood has run for a second.
    pub busy: f64,
    pub overrun: u64,
    /// What the first process counts.
    pub tally: String,
}

impl Seen {
    pub fn p99(&self) -> f64 {
        percentile(&self.waits, 0.99).unwrap_or(0) as f64 / 1e3
    }

    pub fn worth(&self) -> f64 {
        self.served as f64 / self.asked.max(1) as f64
    }
}

/// The operator's lines: all that goes to caches passes one pool, whatever it is filled from.
pub fn lines(slots: u64) -> String {
    format!("pool(\"cache\", slots = {slots}, by = \"tenant\")\n") + &weights([1.0; 4])
}

pub fn weights(of: [f64; 4]) -> String {
    TENANTS
        .iter()
        .zip(of)
        .map(|(name, weight)| format!("weight(\"{name}\", {weight:.1})\n"))
        .collect()
}

pub fn plan(scene: &Scene) -> Plan {
    let archive = crate::archive::Policy {
        read: QUICK,
        slow: Some((TENANTS[0], SLOW)),
        cap: (!scene.fair).then_some(scene.slots),
        ..Default::default()
    };
    Plan {
        processes: scene.processes.max(if scene.fair { 3 } else { 1 }),
        sites: scene.processes.min(4),
        seats: scene.processes.max(3),
        seed: scene.seed,
        fleet: scene.fair,
        operator: if scene.fair {
            lines(scene.slots)
        } else {
            String::new()
        },
        tenants: TENANTS.len(),
        direct: true,
        archive,
        ..Plan::default()
    }
}

pub fn manner(tenant: usize, patience: Duration) -> Manner {
    let (deadline, longest) = (patience, patience);
    Manner {
        class: TENANTS[tenant].into(),
        covered: false,
        patience: patience * 2,
        deadline,
        longest,
    }
}

/// A fleet of which each process serves a read: seats that start grant nothing for one lease.
pub fn start(plan: &Plan) -> Result<Fleet, String> {
    let fleet = Fleet::start(plan)?;
    let until = Instant::now() + crate::gate::PATIENCE;
    let mut customer = fleet.customer(Duration::from_millis(3_000));
    for process in 0..fleet.size() {
        let first = 1 << 40 | process as u64;
        while !matches!(
            customer.once(
                process,
                &manner(1, Duration::from_millis(1_500)),
                first,
                None
            ),
            Some(Said::Served(_))
        ) {
            if Instant::now() > until {
                return Err(format!(
                    "n{process} serves nothing:\n{}",
                    fleet.log(process).join("\n")
                ));
            }
            thread::sleep(Duration::from_millis(20));
        }
    }
    Ok(fleet)
}

/// Plays one scene; the fleet it played on.
pub fn play(scene: &Scene) -> Result<(Fleet, Seen), String> {
    let fleet = start(&plan(scene))?;
    let seen = on(&fleet, scene)?;
    Ok((fleet, seen))
}

pub fn on(fleet: &Fleet, scene: &Scene) -> Result<Seen, String> {
    let share = scene.slots as usize / TENANTS.len();
    let flood = (scene.times * share).min(MOST * scene.processes);
    let (over, next, seen) = (
        AtomicBool::new(false),
        AtomicU64::new(1),
        Mutex::new(Seen::default()),
    );
    let began = fleet.record().now();
    thread::scope(|scope| {
        for client in 0..CLIENTS {
            let process = client % scene.processes;
            let (next, over, seen) = (&next, &over, &seen);
            spawn(scope, move || {
                neighbour(fleet, process, 1 + client % 3, next, over, seen)
            });
        }
        for client in 0..flood {
            let process = client % scene.processes;
            let (next, over, seen) = (&next, &over, &seen);
            spawn(scope, move || floods(fleet, process, next, over, seen));
        }
        thread::sleep(scene.time);
        over.store(true, Ordering::SeqCst);
    });
    let lines = fleet.record().lines().ok_or("the record is full")?;
    let mut seen = seen.into_inner().map_err(|e| e.to_string())?;
    let (from, to) = (began + 1_000_000, began + scene.time.as_micros() as u64);
    seen.busy = in_use(&lines, from, to) / scene.slots as f64;
    seen.tally = fleet.log(0).pop().unwrap_or_default();
    seen.overrun = crate::check::read(&lines).cap_overrun;
    Ok(seen)
}

fn spawn<'s>(scope: &'s thread::Scope<'s, '_>, run: impl FnOnce() + Send + 's) {
    let thread = thread::Builder::new().stack_size(128 * 1024);
    drop(thread.spawn_scoped(scope, run));
}

fn neighbour(
    fleet: &Fleet,
    process: usize,
    tenant: usize,
    next: &AtomicU64,
    over: &AtomicBool,
    seen: &Mutex<Seen>,
) {
    let (mut customer, manner) = (fleet.customer(PATIENCE * 2), manner(tenant, PATIENCE));
    while !over.load(Ordering::SeqCst) {
        let began = Instant::now();
        let said = customer.once(
            process,
            &manner,
            next.fetch_add(1, Ordering::SeqCst) % OBJECTS,
            None,
        );
        let took = began.elapsed();
        let Ok(mut seen) = seen.lock() else { return };
        seen.asked += 1;
        if matches!(said, Some(Said::Served(_))) {
            seen.served += (took <= PATIENCE) as u64;
            seen.waits
                .push(took.saturating_sub(QUICK).as_micros() as u64);
        }
        drop(seen);
        // The load's own pace.
        thread::sleep(QUICK);
    }
}

/// It asks again whatever it is told.
fn floods(fleet: &Fleet, process: usize, next: &AtomicU64, over: &AtomicBool, seen: &Mutex<Seen>) {
    let (mut customer, manner) = (
        fleet.customer(Duration::from_millis(6_000)),
        manner(0, Duration::from_millis(2_900)),
    );
    while !over.load(Ordering::SeqCst) {
        let said = customer.once(
            process,
            &manner,
            next.fetch_add(1, Ordering::SeqCst) % OBJECTS,
            None,
        );
        let served = matches!(said, Some(Said::Served(_)));
        let Ok(mut seen) = seen.lock() else { return };
        seen.flood_asked += 1;
        seen.flood_served += served as u64;
        drop(seen);
        if !served {
            thread::sleep(Duration::from_millis(50));
        }
    }
}

/// Slots in use on average between two times.
pub fn in_use(lines: &[Line], from: u64, to: u64) -> f64 {
    let (mut taken, mut last, mut sum) = (0u64, from, 0.0);
    for line in lines.iter().take_while(|line| line.at < to) {
        let step = match line.event {
            Event::Taken { .. } => 1,
            Event::Given { .. } => -1,
            _ => continue,
        };
        sum += line.at.saturating_sub(last) as f64 * taken as f64;
        last = last.max(line.at);
        taken = taken.saturating_add_signed(step);
    }
    sum += (to - last) as f64 * taken as f64;
    sum / (to - from).max(1) as f64
}

/// The table of `foldmux-harness neighbours`; whether all that is promised held.
pub fn table(seed: u64, time: Duration, sizes: &[usize]) -> Result<bool, String> {
    let mut sound = true;
    for processes in sizes.iter().copied() {
        let scene = |times, fair| Scene {
            processes,
            slots: 16,
            times,
            fair,
            seed,
            time,
        };
        let alone = play(&scene(0, true))?.1;
        for times in [10, 100] {
            let (fair, first) = (play(&scene(times, true))?.1, play(&scene(times, false))?.1);
            println!(
                "{processes:>2} processes, {times:>3} times: p99 wait {:.0} ms alone, {:.0} with turns, {:.0} first come; \
                 worth {:.3}, {:.3}, {:.3}; flood served {} of {}; {:.3} of the slots in use; {} over the cap",
                alone.p99(), fair.p99(), first.p99(), alone.worth(), fair.worth(), first.worth(),
                fair.flood_served, fair.flood_asked, fair.busy, fair.overrun
            );
            println!(
                "   alone {}\n   with turns {}\n   first come {}",
                alone.tally, fair.tally, first.tally
            );
            sound &= fair.p99() <= 1.2 * alone.p99() + SLOW.as_millis() as f64;
            sound &= fair.worth() >= 0.95 * alone.worth() && fair.overrun == 0;
        }
    }
    Ok(sound)
}
