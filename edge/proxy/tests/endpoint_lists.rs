//! Lists of sixty caches, six in ten of them replaced, as the journal service may tell them: late, repeated, out of order,
//! cut short, with ids that come back and addresses that another id takes over.

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

struct Place {
    journal: JournalClient,
    members: Arc<ServerList>,
    /// Starts that took no more work.
    ended: Arc<AtomicUsize>,
    desk: JoinHandle<()>,
}

impl Place {
    fn new() -> Place {
        let decoded = foldmux_settings::parse(common::SETTINGS).unwrap();
        let (clock, members) = (Clock::default(), Arc::new(ServerList::default()));
        let (mut desk, handle) = EventLoop::new(
            Router::new(decoded.settings, 1),
            clock.clone(),
            members.clone(),
        );
        let ended = Arc::new(AtomicUsize::new(0));
        let counted = ended.clone();
        desk.on_incarnation_ended(move |_| {
            counted.fetch_add(1, Ordering::SeqCst);
        });
        let desk = std::thread::spawn(move || desk.run());
        let names = ZoneAndKindNames {
            zones: decoded.zones,
            kinds: decoded.kinds,
        };
        let pool = Pool::new(8, Duration::from_secs(10));
        let journal =
            JournalClient::new(names, clock, handle, pool, Arc::new(AtomicBool::new(false)));
        Place {
            journal,
            members,
            ended,
            desk,
        }
    }

    /// What the event loop has once it applied all: the members, and how many starts ended.
    fn end(self) -> (Arc<ServerList>, usize) {
        drop(self.journal);
        self.desk.join().unwrap();
        (self.members, self.ended.load(Ordering::SeqCst))
    }
}

fn line(id: u32, port: u16, status: &str, since_ms: u64) -> String {
    format!(
        r#"{{"name":"s-{id:08x}","address":"127.0.0.1:{port}","zone":"edge","type":"box","status":"{status}","since_ms":{since_ms}}}"#
    )
}

fn event(pos: u64, whole: bool, lines: &[String]) -> String {
    format!(
        r#"{{"pos":{pos},"hosts":{{"index":{pos},"snapshot":{whole},"endpoints":[{}]}}}}"#,
        lines.join(",")
    )
}

fn read(text: &str) -> Option<EventBatch> {
    simd_json::serde::from_slice(&mut text.as_bytes().to_vec()).ok()
}

fn feed(events: &[String]) -> String {
    format!(r#"{{"pos":0,"entries":[{}]}}"#, events.join(","))
}

const BEGAN: u64 = 1_764_576_000_000;

fn first() -> Vec<String> {
    (0..CACHES)
        .map(|n| line(n + 1, 7_000 + n as u16, "ready", BEGAN + n as u64))
        .collect()
}

fn all_ready(listed: usize) -> Census {
    Census { listed, unready: 0 }
}

#[test]
fn a_list_that_is_told_again_is_no_start_and_costs_no_connection() {
    let mut place = Place::new();
    let mut events = vec![event(1, true, &first())];
    for _ in 0..30 {
        // Line by line, and whole.
        let lines = first().into_iter();
        lines.for_each(|line| events.push(event(events.len() as u64 + 1, false, &[line])));
        events.push(event(events.len() as u64 + 1, true, &first()));
    }
    assert!(place.journal.apply(&read(&feed(&events)).unwrap()));
    let (members, ended) = place.end();
    assert_eq!(
        (members.census(|_| false), ended),
        (all_ready(CACHES as usize), 0)
    );
}

/// The events of 36 replacements; and who is listed then: port, and the stamp of its start.
fn replaced() -> (Vec<String>, BTreeMap<u32, (u16, u64)>) {
    let mut events = vec![event(1, true, &first())];
    let mut then: BTreeMap<u32, (u16, u64)> = (0..CACHES)
        .map(|n| (n + 1, (7_000 + n as u16, BEGAN + n as u64)))
        .collect();
    let tell = |events: &mut Vec<String>, lines: &[String]| {
        let pos = events.len() as u64 + 1;
        events.push(event(pos, false, lines));
    };
    for n in 0..36u32 {
        let (id, port, since) = (n + 1, 7_000 + n as u16, BEGAN + 100_000 + n as u64 * 190);
        let was = then[&id];
        tell(&mut events, &[line(id, was.0, "draining", was.1)]);
        match n % 3 {
            // Another id on another address.
            0 => {
                tell(&mut events, &[line(id + 100, port + 500, "ready", since)]);
                tell(&mut events, &[line(id, was.0, "gone", was.1)]);
                then.remove(&id);
                then.insert(id + 100, (port + 500, since));
            }
            // The same id comes back elsewhere, started anew.
            1 => {
                tell(&mut events, &[line(id, was.0, "gone", was.1)]);
                tell(&mut events, &[line(id, port + 500, "ready", since)]);
                then.insert(id, (port + 500, since));
            }
            // Another id takes the address over, before the former holder is said to be gone, and after that comes
            // what is late of it.
            _ => {
                tell(&mut events, &[line(id + 100, port, "ready", since)]);
                tell(&mut events, &[line(id, port, "ready", was.1)]);
                tell(&mut events, &[line(id, port, "gone", was.1)]);
                then.remove(&id);
                then.insert(id + 100, (port, since));
            }
        }
    }
    (events, then)
}

#[test]
fn lists_late_repeated_out_of_order_and_cut_end_as_the_list_in_order_does() {
    let (events, then) = replaced();
    for seed in 0..40 {
        let (mut place, mut draws) = (Place::new(), SeededRng::new(seed));
        let (mut had, mut refused) = (0, 0);
        while had < events.len() {
            let below =
                |draws: &mut SeededRng, n: usize| (draws.next_u64() % n.max(1) as u64) as usize;
            // From before what was taken (repeated) to beyond it (something is missing).
            let from = (had + below(&mut draws, 4))
                .saturating_sub(2)
                .min(events.len() - 1);
            let mut told =
                events[from..(from + 1 + below(&mut draws, 20)).min(events.len())].to_vec();
            let odd = below(&mut draws, 4);
            if odd == 0 {
                let (a, b) = (below(&mut draws, told.len()), below(&mut draws, told.len()));
                told.swap(a, b);
            }
            let mut text = feed(&told);
            if odd == 1 {
                text.truncate(below(&mut draws, text.len() - 1));
            }
            let Some(read) = read(&text) else {
                assert_eq!(odd, 1, "an answer cut short is none");
                continue;
            };
            // What follows is taken without a gap: all of it, or none.
            let (mut last, mut gapless) = (had, true);
            for entry in &read.entries {
                match entry.pos as usize {
                    pos if pos <= last => {}
                    pos if gapless && pos == last + 1 => last = pos,
                    _ => gapless = false,
                }
            }
            assert_eq!(
                place.journal.apply(&read),
                gapless,
                "seed {seed} after {had}"
            );
            had = if gapless { last } else { had };
            refused += !gapless as u32;
        }
        assert!(refused > 0, "seed {seed}: nothing was missing");
        let (members, _) = place.end();
        assert_eq!(
            members.census(|_| false),
            all_ready(then.len()),
            "seed {seed}"
        );
        for (id, (port, _)) in &then {
            let name = format!("s-{id:08x}");
            let held = members
                .get(cache_id(&name))
                .unwrap_or_else(|| panic!("seed {seed}: {name}"));
            assert_eq!(
                (held.address.port(), &*held.name),
                (*port, name.as_str()),
                "seed {seed}"
            );
        }
    }
}
