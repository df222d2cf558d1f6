//! The table at the end of the demo, and what must hold.

use super::files::HUBS;
use super::terminal::Counts;
use super::ArchiveLog;
use foldmux_fakes::client;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// Fetches for each object and purge, below which the hubs collapse as they must.
const FETCHES_EACH: f64 = 1.5;

/// What all hubs counted, by the names that they tell.
pub fn hub_counts(addresses: &BTreeMap<&str, SocketAddr>) -> Result<HashMap<String, u64>, String> {
    let mut state: HashMap<String, u64> = HashMap::new();
    for hub in HUBS {
        let told = client::get(addresses[hub], "/v2/state", "", Duration::from_secs(5))
            .map_err(|e| format!("{hub}: {e:?}"))?;
        for line in String::from_utf8_lossy(&told.body).lines() {
            if let Some((name, n)) = line
                .split_once(' ')
                .and_then(|(name, n)| Some((name, n.parse::<u64>().ok()?)))
            {
                *state.entry(name.to_string()).or_default() += n;
            }
        }
    }
    Ok(state)
}

/// Prints the table and each rule; whether all were kept.
pub fn verdict(counts: &Counts, hubs: &HashMap<String, u64>, log: &ArchiveLog) -> bool {
    let (pairs, fetches) = {
        let fetched = log.fetched.lock().unwrap();
        (fetched.len() as u64, fetched.values().sum::<u64>())
    };
    let twice = log.ran.lock().unwrap().values().filter(|n| **n > 1).count() as u64;
    let ratio = fetches as f64 / pairs.max(1) as f64;
    print_table(counts, hubs, fetches, pairs, ratio);
    let asked = hubs.get("asked").copied().unwrap_or(0);
    let mut kept = true;
    for (rule, holds) in [
        ("every request has one answer", load(&counts.lost) == 0),
        ("answers are whole and unchanged", load(&counts.spoilt) == 0),
        (
            "no copy older than a purge from 1 s after it",
            load(&counts.older) == 0,
        ),
        ("no record ran twice", twice == 0),
        (
            "traffic was served, and fills went through the hubs",
            load(&counts.served) > 500 && asked > 100,
        ),
        (
            "fewer than 1.5 archive fetches for each object and purge",
            ratio < FETCHES_EACH,
        ),
    ] {
        println!("{} {rule}", if holds { "kept  " } else { "BROKEN" });
        kept &= holds;
    }
    kept
}

fn print_table(counts: &Counts, hubs: &HashMap<String, u64>, fetches: u64, pairs: u64, ratio: f64) {
    let of = |name: &str| hubs.get(name).copied().unwrap_or(0);
    let answered = load(&counts.served) + load(&counts.refused) + load(&counts.failed);
    println!();
    for (name, n) in [
        ("answered", answered),
        ("  served", load(&counts.served)),
        ("  refused", load(&counts.refused)),
        ("  failed", load(&counts.failed)),
        ("never answered", load(&counts.lost)),
        ("records written", load(&counts.writes)),
        ("fills and records taken by hubs", of("asked")),
        ("  records passed on", of("writes")),
        ("  fills from copies that they held", of("hits")),
        (
            "  fills from hub to hub",
            of("fetches").saturating_sub(of("archive_fetches")),
        ),
        ("  looks at what is held, in vain", of("missing")),
        ("archive fetches", fetches),
        ("objects and purges fetched", pairs),
        (
            "loops broken",
            of("loops_found") + of("loops_avoided") + of("loops_told"),
        ),
        ("former trees still held", of("former_trees")),
    ] {
        println!("{name:<34} {n:>9}");
    }
    println!("{:<34} {ratio:>9.3}", "archive fetches for each of them");
    println!();
}

fn load(n: &AtomicU64) -> u64 {
    n.load(Ordering::SeqCst)
}
