//! A zone of routers in virtual time with servers that restart under load, and the load that these get.

use super::*;
use crate::simulation::{SentAttempt, Simulation};
use foldmux::interface::*;
use std::fmt;

/// Number of caches in the zone, and of parents.
const CACHES: u32 = 6;
const PARENTS: u32 = 4;
const FIRST_CACHE: u32 = 1_000;
const FIRST_PARENT: u32 = 10;
/// How long the fleet serves before any server restarts; the routers' estimates are settled by then.
const WARM_UP: Time = 40 * SECOND;
/// How long the fleet is observed afterwards: most of the slow start.
const OBSERVATION: Time = 12 * SECOND;
/// Response time of a hit: the transfer of 500 KB at 10,000 KB per second, and 10 ms.
const SERVICE_TIME: Time = 60 * MS;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Target {
    Cache,
    Parent,
}

/// Settings and traffic of a simulation.
#[derive(Clone, Copy, Debug)]
pub struct Parameters {
    pub routers: u32,
    /// Mean requests per second at each router.
    pub rate: f64,
    /// The overload window.
    pub window: Time,
    pub initial_ratio: f64,
    pub overload_multiple: f64,
    /// Number of servers that restart at the same time.
    pub restarted: u32,
}

const fn parameters(
    routers: u32,
    rate: f64,
    window_ms: Time,
    initial_ratio: f64,
    overload_multiple: f64,
    restarted: u32,
) -> Parameters {
    Parameters {
        routers,
        rate,
        window: window_ms * MS,
        initial_ratio,
        overload_multiple,
        restarted,
    }
}

pub const PARAMETERS: [Parameters; 10] = [
    parameters(20, 0.3, 1_000, 0.1, 2.0, 1),
    parameters(24, 0.8, 1_000, 0.2, 2.5, 2),
    parameters(30, 0.5, 1_500, 0.16, 2.0, 1),
    parameters(30, 2.0, 1_000, 0.5, 3.0, 3),
    parameters(25, 1.0, 2_000, 0.3, 2.0, 2),
    parameters(28, 0.2, 3_000, 0.1, 2.0, 3),
    parameters(22, 3.0, 2_500, 0.45, 3.0, 1),
    parameters(30, 4.0, 3_000, 0.17, 4.0, 2),
    parameters(26, 0.6, 1_000, 0.5, 2.0, 1),
    parameters(20, 6.0, 1_000, 0.1, 2.0, 1),
];

pub struct Scenario {
    pub parameters: Parameters,
    /// Some routers get ten times the traffic of others.
    pub uneven: bool,
    /// The number of routers in the settings.
    pub configured_routers: u32,
}

/// An overload window, with the requests sent to one server and those that the settings allow.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Window {
    pub sent: usize,
    pub allowed: f64,
    /// Requests above the bound of N + 2 * sqrt(N) + 2; negative if within the bound.
    pub excess: f64,
}

#[derive(Debug, Default, PartialEq)]
pub struct SentLoad {
    /// The window with the greatest excess; `None` if nothing was sent.
    pub worst: Option<Window>,
    /// The highest ratio of sent to allowed requests of any window.
    pub max_utilization: f64,
    pub sent: usize,
}

impl fmt::Display for SentLoad {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Some(Window {
            sent,
            allowed,
            excess,
        }) = self.worst
        else {
            return write!(f, "nothing sent");
        };
        write!(
            f,
            "at worst {sent} in a window that allows {allowed:.2}, {excess:+.2} above the bound; "
        )?;
        write!(
            f,
            "at most {:.2} of the allowed requests; {} in total",
            self.max_utilization, self.sent
        )
    }
}

fn settings_of(scenario: &Scenario) -> Vec<Settings> {
    let Parameters {
        routers,
        window,
        initial_ratio,
        overload_multiple,
        ..
    } = scenario.parameters;
    let base = Settings {
        router_count: scenario.configured_routers,
        routers_by_zone: vec![0, 0, scenario.configured_routers],
        hub_by_zone: vec![0, 1, 0],
        cache_status_detail: CacheStatusDetail::None,
        max_attempts: 4,
        cache_slow_start_ratio: initial_ratio,
        cache_overload_multiple: overload_multiple,
        parent_slow_start_ratio: initial_ratio,
        parent_overload_multiple: overload_multiple,
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

/// Attempts are hits, or with parents as the target are filled by the parent.
fn outcome_of(target: Target, sent: &SentAttempt) -> (Outcome, Time) {
    let filled = target == Target::Parent && sent.fetch.source != sent.fetch.cache;
    (
        Outcome::Served,
        if filled {
            2 * SERVICE_TIME
        } else {
            SERVICE_TIME
        },
    )
}

fn reaches(target: Target, server: u32, sent: &SentAttempt) -> bool {
    match target {
        Target::Cache => sent.fetch.cache.0 == server,
        Target::Parent => sent.fetch.source.0 == server || sent.fetch.cache.0 == server,
    }
}

pub fn simulate(target: Target, scenario: &Scenario) -> SentLoad {
    let parameters = scenario.parameters;
    let mut simulation = Simulation::new(settings_of(scenario), &list(), parameters.rate);
    if scenario.uneven {
        // From a tenth of the maximum to the maximum, with the given mean.
        let part = |router: u32| {
            0.1 + 0.9 * f64::from(router * 7 % parameters.routers) / f64::from(parameters.routers)
        };
        let mean = (0..parameters.routers).map(part).sum::<f64>() / f64::from(parameters.routers);
        simulation.router_rates = (0..parameters.routers)
            .map(|router| part(router) / mean * parameters.rate)
            .collect();
    }
    // Caches get requests for few objects, which they hold; parents get fills of new objects.
    simulation.object_count = if target == Target::Cache { 400 } else { 0 };
    let mut outcome = |sent: &SentAttempt| outcome_of(target, sent);
    simulation.run(WARM_UP, &mut outcome);
    let (first, count) = match target {
        Target::Cache => (FIRST_CACHE, CACHES),
        Target::Parent => (FIRST_PARENT, PARENTS),
    };
    let from = simulation.now - WARM_UP / 2;
    let servers = first..first + count;
    let of_tier = |sent: &SentAttempt| {
        servers
            .clone()
            .find(|server| reaches(target, *server, sent))
    };
    let served: usize = simulation.count_sent(from, of_tier).values().sum();
    // The mean load of one server, which is at most its capacity.
    let capacity = served as f64 / count as f64 / (WARM_UP / 2) as f64;
    let started_at = simulation.now;
    let restarted: Vec<u32> = (first..first + parameters.restarted).collect();
    let restart = |member: &Member| Member {
        started_at,
        ..member.clone()
    };
    let started: Vec<Member> = list()
        .iter()
        .filter(|m| restarted.contains(&m.cache.0))
        .map(restart)
        .collect();
    for router in 0..parameters.routers as usize {
        simulation.deliver(
            router,
            Event::Members {
                full: false,
                members: started.clone(),
            },
            &mut outcome,
        );
    }
    simulation.run(OBSERVATION, &mut outcome);
    let windows = restarted.iter().map(|server| {
        let reached = |sent: &&SentAttempt| sent.at >= started_at && reaches(target, *server, sent);
        let times: Vec<Time> = simulation
            .sent
            .iter()
            .filter(reached)
            .map(|sent| sent.at)
            .collect();
        measure(
            &times,
            &settings_of(scenario)[0],
            target,
            started_at,
            capacity,
        )
    });
    windows.fold(SentLoad::default(), |all, one| SentLoad {
        worst: all
            .worst
            .into_iter()
            .chain(one.worst)
            .max_by(|a, b| a.excess.total_cmp(&b.excess)),
        max_utilization: all.max_utilization.max(one.max_utilization),
        sent: all.sent + one.sent,
    })
}

/// Measures the overload window that ends with each send.
fn measure(
    times: &[Time],
    settings: &Settings,
    target: Target,
    started_at: Time,
    capacity: f64,
) -> SentLoad {
    let SlowStart {
        initial_ratio,
        duration,
        overload_multiple,
    } = settings.slow_start(target == Target::Parent);
    let window = |(n, at): (usize, &Time)| {
        let ramp =
            initial_ratio + (1.0 - initial_ratio) * (at - started_at) as f64 / duration as f64;
        let allowed = overload_multiple * ramp * capacity * settings.overload_window as f64;
        let recent = |before: &&Time| **before + settings.overload_window > *at;
        let sent = times[..=n].iter().rev().take_while(recent).count();
        Window {
            sent,
            allowed,
            excess: sent as f64 - (allowed + 2.0 * allowed.sqrt() + 2.0),
        }
    };
    let windows: Vec<Window> = times.iter().enumerate().map(window).collect();
    let max_utilization = windows
        .iter()
        .map(|one| one.sent as f64 / one.allowed)
        .fold(0.0, f64::max);
    let worst = windows
        .into_iter()
        .max_by(|a, b| a.excess.total_cmp(&b.excess));
    SentLoad {
        worst,
        max_utilization,
        sent: times.len(),
    }
}
