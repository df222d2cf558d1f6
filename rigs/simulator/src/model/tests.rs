//! Repeatable runs of small scenarios, and scenarios that are refused.

use super::*;

const SMALL: &str =
    "seconds = 6.0\nedges = 6\ncaches = 24\nhubs = 10\nobjects = 3000\nrate = 400.0\n\
    purges_per_s = 1.0\ncache_holds = 200\narchive_fills_per_s = 2000.0\nhub_kb_per_s = 200000.0\n\
    rewire_at_s = 2.0\nrewired_part = 0.2\nback_after_s = 2.0\nnews_lag_ms = 1500.0\n";

#[test]
fn the_same_seed_is_the_same_day_and_another_is_another() {
    let small = Scenario::parse("small", SMALL).unwrap();
    let text = |s: &Scenario| serde_json::to_string(&play(s)).unwrap();
    assert_eq!(text(&small), text(&small));
    assert_ne!(text(&small), text(&small.with("seed", "2").unwrap()));
}

#[test]
fn a_small_rewired_day_keeps_what_the_hierarchy_promises() {
    let small = Scenario::parse("small", SMALL).unwrap();
    let shielded = play(&small);
    assert_eq!(
        (shielded.node_visited_twice, shielded.older_than_purge),
        (0, 0)
    );
    assert!(shielded.archive_fetches_per_object < 1.1, "{shielded:?}");
    assert_eq!(
        shielded.requests,
        shielded.served + shielded.refused + shielded.failed,
        "{shielded:?}"
    );
    let plain = play(&small.with("shield", "false").unwrap());
    assert!(
        plain.archive_fetches_per_object > shielded.archive_fetches_per_object,
        "{plain:?}"
    );
}

#[test]
fn a_scenario_that_cannot_be_played_is_refused_with_a_reason() {
    for (text, why) in [
        ("edges = 0", "edges = 0 is not within"),
        ("hubs = 61", "hubs = 61"),
        ("what = 1", "unknown field"),
        ("rate = 0.0", "above 0"),
    ] {
        let field = text.split(' ').next().unwrap();
        let lines: Vec<&str> = SMALL
            .lines()
            .filter(|l| !l.starts_with(field))
            .chain([text])
            .collect();
        let error = Scenario::parse("s.toml", &lines.join("\n")).unwrap_err();
        assert!(
            error.starts_with("s.toml: ") && error.contains(why),
            "{error}"
        );
    }
}
