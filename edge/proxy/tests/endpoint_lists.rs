//! Lists of 60 caches, of which 36 are replaced, as the journal service may send them: late, repeated, out of order,
//! truncated, with ids that return and addresses that another id takes over.

use foldmux::Router;
use foldmux_core::clock::Clock;
use foldmux_core::event_loop::EventLoop;
use foldmux_core::servers::{cache_id, Census, ServerList};
use foldmux_event_stream::journal::EventBatch;
use foldmux_proxy::journal::{JournalClient, ZoneAndKindNames};
use foldmux_stats::SeededRng;
use foldmux_upstream::pool::Pool;
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;

mod common;

const CACHES: u32 = 60;

/// A journal client and the event loop that applies its changes.
struct JournalTest {
    journal: JournalClient,
    members: Arc<ServerList>,
    /// The number of incarnations that have ended.
    ended: Arc<AtomicUsize>,
    event_loop: JoinHandle<()>,
}

impl JournalTest {
    fn new() -> JournalTest {
        let decoded = foldmux_settings::parse(common::SETTINGS).unwrap();
        let (clock, members) = (Clock::default(), Arc::new(ServerList::default()));
        let (mut event_loop, handle) = EventLoop::new(
            Router::new(decoded.settings, 1),
            clock.clone(),
            members.clone(),
        );
        let ended = Arc::new(AtomicUsize::new(0));
        let counted = ended.clone();
        event_loop.on_incarnation_ended(move |_| {
            counted.fetch_add(1, Ordering::SeqCst);
        });
        let event_loop = std::thread::spawn(move || event_loop.run());
        let names = ZoneAndKindNames {
            zones: decoded.zones,
            kinds: decoded.kinds,
        };
        let pool = Pool::new(8, Duration::from_secs(10));
        let journal =
            JournalClient::new(names, clock, handle, pool, Arc::new(AtomicBool::new(false)));
        JournalTest {
            journal,
            members,
            ended,
            event_loop,
        }
    }

    /// Waits until the event loop has applied all events; the members, and the number of incarnations that ended.
    fn finish(self) -> (Arc<ServerList>, usize) {
        drop(self.journal);
        self.event_loop.join().unwrap();
        (self.members, self.ended.load(Ordering::SeqCst))
    }
}

fn endpoint(id: u32, port: u16, status: &str, since_ms: u64) -> String {
    format!(
        r#"{{"name":"s-{id:08x}","address":"127.0.0.1:{port}","zone":"edge","type":"box","status":"{status}","since_ms":{since_ms}}}"#
    )
}

fn event(pos: u64, snapshot: bool, endpoints: &[String]) -> String {
    format!(
        r#"{{"pos":{pos},"hosts":{{"index":{pos},"snapshot":{snapshot},"endpoints":[{}]}}}}"#,
        endpoints.join(",")
    )
}

fn parse(text: &str) -> Option<EventBatch> {
    simd_json::serde::from_slice(&mut text.as_bytes().to_vec()).ok()
}

fn event_batch(events: &[String]) -> String {
    format!(r#"{{"pos":0,"entries":[{}]}}"#, events.join(","))
}

/// The start of the first cache (Unix ms).
const START_MS: u64 = 1_764_576_000_000;

fn initial_endpoints() -> Vec<String> {
    (0..CACHES)
        .map(|n| endpoint(n + 1, 7_000 + n as u16, "ready", START_MS + n as u64))
        .collect()
}

fn all_ready(listed: usize) -> Census {
    Census { listed, unready: 0 }
}

#[test]
fn a_repeated_list_starts_and_ends_no_incarnation() {
    let mut test = JournalTest::new();
    let mut events = vec![event(1, true, &initial_endpoints())];
    for _ in 0..30 {
        // Endpoint by endpoint, and as a complete list.
        let endpoints = initial_endpoints().into_iter();
        endpoints
            .for_each(|endpoint| events.push(event(events.len() as u64 + 1, false, &[endpoint])));
        events.push(event(events.len() as u64 + 1, true, &initial_endpoints()));
    }
    assert!(test.journal.apply(&parse(&event_batch(&events)).unwrap()));
    let (members, ended) = test.finish();
    assert_eq!(
        (members.census(|_| false), ended),
        (all_ready(CACHES as usize), 0)
    );
}

/// The events of 36 replacements, and the expected members: each id with its port and the time of its start.
fn replacement_events() -> (Vec<String>, BTreeMap<u32, (u16, u64)>) {
    let mut events = vec![event(1, true, &initial_endpoints())];
    let mut expected: BTreeMap<u32, (u16, u64)> = (0..CACHES)
        .map(|n| (n + 1, (7_000 + n as u16, START_MS + n as u64)))
        .collect();
    let announce = |events: &mut Vec<String>, endpoints: &[String]| {
        let pos = events.len() as u64 + 1;
        events.push(event(pos, false, endpoints));
    };
    for n in 0..36u32 {
        let (id, port, since) = (n + 1, 7_000 + n as u16, START_MS + 100_000 + n as u64 * 190);
        let old = expected[&id];
        announce(&mut events, &[endpoint(id, old.0, "draining", old.1)]);
        match n % 3 {
            // Another id at another address.
            0 => {
                announce(
                    &mut events,
                    &[endpoint(id + 100, port + 500, "ready", since)],
                );
                announce(&mut events, &[endpoint(id, old.0, "gone", old.1)]);
                expected.remove(&id);
                expected.insert(id + 100, (port + 500, since));
            }
            // The same id restarts at another address.
            1 => {
                announce(&mut events, &[endpoint(id, old.0, "gone", old.1)]);
                announce(&mut events, &[endpoint(id, port + 500, "ready", since)]);
                expected.insert(id, (port + 500, since));
            }
            // Another id takes over the address before the old holder is reported as gone; late events of the old holder
            // follow.
            _ => {
                announce(&mut events, &[endpoint(id + 100, port, "ready", since)]);
                announce(&mut events, &[endpoint(id, port, "ready", old.1)]);
                announce(&mut events, &[endpoint(id, port, "gone", old.1)]);
                expected.remove(&id);
                expected.insert(id + 100, (port, since));
            }
        }
    }
    (events, expected)
}

#[test]
fn late_repeated_reordered_and_truncated_lists_give_the_same_result_as_lists_in_order() {
    let (events, expected) = replacement_events();
    for seed in 0..40 {
        let (mut test, mut rng) = (JournalTest::new(), SeededRng::new(seed));
        let (mut applied, mut rejected) = (0, 0);
        while applied < events.len() {
            let random_below =
                |rng: &mut SeededRng, n: usize| (rng.next_u64() % n.max(1) as u64) as usize;
            // Starts before the next event (a repetition) or after it (a gap).
            let from = (applied + random_below(&mut rng, 4))
                .saturating_sub(2)
                .min(events.len() - 1);
            let mut sent =
                events[from..(from + 1 + random_below(&mut rng, 20)).min(events.len())].to_vec();
            let fault = random_below(&mut rng, 4);
            if fault == 0 {
                let (a, b) = (
                    random_below(&mut rng, sent.len()),
                    random_below(&mut rng, sent.len()),
                );
                sent.swap(a, b);
            }
            let mut text = event_batch(&sent);
            if fault == 1 {
                text.truncate(random_below(&mut rng, text.len() - 1));
            }
            let Some(batch) = parse(&text) else {
                assert_eq!(fault, 1, "only a truncated response fails to parse");
                continue;
            };
            // New events are applied only if none is missing: all of them, or none.
            let (mut last, mut gapless) = (applied, true);
            for entry in &batch.entries {
                match entry.pos as usize {
                    pos if pos <= last => {}
                    pos if gapless && pos == last + 1 => last = pos,
                    _ => gapless = false,
                }
            }
            assert_eq!(
                test.journal.apply(&batch),
                gapless,
                "seed {seed} after {applied}"
            );
            applied = if gapless { last } else { applied };
            rejected += !gapless as u32;
        }
        assert!(rejected > 0, "seed {seed}: no response had a gap");
        let (members, _) = test.finish();
        assert_eq!(
            members.census(|_| false),
            all_ready(expected.len()),
            "seed {seed}"
        );
        for (id, (port, _)) in &expected {
            let name = format!("s-{id:08x}");
            let server = members
                .get(cache_id(&name))
                .unwrap_or_else(|| panic!("seed {seed}: {name}"));
            assert_eq!(
                (server.address.port(), &*server.name),
                (*port, name.as_str()),
                "seed {seed}"
            );
        }
    }
}
