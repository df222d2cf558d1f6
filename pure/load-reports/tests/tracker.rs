//! What a host hears of a router's servers: told in steps, asked within bounds, forgotten with the process.

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

fn crowdings(told: &[Update]) -> Vec<(u32, f32)> {
    let one = |tell: &Update| match *tell {
        Update::RelativeLoad {
            server,
            relative_load,
        } => Some((server, relative_load)),
        Update::Probe { .. } => None,
    };
    told.iter().filter_map(one).collect()
}

fn probes(told: &[Update]) -> Vec<u32> {
    let one = |tell: &Update| {
        if let Update::Probe { server } = *tell {
            Some(server)
        } else {
            None
        }
    };
    told.iter().filter_map(one).collect()
}

#[test]
fn nothing_is_kept_where_the_settings_have_neither_reports_nor_probes() {
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
        "probes that nobody goes by"
    );
}

#[test]
fn crowding_is_told_when_it_moved_and_goes_back_to_average_once_reports_stop() {
    let mut tracker = tracker(Setup {
        probes: false,
        ..setup()
    });
    assert_eq!(poll(&mut tracker, START), []);
    (0..4).for_each(|id| {
        tracker.record_report(START, id, load(if id == 2 { 0.9 } else { 0.3 }, 10.0))
    });
    tracker.record_report(START, 77, load(0.1, 1.0));
    let told = crowdings(&poll(&mut tracker, START + 80 * MS));
    assert_eq!(told.iter().map(|t| t.0).collect::<Vec<_>>(), [0, 1, 2, 3]);
    assert!(told[2].1 > 1.3 && told[0].1 < 0.9, "{told:?}");
    assert_eq!(
        poll(&mut tracker, START + 81 * MS),
        [],
        "not before the next look"
    );
    let mut last = told;
    for step in 2..40 {
        last.extend(crowdings(&poll(&mut tracker, START + step * 80 * MS)));
    }
    for id in 0..4 {
        assert_eq!(
            last.iter().rfind(|t| t.0 == id).unwrap().1,
            1.0,
            "{id} is average in the end"
        );
    }
    assert!(last.len() < 60, "told in steps: {}", last.len());
}

/// Requests that go to all servers, refused in part, with no report at all: what may be asked.
fn load_of(tracker: &mut LoadTracker, from: u64) -> (u64, Vec<u32>) {
    let (mut now, mut asked) = (from, Vec::new());
    for k in 0..400u64 {
        now += 5 * MS;
        let id = (k % 4) as u32;
        tracker.request();
        tracker.record_send(now, id);
        tracker.record_completion(now, id, k % 3 == 0, false);
        asked.extend(probes(&poll(tracker, now)));
    }
    (now, asked)
}

#[test]
fn a_probe_goes_only_to_a_server_that_takes_requests_and_an_answer_that_crosses_a_drain_is_void() {
    let mut own = tracker(setup());
    own.update_servers(false, [server(3, 0, false)].into_iter());
    let (now, asked) = load_of(&mut own, START);
    assert!(
        !asked.is_empty() && asked.iter().all(|id| *id < 3),
        "never one that drains: {asked:?}"
    );
    // 1 was asked, then drains; what it answers says nothing any more, nor what a new process would be held to.
    own.update_servers(false, [server(1, 0, false)].into_iter());
    own.record_probe(now, 1, true, load(0.9, 90.0));
    own.record_probe(now, 0, true, load(0.3, 9.0));
    own.record_probe(now, 2, true, load(0.3, 9.0));
    assert!(
        crowdings(&poll(&mut own, now + 80 * MS)).is_empty(),
        "the others are alike, and 1 said nothing"
    );
    own.update_servers(false, [server(1, now, true)].into_iter());
    own.record_probe(now, 9, true, load(0.9, 90.0));
    assert!(crowdings(&poll(&mut own, now + 160 * MS)).is_empty());
    // Not allowed, or nobody goes by what is told: none at all. Dearer than it gains: a trickle.
    assert_eq!(
        load_of(
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
        load_of(
            &mut tracker(Setup {
                placement_uses_load: false,
                ..setup()
            }),
            START
        )
        .1,
        []
    );
    let few = load_of(
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
fn a_list_that_leaves_a_server_out_forgets_it_whole() {
    let mut tracker = tracker(setup());
    (0..4).for_each(|id| {
        tracker.record_report(START, id, load(if id == 2 { 0.9 } else { 0.3 }, 10.0))
    });
    assert_eq!(crowdings(&poll(&mut tracker, START)).len(), 4);
    tracker.update_servers(
        true,
        (0..4).filter(|id| *id != 2).map(|id| server(id, 0, true)),
    );
    let told = crowdings(&poll(&mut tracker, START + 80 * MS));
    assert_eq!(
        told,
        [(0, 1.0), (1, 1.0), (3, 1.0)],
        "the three that are left are alike"
    );
    // Back under its id at another start: nothing of the former process is left.
    tracker.update_servers(false, [server(2, START, true)].into_iter());
    assert_eq!(crowdings(&poll(&mut tracker, START + 160 * MS)), []);
}
