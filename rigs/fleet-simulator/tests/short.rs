//! Small fleets from drawn seeds, and every list of faults that once broke something (`kept/`).

use foldmux_fleet_simulator::{run, told, Breaks, Plan};

#[test]
fn nothing_breaks_in_small_fleets() {
    for seed in 1..=2 {
        let report = run(&Plan::new(20, seed));
        assert_eq!(report.broken(), None, "seed {seed}:\n{}", told(&report));
        assert!(
            report.fired.len() > 50 && report.verdict.served > 50,
            "{}",
            told(&report)
        );
    }
}

#[test]
fn a_list_of_its_faults_is_the_same_run() {
    let plan = Plan::new(14, 5);
    let drawn = run(&plan);
    let again = run(&Plan {
        breaks: Breaks::Listed(drawn.fired.clone()),
        ..plan
    });
    assert_eq!(
        (again.verdict, again.messages),
        (drawn.verdict, drawn.messages)
    );
}

#[test]
fn what_was_found_once_is_not_broken_again() {
    let folder = concat!(env!("CARGO_MANIFEST_DIR"), "/kept");
    for file in std::fs::read_dir(folder).unwrap().flatten() {
        let text = std::fs::read_to_string(file.path()).unwrap();
        let Ok(plan) = serde_json::from_str::<Plan>(&text) else {
            continue;
        };
        let report = run(&plan);
        assert_eq!(
            report.broken(),
            None,
            "{}:\n{}",
            file.path().display(),
            told(&report)
        );
    }
}
