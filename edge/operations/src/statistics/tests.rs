//! The form of the statistics.

use super::*;

#[test]
fn each_statistic_by_its_name_then_end() {
    let statistics = Statistics {
        classes: vec![ClassStatistics {
            class: "mix-video".into(),
            answered: 812,
            deferred: 3,
            errored: 1,
            sends: 900,
        }],
        current: 14,
        cluster_size: 6,
        cluster_unhealthy: 1,
        conf_loaded: 2,
        conf_invalid: 1,
    };
    let text = statistics.render();
    let lines: Vec<&str> = text.lines().collect();
    assert_eq!(lines[0], "proxy.answered.mix-video:812|c");
    assert!(lines.contains(&"proxy.sends.mix-video:900|c"));
    assert!(lines.contains(&"proxy.current:14|g"));
    assert!(lines.contains(&"proxy.conf_invalid:1|c"));
    assert_eq!(lines.last(), Some(&"end"));
}
