//! Probes on real sockets: what they ask, what ends them, and that none speaks of a member that takes no more work.

use foldmux::interface::{CacheId, Member, MemberState};
use foldmux_core::servers::{Server, ServerList};
use foldmux_http1::reuse::REUSE_DELAY;
use foldmux_load_reports::{Fields, Load};
use foldmux_upstream::pool::Pool;
use foldmux_upstream::probe::{Prober, MAX_PROBES, MAX_QUEUED_PROBES};
use std::io::{BufRead, BufReader, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::mpsc::{channel, Receiver};
use std::sync::Arc;
use std::time::Duration;

/// Longer than anything takes; it ends a test that waits for what never comes.
const PATIENCE: Duration = Duration::from_secs(20);

type Heard = (CacheId, bool, Load);

struct Rig {
    listener: TcpListener,
    members: Arc<ServerList>,
    pool: Arc<Pool>,
    prober: Option<Prober>,
    heard: Receiver<Heard>,
}

fn rig(names: &[&str], patience: Duration) -> Rig {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let (members, pool) = (
        Arc::new(ServerList::default()),
        Pool::new(16, Duration::from_secs(60)),
    );
    let (told, heard) = channel();
    let hears = move |cache, _, well, load| {
        let _ = told.send((cache, well, load));
    };
    let fields = Fields::new(names);
    let prober = Prober::start(
        members.clone(),
        pool.clone(),
        Arc::new(hears),
        fields,
        patience,
    )
    .unwrap();
    Rig {
        listener,
        members,
        pool,
        prober: Some(prober),
        heard,
    }
}

impl Rig {
    fn list(&self, cache: u32, state: MemberState) {
        let member = Member {
            cache: CacheId(cache),
            state,
            ..Member::default()
        };
        let address = self.listener.local_addr().unwrap();
        self.members.apply(
            false,
            vec![Server {
                member,
                name: "s".into(),
                address,
            }],
        );
    }

    /// Whether there was room for it.
    fn probe(&self, cache: u32) -> bool {
        let start = self.members.get(CacheId(cache)).unwrap().incarnation();
        self.prober
            .as_ref()
            .unwrap()
            .try_probe(CacheId(cache), start)
    }

    fn accept(&self) -> TcpStream {
        let stream = self.listener.accept().unwrap().0;
        stream.set_read_timeout(Some(PATIENCE)).unwrap();
        stream
    }

    fn next(&self) -> Heard {
        self.heard
            .recv_timeout(PATIENCE)
            .expect("what the probe found")
    }

    /// All that was heard, once no probe is under way any more.
    fn rest(mut self) -> Vec<Heard> {
        drop(self.prober.take());
        self.heard.iter().collect()
    }
}

/// The first line of a request that has come whole.
fn asked(stream: &TcpStream) -> String {
    let mut lines = BufReader::new(stream).lines().map_while(Result::ok);
    let first = lines.next().expect("a request");
    assert!(lines.any(|line| line.is_empty()), "its head is whole");
    first
}

#[test]
fn a_probe_reads_the_report_by_the_settings_names_and_its_connection_is_used_again() {
    let rig = rig(&["util", "inflight"], PATIENCE);
    rig.list(1, MemberState::Ready);
    assert!(rig.probe(1));
    let mut far = rig.accept();
    for (status, well) in [("200 OK", true), ("503 Full", false)] {
        assert_eq!(asked(&far), "GET /stats HTTP/1.1");
        let answer =
            format!("HTTP/1.1 {status}\r\nSrv-Load: inflight:7;util:0.5;moon:3\r\nContent-Length: 0\r\n\r\n");
        far.write_all(answer.as_bytes()).unwrap();
        let load = Load {
            util: Some(0.5),
            inflight: Some(7.0),
            ..Load::default()
        };
        assert_eq!(rig.next(), (CacheId(1), well, load));
        std::thread::sleep(REUSE_DELAY);
        assert!(
            rig.probe(1),
            "on the same connection, or the next answer is never asked for"
        );
    }
    let plain = self::rig(&[], PATIENCE);
    plain.list(1, MemberState::Ready);
    assert!(plain.probe(1));
    let mut far = plain.accept();
    assert_eq!(
        asked(&far),
        "GET /ping HTTP/1.1",
        "no field is named: there is nothing more to learn"
    );
    far.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
        .unwrap();
    assert_eq!(plain.next(), (CacheId(1), true, Load::default()));
}

#[test]
fn garbage_and_answers_without_end_are_no_word_and_their_connections_are_closed() {
    let endless = format!("HTTP/1.1 200 OK\r\nX: {}", "x".repeat(64 * 1024));
    for answer in [
        "\u{1}\u{2}garbage\r\n\r\n",
        "HTTP/1.1 200 OK\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 9000000\r\nSrv-Load: util:0.5\r\n\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nSrv-Load: util:0.5\r\n\r\nzz\r\n",
        &endless,
    ] {
        let rig = rig(&["util"], PATIENCE);
        rig.list(1, MemberState::Ready);
        assert!(rig.probe(1));
        let mut far = rig.accept();
        asked(&far);
        let _ = far.write_all(answer.as_bytes());
        let _ = far.shutdown(std::net::Shutdown::Write);
        let start = &answer[..answer.len().min(60)];
        assert_eq!(
            rig.next(),
            (CacheId(1), false, Load::default()),
            "{start:?}"
        );
        let pool = rig.pool.clone();
        assert_eq!(rig.rest(), []);
        assert_eq!(pool.count(), (0, 0), "{start:?}");
    }
}

#[test]
fn a_probe_that_never_ends_ends_by_its_time_and_few_are_under_way_at_once() {
    let rig = rig(&["util"], Duration::from_millis(300));
    rig.list(1, MemberState::Ready);
    let taken = (0..40).filter(|_| rig.probe(1)).count();
    assert!(
        (MAX_QUEUED_PROBES..=MAX_PROBES + MAX_QUEUED_PROBES).contains(&taken),
        "{taken} were taken"
    );
    let held: Vec<TcpStream> = (0..MAX_PROBES).map(|_| rig.accept()).collect();
    assert!(rig.pool.count().0 <= MAX_PROBES);
    for _ in 0..taken {
        assert_eq!(
            rig.next(),
            (CacheId(1), false, Load::default()),
            "silence is no report"
        );
    }
    drop(held);
    assert_eq!(rig.rest(), []);
}

#[test]
fn an_answer_that_crosses_a_drain_an_end_or_a_restart_is_not_told() {
    for crossed in [MemberState::Draining, MemberState::Gone, MemberState::Ready] {
        let rig = rig(&["util"], PATIENCE);
        rig.list(1, MemberState::Ready);
        assert!(rig.probe(1));
        let mut far = rig.accept();
        asked(&far);
        match crossed {
            MemberState::Ready => {
                // The same id, started anew.
                let member = Member {
                    cache: CacheId(1),
                    state: crossed,
                    started_at: 9,
                    ..Member::default()
                };
                let address = rig.listener.local_addr().unwrap();
                rig.members.apply(
                    false,
                    vec![Server {
                        member,
                        name: "s".into(),
                        address,
                    }],
                );
            }
            state => rig.list(1, state),
        }
        far.write_all(b"HTTP/1.1 200 OK\r\nSrv-Load: util:0.5\r\nContent-Length: 0\r\n\r\n")
            .unwrap();
        assert_eq!(rig.rest(), [], "{crossed:?}");
    }
}

#[test]
fn a_member_that_drains_or_is_gone_is_not_even_dialled() {
    let rig = rig(&["util"], PATIENCE);
    rig.list(1, MemberState::Ready);
    let start = rig.members.get(CacheId(1)).unwrap().incarnation();
    // Out by hand is listed as draining.
    for state in [MemberState::Draining, MemberState::Gone] {
        rig.list(1, state);
        rig.prober.as_ref().unwrap().try_probe(CacheId(1), start);
    }
    rig.listener.set_nonblocking(true).unwrap();
    let listener = rig.listener.try_clone().unwrap();
    assert_eq!(rig.rest(), []);
    assert!(listener.accept().is_err(), "no connection was made");
}
