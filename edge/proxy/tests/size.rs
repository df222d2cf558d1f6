//! What a process takes at the size of a larger fleet: sixty caches, six in ten of them replaced while more clients than it
//! has places for ask. Counted in `/proc`.

use foldmux_fakes::journal::{hosts, Host, Journal};
use foldmux_fakes::rpc::{Said, Terminal};
use foldmux_fakes::source::{Act, Source};
use foldmux_fakes::unix_ms;
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

mod common;

const PATIENCE: Duration = Duration::from_secs(30);
const CACHES: usize = 60;
const REPLACED: usize = 36;
const CLIENTS: usize = 140;
/// Threads and descriptors that do not go with clients, requests and connections to caches: the desk, the acceptor, the log,
/// the journal, signals, the listener, what is inherited.
const FIXED: usize = 24;
const SOCKETS: usize = 384;
const MEMORY_MB: usize = 48;

/// Descriptors, threads, memory of its own (KB).
fn taken(process: u32) -> [usize; 3] {
    let descriptors = std::fs::read_dir(format!("/proc/{process}/fd")).map_or(0, |all| all.count());
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
    let of = |key: &str| {
        let line = status.lines().find_map(|line| line.strip_prefix(key));
        line.and_then(|line| line.split_whitespace().next())
            .and_then(|n| n.parse().ok())
            .unwrap_or(0)
    };
    [descriptors, of("Threads:"), of("RssAnon:")]
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

#[test]
fn sixty_caches_of_which_six_in_ten_are_replaced_and_many_clients_stay_within_the_bounds() {
    let start = || Source::start(|_| Act::give(20_000, Duration::from_millis(4)));
    let caches: Vec<Source> = (0..CACHES + REPLACED).map(|_| start()).collect();
    let host = |n: usize, status, since_ms| Host {
        name: format!("s-{:08x}", n + 1),
        address: caches[n].address(),
        zone: "edge".to_string(),
        kind: "box".to_string(),
        status,
        since_ms,
    };
    let journal = Journal::start();
    let mut first: Vec<Host> = (0..CACHES).map(|n| host(n, "ready", 0)).collect();
    // The caches fill from it, as far as the program knows.
    let origin = start();
    let (name, kind, zone) = (
        "s-0000ffff".to_string(),
        "origin".to_string(),
        "hub".to_string(),
    );
    first.push(Host {
        name,
        kind,
        zone,
        address: origin.address(),
        ..host(0, "ready", 0)
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
    let at_rest = taken(program.id());
    let (over, answers, served) = (
        AtomicBool::new(false),
        AtomicUsize::new(0),
        AtomicUsize::new(0),
    );
    let mut most = at_rest;
    std::thread::scope(|scope| {
        for client in 0..CLIENTS as u64 {
            let (over, answers, served) = (&over, &answers, &served);
            let body = move || {
                let mut number = client << 32;
                while !over.load(Ordering::SeqCst) {
                    // One that finds no place comes again.
                    let Ok(mut terminal) = Terminal::connect(address, PATIENCE) else {
                        continue;
                    };
                    while !over.load(Ordering::SeqCst) {
                        number += 1;
                        let Ok(said) = ask(&mut terminal, number) else {
                            break;
                        };
                        answers.fetch_add(1, Ordering::SeqCst);
                        served
                            .fetch_add(matches!(said, Said::Served(_)) as usize, Ordering::SeqCst);
                        std::thread::sleep(Duration::from_millis(10));
                    }
                    std::thread::sleep(Duration::from_millis(20));
                }
            };
            std::thread::Builder::new()
                .stack_size(256 * 1024)
                .spawn_scoped(scope, body)
                .unwrap();
        }
        let count = |most: &mut [usize; 3]| {
            let now = taken(program.id());
            most.iter_mut()
                .zip(now)
                .for_each(|(most, now)| *most = now.max(*most));
        };
        let beyond = |most: &mut [usize; 3], answered: usize| {
            let from = answers.load(Ordering::SeqCst);
            until("answers", || {
                count(most);
                answers.load(Ordering::SeqCst) >= from + answered
            });
        };
        beyond(&mut most, 600);
        for n in 0..REPLACED {
            journal.tell(&hosts(false, &[host(n, "draining", 0)]));
            journal.tell(&hosts(false, &[host(CACHES + n, "ready", unix_ms())]));
            beyond(&mut most, 20);
            journal.tell(&hosts(false, &[host(n, "gone", 0)]));
        }
        beyond(&mut most, 600);
        // What is gone is asked for nothing more, and has no connection.
        until("connections to what is gone are closed", || {
            caches[..REPLACED].iter().all(|c| c.server.open() == 0)
        });
        over.store(true, Ordering::SeqCst);
    });
    let (answers, served) = (answers.into_inner(), served.into_inner());
    println!("at rest {at_rest:?}, most {most:?} (descriptors, threads, KB); {served} of {answers} served; {bounds:?}");
    let [descriptors, threads, memory] = most;
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
    assert!(memory < MEMORY_MB * 1024, "{memory} KB");
    // With the clients gone their descriptors are given back.
    until("descriptors of clients are given back", || {
        taken(program.id())[0] <= at_rest[0] + CACHES + bounds.upstream / 2
    });
}
