//! A DNS front with its own event loop inside the test process, and DNS queries to it.
#![allow(dead_code)]

use crate::common;
use foldmux::interface::{CacheId, Member, MemberState};
use foldmux::Router;
use foldmux_core::buffers::BufferPool;
use foldmux_core::clock::Clock;
use foldmux_core::limits::Limiter;
use foldmux_core::messages::Command;
use foldmux_core::servers::{Server, ServerList};
use foldmux_core::EventLoopHandle;
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
/// The time limit of every wait: longer than any step takes, so that only a failing test reaches it.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(30);

/// A running DNS front.
pub struct DnsFront {
    pub core: Arc<Core>,
    pub event_loop: EventLoopHandle,
    pub clock: Clock,
    /// Its addresses for UDP, TCP and TLS.
    pub addresses: [Option<SocketAddr>; 3],
    pub zone: String,
}

/// Starts a DNS front for `zone` with two pop caches (1 and 2), a parent (3) and the origin (4).
///
/// `arguments` are further arguments of `dns(...)` in the operator's file; `max_open` is the most requests that may be open.
pub fn start(zone: &str, arguments: &str, max_open: usize) -> DnsFront {
    start_with_limits(zone, arguments, max_open, "")
}

/// As [`start`], with `limits` as further lines of the operator's file.
pub fn start_with_limits(zone: &str, arguments: &str, max_open: usize, limits: &str) -> DnsFront {
    let parsed = foldmux_settings::parse(common::SETTINGS).unwrap();
    let account = foldmux_proxy::limits::account(
        &parsed,
        &foldmux_proxy::config::Limits {
            sockets: 1_024,
            memory_mb: 192,
        },
    );
    let retry_safety = parsed
        .settings
        .classes
        .iter()
        .map(|class| class.retry_safety)
        .collect();
    let (clock, servers, pool) = (
        Clock::default(),
        Arc::new(ServerList::default()),
        Pool::new(8, Duration::from_secs(15)),
    );
    let router = Router::new(parsed.settings, 1);
    let (mut event_loop, handle) = EventLoop::new(router, clock.clone(), servers.clone());
    let dial_timeout = Duration::from_millis(400);
    let upstream = Upstream {
        servers: servers.clone(),
        pool,
        purges: handle.purges().clone(),
        clock: clock.clone(),
        dial_timeout,
    };
    let buffers = BufferPool::new(4);
    let core = Core::new(CoreSetup {
        event_loop: handle.clone(),
        clock: clock.clone(),
        buffers,
        servers,
        upstream: Box::new(upstream),
        retry_after: Duration::ZERO,
        warm_up: Duration::from_secs(21),
        max_open,
    });
    let setup = format!(
        "dns(zone = {zone:?}, udp = \"127.0.0.1:0\", tcp = \"127.0.0.1:0\", patience_ms = 20000{arguments})\n{limits}"
    );
    let operator = evaluate("dns.star", setup).unwrap();
    if let Some(draft) = &operator.limits {
        let table = foldmux_proxy::limits::resolve(&account, draft).unwrap();
        assert!(core
            .limiter
            .set(Limiter::new(
                table,
                clock.clone(),
                "edge".into(),
                retry_safety
            ))
            .is_ok());
    }
    let mut bound = Bound::new(operator.dns.unwrap()).unwrap();
    let (addresses, serial) = (bound.addresses(), bound.notify(&mut event_loop).unwrap());
    let routed = |class: usize, name: &str| Routed {
        name: name.into(),
        place: class.into(),
        writes: class == 1,
    };
    let classes = vec![routed(0, "sheet"), routed(1, "record")];
    bound.serve(core.clone(), classes, serial, 8).unwrap();
    std::thread::spawn(move || event_loop.run());
    let front = DnsFront {
        core,
        event_loop: handle,
        clock,
        addresses,
        zone: zone.to_string(),
    };
    let initial_servers = [(1, 0), (2, 0), (3, 1), (4, 2)]
        .map(|(n, kind)| front.server(n, kind, MemberState::Ready, 0));
    front.event_loop.send(Command::Servers {
        full: true,
        servers: initial_servers.to_vec(),
    });
    front
}

impl DnsFront {
    /// A server with the number `n`, which is also the last byte of its address.
    pub fn server(&self, n: u32, kind: usize, state: MemberState, started_at: u64) -> Server {
        let zone = if kind == 0 { 1 } else { 0 };
        let member = Member {
            cache: CacheId(n),
            zone,
            kind,
            state,
            weight: 1.0,
            started_at,
            ..Member::default()
        };
        let address = SocketAddr::from(([127, 0, 0, n as u8], 7001));
        Server {
            member,
            name: format!("s-{n:08x}").into(),
            address,
        }
    }

    /// Sends the event loop a change of one pop cache.
    pub fn change_server(&self, n: u32, state: MemberState, started_at: u64) {
        self.event_loop.send(Command::Servers {
            full: false,
            servers: vec![self.server(n, 0, state, started_at)],
        });
    }

    /// A query with EDNS and the id 7.
    pub fn encode_query(&self, name: &str, kind: RecordType) -> Vec<u8> {
        let mut message = Message::new();
        message
            .set_id(7)
            .add_query(Query::query(Name::from_ascii(name).unwrap(), kind));
        message.set_edns(Default::default());
        message.to_vec().unwrap()
    }

    /// The name of a part of [`OBJECT`].
    pub fn part_name(&self, part: u32) -> String {
        format!("{part}.{OBJECT}.sheet.{}", self.zone)
    }

    /// Sends a message over UDP and returns the response.
    pub fn send_udp(&self, bytes: &[u8]) -> Message {
        let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
        socket.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
        socket.send_to(bytes, self.addresses[0].unwrap()).unwrap();
        let mut response = [0; 4096];
        let n = socket.recv(&mut response).unwrap();
        Message::from_vec(&response[..n]).unwrap()
    }

    /// Queries a name over UDP.
    pub fn query(&self, name: &str, kind: RecordType) -> Message {
        self.send_udp(&self.encode_query(name, kind))
    }
}

/// Sends a message with its length prefix on a TCP or TLS stream and returns the response.
pub fn send_tcp(mut stream: impl Read + Write, bytes: &[u8]) -> std::io::Result<Message> {
    stream.write_all(&[&(bytes.len() as u16).to_be_bytes()[..], bytes].concat())?;
    let mut length = [0; 2];
    stream.read_exact(&mut length)?;
    let mut response = vec![0; u16::from_be_bytes(length) as usize];
    stream.read_exact(&mut response)?;
    Ok(Message::from_vec(&response).unwrap())
}

/// The last byte of the address in a response, which is the cache's number. Its TTL must be 0.
pub fn cache_number(message: &Message) -> Option<u8> {
    let record = message.answers().first()?;
    assert_eq!(record.ttl(), 0);
    match record.data() {
        RData::A(ip) => Some(ip.0.octets()[3]),
        other => panic!("not an A record: {other}"),
    }
}

/// The code of the Extended DNS Error (EDNS option 15) in a response.
pub fn extended_error(message: &Message) -> Option<u16> {
    let option = message.extensions().as_ref()?.option(EdnsCode::from(15))?;
    match option {
        EdnsOption::Unknown(15, bytes) => Some(u16::from_be_bytes([bytes[0], bytes[1]])),
        other => panic!("not an extended error: {other:?}"),
    }
}
