//! `make bench-extproc`: what a decision costs over gRPC, beside the bare desk and the DNS front, in one run on this
//! machine; and what the ledger's durability adds to one for a keyed request.
//!
//! Open loop: each decision has its time by a schedule, whether or not the one before it has come, and is measured from
//! that time. Nothing here is a test, and no figure is judged.

use common::{script, Instance};
use flood::Flood;
use foldmux_core::delegated::{route_once, Routing};
use foldmux_core::ClientRequest;
use foldmux_extproc::check::asks;
use foldmux_extproc::pb::external_processor_client::ExternalProcessorClient;
use foldmux_extproc::pb::{
    HeaderMap, HeaderValue, HttpHeaders, ProcessingRequest, Request, Response,
};
use foldmux_fakes::caller::hold;
use foldmux_fronts::dns::{server::Bound as Dns, Routed};
use foldmux_operator::Dns as Setup;
use foldmux_store::Commit;
use hdrhistogram::Histogram;
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};
use tokio::sync::mpsc;
use tokio_stream::wrappers::ReceiverStream;

#[path = "../tests/common/mod.rs"]
mod common;
#[path = "decide/flood.rs"]
mod flood;

const TIME: Duration = Duration::from_secs(4);
const PATH: &str = "/v2/q/sheet/00000000000000aa/0";

/// Latencies from the schedule, and how many decisions were made.
struct Run {
    histogram: Histogram<u64>,
    failed: u64,
}

fn print(what: &str, streams: usize, offered: f64, run: &Run) {
    let at = |q: f64| run.histogram.value_at_quantile(q) as f64 / 1e3;
    let made = run.histogram.len() as f64 / TIME.as_secs_f64();
    println!(
        "{what:<12} {streams:>5} {offered:>9.0} {made:>9.0} {:>9.3} {:>9.3} {:>9.3} {:>7}",
        at(0.5),
        at(0.99),
        at(0.999),
        run.failed
    );
}

/// Each worker makes its share of an offered rate, at times that are set before it begins.
fn open_loop<W: FnMut() -> bool + Send>(workers: Vec<W>, rate: f64) -> Run {
    let (all, failed) = (
        Mutex::new(Histogram::<u64>::new(3).unwrap()),
        AtomicU64::new(0),
    );
    let (began, n) = (Instant::now() + Duration::from_millis(50), workers.len());
    thread::scope(|scope| {
        for (number, mut work) in workers.into_iter().enumerate() {
            let (all, failed) = (&all, &failed);
            let body = move || {
                let mut own = Histogram::<u64>::new(3).unwrap();
                for turn in (number..).step_by(n) {
                    let due = began + Duration::from_secs_f64(turn as f64 / rate);
                    // Where more is offered than is made, what is left at the end is not made at all.
                    if due >= began + TIME || Instant::now() >= began + TIME {
                        break;
                    }
                    thread::sleep(due.saturating_duration_since(Instant::now()));
                    failed.fetch_add(!work() as u64, Ordering::Relaxed);
                    own.saturating_record(due.elapsed().as_micros() as u64);
                }
                all.lock().unwrap().add(own).unwrap();
            };
            thread::Builder::new()
                .stack_size(256 * 1024)
                .spawn_scoped(scope, body)
                .unwrap();
        }
    });
    Run {
        histogram: all.into_inner().unwrap(),
        failed: failed.into_inner(),
    }
}

fn request() -> ClientRequest {
    ClientRequest {
        via_id: 0,
        class: 0.into(),
        class_name: "sheet".into(),
        object: 0xaa,
        part: 0,
        group: 0,
        size_kb: 0.0,
        token: None,
        etag: None,
        body: None,
        arrived_at: Instant::now(),
        budget: Duration::from_micros(500_000),
        front: "bench",
        caller: "".into(),
        required_group: None,
    }
}

fn bare(instance: &Instance, streams: usize, rate: f64) -> Run {
    let core = &instance.core;
    let work = || move || matches!(route_once(core, &request(), 0, |_| ()), Routing::To(()));
    open_loop((0..streams).map(|_| work()).collect(), rate)
}

/// One question for the address of a part, as any resolver would send it.
fn question(id: u16) -> Vec<u8> {
    let mut bytes = id.to_be_bytes().to_vec();
    bytes.extend([0, 0, 0, 1, 0, 0, 0, 0, 0, 0]);
    for label in ["0", "00000000000000aa", "sheet", "r", "example"] {
        bytes.push(label.len() as u8);
        bytes.extend(label.as_bytes());
    }
    bytes.extend([0, 0, 1, 0, 1]);
    bytes
}

fn dns(at: SocketAddr, streams: usize, rate: f64) -> Run {
    let work = || {
        let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
        socket
            .set_read_timeout(Some(Duration::from_secs(2)))
            .unwrap();
        let mut id = 0u16;
        move || {
            let mut answer = [0; 512];
            id = id.wrapping_add(1);
            socket.send_to(&question(id), at).unwrap();
            // One answer record, and no error.
            matches!(socket.recv(&mut answer), Ok(n) if n > 12 && answer[3] & 15 == 0 && answer[7] == 1)
        }
    };
    open_loop((0..streams).map(|_| work()).collect(), rate)
}

fn response() -> ProcessingRequest {
    let status = HeaderValue {
        key: ":status".into(),
        value: "200".into(),
        ..HeaderValue::default()
    };
    let headers = Some(HeaderMap {
        headers: vec![status],
    });
    let headers = HttpHeaders {
        headers,
        end_of_stream: true,
        ..HttpHeaders::default()
    };
    ProcessingRequest {
        request: Some(Request::ResponseHeaders(headers)),
        ..ProcessingRequest::default()
    }
}

/// Over gRPC, each decision on a stream of its own, as callers open them; `streams` at once, from threads as the others
/// have them (an async timer is a millisecond late). What is measured is the decision; its outcome is told after it.
fn grpc(at: SocketAddr, streams: usize, rate: f64, keyed: Option<&AtomicU64>) -> Run {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .unwrap();
    let connections = streams.clamp(1, 4);
    let clients: Vec<_> = (0..connections)
        .map(|_| {
            runtime
                .block_on(ExternalProcessorClient::connect(format!("http://{at}")))
                .unwrap()
        })
        .collect();
    let handle = runtime.handle();
    let work = |number: usize| {
        let mut client = clients[number % connections].clone();
        move || {
            let ask = match keyed {
                None => asks("GET", PATH, &[]),
                Some(keys) => {
                    let key = format!("k{}", keys.fetch_add(1, Ordering::Relaxed));
                    asks(
                        "POST",
                        "/records/1",
                        &[("idempotency-key".to_string(), key)],
                    )
                }
            };
            let decided = handle.block_on(async {
                let (sender, messages) = mpsc::channel(2);
                sender.send(ask).await.ok()?;
                let mut answers = client
                    .process(ReceiverStream::new(messages))
                    .await
                    .ok()?
                    .into_inner();
                let answer = answers.message().await.ok()??.response?;
                matches!(answer, Response::RequestHeaders(_)).then_some((sender, answers))
            });
            let placed = decided.is_some();
            if let Some((sender, mut answers)) = decided {
                handle.spawn(async move {
                    let _ = sender.send(response()).await;
                    drop(sender);
                    while let Ok(Some(_)) = answers.message().await {}
                });
            }
            placed
        }
    };
    open_loop((0..streams).map(work).collect(), rate)
}

fn instance(commit: Commit) -> (Instance, tempfile::TempDir) {
    let folder = tempfile::tempdir().unwrap();
    let at = SocketAddr::from(([127, 0, 0, 1], 9));
    let wide = script(
        ", streams = 4096, good_for_ms = 200",
        "ledger(\"unused\", entries = 1000000)",
    );
    (
        Instance::with(&wide, common::store(folder.path()), commit, &[at; 4], at),
        folder,
    )
}

fn main() {
    // Called by `cargo test` as well, which only wants to know that it builds.
    if !std::env::args().any(|arg| arg == "--bench") {
        return;
    }
    let cores = thread::available_parallelism().map_or(0, |n| n.get());
    println!("{cores} cores; client and front share them; times in ms from each decision's scheduled time");
    println!("what         streams   offered   made/s       p50       p99     p99.9  failed");
    let (front, _folder) = instance(Commit::Group);
    let setup = Setup {
        zone: "r.example.".into(),
        udp: Some("127.0.0.1:0".parse().unwrap()),
        tcp: None,
        tls: None,
        notify: vec![],
        lease_ms: 0,
        patience_ms: 500,
    };
    let bound = Dns::new(setup).unwrap();
    let names = bound.addresses()[0].unwrap();
    let routed = |place: usize, name: &str| Routed {
        name: name.into(),
        place: place.into(),
        writes: place == 1,
    };
    let classes = vec![routed(0, "sheet"), routed(1, "record")];
    bound
        .serve(front.core.clone(), classes, Arc::default(), 64)
        .unwrap();
    for (streams, rate) in [(1, 500.0), (8, 2_000.0), (64, 4_000.0), (512, 4_000.0)] {
        print("bare desk", streams, rate, &bare(&front, streams, rate));
        print("DNS, UDP", streams, rate, &dns(names, streams, rate));
        print(
            "gRPC",
            streams,
            rate,
            &grpc(front.address, streams, rate, None),
        );
    }
    println!("\nothers on the same front: 2,000 streams held open, and one that is flooded with messages");
    print(
        "alone",
        64,
        2_000.0,
        &grpc(front.address, 64, 2_000.0, None),
    );
    let held = hold(front.address, 2_000, "sheet").unwrap();
    print(
        "2000 held",
        64,
        2_000.0,
        &grpc(front.address, 64, 2_000.0, None),
    );
    let flood = Flood::start(front.address);
    print(
        "and a flood",
        64,
        2_000.0,
        &grpc(front.address, 64, 2_000.0, None),
    );
    println!(
        "             {} messages of the flood were taken",
        flood.end()
    );
    drop(held);
    println!("\nas many as it takes: offered far over what is made");
    for streams in [1, 8, 64, 512] {
        let made = |run: Run| run.histogram.len() as f64 / TIME.as_secs_f64();
        let (bare, grpc) = (
            made(bare(&front, streams, 1e6)),
            made(grpc(front.address, streams, 1e6, None)),
        );
        println!(
            "{streams:>5} streams: bare desk {bare:>8.0} decisions a second, gRPC {grpc:>8.0}"
        );
    }
    println!("\nkeyed requests, by when the ledger's entry is told to be written; 64 streams");
    for (what, commit) in [
        ("behind", Commit::Behind),
        ("each", Commit::Each),
        ("group", Commit::Group),
    ] {
        let (front, _folder) = instance(commit);
        let keys = AtomicU64::new(0);
        for rate in [500.0, 2_000.0] {
            print(what, 64, rate, &grpc(front.address, 64, rate, Some(&keys)));
        }
        let written = front.serving.front.keeper.written().unwrap();
        let (entries, commits) = (
            written.written.load(Ordering::SeqCst),
            written.commits.load(Ordering::SeqCst),
        );
        println!("             {entries} entries in {commits} commits");
    }
}
