//! Links on addresses of their own, and an end played by hand.
#![allow(dead_code)]

use crossbeam_channel::{bounded, Receiver};
use foldmux_peers::frame::{End, Envelope, LinkKey, Way};
use foldmux_peers::hello::{Hello, Own};
use foldmux_peers::{wire, Bounds, Config, Incoming, Links, Session};
use foldmux_replicas::Peer;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

pub const KEY: [u8; 32] = [7; 32];
/// No event is waited for longer: far over any bound of the links.
pub const LONG: Duration = Duration::from_secs(15);

/// An address that no other process of this machine draws: a loopback address by process and test, with a free port.
pub fn address() -> SocketAddr {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let (process, next) = (std::process::id(), NEXT.fetch_add(1, Ordering::SeqCst));
    let ip = [
        127,
        64 + (process >> 8 & 63) as u8,
        process as u8,
        1 + (next % 250) as u8,
    ];
    TcpListener::bind(SocketAddr::from((ip, 0)))
        .and_then(|l| l.local_addr())
        .unwrap()
}

pub fn peer(n: usize) -> Peer {
    Peer::new(&format!("n{n}"))
}

pub fn config(n: usize, all: &[SocketAddr]) -> Config {
    let peers = all
        .iter()
        .enumerate()
        .map(|(n, address)| (peer(n), *address))
        .collect();
    Config {
        name: peer(n),
        listen: all[n],
        peers,
        key: KEY,
        seed: n as u64,
        bounds: Bounds::default(),
    }
}

pub fn start(config: Config) -> (Links, Receiver<Incoming>) {
    let (sender, receiver) = bounded(1_024);
    (Links::start(config, sender).unwrap(), receiver)
}

/// Waits for what `wanted` makes something of.
pub fn wait<T>(receiver: &Receiver<Incoming>, mut wanted: impl FnMut(Incoming) -> Option<T>) -> T {
    let until = Instant::now() + LONG;
    loop {
        let incoming = receiver.recv_deadline(until).expect("it never came");
        if let Some(found) = wanted(incoming) {
            return found;
        }
    }
}

pub fn up(receiver: &Receiver<Incoming>, of: &Peer) -> Session {
    wait(receiver, |i| match i {
        Incoming::Up { peer, session } if peer == *of => Some(session),
        _ => None,
    })
}

pub fn down(receiver: &Receiver<Incoming>, of: &Peer) -> Session {
    wait(receiver, |i| match i {
        Incoming::Down { peer, session } if peer == *of => Some(session),
        _ => None,
    })
}

pub fn frame(receiver: &Receiver<Incoming>, of: &Peer) -> (u8, Vec<u8>) {
    wait(receiver, |i| match i {
        Incoming::Frame {
            from, part, bytes, ..
        } if from == *of => Some((part, bytes)),
        _ => None,
    })
}

/// An end that is played by hand: `n` dials `to`, of all at `all`.
pub struct Hand {
    pub stream: TcpStream,
    pub says: Way,
    pub hears: Way,
    pub reader: wire::DeadlineReader,
}

pub fn dial(n: usize, to: usize, all: &[SocketAddr], key: [u8; 32], began: u64) -> Option<Hand> {
    let mut config = config(n, all);
    config.key = key;
    let stream = TcpStream::connect(all[to]).unwrap();
    let mut reader = wire::deadline_reader(stream.try_clone().unwrap(), Instant::now() + LONG);
    let own = Own {
        config: &config,
        session: Session { began, nonce: 5 },
    };
    let begun = own.dial(&stream, &mut reader, &peer(to)).ok()?;
    Some(Hand {
        stream,
        says: begun.says,
        hears: begun.hears,
        reader,
    })
}

impl Hand {
    pub fn seal(&mut self, bytes: &[u8]) -> Vec<u8> {
        let mut out = Vec::new();
        self.says
            .seal(&Envelope::Message { part: 1, bytes }, &mut out);
        out
    }

    pub fn write(&self, bytes: &[u8]) {
        wire::write(&self.stream, bytes, Instant::now() + LONG).unwrap();
    }
}

/// Both ways of what one end says.
pub fn ways(end: End) -> (Way, Way) {
    let key = LinkKey::new(&KEY, b"one", b"other");
    (Way::of(key.clone(), end), Way::of(key, end))
}

pub fn hello(n: usize, to: usize) -> Hello {
    Hello {
        name: peer(n),
        to: peer(to),
        session: Session { began: 1, nonce: 1 },
        nonce: [n as u8; 16],
    }
}
