//! The load tracker: updates only after a change, bounded probes, and no state of a former process.

use foldmux_load_reports::tracker::Server;
use foldmux_load_reports::{Fields, Load, LoadTracker, Setup, Update};

const MS: u64 = 1_000;
const START: u64 = 1_000_000_000;

fn setup() -> Setup {
    Setup {
        fields: Fields::new(["util", "inflight"]),
        in_responses: true,
        probes: true,
        placement_uses_load: true,
        price: 0.0,
        probe_timeout: 250 * MS,
        min_latency_objective: 300 * MS,
    }
}

fn server(id: u32, started_at: u64, ready: bool) -> (Server, bool) {
    (
        Server {
            id,
            started_at,
            ready,
        },
        false,
    )
}

fn tracker(setup: Setup) -> LoadTracker {
    let mut tracker = LoadTracker::new(setup).expect("reports");
    tracker.update_servers(true, (0..4).map(|id| server(id, 0, true)));
    tracker
}

fn load(util: f32, inflight: f32) -> Load {
    Load {
        util: Some(util),
        inflight: Some(inflight),
        ..Load::default()
    }
}

fn poll(tracker: &mut LoadTracker, now: u64) -> Vec<Update> {
    let mut out = Vec::new();
    tracker.poll(now, &mut out);
    out
}

fn relative_loads(updates: &[Update]) -> Vec<(u32, f32)> {
    let one = |update: &Update| match *update {
        Update::RelativeLoad {
            server,
            relative_load,
        } => Some((server, relative_load)),
        Update::Probe { .. } => None,
    };
    updates.iter().filter_map(one).collect()
}

fn probes(updates: &[Update]) -> Vec<u32> {
    let one = |update: &Update| {
        if let Update::Probe { server } = *update {
            Some(server)
        } else {
            None
        }
    };
    updates.iter().filter_map(one).collect()
}

#[test]
fn without_reports_and_probes_in_the_settings_there_is_no_tracker() {
    assert!(LoadTracker::new(Setup::default()).is_none());
    assert!(
        LoadTracker::new(Setup {
            in_responses: true,
            ..Setup::default()
        })
        .is_none(),
        "no field is named"
    );
    assert!(LoadTracker::new(Setup {
        in_responses: false,
        probes: false,
        ..setup()
    })
    .is_none());
    assert!(
        LoadTracker::new(Setup {
            in_responses: false,
            ..setup()
        })
        .is_some(),
        "probes alone"
    );
    assert!(
        LoadTracker::new(Setup {
            in_responses: false,
            placement_uses_load: false,
            ..setup()
        })
        .is_none(),
        "probes without placement by load"
    );
}

#[test]
fn relative_load_is_updated_on_change_and_returns_to_average_once_reports_stop() {
    let mut tracker = tracker(Setup {
        probes: false,
        ..setup()
    });
    assert_eq!(poll(&mut tracker, START), []);
    (0..4).for_each(|id| {
        tracker.record_report(START, id, load(if id == 2 { 0.9 } else { 0.3 }, 10.0))
    });
    tracker.record_report(START, 77, load(0.1, 1.0));
    let updates = relative_loads(&poll(&mut tracker, START + 80 * MS));
    assert_eq!(
        updates.iter().map(|t| t.0).collect::<Vec<_>>(),
        [0, 1, 2, 3]
    );
    assert!(updates[2].1 > 1.3 && updates[0].1 < 0.9, "{updates:?}");
    assert_eq!(
        poll(&mut tracker, START + 81 * MS),
        [],
        "not before the next poll is due"
    );
    let mut last = updates;
    for step in 2..40 {
        last.extend(relative_loads(&poll(&mut tracker, START + step * 80 * MS)));
    }
    for id in 0..4 {
        assert_eq!(
            last.iter().rfind(|t| t.0 == id).unwrap().1,
            1.0,
            "{id} is average in the end"
        );
    }
    assert!(last.len() < 60, "updates come in steps: {}", last.len());
}

/// Sends requests to all servers, a third of which are rejected, without any report. Returns the time at the end and the
/// servers that were probed.
fn run_requests(tracker: &mut LoadTracker, from: u64) -> (u64, Vec<u32>) {
    let (mut now, mut probed) = (from, Vec::new());
    for k in 0..400u64 {
        now += 5 * MS;
        let id = (k % 4) as u32;
        tracker.record_request();
        tracker.record_send(now, id);
        tracker.record_completion(now, id, k % 3 == 0, false);
        probed.extend(probes(&poll(tracker, now)));
    }
    (now, probed)
}

#[test]
fn only_ready_servers_are_probed_and_a_response_during_a_drain_is_ignored() {
    let mut draining = tracker(setup());
    draining.update_servers(false, [server(3, 0, false)].into_iter());
    let (now, probed) = run_requests(&mut draining, START);
    assert!(
        !probed.is_empty() && probed.iter().all(|id| *id < 3),
        "never one that drains: {probed:?}"
    );
    // Server 1 drains with a probe in flight: its response counts neither for it nor for its next process.
    draining.update_servers(false, [server(1, 0, false)].into_iter());
    draining.record_probe(now, 1, true, load(0.9, 90.0));
    draining.record_probe(now, 0, true, load(0.3, 9.0));
    draining.record_probe(now, 2, true, load(0.3, 9.0));
    assert!(
        relative_loads(&poll(&mut draining, now + 80 * MS)).is_empty(),
        "the others have equal reports, and 1 has none"
    );
    draining.update_servers(false, [server(1, now, true)].into_iter());
    draining.record_probe(now, 9, true, load(0.9, 90.0));
    assert!(relative_loads(&poll(&mut draining, now + 160 * MS)).is_empty());
    // Not allowed, or without placement by load: no probes. At a price above the gain: exploration only.
    assert_eq!(
        run_requests(
            &mut tracker(Setup {
                probes: false,
                ..setup()
            }),
            START
        )
        .1,
        []
    );
    assert_eq!(
        run_requests(
            &mut tracker(Setup {
                placement_uses_load: false,
                ..setup()
            }),
            START
        )
        .1,
        []
    );
    let few = run_requests(
        &mut tracker(Setup {
            price: 1e6,
            ..setup()
        }),
        START,
    )
    .1
    .len();
    assert!(few < 8, "{few} of 400 requests");
}

#[test]
fn a_full_list_without_a_server_removes_all_its_state() {
    let mut tracker = tracker(setup());
    (0..4).for_each(|id| {
        tracker.record_report(START, id, load(if id == 2 { 0.9 } else { 0.3 }, 10.0))
    });
    assert_eq!(relative_loads(&poll(&mut tracker, START)).len(), 4);
    tracker.update_servers(
        true,
        (0..4).filter(|id| *id != 2).map(|id| server(id, 0, true)),
    );
    let updates = relative_loads(&poll(&mut tracker, START + 80 * MS));
    assert_eq!(
        updates,
        [(0, 1.0), (1, 1.0), (3, 1.0)],
        "the remaining three have equal reports"
    );
    // Listed again under its id with a later start: nothing of the former process is left.
    tracker.update_servers(false, [server(2, START, true)].into_iter());
    assert_eq!(relative_loads(&poll(&mut tracker, START + 160 * MS)), []);
}
