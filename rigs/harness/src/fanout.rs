//! `foldmux-harness fanout`: many subscribers of a journal relayed by site, by real processes: what the source sees, how late
//! news comes beside readers at the source, and the silence after a kill and after a leaving.

use crate::check::{self, percentile};
use crate::fleet::Fleet;
use crate::plan::Plan;
use crate::readers::{Begin, Readers};
use crate::record::{Event, Line, Time};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

#[derive(Clone, Debug)]
pub struct Size {
    pub processes: usize,
    pub sites: usize,
    pub subscribers: u64,
    /// Kills, and as many leavings.
    pub faults: usize,
    pub seed: u64,
}

const OPERATOR: &str = "stream(\"journal\", slow = \"all\", readers = 8000, serve = \"{serve}\")\n";
const SOON: Duration = Duration::from_secs(150);
/// Direct readers go by numbers from here on.
const DIRECT: u64 = 1 << 32;
/// As the operator's line has it by default, and a little more.
const WINDOW: Duration = Duration::from_millis(10_500);
const SAMPLED: u64 = 4;
const MS: fn(u64) -> Duration = Duration::from_millis;

fn ms(times: &[Time]) -> String {
    let of = |part| percentile(times, part).map_or(f64::NAN, |time| time as f64 / 1e3);
    format!(
        "{:>9}   p50 {:.1} ms, p99 {:.1} ms, most {:.1} ms",
        times.len(),
        of(0.5),
        of(0.99),
        of(1.0)
    )
}

/// Plays it; whether no promise was broken.
pub fn play(size: &Size) -> Result<bool, String> {
    let plan = Plan {
        processes: size.processes,
        sites: size.sites,
        seats: size.processes.min(5),
        seed: size.seed,
        fleet: true,
        operator: OPERATOR.into(),
        ..Plan::default()
    };
    let began = Instant::now();
    let fleet = Fleet::start(&plan)?;
    let settled = || {
        fleet
            .streams(size.sites, SOON)
            .map_err(|open| format!("streams of {open:?}"))
    };
    settled()?;
    println!(
        "{} processes at {} sites, one stream each, after {:.1} s",
        size.processes,
        size.sites,
        secs(began)
    );
    let readers = fleet.readers(6).map_err(|e| e.to_string())?;
    let direct = fleet.readers(1).map_err(|e| e.to_string())?;
    begin_sampled(&fleet, &readers, &direct, size);
    let few = size.processes as u64 * SAMPLED;
    told(&fleet, &readers, few)?;
    let silences = [
        faults(&fleet, &readers, size, few, true)?,
        faults(&fleet, &readers, size, few, false)?,
    ];
    settled()?;
    let quiet = delays(&fleet, &readers, &direct, few, 100, MS(20))?;
    // What was told for the faults is no longer in the whole that a new subscriber is told.
    std::thread::sleep(WINDOW);
    many(&fleet, &readers, size, few)?;
    settled()?;
    let all = size.subscribers;
    let _ = fleet.journal().most();
    let before = fleet.journal().cost();
    let busy = delays(&fleet, &readers, &direct, all, 10, MS(1_000))?;
    let after = fleet.journal().cost();
    let most = fleet.journal().most();
    let lines = fleet.record().lines().ok_or("the record is full")?;
    let verdict = check::read(&lines);
    print(&Measured {
        processes: size.processes,
        subscribers: all,
        streams: most,
        bytes: after.0 - before.0,
        polls: after.1 - before.1,
        delays: [("few", &quiet), ("all", &busy)],
        silences: [("kill", &silences[0]), ("leaving", &silences[1])],
    });
    println!("\n{verdict}{:.1} s", secs(began));
    Ok(verdict.sound())
}

/// What a run measured.
struct Measured<'a> {
    processes: usize,
    subscribers: u64,
    /// Most streams at the source at one time.
    streams: usize,
    /// Bytes of answers of the source, and polls that it took.
    bytes: u64,
    polls: u64,
    delays: [(&'static str, &'a Delays); 2],
    silences: [(&'static str, &'a Silences); 2],
}

fn print(measured: &Measured) {
    println!("\n{:<44} {:>9}", "subscribers", measured.subscribers);
    println!(
        "{:<44} {:>9}",
        "streams at the source: relayed, direct",
        measured.streams.saturating_sub(measured.processes)
    );
    println!(
        "{:<44} {:>9}",
        "  with one poll each",
        measured.processes as u64 + measured.subscribers
    );
    let direct_part = measured.processes as f64 / measured.streams.max(1) as f64;
    let (bytes, polls) = (measured.bytes, measured.polls);
    println!(
        "{:<44} {bytes:>9} in {polls} polls, {:.0} percent by {} direct readers beside",
        "bytes at the source",
        100.0 * direct_part,
        measured.processes
    );
    for (name, times) in measured.delays {
        println!(
            "{:<44} {}",
            format!("delay, {name}, by the relay"),
            ms(&times.0)
        );
        println!("{:<44} {}", format!("delay, {name}, direct"), ms(&times.1));
    }
    for (name, silence) in measured.silences {
        println!(
            "{:<44} {}",
            format!("silence after a {name}, who stayed"),
            ms(&silence.0)
        );
        println!(
            "{:<44} {}",
            "  who read from the one that went",
            ms(&silence.1)
        );
        println!("{:<44} {}", "  at other sites meanwhile", ms(&silence.2));
        println!(
            "{:<44} {:>9}",
            "  streams beyond one a site, at most", silence.3
        );
    }
}

/// Begins the sampled subscribers of each process, and a direct reader beside each.
fn begin_sampled(fleet: &Fleet, readers: &Readers, direct: &Readers, size: &Size) {
    for process in 0..size.processes {
        (0..SAMPLED)
            .for_each(|n| fleet.begin(readers, process as u64 * SAMPLED + n, process, MS(1_000)));
        direct.begin(Begin {
            reader: DIRECT + process as u64,
            site: "direct".to_string(),
            addresses: vec![fleet.journal().address()],
            wait: MS(1_000),
        });
    }
}

fn secs(since: Instant) -> f64 {
    since.elapsed().as_secs_f64()
}

fn told(fleet: &Fleet, readers: &Readers, count: u64) -> Result<(), String> {
    fleet.journal().purge();
    let last = fleet.journal().last();
    let have = || readers.look(|heard| heard.last.values().filter(|own| **own >= last).count());
    match readers.reached(count as usize, last, SOON) {
        true => Ok(()),
        false => Err(format!("{} of {count} subscribers have {last:?}", have())),
    }
}

/// The rest of the subscribers, evenly over the processes and in steps.
fn many(fleet: &Fleet, readers: &Readers, size: &Size, few: u64) -> Result<(), String> {
    let began = Instant::now();
    for reader in few..size.subscribers {
        fleet.begin(readers, reader, reader as usize % size.processes, MS(5_000));
        if reader % 100 == 0 {
            std::thread::sleep(MS(20));
        }
    }
    told(fleet, readers, size.subscribers)?;
    println!(
        "{} subscribers are there, after {:.1} s",
        size.subscribers,
        secs(began)
    );
    Ok(())
}

type Delays = (Vec<Time>, Vec<Time>);

fn delays(
    fleet: &Fleet,
    readers: &Readers,
    direct: &Readers,
    count: u64,
    purges: usize,
    pause: Duration,
) -> Result<Delays, String> {
    told(fleet, readers, count)?;
    [readers, direct]
        .iter()
        .for_each(|all| all.look(|heard| heard.delays.clear()));
    for _ in 0..purges {
        fleet.journal().purge();
        std::thread::sleep(pause);
    }
    told(fleet, readers, count)?;
    let taken = |all: &Readers| all.look(|heard| std::mem::take(&mut heard.delays));
    Ok((taken(readers), taken(direct)))
}

/// Of who stayed, of who read from the one that went, of all at other sites; and most streams beyond one a site.
type Silences = (Vec<Time>, Vec<Time>, Vec<Time>, usize);

/// A purge each 20 ms, and in the midst of them the relay of one site after the other goes.
fn faults(
    fleet: &Fleet,
    readers: &Readers,
    size: &Size,
    few: u64,
    kill: bool,
) -> Result<Silences, String> {
    let mut found: Silences = Default::default();
    for round in 0..size.faults {
        let site = round % size.sites;
        fleet
            .streams(size.sites, SOON)
            .map_err(|open| format!("streams of {open:?}"))?;
        let relay = fleet.relay(site).ok_or("no relay")?;
        let _ = fleet.journal().most();
        let from = fleet.record().lines().ok_or("the record is full")?.len();
        std::thread::scope(|scope| {
            for n in 0..75 {
                if n == 10 {
                    scope.spawn(|| match kill {
                        true => fleet.kill(relay),
                        false => drop(fleet.leave(relay)),
                    });
                }
                fleet.journal().purge();
                std::thread::sleep(MS(20));
            }
        });
        let most = fleet
            .journal()
            .most()
            .saturating_sub(size.processes + size.sites);
        found.3 = found.3.max(most);
        told(fleet, readers, few)?;
        let lines = fleet.record().lines().ok_or("the record is full")?;
        silences(&lines[from..], size, relay, &mut found);
        fleet.restart(relay)?;
        fleet.well(relay)?;
    }
    Ok(found)
}

/// The longest time between two purges heard, of each subscriber, from the fault on.
fn silences(lines: &[Line], size: &Size, relay: usize, found: &mut Silences) {
    let went = |line: &Line| matches!(line.event, Event::Killed { process } | Event::Left { process } if process == relay);
    let Some(at) = lines.iter().find(|line| went(line)).map(|line| line.at) else {
        return;
    };
    let (mut last, mut longest) = (BTreeMap::<u64, Time>::new(), BTreeMap::<u64, Time>::new());
    for line in lines {
        let Event::Heard { reader, .. } = &line.event else {
            continue;
        };
        if let Some(before) = last.insert(*reader, line.at).filter(|_| line.at > at) {
            let own = longest.entry(*reader).or_default();
            *own = (*own).max(line.at - before);
        }
    }
    for (reader, time) in longest.into_iter().filter(|(reader, _)| *reader < DIRECT) {
        let process = (reader / SAMPLED) as usize;
        match process {
            own if own == relay => found.1.push(time),
            own if own % size.sites == relay % size.sites => found.0.push(time),
            _ => found.2.push(time),
        }
    }
}
