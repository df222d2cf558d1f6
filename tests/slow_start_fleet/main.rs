//! Cold caches and parents under 20 to 30 routers of one zone, each of which may send less than one request in the window
//! of the settings. Of all sends together, one may get no more than N + 2 x root of N + 2 in any window, N being what the
//! settings allow it then.
#[path = "../common/mod.rs"]
mod common;
mod fleet;
#[allow(dead_code)]
#[path = "../common/world.rs"]
mod world;

use common::*;
use fleet::*;
use foldmux::interface::*;

/// Every draw of settings under even and uneven traffic: all windows that broke the bound.
fn broken(target: Target, draws: &[Draw]) -> Vec<String> {
    let mut broken = Vec::new();
    for draw in draws {
        for uneven in [false, true] {
            let played = play(
                target,
                &Play {
                    draw: *draw,
                    uneven,
                    told: draw.routers,
                },
            );
            println!("{target:?} uneven {uneven} {draw:?}: {played}");
            if played.worst.is_some_and(|worst| worst.over > 0.0) {
                broken.push(format!("{target:?} uneven {uneven} {draw:?}: {played}"));
            }
        }
    }
    broken
}

#[test]
fn caches_in_slow_start_bear_the_load_of_all_routers() {
    let broken = broken(Target::Cache, &DRAWS);
    assert!(broken.is_empty(), "{}", broken.join("\n"));
}

#[test]
fn parents_in_slow_start_bear_the_fills_of_all_routers() {
    let broken = broken(Target::Parent, &DRAWS);
    assert!(broken.is_empty(), "{}", broken.join("\n"));
}

/// Where each router sees a request in two windows at least: with fewer, the turns of those that may send pass unused.
#[test]
fn caches_in_slow_start_are_used_as_they_warm_up() {
    let seen = |draw: &Draw| draw.rate * draw.window as f64 / SECOND as f64;
    for draw in DRAWS.iter().filter(|draw| seen(draw) >= 0.5) {
        let played = play(
            Target::Cache,
            &Play {
                draw: *draw,
                uneven: true,
                told: draw.routers,
            },
        );
        assert!(played.sent > 0, "{draw:?}: {played}");
    }
}

/// The number that the settings tell is not used: what a router may send follows from what it is asked for and sees served.
#[test]
fn the_configured_number_of_routers_changes_nothing() {
    for draw in &DRAWS {
        let told = |told| {
            play(
                Target::Cache,
                &Play {
                    draw: *draw,
                    uneven: true,
                    told,
                },
            )
        };
        let right = told(draw.routers);
        for wrong in [1, 5, 300] {
            assert_eq!(
                told(wrong),
                right,
                "{wrong} told of {}: {draw:?}",
                draw.routers
            );
        }
    }
}
