//! A day of it: churn all the while, and every few seconds the relays of some sites are killed, or leave.

use super::queue::What;
use super::world::{World, MS};
use foldmux_relay::Command;
use foldmux_replicas::Time;
use hdrhistogram::Histogram;
use rand::RngExt;
use serde::Serialize;

#[derive(Clone, Debug)]
pub struct Plan {
    pub instances: usize,
    pub subscribers: usize,
    pub sites: usize,
    pub seconds: u64,
    pub seed: u64,
    pub patience_ms: u64,
    /// Of all, in each second: subscribers that go, others coming; instances that are killed, and as many that leave.
    pub churn: f64,
    pub instances_churn: f64,
}

impl Default for Plan {
    fn default() -> Plan {
        Plan {
            instances: 2_000,
            subscribers: 100_000,
            sites: 100,
            seconds: 30,
            seed: 1,
            patience_ms: 100,
            churn: 0.01,
            instances_churn: 0.001,
        }
    }
}

#[derive(Debug, Default, Serialize)]
pub struct Spread {
    pub count: u64,
    pub p50_ms: f64,
    pub p99_ms: f64,
    pub most_ms: f64,
}

impl Spread {
    fn of(all: &Histogram<u64>) -> Spread {
        let ms = |part: f64| all.value_at_quantile(part) as f64 / 1e3;
        Spread {
            count: all.len(),
            p50_ms: ms(0.5),
            p99_ms: ms(0.99),
            most_ms: all.max() as f64 / 1e3,
        }
    }
}

#[derive(Debug, Default, Serialize)]
pub struct Report {
    pub instances: usize,
    pub subscribers: usize,
    pub sites: usize,
    pub relayed: bool,
    /// Of the half seconds without a fault, and the most at any time.
    pub streams_quiet: f64,
    pub streams_most: usize,
    pub source_bytes: u64,
    pub source_answers: u64,
    pub messages: u64,
    pub heard: u64,
    pub numbers_twice: u64,
    pub gaps_untold: u64,
    pub losses_told: u64,
    pub ended: u64,
    pub refused: u64,
    pub delay: Spread,
    /// The longest silence around a fault of the site's relay: of who stayed at an instance, and of who had to go elsewhere.
    pub silent_after_kill: [Spread; 2],
    pub silent_after_leave: [Spread; 2],
    /// By tenth of a second, from when all had begun.
    #[serde(skip)]
    pub streams: Vec<usize>,
}

/// Before the measured part: all begin, and what each start costs has passed.
const BEGIN: Time = 4_000 * MS;
const TENTH: Time = 100 * MS;
/// A fault each five seconds, with a purge each 20 ms from 100 ms before to 700 ms after.
const FAULT: u64 = 50;
const BURST: u64 = 8;

pub fn play(plan: &Plan, relayed: bool) -> Report {
    let mut world = World::new(plan, relayed);
    (0..200).for_each(|n| world.publish(Some(format!("s-{n}"))));
    if relayed {
        for n in 0..plan.subscribers {
            let sub = world.subscribers.add(n % plan.sites);
            let wait = world.drawn(0, BEGIN / 4);
            world.at(wait, usize::MAX, What::Back(sub));
        }
    }
    world.run(BEGIN);
    (world.bytes, world.answers, world.sent) = (0, 0, 0);
    let mut report = Report {
        relayed,
        ..Report::default()
    };
    let fresh = || Histogram::<u64>::new(3).expect("three digits are fine");
    let (mut silent, mut quiet) = ([fresh(), fresh(), fresh(), fresh()], (0, 0));
    let mut struck = Vec::new();
    for tenth in 0..plan.seconds * 10 {
        let (round, phase) = (tenth / FAULT, tenth % FAULT);
        let kind = (round % 2) as usize;
        if phase == FAULT - BURST {
            world.subscribers.watch();
            struck = strike(&mut world, kind);
        } else if phase == FAULT - 1 && relayed {
            let [stayed, moved] = world.subscribers.silences(&struck);
            let _ = (
                silent[2 * kind].add(stayed),
                silent[2 * kind + 1].add(moved),
            );
        }
        tenth_of(&mut world, tenth, phase + BURST + 1 >= FAULT);
        report.streams.push(world.open);
        report.streams_most = report.streams_most.max(world.open);
        // Three seconds after the last fault of a relay churn alone is at work.
        if (30..FAULT - BURST - 1).contains(&phase) {
            quiet = (quiet.0 + world.open, quiet.1 + 1);
        }
    }
    let subs = &world.subscribers;
    let [kills, killed, leaves, left] = silent.each_ref().map(Spread::of);
    Report {
        instances: plan.instances,
        subscribers: plan.subscribers,
        sites: plan.sites,
        streams_quiet: quiet.0 as f64 / f64::max(quiet.1 as f64, 1.0),
        source_bytes: world.bytes,
        source_answers: world.answers,
        messages: world.sent,
        heard: subs.heard,
        numbers_twice: subs.twice,
        gaps_untold: subs.untold,
        losses_told: subs.losses,
        ended: subs.ended,
        refused: subs.refused,
        delay: Spread::of(&subs.delays),
        silent_after_kill: [kills, killed],
        silent_after_leave: [leaves, left],
        ..report
    }
}

/// One tenth of a second: the source tells a purge twice in a second, a line of the list as often, and more around a fault.
fn tenth_of(world: &mut World, tenth: u64, burst: bool) {
    let until = world.now + TENTH;
    if tenth.is_multiple_of(5) {
        let host = world.draws.random_range(0..200);
        world.publish(Some(format!("s-{host}")));
    }
    if tenth % 10 == 3 {
        churn(world);
    }
    if burst {
        for _ in 0..5 {
            world.publish(None);
            world.run(world.now + TENTH / 5);
        }
    } else if tenth % 5 == 2 {
        world.publish(None);
    }
    world.run(until);
}

fn some(world: &mut World, of: usize, part: f64) -> Vec<usize> {
    (0..(of as f64 * part) as usize)
        .map(|_| world.draws.random_range(0..of))
        .collect()
}

fn churn(world: &mut World) {
    let plan = world.plan.clone();
    if world.relayed {
        for sub in some(world, plan.subscribers, plan.churn) {
            world.cancel(sub);
            let wait = world.drawn(0, 1_000 * MS);
            world.at(wait, usize::MAX, What::Back(sub));
        }
    }
    for n in some(world, plan.instances, plan.instances_churn) {
        world.end(n);
    }
    for n in some(world, plan.instances, plan.instances_churn) {
        leave(world, n);
    }
}

/// SIGTERM: it serves on for 0.8 s.
fn leave(world: &mut World, n: usize) {
    if world.lives(n) {
        world.ask(n, Command::Drain);
        world.at(800 * MS, n, What::End(n));
    }
}

/// The relays of a tenth of the sites, by lease; without relays as many instances.
fn strike(world: &mut World, kind: usize) -> Vec<usize> {
    let sites: Vec<usize> = some(world, world.plan.sites, 0.1);
    let holds = |n: &usize| {
        let own = &world.instances[*n];
        sites.contains(&own.site)
            && own.relay.as_ref().map_or(*n < sites.len(), |r| {
                r.holds_lease(world.now, super::world::NAME)
            })
    };
    let struck: Vec<usize> = (0..world.instances.len()).filter(holds).collect();
    for n in struck {
        match kind {
            0 => world.end(n),
            _ => leave(world, n),
        }
    }
    sites
}
