//! A DNS front on an event loop of its own, and a client of it.
#![allow(dead_code)]

use crate::common;
use foldmux::interface::{CacheId, Member, MemberState};
use foldmux::Router;
use foldmux_core::buffers::BufferPool;
use foldmux_core::clock::Clock;
use foldmux_core::event_loop::EventLoopHandle;
use foldmux_core::limits::Limiter;
use foldmux_core::messages::Command;
use foldmux_core::servers::{Server, ServerList};
use foldmux_core::{Core, CoreSetup, EventLoop};
use foldmux_fronts::dns::{server::Bound, Routed};
use foldmux_operator::script::evaluate;
use foldmux_upstream::{pool::Pool, Upstream};
use hickory_proto::op::{Message, Query};
use hickory_proto::rr::rdata::opt::{EdnsCode, EdnsOption};
use hickory_proto::rr::{Name, RData, RecordType};
use std::io::{Read, Write};
use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::time::Duration;

pub const OBJECT: &str = "7f3a9c21e0b4d655";
pub const PATIENCE: Duration = Duration::from_secs(30);

pub struct Rig {
    pub core: Arc<Core>,
    pub desk: EventLoopHandle,
    pub clock: Clock,
    pub at: [Option<SocketAddr>; 3],
    pub zone: String,
}

/// An event loop with two caches, a parent and the origin, and the DNS front that `setup` describes.
pub fn rig(zone: &str, more: &str, most: usize) -> Rig {
    limited(zone, more, most, "")
}

/// With limits, as the operator's file sets them.
pub fn limited(zone: &str, more: &str, most: usize, limits: &str) -> Rig {
    let decoded = foldmux_settings::parse(common::SETTINGS).unwrap();
    let account = foldmux_proxy::limits::account(
        &decoded,
        &foldmux_proxy::config::Limits {
            sockets: 1_024,
            memory_mb: 192,
        },
    );
    let repeats = decoded
        .settings
        .classes
        .iter()
        .map(|class| class.retry_safety)
        .collect();
    let (clock, members, pool) = (
        Clock::default(),
        Arc::new(ServerList::default()),
        Pool::new(8, Duration::from_secs(15)),
    );
    let router = Router::new(decoded.settings, 1);
    let (mut desk, handle) = EventLoop::new(router, clock.clone(), members.clone());
    let dial_timeout = Duration::from_millis(400);
    let upstream = Upstream {
        servers: members.clone(),
        pool,
        clock: clock.clone(),
        dial_timeout,
    };
    let buffers = BufferPool::new(4);
    let core = Core::new(CoreSetup {
        event_loop: handle.clone(),
        clock: clock.clone(),
        buffers,
        servers: members,
        upstream: Box::new(upstream),
        retry_after: Duration::ZERO,
        warm_up: Duration::from_secs(21),
        max_open: most,
    });
    let setup = format!(
        "dns(zone = {zone:?}, udp = \"127.0.0.1:0\", tcp = \"127.0.0.1:0\", patience_ms = 20000{more})\n{limits}"
    );
    let operator = evaluate("dns.star", setup).unwrap();
    if let Some(draft) = &operator.limits {
        let table = foldmux_proxy::limits::resolve(&account, draft).unwrap();
        assert!(core
            .limiter
            .set(Limiter::new(table, clock.clone(), "edge".into(), repeats))
            .is_ok());
    }
    let mut bound = Bound::new(operator.dns.unwrap()).unwrap();
    let (at, serial) = (bound.addresses(), bound.notify(&mut desk).unwrap());
    let routed = |place: usize, name: &str| Routed {
        name: name.into(),
        place: place.into(),
        writes: place == 1,
    };
    let classes = vec![routed(0, "sheet"), routed(1, "record")];
    bound.serve(core.clone(), classes, serial, 8).unwrap();
    std::thread::spawn(move || desk.run());
    let rig = Rig {
        core,
        desk: handle,
        clock,
        at,
        zone: zone.to_string(),
    };
    let all =
        [(1, 0), (2, 0), (3, 1), (4, 2)].map(|(n, kind)| rig.line(n, kind, MemberState::Ready, 0));
    rig.desk.send(Command::Servers {
        full: true,
        servers: all.to_vec(),
    });
    rig
}

impl Rig {
    pub fn line(&self, n: u32, kind: usize, state: MemberState, boot: u64) -> Server {
        let zone = if kind == 0 { 1 } else { 0 };
        let member = Member {
            cache: CacheId(n),
            zone,
            kind,
            state,
            weight: 1.0,
            started_at: boot,
            ..Member::default()
        };
        let address = SocketAddr::from(([127, 0, 0, n as u8], 7001));
        Server {
            member,
            name: format!("s-{n:08x}").into(),
            address,
        }
    }

    pub fn change(&self, n: u32, state: MemberState, boot: u64) {
        self.desk.send(Command::Servers {
            full: false,
            servers: vec![self.line(n, 0, state, boot)],
        });
    }

    pub fn query(&self, name: &str, kind: RecordType) -> Vec<u8> {
        let mut message = Message::new();
        message
            .set_id(7)
            .add_query(Query::query(Name::from_ascii(name).unwrap(), kind));
        message.set_edns(Default::default());
        message.to_vec().unwrap()
    }

    pub fn part(&self, part: u32) -> String {
        format!("{part}.{OBJECT}.sheet.{}", self.zone)
    }

    pub fn udp(&self, bytes: &[u8]) -> Message {
        let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
        socket.set_read_timeout(Some(PATIENCE)).unwrap();
        socket.send_to(bytes, self.at[0].unwrap()).unwrap();
        let mut answer = [0; 4096];
        let n = socket.recv(&mut answer).unwrap();
        Message::from_vec(&answer[..n]).unwrap()
    }

    pub fn ask(&self, name: &str, kind: RecordType) -> Message {
        self.udp(&self.query(name, kind))
    }
}

pub fn over_tcp(mut stream: impl Read + Write, bytes: &[u8]) -> std::io::Result<Message> {
    stream.write_all(&[&(bytes.len() as u16).to_be_bytes()[..], bytes].concat())?;
    let mut length = [0; 2];
    stream.read_exact(&mut length)?;
    let mut answer = vec![0; u16::from_be_bytes(length) as usize];
    stream.read_exact(&mut answer)?;
    Ok(Message::from_vec(&answer).unwrap())
}

/// The last byte of the address that an answer gives: the number of the cache.
pub fn cache(message: &Message) -> Option<u8> {
    let a = message.answers().first()?;
    assert_eq!(a.ttl(), 0);
    match a.data() {
        RData::A(ip) => Some(ip.0.octets()[3]),
        other => panic!("no address: {other}"),
    }
}

pub fn ede(message: &Message) -> Option<u16> {
    let option = message.extensions().as_ref()?.option(EdnsCode::from(15))?;
    match option {
        EdnsOption::Unknown(15, bytes) => Some(u16::from_be_bytes([bytes[0], bytes[1]])),
        other => panic!("no extended error: {other:?}"),
    }
}
