//! What a process takes at the size of a larger fleet: sixty caches, six in ten of them replaced while more clients than it
//! has places for ask. Counted in `/proc`.

use foldmux_fakes::journal::{hosts, Host, Journal};
use foldmux_fakes::rpc::{Said, Terminal};
use foldmux_fakes::source::{Act, Source};
use foldmux_fakes::unix_ms;
use foldmux_proxy::config::Bounds;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

mod common;

const PATIENCE: Duration = Duration::from_secs(30);
const CACHES: usize = 60;
const REPLACED: usize = 36;
const CLIENTS: usize = 140;
/// Threads and descriptors that do not go with clients, requests and connections to caches: the event loop, the acceptor, the log,
/// the journal, signals, the listener, what is inherited.
const FIXED: usize = 24;
const SOCKETS: usize = 384;
const MEMORY_MB: usize = 48;

/// What a process takes of the machine.
#[derive(Clone, Copy, Debug)]
struct Usage {
    descriptors: usize,
    threads: usize,
    /// Its own memory.
    memory_kb: usize,
}

impl Usage {
    fn of(process: u32) -> Usage {
        let open = std::fs::read_dir(format!("/proc/{process}/fd"));
        let status = std::fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
        let value = |key: &str| {
            let line = status.lines().find_map(|line| line.strip_prefix(key));
            line.and_then(|line| line.split_whitespace().next())
                .and_then(|n| n.parse().ok())
                .unwrap_or(0)
        };
        Usage {
            descriptors: open.map_or(0, |all| all.count()),
            threads: value("Threads:"),
            memory_kb: value("RssAnon:"),
        }
    }

    fn max(self, other: Usage) -> Usage {
        Usage {
            descriptors: self.descriptors.max(other.descriptors),
            threads: self.threads.max(other.threads),
            memory_kb: self.memory_kb.max(other.memory_kb),
        }
    }
}

fn until(what: &str, mut is: impl FnMut() -> bool) {
    let end = Instant::now() + PATIENCE;
    while !is() {
        assert!(Instant::now() < end, "never: {what}");
        std::thread::sleep(Duration::from_millis(5));
    }
}

fn ask(terminal: &mut Terminal, number: u64) -> std::io::Result<Said> {
    let fields = BTreeMap::from([
        ("i", format!("{:016x}", number ^ 0x5eed)),
        ("d", "20000".to_string()),
        ("o", format!("{:016x}", number % 400)),
        ("nth", "0".to_string()),
        ("batch", "1".to_string()),
        ("m", "4".to_string()),
    ]);
    terminal.ask("sheet", &fields, b"")
}

fn start_cache() -> Source {
    Source::start(|_| Act::give(20_000, Duration::from_millis(4)))
}

/// The caches, the journal service that lists them, and the program.
struct Deployment {
    // Dropped first: the program is ended before what it is connected to.
    program: common::Program,
    journal: Journal,
    // The caches fill from it, as far as the program knows.
    _origin: Source,
    caches: Vec<Source>,
    address: SocketAddr,
    bounds: Bounds,
}

impl Deployment {
    fn start() -> Deployment {
        let caches: Vec<Source> = (0..CACHES + REPLACED).map(|_| start_cache()).collect();
        let origin = start_cache();
        let journal = Journal::start();
        let mut first: Vec<Host> = (0..CACHES).map(|n| host(&caches, n, "ready", 0)).collect();
        first.push(Host {
            name: "s-0000ffff".to_string(),
            kind: "origin".to_string(),
            zone: "hub".to_string(),
            address: origin.address(),
            ..host(&caches, 0, "ready", 0)
        });
        journal.tell(&hosts(true, &first));
        let config = format!(
            r#"{{"name":"n0","listen":"127.0.0.1:0","seed":"1","limits":{{"memory_mb":{MEMORY_MB},"sockets":{SOCKETS}}},
        "journal":"{}","settings":{}}}"#,
            journal.address(),
            common::SETTINGS
        );
        let bounds = foldmux_proxy::config::parse(config.clone().into_bytes())
            .unwrap()
            .bounds;
        let (program, address) = common::start(&config);
        until("it is well", || {
            Terminal::connect(address, PATIENCE)
                .and_then(|mut t| t.well())
                .unwrap_or(false)
        });
        Deployment {
            caches,
            _origin: origin,
            journal,
            program,
            address,
            bounds,
        }
    }

    fn usage(&self) -> Usage {
        Usage::of(self.program.id())
    }

    fn list(&self, n: usize, status: &'static str, since_ms: u64) {
        let changed = host(&self.caches, n, status, since_ms);
        self.journal.tell(&hosts(false, &[changed]));
    }

    /// Replaces caches one after the other, with answers between; the most that the program took meanwhile.
    fn replace_caches(&self, clients: &Clients) -> Usage {
        let mut most = self.usage();
        let mut beyond = |answered: usize| {
            let from = clients.answers.load(Ordering::SeqCst);
            until("answers", || {
                most = most.max(self.usage());
                clients.answers.load(Ordering::SeqCst) >= from + answered
            });
        };
        beyond(600);
        for n in 0..REPLACED {
            self.list(n, "draining", 0);
            self.list(CACHES + n, "ready", unix_ms());
            beyond(20);
            self.list(n, "gone", 0);
        }
        beyond(600);
        most
    }
}

fn host(caches: &[Source], n: usize, status: &'static str, since_ms: u64) -> Host {
    Host {
        name: format!("s-{:08x}", n + 1),
        address: caches[n].address(),
        zone: "edge".to_string(),
        kind: "box".to_string(),
        status,
        since_ms,
    }
}

/// What all clients count together.
#[derive(Default)]
struct Clients {
    over: AtomicBool,
    answers: AtomicUsize,
    served: AtomicUsize,
}

impl Clients {
    /// One client asks until all is over; where it finds no place it comes again.
    fn run_one(&self, address: SocketAddr, client: u64) {
        let mut number = client << 32;
        while !self.over.load(Ordering::SeqCst) {
            let Ok(mut terminal) = Terminal::connect(address, PATIENCE) else {
                continue;
            };
            while !self.over.load(Ordering::SeqCst) {
                number += 1;
                let Ok(said) = ask(&mut terminal, number) else {
                    break;
                };
                self.answers.fetch_add(1, Ordering::SeqCst);
                let served = matches!(said, Said::Served(_)) as usize;
                self.served.fetch_add(served, Ordering::SeqCst);
                std::thread::sleep(Duration::from_millis(10));
            }
            std::thread::sleep(Duration::from_millis(20));
        }
    }
}

#[test]
fn sixty_caches_of_which_six_in_ten_are_replaced_and_many_clients_stay_within_the_bounds() {
    let deployment = Deployment::start();
    let bounds = deployment.bounds;
    let at_rest = deployment.usage();
    let clients = Clients::default();
    let mut most = at_rest;
    std::thread::scope(|scope| {
        for client in 0..CLIENTS as u64 {
            let (clients, address) = (&clients, deployment.address);
            std::thread::Builder::new()
                .stack_size(256 * 1024)
                .spawn_scoped(scope, move || clients.run_one(address, client))
                .unwrap();
        }
        most = most.max(deployment.replace_caches(&clients));
        // What is gone is asked for nothing more, and has no connection.
        let gone = &deployment.caches[..REPLACED];
        until("connections to what is gone are closed", || {
            gone.iter().all(|c| c.server.open() == 0)
        });
        clients.over.store(true, Ordering::SeqCst);
    });
    let (answers, served) = (clients.answers.into_inner(), clients.served.into_inner());
    println!("at rest {at_rest:?}, most {most:?}; {served} of {answers} served; {bounds:?}");
    let Usage {
        descriptors,
        threads,
        memory_kb,
    } = most;
    assert!(served * 2 > answers, "{served} of {answers} served");
    assert!(
        descriptors <= bounds.clients + bounds.upstream + FIXED,
        "{descriptors} descriptors"
    );
    assert!(descriptors < SOCKETS, "{descriptors} descriptors");
    assert!(
        threads <= bounds.clients + bounds.open + FIXED,
        "{threads} threads"
    );
    assert!(memory_kb < MEMORY_MB * 1024, "{memory_kb} KB");
    // With the clients gone their descriptors are given back.
    until("descriptors of clients are given back", || {
        deployment.usage().descriptors <= at_rest.descriptors + CACHES + bounds.upstream / 2
    });
}
