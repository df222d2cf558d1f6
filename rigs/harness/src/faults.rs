//! A whole run: traffic by many customers while a schedule breaks things, and what the record shows of it.

use crate::check::{self, Verdict};
use crate::customer::{key, Manner};
use crate::fleet::Fleet;
use crate::plan::Plan;
use crate::schedule::{draw, play, Among, Counts};
use crate::settings::{KEYED, READS};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

#[derive(Clone, Debug)]
pub struct Run {
    pub plan: Plan,
    /// Keyed requests, spread over the span.
    pub requests: u64,
    pub customers: usize,
    pub span: Duration,
    pub counts: Counts,
    /// Most processes that are broken at one time.
    pub together: usize,
    /// Whether the class of keyed requests is covered by the plan's lines.
    pub covered: bool,
}

/// After so long with no answer a customer asks elsewhere, and in all.
const PATIENCE: Duration = Duration::from_millis(900);
pub const LONGEST: Duration = Duration::from_secs(12);
/// As the class's hard limit.
const DEADLINE: Duration = Duration::from_secs(3);
/// One in so many is a request that anyone may run again, beside the keyed ones.
const READ_OF: u64 = 4;

/// Plays it; the fleet as it is then, for its record and logs.
pub fn run(run: &Run) -> Result<(Fleet, Verdict), String> {
    let fleet = Fleet::start(&run.plan)?;
    let ms = Duration::from_millis;
    let among = Among {
        processes: run.plan.processes,
        together: run.together,
        lasts: [ms(300), run.plan.lease * 3],
    };
    if run.covered {
        // Nothing of a new fleet is covered until its seats speak.
        let manner = manner(run);
        let first = fleet.customer(LONGEST * 3).ask(
            0,
            &Manner {
                longest: LONGEST * 3,
                ..manner
            },
            1,
            &key(0, 0),
        );
        first.ok_or("no request was covered at the start")?;
    }
    let steps = draw(run.plan.seed, run.span, among, run.counts);
    let (next, over, began) = (AtomicU64::new(0), AtomicBool::new(false), Instant::now());
    thread::scope(|scope| {
        let broken = scope.spawn(|| play(&fleet, &steps, &over));
        let customers: Vec<_> = (0..run.customers)
            .map(|_| scope.spawn(|| ask_on(&fleet, run, &next, began)))
            .collect();
        customers.into_iter().for_each(|one| drop(one.join()));
        over.store(true, Ordering::SeqCst);
        broken
            .join()
            .map_err(|_| "the schedule failed".to_string())?
    })?;
    let lines = fleet
        .record()
        .lines()
        .ok_or("the record is full: the run can't be judged")?;
    Ok((fleet, check::read(&lines)))
}

fn manner(run: &Run) -> Manner {
    Manner {
        class: KEYED.into(),
        covered: run.covered,
        patience: PATIENCE,
        deadline: DEADLINE,
        longest: LONGEST,
    }
}

fn ask_on(fleet: &Fleet, run: &Run, next: &AtomicU64, began: Instant) {
    let mut customer = fleet.customer(PATIENCE);
    let manner = manner(run);
    loop {
        let number = next.fetch_add(1, Ordering::SeqCst);
        if number >= run.requests {
            return;
        }
        let due = began + run.span.mul_f64(number as f64 / run.requests as f64);
        thread::sleep(due.saturating_duration_since(Instant::now()));
        let mut chance = StdRng::seed_from_u64(run.plan.seed ^ number.rotate_left(32));
        let (process, object) = (
            chance.random_range(0..fleet.size()),
            chance.random_range(0..2_000),
        );
        if number.is_multiple_of(READ_OF) {
            let manner = Manner {
                class: READS[(object % 2) as usize].into(),
                ..manner.clone()
            };
            let _ = customer.once(process, &manner, object, None);
        }
        customer.ask(process, &manner, object, &key(run.plan.seed, number));
    }
}
