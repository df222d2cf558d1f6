//! A day beside the others, in words.

use crate::{Day, Run};

pub fn tell(run: &Run) {
    println!(
        "{:<34} {:>10} {:>10} {:>10}",
        "", "rewired", "calm", "no shields"
    );
    let row = |name: &str, of: &dyn Fn(&Day) -> f64, digits: usize| {
        let [a, b, c] = [&run.rewired, &run.calm, &run.plain].map(of);
        println!("{name:<34} {a:>10.digits$} {b:>10.digits$} {c:>10.digits$}");
    };
    row("requests", &|d| d.requests as f64, 0);
    row("served", &|d| d.served as f64, 0);
    row("refused", &|d| d.refused as f64, 0);
    row("failed", &|d| d.failed as f64, 0);
    row("worth served", &|d| d.worth, 4);
    row("archive fetches", &|d| d.archive_fetches as f64, 0);
    row(
        "archive fetches a part and purge",
        &|d| d.archive_fetches_per_object,
        4,
    );
    row("hubs on a fill's way", &|d| d.fill_hops, 2);
    row("median (ms)", &|d| d.p50_ms, 1);
    row("99th percentile (ms)", &|d| d.p99_ms, 1);
    row("loops broken", &|d| d.loops_broken as f64, 0);
    row("node visited twice", &|d| d.node_visited_twice as f64, 0);
    row("older than a purge", &|d| d.older_than_purge as f64, 0);
    println!("worth kept in the rewiring: {:.4}", run.worth_kept);
}
