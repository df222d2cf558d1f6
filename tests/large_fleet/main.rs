//! A hundred independent routers in virtual time: recovery of ejected caches, connection attempts to failed ones, load
//! on servers in slow start, ejection after few outcomes, changing member lists. Assertions are on the total of all
//! routers.
#[path = "../common/mod.rs"]
mod common;
mod ejection;
mod invalid_settings;
mod member_lists;
mod recovery;
mod shared_load;
#[path = "../common/simulation.rs"]
mod simulation;

use common::*;
use foldmux::interface::*;
use simulation::*;

/// Outcomes of requests for new objects: siblings have no copies, parents fill in 100 ms and the origin in 90 ms, and
/// the transfer takes another 50 ms.
fn healthy(sent: &SentAttempt) -> (Outcome, Time) {
    match sent.fetch.source.0 {
        9 => (Outcome::Served, 140 * MS),
        10..14 if !sent.fetch.only_if_cached => (Outcome::Served, 150 * MS),
        _ if sent.fetch.source == sent.fetch.cache => (Outcome::Served, 60 * MS),
        _ => (Outcome::Miss, 5 * MS),
    }
}

/// The maximum number of `times` within one window, and their total number.
fn busiest_window(times: &[Time], window: Time) -> (usize, usize) {
    let within = |from: &Time| {
        times
            .iter()
            .filter(|t| (*from..from + window).contains(*t))
            .count()
    };
    (times.iter().map(within).max().unwrap_or(0), times.len())
}
