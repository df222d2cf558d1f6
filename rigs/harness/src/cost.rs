//! What cover costs: the same keyed requests at two fleets in turn, one that covers them and one that does not.

use crate::archive::Policy;
use crate::check::percentile;
use crate::customer::{key, Manner};
use crate::fleet::Fleet;
use crate::plan::Plan;
use crate::record::Outcome;
use crate::settings::KEYED;
use crate::wired;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};

const CUSTOMERS: usize = 4;
const PROCESSES: usize = 3;
const MS: fn(u64) -> Duration = Duration::from_millis;

/// Times of each, without and with (us), for an archive that works for so long.
pub fn measure(requests: u64, seed: u64, work: Duration) -> Result<[Vec<u64>; 2], String> {
    let fleet = |covered: bool| {
        let operator = if covered {
            wired::lines(MS(2_000))
        } else {
            String::new()
        };
        let archive = Policy {
            work,
            ..Policy::default()
        };
        Fleet::start(&Plan {
            processes: PROCESSES,
            seed,
            fleet: true,
            operator,
            archive,
            ..Plan::default()
        })
    };
    let fleets = [fleet(false)?, fleet(true)?];
    let manner = |covered, longest| {
        let (class, patience, deadline) = (KEYED.to_string(), MS(3_000), MS(3_000));
        Manner {
            class,
            covered,
            patience,
            deadline,
            longest,
        }
    };
    for (covered, fleet) in [false, true].into_iter().zip(&fleets) {
        // Its seats are silent at first.
        let first = fleet
            .customer(MS(3_000))
            .ask(0, &manner(covered, MS(20_000)), 1, &key(0, 0));
        first.ok_or("no request was served at the start")?;
    }
    let (next, times) = (AtomicU64::new(0), [Mutex::default(), Mutex::default()]);
    thread::scope(|scope| {
        for _ in 0..CUSTOMERS {
            scope.spawn(|| {
                let mut customers = fleets.each_ref().map(|fleet| fleet.customer(MS(3_000)));
                loop {
                    let number = next.fetch_add(1, Ordering::SeqCst);
                    if number >= requests {
                        return;
                    }
                    // Each request goes to both, the first of them in turn.
                    for turn in [number as usize, number as usize + 1] {
                        let (at, began) = (turn % 2, Instant::now());
                        let manner = manner(at == 1, MS(3_000));
                        let said = customers[at].ask(
                            number as usize % PROCESSES,
                            &manner,
                            number,
                            &key(seed, number),
                        );
                        if said == Some(Outcome::Served) {
                            let mut times: std::sync::MutexGuard<Vec<u64>> =
                                times[at].lock().expect("no holder panics");
                            times.push(began.elapsed().as_micros() as u64);
                        }
                    }
                }
            });
        }
    });
    Ok(times.map(|times| times.into_inner().expect("no holder panics")))
}

/// A table; false where some were not served.
pub fn told(requests: u64, seed: u64) -> Result<bool, String> {
    let mut all = true;
    println!("{requests} keyed requests each, {CUSTOMERS} at a time, {PROCESSES} processes, seed {seed}\n");
    println!("archive works    without p50      p99    with p50      p99    ratio p50    p99 (ms)");
    for work in [MS(0), MS(25)] {
        let [without, with] = measure(requests, seed, work)?;
        all &= without.len() as u64 == requests && with.len() as u64 == requests;
        let ms = |times: &[u64], part| percentile(times, part).unwrap_or(0) as f64 / 1e3;
        let [a, b, c, d] = [
            ms(&without, 0.5),
            ms(&without, 0.99),
            ms(&with, 0.5),
            ms(&with, 0.99),
        ];
        println!(
            "{:>8} ms    {a:>11.2} {b:>8.2} {c:>11.2} {d:>8.2} {:>12.2} {:>6.2}",
            work.as_millis(),
            c / a,
            d / b
        );
    }
    Ok(all)
}
