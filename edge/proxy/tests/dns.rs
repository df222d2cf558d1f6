//! The DNS front against stand-ins written here: a client, and resolvers that keep answers, one obeying the
//! time to live and one not. Nothing is timed: what is asserted is the order of what happens.

use foldmux::interface::{CacheId, Member, State};
use foldmux::Router;
use foldmux_core::buffers::Buffers;
use foldmux_core::clock::Clock;
use foldmux_core::desk::{DeskHandle, Notice};
use foldmux_core::limits::Limiter;
use foldmux_core::members::{Listed, Members};
use foldmux_core::{Core, Desk};
use foldmux_fronts::dns::{server::Bound, Routed};
use foldmux_operator::script::evaluate;
use foldmux_standins::issuer::{Authority, Svid};
use foldmux_upstream::{pool::Pool, Upstream};
use hickory_proto::op::{Message, MessageType, OpCode, Query, ResponseCode};
use hickory_proto::rr::rdata::opt::{EdnsCode, EdnsOption};
use hickory_proto::rr::{Name, RData, RecordType};
use rustls::pki_types::ServerName;
use std::collections::HashMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream, UdpSocket};
use std::sync::Arc;
use std::time::Duration;

mod common;

const OBJECT: &str = "7f3a9c21e0b4d655";
const PATIENCE: Duration = Duration::from_secs(30);

struct Rig {
    core: Arc<Core>,
    desk: DeskHandle,
    clock: Clock,
    at: [Option<SocketAddr>; 3],
    zone: String,
}

/// A desk with two caches, a parent and the origin, and the DNS front that `setup` describes.
fn rig(zone: &str, more: &str, most: usize) -> Rig {
    limited(zone, more, most, "")
}

/// With limits, as the operator's file sets them.
fn limited(zone: &str, more: &str, most: usize, limits: &str) -> Rig {
    let decoded = foldmux_settings::parse(common::SETTINGS).unwrap();
    let account = foldmux_proxy::limits::account(&decoded, 1_024, 192);
    let repeats = decoded.settings.classes.iter().map(|class| class.repeat).collect();
    let (clock, members, pool) =
        (Clock::default(), Arc::new(Members::default()), Pool::new(8, Duration::from_secs(15)));
    let router = Router::new(decoded.settings, 1);
    let (mut desk, handle) = Desk::new(router, clock.clone(), members.clone());
    let dial_time_out = Duration::from_millis(400);
    let upstream = Upstream { members: members.clone(), pool, clock: clock.clone(), dial_time_out };
    let buffers = Buffers::new(4);
    let core =
        Core::new(handle.clone(), clock.clone(), buffers, members, Box::new(upstream), 0, 21_000_000, most);
    let setup = format!(
        "dns(zone = {zone:?}, udp = \"127.0.0.1:0\", tcp = \"127.0.0.1:0\", patience_ms = 20000{more})\n{limits}"
    );
    let operator = evaluate("dns.star", setup).unwrap();
    if let Some(draft) = &operator.limits {
        let table = foldmux_proxy::limits::table(&account, draft).unwrap();
        assert!(core.limits.set(Limiter::new(table, clock.clone(), "edge".into(), repeats)).is_ok());
    }
    let mut bound = Bound::new(operator.dns.unwrap()).unwrap();
    let (at, serial) = (bound.addresses(), bound.notify(&mut desk).unwrap());
    let routed =
        |place: usize, name: &str| Routed { name: name.into(), place: place.into(), writes: place == 1 };
    let classes = vec![routed(0, "sheet"), routed(1, "record")];
    bound.serve(core.clone(), classes, serial, 8).unwrap();
    std::thread::spawn(move || desk.run());
    let rig = Rig { core, desk: handle, clock, at, zone: zone.to_string() };
    let all = [(1, 0), (2, 0), (3, 1), (4, 2)].map(|(n, kind)| rig.line(n, kind, State::Ready, 0));
    rig.desk.tell(Notice::Members { full: true, listed: all.to_vec() });
    rig
}

impl Rig {
    fn line(&self, n: u32, kind: usize, state: State, boot: u64) -> Listed {
        let zone = if kind == 0 { 1 } else { 0 };
        let member = Member { cache: CacheId(n), zone, kind, state, weight: 1.0, boot, ..Member::default() };
        let address = SocketAddr::from(([127, 0, 0, n as u8], 7001));
        Listed { member, name: format!("s-{n:08x}").into(), address }
    }

    fn change(&self, n: u32, state: State, boot: u64) {
        self.desk.tell(Notice::Members { full: false, listed: vec![self.line(n, 0, state, boot)] });
    }

    fn query(&self, name: &str, kind: RecordType) -> Vec<u8> {
        let mut message = Message::new();
        message.set_id(7).add_query(Query::query(Name::from_ascii(name).unwrap(), kind));
        message.set_edns(Default::default());
        message.to_vec().unwrap()
    }

    fn part(&self, part: u32) -> String {
        format!("{part}.{OBJECT}.sheet.{}", self.zone)
    }

    fn udp(&self, bytes: &[u8]) -> Message {
        let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
        socket.set_read_timeout(Some(PATIENCE)).unwrap();
        socket.send_to(bytes, self.at[0].unwrap()).unwrap();
        let mut answer = [0; 4096];
        let n = socket.recv(&mut answer).unwrap();
        Message::from_vec(&answer[..n]).unwrap()
    }

    fn ask(&self, name: &str, kind: RecordType) -> Message {
        self.udp(&self.query(name, kind))
    }
}

fn over_tcp(mut stream: impl Read + Write, bytes: &[u8]) -> std::io::Result<Message> {
    stream.write_all(&[&(bytes.len() as u16).to_be_bytes()[..], bytes].concat())?;
    let mut length = [0; 2];
    stream.read_exact(&mut length)?;
    let mut answer = vec![0; u16::from_be_bytes(length) as usize];
    stream.read_exact(&mut answer)?;
    Ok(Message::from_vec(&answer).unwrap())
}

/// The last byte of the address that an answer gives: the number of the cache.
fn cache(message: &Message) -> Option<u8> {
    let a = message.answers().first()?;
    assert_eq!(a.ttl(), 0);
    match a.data() {
        RData::A(ip) => Some(ip.0.octets()[3]),
        other => panic!("no address: {other}"),
    }
}

fn ede(message: &Message) -> Option<u16> {
    let option = message.extensions().as_ref()?.option(EdnsCode::from(15))?;
    match option {
        EdnsOption::Unknown(15, bytes) => Some(u16::from_be_bytes([bytes[0], bytes[1]])),
        other => panic!("no extended error: {other:?}"),
    }
}

#[test]
fn a_name_is_answered_with_a_placement_over_udp_and_tcp() {
    let rig = rig("route.example.", "", 8);
    let home = cache(&rig.ask(&rig.part(3), RecordType::A)).unwrap();
    assert!([1, 2].contains(&home));
    let stream = common::connected(TcpStream::connect(rig.at[1].unwrap()).unwrap());
    let same = over_tcp(&stream, &rig.query(&rig.part(3), RecordType::A)).unwrap();
    assert_eq!(cache(&same), Some(home));
    // Several on one connection; where to, and from where a miss is filled.
    let srv = over_tcp(&stream, &rig.query(&rig.part(3), RecordType::SRV)).unwrap();
    let target = format!("s-{home:08x}.node.route.example.");
    assert_eq!(srv.answers()[0].data().to_string(), format!("0 0 7001 {target}"));
    assert_eq!(cache(&rig.ask(&target, RecordType::A)), Some(home));
    let txt = rig.ask(&rig.part(3), RecordType::TXT);
    let txt = txt.answers()[0].data().to_string();
    assert!(txt.contains(&format!("cache=s-{home:08x}")) && txt.contains("source=s-00000003"), "{txt}");
    // Nothing of this kind at that name: no data, and that is not kept either.
    let none = rig.ask(&rig.part(3), RecordType::AAAA);
    assert_eq!((none.response_code(), none.answers().len()), (ResponseCode::NoError, 0));
    let RData::SOA(soa) = none.name_servers()[0].data() else { panic!("no SOA") };
    assert_eq!((none.name_servers()[0].ttl(), soa.minimum()), (0, 0));
}

#[test]
fn what_is_not_served_is_refused_each_in_its_way() {
    let rig = rig("route.example.", "", 8);
    let code = |name: &str| rig.ask(name, RecordType::A).response_code();
    assert_eq!(code("route.other."), ResponseCode::Refused);
    assert_eq!(code(&format!("0.{OBJECT}.record.route.example.")), ResponseCode::Refused);
    assert_eq!(code(&format!("0.{OBJECT}.paint.route.example.")), ResponseCode::NXDomain);
    assert_eq!(code("s-0000000f.node.route.example."), ResponseCode::NXDomain);
    let good = rig.query(&rig.part(0), RecordType::A);
    assert_eq!(rig.udp(&good[..20]).response_code(), ResponseCode::FormErr);
    let mut update = good.clone();
    update[2] |= 5 << 3;
    assert_eq!(rig.udp(&update).response_code(), ResponseCode::NotImp);
}

#[test]
fn overload_and_refusal_are_servfail_with_the_reason() {
    let full = rig("route.example.", "", 0);
    let answer = full.ask(&full.part(0), RecordType::A);
    assert_eq!((answer.response_code(), ede(&answer)), (ResponseCode::ServFail, Some(14)));
    let rig = rig("route.example.", "", 8);
    rig.desk.tell(Notice::Members { full: true, listed: Vec::new() });
    let answer = rig.ask(&rig.part(0), RecordType::A);
    assert_eq!((answer.response_code(), ede(&answer)), (ResponseCode::ServFail, Some(22)));
}

#[test]
fn a_placement_takes_a_place_of_its_class_and_keeps_to_its_limits() {
    let limits = "limits(\"sheet\", places = 1)\nroute(\"named\", of = \"sheet\", front = \"dns\", keep = 0)";
    let rig = limited("route.example.", "", 8, limits);
    let unkept = |message: &Message| {
        message.answers().first().is_some_and(|answer| answer.data().to_string().contains("keep=0"))
    };
    assert!(unkept(&rig.ask(&rig.part(3), RecordType::TXT)));
    let Ok(Some(held)) = rig.core.limits.get().unwrap().enter_now(0, "", "dns") else { panic!("a place") };
    let none = rig.ask(&rig.part(3), RecordType::TXT);
    assert_eq!((none.response_code(), ede(&none)), (ResponseCode::ServFail, Some(14)));
    drop(held);
    assert!(unkept(&rig.ask(&rig.part(3), RecordType::TXT)));
    assert_eq!(rig.core.limits.get().unwrap().sizes(), [0, 0], "each place is given back");
}

#[test]
fn an_answer_too_long_for_udp_is_truncated_and_whole_over_tcp() {
    let rig = rig("route.example.", "", 8);
    let long = [(1, 0), (3, 1)].map(|(n, kind)| {
        let name = format!("{}-{n:08x}", "x".repeat(230)).into();
        Listed { name, ..rig.line(n, kind, State::Ready, 0) }
    });
    rig.desk.tell(Notice::Members { full: true, listed: long.to_vec() });
    let mut query = Message::new();
    query.set_id(7).add_query(Query::query(Name::from_ascii(rig.part(0)).unwrap(), RecordType::TXT));
    let bytes = query.to_vec().unwrap();
    let short = rig.udp(&bytes);
    assert!(short.truncated() && short.answers().is_empty());
    let stream = common::connected(TcpStream::connect(rig.at[1].unwrap()).unwrap());
    assert_eq!(over_tcp(stream, &bytes).unwrap().answers().len(), 1);
}

/// A resolver that keeps answers, and lets go of all of them when it is notified.
struct Resolver {
    kept: HashMap<u32, u8>,
    socket: UdpSocket,
    obeys: bool,
}

impl Resolver {
    fn new(obeys: bool) -> Resolver {
        let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
        socket.set_read_timeout(Some(PATIENCE)).unwrap();
        Resolver { kept: HashMap::new(), socket, obeys }
    }

    fn look_up(&mut self, rig: &Rig, part: u32) -> Option<u8> {
        if let Some(kept) = self.kept.get(&part) {
            return Some(*kept);
        }
        let found = cache(&rig.ask(&rig.part(part), RecordType::A))?;
        // The time to live was 0.
        if !self.obeys {
            self.kept.insert(part, found);
        }
        Some(found)
    }

    fn notified(&mut self, answers: bool) -> u16 {
        let mut bytes = [0; 512];
        let (n, from) = self.socket.recv_from(&mut bytes).unwrap();
        let mut message = Message::from_vec(&bytes[..n]).unwrap();
        assert_eq!((message.op_code(), message.queries()[0].query_type()), (OpCode::Notify, RecordType::SOA));
        if answers {
            self.kept.clear();
            message.set_message_type(MessageType::Response);
            self.socket.send_to(&message.to_vec().unwrap(), from).unwrap();
        }
        message.id()
    }
}

#[test]
fn a_draining_cache_leaves_all_answers_and_keeping_resolvers_are_told_until_they_answer() {
    let (mut obeying, mut keeping) = (Resolver::new(true), Resolver::new(false));
    let notify = format!(r#", notify = ["{}"]"#, keeping.socket.local_addr().unwrap());
    let rig = rig("route.example.", &notify, 64);
    let parts = 0..20;
    let before: Vec<_> =
        parts.clone().map(|p| (obeying.look_up(&rig, p), keeping.look_up(&rig, p))).collect();
    assert!(before.iter().any(|b| b.0 == Some(1)) && before.iter().all(|b| b.0 == b.1));
    rig.change(1, State::Draining, 0);
    // The first query after the notice no longer gives it, to whoever asks.
    assert!(parts.clone().all(|p| obeying.look_up(&rig, p) == Some(2)));
    assert!(parts.clone().any(|p| keeping.look_up(&rig, p) == Some(1)));
    // A notice that is lost comes again; answered, it is the last.
    let first = keeping.notified(false);
    assert_eq!(keeping.notified(true), first);
    assert!(parts.clone().all(|p| keeping.look_up(&rig, p) == Some(2)));
    assert_eq!(
        rig.ask("s-00000001.node.route.example.", RecordType::A).response_code(),
        ResponseCode::NXDomain
    );
    // Back, but cold: how many hold a stale answer is unknown, so it stays out, by all names.
    rig.change(1, State::Ready, rig.clock.now());
    assert!(parts.clone().all(|p| obeying.look_up(&rig, p) == Some(2)));
    assert_eq!(
        rig.ask("s-00000001.node.route.example.", RecordType::A).response_code(),
        ResponseCode::NXDomain
    );
}

fn over_tls(rig: &Rig, trusted: &Authority, shown: &Svid) -> std::io::Result<Message> {
    let name = ServerName::try_from("localhost").unwrap();
    let connection = rustls::ClientConnection::new(trusted.peer(shown, &[]), name).unwrap();
    let stream = common::connected(TcpStream::connect(rig.at[2].unwrap())?);
    over_tcp(rustls::StreamOwned::new(connection, stream), &rig.query(&rig.part(0), RecordType::A))
}

#[test]
fn dns_over_tls_serves_allowed_spiffe_ids_alone_and_follows_rotation() {
    let folder = std::env::temp_dir().join(format!("foldmux-svid-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let (old, new) = (Authority::new(), Authority::new());
    old.lay(&folder, "spiffe://colour.example/foldmux");
    let at = |name: &str| folder.join(name).display().to_string();
    let tls = format!(
        r#", tls = "127.0.0.1:0", svid = "{}", key = "{}", bundle = "{}",
        allowed = ["spiffe://colour.example/resolver"]"#,
        at("svid.pem"),
        at("key.pem"),
        at("bundle.pem")
    );
    let rig = rig("route.example.", &tls, 8);
    let resolver = ["spiffe://colour.example/resolver"];
    assert!(cache(&over_tls(&rig, &old, &old.svid(&resolver)).unwrap()).is_some());
    // Another ID, none, two, or a chain that ends elsewhere.
    for ids in [&["spiffe://colour.example/other"][..], &[], &[resolver[0], "spiffe://colour.example/b"]] {
        assert!(over_tls(&rig, &old, &old.svid(ids)).is_err(), "{ids:?}");
    }
    assert!(over_tls(&rig, &old, &new.svid(&resolver)).is_err());
    // Half a rotation leaves what was held; a whole one is taken up, and the former bundle is void.
    std::fs::write(folder.join("svid.pem"), "half").unwrap();
    assert!(over_tls(&rig, &old, &old.svid(&resolver)).is_ok());
    new.lay(&folder, "spiffe://colour.example/foldmux");
    assert!(over_tls(&rig, &new, &new.svid(&resolver)).is_ok());
    assert!(over_tls(&rig, &new, &old.svid(&resolver)).is_err());
    std::fs::remove_dir_all(&folder).unwrap();
}
