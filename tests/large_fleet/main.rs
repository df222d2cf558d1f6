//! A hundred routers in virtual time, each on its own: returns to a cache that was out, handshakes, shares of what is
//! cold, judging from few answers, lists that change. Assertions are on what all do together.
#[path = "../common/mod.rs"]
mod common;
mod judging;
mod lists;
mod odd;
mod returns;
mod shares;
#[path = "../common/world.rs"]
mod world;

use common::*;
use foldmux::interface::*;
use world::*;

/// New objects: siblings hold nothing, parents fill in 100 ms, the origin in 90 ms; 50 ms of sending on top.
fn calm(sent: &Sent) -> (Outcome, Time) {
    match sent.fetch.source.0 {
        9 => (Outcome::Served, 140 * MS),
        10..14 if !sent.fetch.only_if_cached => (Outcome::Served, 150 * MS),
        _ if sent.fetch.source == sent.fetch.cache => (Outcome::Served, 60 * MS),
        _ => (Outcome::Miss, 5 * MS),
    }
}

/// The most of these times within one window, and their number.
fn busiest(times: &[Time], window: Time) -> (usize, usize) {
    let within = |from: &Time| {
        times
            .iter()
            .filter(|t| (*from..from + window).contains(*t))
            .count()
    };
    (times.iter().map(within).max().unwrap_or(0), times.len())
}
