//! The helper of the hub's tests: hubs in this process, on loopback, wired as a script says, over stand-ins.
#![allow(dead_code)]

use foldmux_fakes::client::{self, Answer};
use foldmux_fakes::source::{Act, Ask, Source};
use foldmux_hub::{start, Running};
use foldmux_operator::script::evaluate;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// Longer than anything takes; it ends a test that waits for what never comes.
pub const PATIENCE: Duration = Duration::from_secs(30);

/// Three hubs, each below the archive.
pub const THREE: Wiring = &[
    ("east", &["archive"]),
    ("north", &["archive"]),
    ("south", &["archive"]),
];
/// Bounds that no test reaches by itself.
pub const WIDE: &str =
    "relay(connections = 2000, fetches = 1000, waits = 4000, lease_ms = 2000, wait_ms = 20000)";

pub struct Rig {
    pub archive: Source,
    pub hubs: Vec<Running>,
    /// Where each node of the tree is, the archive among them.
    places: Vec<(String, SocketAddr)>,
    settings: String,
}

/// `name -> parents` for each hub; one whose name ends in `!` is a stand-in that somebody else runs.
pub type Wiring<'a> = &'a [(&'a str, &'a [&'a str])];

impl Rig {
    pub fn new(archive: Source, wiring: Wiring, settings: &str) -> Rig {
        Rig::with(archive, wiring, settings, &[])
    }

    /// `others`: nodes that are not ours, by their addresses.
    pub fn with(
        archive: Source,
        wiring: Wiring,
        settings: &str,
        others: &[(&str, SocketAddr)],
    ) -> Rig {
        let own = wiring
            .iter()
            .filter(|(name, _)| !others.iter().any(|o| o.0 == *name));
        let listeners: Vec<(String, TcpListener)> = own
            .map(|(name, _)| (name.to_string(), TcpListener::bind("127.0.0.1:0").unwrap()))
            .collect();
        let mut places = vec![("archive".to_string(), archive.address())];
        places.extend(
            listeners
                .iter()
                .map(|(name, l)| (name.clone(), l.local_addr().unwrap())),
        );
        places.extend(others.iter().map(|(name, at)| (name.to_string(), *at)));
        let mut rig = Rig {
            archive,
            hubs: Vec::new(),
            places,
            settings: settings.to_string(),
        };
        for (name, listener) in listeners {
            let operator = evaluate("rig.star", rig.script(1, wiring)).unwrap();
            rig.hubs.push(start(&name, operator, listener).unwrap());
        }
        rig
    }

    pub fn script(&self, epoch: u64, wiring: Wiring) -> String {
        let mut text =
            format!("hierarchy(epoch = {epoch}, domain = \"fill.example\", overlap_ms = 2000)\n");
        let at = |name: &str| self.places.iter().find(|p| p.0 == name).unwrap().1;
        text += &format!("archive(\"archive\", address = \"{}\")\n", at("archive"));
        // Paces are told only where cold starts are looked at: all hubs here have just started.
        let pace = if self.settings.contains("cold_start") {
            40
        } else {
            0
        };
        for (name, parents) in wiring {
            let address = at(name);
            text += &format!(
                "hub({name:?}, parents = {parents:?}, address = \"{address}\", fills_per_s = {pace})\n"
            );
        }
        text + &self.settings
    }

    /// Tells these hubs, and no others, of a new wiring.
    pub fn rewire(&self, epoch: u64, wiring: Wiring, told: &[&str]) {
        let operator = evaluate("rig.star", self.script(epoch, wiring)).unwrap();
        let hierarchy = operator.hierarchy.unwrap();
        for hub in self
            .hubs
            .iter()
            .filter(|hub| told.contains(&hub.hub.name.as_str()))
        {
            hub.hub.rewire(hierarchy.clone()).unwrap();
        }
    }

    pub fn hub(&self, name: &str) -> &Running {
        self.hubs.iter().find(|hub| hub.hub.name == name).unwrap()
    }

    pub fn get(&self, name: &str, object: u64, fields: &str) -> Answer {
        client::get(
            self.hub(name).address,
            &client::path("sheet", object, 0),
            fields,
            PATIENCE,
        )
        .unwrap_or_else(|e| panic!("{name} gave no answer: {e:?}"))
    }

    /// A count of one hub, or of all together.
    pub fn count(&self, name: &str, of: impl Fn(&foldmux_hub::tally::Tally) -> u64) -> u64 {
        self.hubs
            .iter()
            .filter(|hub| name == "*" || hub.hub.name == name)
            .map(|hub| of(&hub.hub.tally))
            .sum()
    }

    /// Waits until nothing is under way: every place was given back.
    pub fn settled(&self) {
        until("all places are given back", || {
            self.hubs.iter().all(|hub| {
                let [_, fetches, waits, _] = hub.hub.book.sizes();
                fetches == 0 && waits == 0
            })
        });
    }
}

/// An archive that gives copies of this length, each after a pause.
pub fn archive(length: usize, after: Duration) -> Source {
    Source::start(move |_| Act::give(length, after))
}

/// An archive whose copies are of the version that stands there now.
pub fn versioned(version: Arc<AtomicU64>, length: usize, after: Duration) -> Source {
    Source::start(move |_| Act::Give {
        version: version.load(Ordering::SeqCst),
        length,
        born_ms: None,
        after,
        pieces: 1,
        between: Duration::ZERO,
    })
}

/// No name is on a fill's way twice, as the archive sees it.
pub fn no_node_twice(log: &[Ask]) {
    for ask in log {
        let mut names: Vec<&str> = ask
            .field("cdn-loop")
            .split(',')
            .filter_map(|e| e.trim().split(';').next())
            .collect();
        let all = names.len();
        names.sort();
        names.dedup();
        assert_eq!(
            names.len(),
            all,
            "a node twice on {}",
            ask.field("cdn-loop")
        );
    }
}

pub fn load(count: &AtomicU64) -> u64 {
    count.load(Ordering::SeqCst)
}

/// Waits for what must come to pass; nothing is taken from how long it took.
pub fn until(what: &str, is: impl Fn() -> bool) {
    let end = Instant::now() + PATIENCE;
    while !is() {
        assert!(Instant::now() < end, "never: {what}");
        thread::sleep(Duration::from_millis(2));
    }
}

/// So many at once; their results in order.
pub fn all<T: Send>(n: usize, each: impl Fn(usize) -> T + Sync) -> Vec<T> {
    thread::scope(|scope| {
        let each = &each;
        let threads: Vec<_> = (0..n)
            .map(|i| {
                thread::Builder::new()
                    .stack_size(256 * 1024)
                    .spawn_scoped(scope, move || each(i))
                    .unwrap()
            })
            .collect();
        threads.into_iter().map(|t| t.join().unwrap()).collect()
    })
}
