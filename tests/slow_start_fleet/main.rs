//! Caches and parents in slow start under the load of 20 to 30 routers of one zone, each of which may send less than
//! one request per overload window. All routers together may send a server at most N + 2 * sqrt(N) + 2 requests in any
//! window, where N is the number that the settings allow at that time.
#[path = "../common/mod.rs"]
mod common;
mod fleet;
#[allow(dead_code)]
#[path = "../common/simulation.rs"]
mod simulation;

use common::*;
use fleet::*;
use foldmux::interface::*;

/// Simulates all parameters with even and uneven traffic and returns the results that exceed the bound.
fn violations(target: Target, all_parameters: &[Parameters]) -> Vec<String> {
    let mut violations = Vec::new();
    for parameters in all_parameters {
        for uneven in [false, true] {
            let sent_load = simulate(
                target,
                &Scenario {
                    parameters: *parameters,
                    uneven,
                    configured_routers: parameters.routers,
                },
            );
            println!("{target:?} uneven {uneven} {parameters:?}: {sent_load}");
            if sent_load.worst.is_some_and(|worst| worst.excess > 0.0) {
                violations.push(format!(
                    "{target:?} uneven {uneven} {parameters:?}: {sent_load}"
                ));
            }
        }
    }
    violations
}

#[test]
fn caches_in_slow_start_are_not_overloaded_by_all_routers_together() {
    let violations = violations(Target::Cache, &PARAMETERS);
    assert!(violations.is_empty(), "{}", violations.join("\n"));
}

#[test]
fn parents_in_slow_start_are_not_overloaded_by_all_routers_together() {
    let violations = violations(Target::Parent, &PARAMETERS);
    assert!(violations.is_empty(), "{}", violations.join("\n"));
}

/// Only with at least one request per router in two windows: with fewer, routers have no request when it is their turn.
#[test]
fn caches_in_slow_start_are_used_as_they_warm_up() {
    let seen = |parameters: &Parameters| parameters.rate * parameters.window as f64 / SECOND as f64;
    for parameters in PARAMETERS
        .iter()
        .filter(|parameters| seen(parameters) >= 0.5)
    {
        let sent_load = simulate(
            Target::Cache,
            &Scenario {
                parameters: *parameters,
                uneven: true,
                configured_routers: parameters.routers,
            },
        );
        assert!(sent_load.sent > 0, "{parameters:?}: {sent_load}");
    }
}

/// A router's share of the slow-start budget follows from its offered and served load, not from the configured number
/// of routers.
#[test]
fn the_configured_number_of_routers_changes_nothing() {
    for parameters in &PARAMETERS {
        let simulate_with = |configured_routers| {
            simulate(
                Target::Cache,
                &Scenario {
                    parameters: *parameters,
                    uneven: true,
                    configured_routers,
                },
            )
        };
        let expected = simulate_with(parameters.routers);
        for wrong in [1, 5, 300] {
            assert_eq!(
                simulate_with(wrong),
                expected,
                "{wrong} configured of {}: {parameters:?}",
                parameters.routers
            );
        }
    }
}
