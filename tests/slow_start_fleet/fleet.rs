//! A zone of routers in virtual time, with servers that start anew while it serves, and what those were sent.

use super::*;
use crate::world::{Sent, World};
use foldmux::interface::*;
use std::fmt;

/// Caches of the zone, and parents.
const CACHES: u32 = 6;
const PARENTS: u32 = 4;
const FIRST_CACHE: u32 = 1_000;
const FIRST_PARENT: u32 = 10;
/// How long the fleet serves before anything starts anew: its records are whole then.
const BEFORE: Time = 40 * SECOND;
/// How long it is looked at afterwards; most of the cold time.
const AFTER: Time = 12 * SECOND;
/// A transfer's mean work: 500 KB at 10,000 KB a second.
const HELD: Time = 60 * MS;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Target {
    Cache,
    Parent,
}

/// Settings and traffic. `rate`: mean requests a second at one router.
#[derive(Clone, Copy, Debug)]
pub struct Draw {
    pub routers: u32,
    pub rate: f64,
    pub window: Time,
    pub cold_from: f64,
    pub multiple: f64,
    /// How many start at once.
    pub cold: u32,
}

const fn draw(
    routers: u32,
    rate: f64,
    window_ms: Time,
    cold_from: f64,
    multiple: f64,
    cold: u32,
) -> Draw {
    Draw {
        routers,
        rate,
        window: window_ms * MS,
        cold_from,
        multiple,
        cold,
    }
}

pub const DRAWS: [Draw; 10] = [
    draw(20, 0.3, 1_000, 0.1, 2.0, 1),
    draw(24, 0.8, 1_000, 0.2, 2.5, 2),
    draw(30, 0.5, 1_500, 0.16, 2.0, 1),
    draw(30, 2.0, 1_000, 0.5, 3.0, 3),
    draw(25, 1.0, 2_000, 0.3, 2.0, 2),
    draw(28, 0.2, 3_000, 0.1, 2.0, 3),
    draw(22, 3.0, 2_500, 0.45, 3.0, 1),
    draw(30, 4.0, 3_000, 0.17, 4.0, 2),
    draw(26, 0.6, 1_000, 0.5, 2.0, 1),
    draw(20, 6.0, 1_000, 0.1, 2.0, 1),
];

pub struct Play {
    pub draw: Draw,
    /// Some routers see ten times the traffic of others.
    pub uneven: bool,
    /// The number of routers that the settings tell.
    pub told: u32,
}

/// The window in which most was sent beyond what is borne.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Window {
    pub sent: usize,
    pub allowed: f64,
    /// Beyond N + 2 x root of N + 2; below 0 where it held.
    pub over: f64,
}

#[derive(Debug, Default, PartialEq)]
pub struct Played {
    /// None where nothing was sent.
    pub worst: Option<Window>,
    /// The most of N that any window took.
    pub of_allowed: f64,
    pub sent: usize,
}

impl fmt::Display for Played {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Some(Window {
            sent,
            allowed,
            over,
        }) = self.worst
        else {
            return write!(f, "nothing sent");
        };
        write!(
            f,
            "at worst {sent} in a window of which {allowed:.2} are allowed, {over:+.2} beyond the bound; "
        )?;
        write!(
            f,
            "at most {:.2} of what is allowed; {} in all",
            self.of_allowed, self.sent
        )
    }
}

fn settings_of(play: &Play) -> Vec<Settings> {
    let Draw {
        routers,
        window,
        cold_from,
        multiple,
        ..
    } = play.draw;
    let base = Settings {
        router_count: play.told,
        routers_by_zone: vec![0, 0, play.told],
        hub_by_zone: vec![0, 1, 0],
        cache_status_detail: CacheStatusDetail::None,
        max_attempts: 4,
        cache_slow_start_ratio: cold_from,
        cache_overload_multiple: multiple,
        parent_slow_start_ratio: cold_from,
        parent_overload_multiple: multiple,
        overload_window: window,
        ..settings()
    };
    (0..routers)
        .map(|index| Settings {
            index,
            ..base.clone()
        })
        .collect()
}

fn list() -> Vec<Member> {
    let caches = (0..CACHES).map(|k| member(FIRST_CACHE + k, 2, 0));
    let parents = (0..PARENTS).map(|k| member(FIRST_PARENT + k, 0, PARENT));
    caches
        .chain(parents)
        .chain([member(9, 0, ORIGIN)])
        .collect()
}

/// What is sent is held at the cache, or filled by the parent.
fn end_of(target: Target, sent: &Sent) -> (Outcome, Time) {
    let filled = target == Target::Parent && sent.fetch.source != sent.fetch.cache;
    (Outcome::Served, if filled { 2 * HELD } else { HELD })
}

fn reaches(target: Target, server: u32, sent: &Sent) -> bool {
    match target {
        Target::Cache => sent.fetch.cache.0 == server,
        Target::Parent => sent.fetch.source.0 == server || sent.fetch.cache.0 == server,
    }
}

pub fn play(target: Target, play: &Play) -> Played {
    let draw = play.draw;
    let mut world = World::new(settings_of(play), &list(), draw.rate);
    if play.uneven {
        // From a tenth of the most to the most, the mean as told.
        let part = |router: u32| {
            0.1 + 0.9 * f64::from(router * 7 % draw.routers) / f64::from(draw.routers)
        };
        let mean = (0..draw.routers).map(part).sum::<f64>() / f64::from(draw.routers);
        world.rates = (0..draw.routers)
            .map(|router| part(router) / mean * draw.rate)
            .collect();
    }
    // Caches hold what few objects there are; parents are asked for new ones.
    world.objects = if target == Target::Cache { 400 } else { 0 };
    let mut end = |sent: &Sent| end_of(target, sent);
    world.run(BEFORE, &mut end);
    let (first, count) = match target {
        Target::Cache => (FIRST_CACHE, CACHES),
        Target::Parent => (FIRST_PARENT, PARENTS),
    };
    let from = world.now - BEFORE / 2;
    let servers = first..first + count;
    let of_tier = |sent: &Sent| {
        servers
            .clone()
            .find(|server| reaches(target, *server, sent))
    };
    let carried: usize = world.count(from, of_tier).values().sum();
    // What one carried on average: no more than its capacity.
    let capacity = carried as f64 / count as f64 / (BEFORE / 2) as f64;
    let boot = world.now;
    let cold: Vec<u32> = (first..first + draw.cold).collect();
    let anew = |member: &Member| Member {
        started_at: boot,
        ..member.clone()
    };
    let started: Vec<Member> = list()
        .iter()
        .filter(|m| cold.contains(&m.cache.0))
        .map(anew)
        .collect();
    for router in 0..draw.routers as usize {
        world.tell(
            router,
            Event::Members {
                full: false,
                members: started.clone(),
            },
            &mut end,
        );
    }
    world.run(AFTER, &mut end);
    let windows = cold.iter().map(|server| {
        let reached = |sent: &&Sent| sent.at >= boot && reaches(target, *server, sent);
        let times: Vec<Time> = world
            .sent
            .iter()
            .filter(reached)
            .map(|sent| sent.at)
            .collect();
        look(&times, &settings_of(play)[0], target, boot, capacity)
    });
    windows.fold(Played::default(), |all, one| Played {
        worst: all
            .worst
            .into_iter()
            .chain(one.worst)
            .max_by(|a, b| a.over.total_cmp(&b.over)),
        of_allowed: all.of_allowed.max(one.of_allowed),
        sent: all.sent + one.sent,
    })
}

/// Looks at the window that ends with each send.
fn look(times: &[Time], settings: &Settings, target: Target, boot: Time, capacity: f64) -> Played {
    let SlowStart {
        initial_ratio: from,
        duration: lasts,
        overload_multiple: multiple,
    } = settings.slow_start(target == Target::Parent);
    let window = |(n, at): (usize, &Time)| {
        let ramp = from + (1.0 - from) * (at - boot) as f64 / lasts as f64;
        let allowed = multiple * ramp * capacity * settings.overload_window as f64;
        let recent = |before: &&Time| **before + settings.overload_window > *at;
        let sent = times[..=n].iter().rev().take_while(recent).count();
        Window {
            sent,
            allowed,
            over: sent as f64 - (allowed + 2.0 * allowed.sqrt() + 2.0),
        }
    };
    let windows: Vec<Window> = times.iter().enumerate().map(window).collect();
    let of_allowed = windows
        .iter()
        .map(|one| one.sent as f64 / one.allowed)
        .fold(0.0, f64::max);
    let worst = windows.into_iter().max_by(|a, b| a.over.total_cmp(&b.over));
    Played {
        worst,
        of_allowed,
        sent: times.len(),
    }
}
