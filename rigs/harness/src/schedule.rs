//! What is broken, and when: drawn from a seed, the same each time.

use crate::fleet::Fleet;
use crate::line::Way;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// Ended as a power cut does, and started again after the time.
    Kill,
    /// Stopped, and woken after the time.
    Pause,
    /// Told to leave; started again when it has left.
    Leave,
    /// Another version beside it.
    Upgrade,
    /// From its peer or to it, healed after the time.
    Cut(usize, Way),
    /// From all caches and sources.
    Apart(Way),
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Step {
    pub at: Duration,
    pub process: usize,
    pub fault: Fault,
    pub lasts: Duration,
}

/// How many of each.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Counts {
    pub kills: usize,
    pub pauses: usize,
    pub leaves: usize,
    pub upgrades: usize,
    pub cuts: usize,
    pub apart: usize,
}

/// Who is drawn among, and what must not be broken together.
#[derive(Clone, Copy, Debug)]
pub struct Among {
    pub processes: usize,
    /// Most processes that are killed, paused, left or cut at one time.
    pub together: usize,
    /// Shortest and longest time that a fault lasts.
    pub lasts: [Duration; 2],
}

/// A leave takes this long at the most before the process is back.
const LEAVES: Duration = Duration::from_secs(3);
/// Draws until a fault that fits nowhere is left out.
const DRAWS: usize = 1_000;

/// Steps in the order of their times, all within `span`. Fewer than asked for where they do not fit.
pub fn draw(seed: u64, span: Duration, among: Among, counts: Counts) -> Vec<Step> {
    let mut chance = StdRng::seed_from_u64(seed);
    let mut steps: Vec<Step> = Vec::new();
    let kinds = [
        (counts.kills, 0),
        (counts.pauses, 1),
        (counts.leaves, 2),
        (counts.upgrades, 3),
        (counts.cuts, 4),
        (counts.apart, 5),
    ];
    let all = kinds
        .iter()
        .flat_map(|(count, kind)| std::iter::repeat_n(*kind, *count));
    for kind in all {
        for _ in 0..DRAWS {
            let process = chance.random_range(0..among.processes);
            let other =
                (process + chance.random_range(1..among.processes.max(2))) % among.processes;
            let way = [Way::There, Way::Back, Way::Both][chance.random_range(0..3)];
            let fault = [
                Fault::Kill,
                Fault::Pause,
                Fault::Leave,
                Fault::Upgrade,
                Fault::Cut(other, way),
                Fault::Apart(way),
            ][kind];
            let drawn = among.lasts[0] + (among.lasts[1] - among.lasts[0]).mul_f64(chance.random());
            let lasts = if matches!(fault, Fault::Leave | Fault::Upgrade) {
                LEAVES
            } else {
                drawn
            };
            let at = span.mul_f64(chance.random());
            let step = Step {
                at,
                process,
                fault,
                lasts,
            };
            if at + lasts <= span && fits(&steps, step, among) {
                steps.push(step);
                break;
            }
        }
    }
    steps.sort_by_key(|step| step.at);
    steps
}

/// Not two at once for one process, and not too many together.
fn fits(steps: &[Step], step: Step, among: Among) -> bool {
    // A process is given a moment between two faults, so that it serves again.
    let moment = among.lasts[0];
    let meets =
        |s: &&Step| s.at < step.at + step.lasts + moment && step.at < s.at + s.lasts + moment;
    let others: Vec<&Step> = steps.iter().filter(meets).collect();
    others.len() < among.together && others.iter().all(|other| other.process != step.process)
}

/// Carries the steps out; ends early once `over` is set, with everything put right again.
pub fn play(fleet: &Fleet, steps: &[Step], over: &AtomicBool) -> Result<(), String> {
    let began = Instant::now();
    thread::scope(|scope| {
        let running: Vec<_> = steps
            .iter()
            .map(|step| {
                scope.spawn(move || wait(began + step.at, over) && one(fleet, step, over).is_err())
            })
            .collect();
        let failed = running
            .into_iter()
            .filter_map(|step| step.join().ok())
            .filter(|failed| *failed)
            .count();
        (failed == 0)
            .then_some(())
            .ok_or_else(|| format!("{failed} steps could not be carried out"))
    })
}

/// False once it is over.
fn wait(until: Instant, over: &AtomicBool) -> bool {
    loop {
        let left = until.saturating_duration_since(Instant::now());
        if over.load(Ordering::SeqCst) {
            return false;
        }
        if left.is_zero() {
            return true;
        }
        thread::sleep(left.min(Duration::from_millis(50)));
    }
}

fn one(fleet: &Fleet, step: &Step, over: &AtomicBool) -> Result<(), String> {
    let process = step.process;
    let lasts = || wait(Instant::now() + step.lasts, over);
    match step.fault {
        Fault::Kill => {
            fleet.kill(process);
            lasts();
            fleet.restart(process)
        }
        Fault::Pause => {
            fleet.pause(process)?;
            lasts();
            fleet.wake(process)
        }
        Fault::Leave => {
            fleet.leave(process)?;
            fleet.restart(process)
        }
        Fault::Upgrade => fleet.upgrade(process).map(drop),
        Fault::Cut(other, way) => {
            fleet.cut(process, other, way);
            lasts();
            fleet.heal(process, other);
            Ok(())
        }
        Fault::Apart(way) => {
            fleet.cut_archive(process, Some(way));
            lasts();
            fleet.cut_archive(process, None);
            Ok(())
        }
    }
}
