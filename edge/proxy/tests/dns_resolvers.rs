//! The DNS front with fake resolvers, one that obeys the TTL and one that caches regardless of it, and with TLS clients that
//! present SPIFFE certificates. The tests assert the order of events, not their timing.

use dns_front::*;
use foldmux::interface::MemberState;
use foldmux_fakes::issuer::{Authority, Svid};
use hickory_proto::op::{Message, MessageType, OpCode, ResponseCode};
use hickory_proto::rr::RecordType;
use rustls::pki_types::ServerName;
use std::collections::HashMap;
use std::net::{TcpStream, UdpSocket};

mod common;
#[path = "common/dns_front.rs"]
mod dns_front;

/// A resolver with a cache that it clears on NOTIFY.
struct Resolver {
    cached: HashMap<u32, u8>,
    socket: UdpSocket,
    obeys_ttl: bool,
}

impl Resolver {
    fn new(obeys_ttl: bool) -> Resolver {
        let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
        socket.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
        Resolver {
            cached: HashMap::new(),
            socket,
            obeys_ttl,
        }
    }

    /// The cache's number for a part, from the resolver's own cache if it has one there.
    fn look_up(&mut self, front: &DnsFront, part: u32) -> Option<u8> {
        if let Some(cached) = self.cached.get(&part) {
            return Some(*cached);
        }
        let placed = cache_number(&front.query(&front.part_name(part), RecordType::A))?;
        // The TTL was 0, so that a resolver which obeys it caches nothing.
        if !self.obeys_ttl {
            self.cached.insert(part, placed);
        }
        Some(placed)
    }

    /// Receives a NOTIFY and returns its id; acknowledges it and clears the cache if `respond`.
    fn receive_notify(&mut self, respond: bool) -> u16 {
        let mut bytes = [0; 512];
        let (n, from) = self.socket.recv_from(&mut bytes).unwrap();
        let mut message = Message::from_vec(&bytes[..n]).unwrap();
        assert_eq!(
            (message.op_code(), message.queries()[0].query_type()),
            (OpCode::Notify, RecordType::SOA)
        );
        if respond {
            self.cached.clear();
            message.set_message_type(MessageType::Response);
            self.socket
                .send_to(&message.to_vec().unwrap(), from)
                .unwrap();
        }
        message.id()
    }
}

#[test]
fn a_draining_cache_is_no_longer_returned_and_notify_repeats_until_acknowledged() {
    let (mut obeying, mut caching) = (Resolver::new(true), Resolver::new(false));
    let notify = format!(r#", notify = ["{}"]"#, caching.socket.local_addr().unwrap());
    let front = start("route.example.", &notify, 64);
    let parts = 0..20;
    let before: Vec<_> = parts
        .clone()
        .map(|p| (obeying.look_up(&front, p), caching.look_up(&front, p)))
        .collect();
    assert!(before.iter().any(|b| b.0 == Some(1)) && before.iter().all(|b| b.0 == b.1));
    front.change_server(1, MemberState::Draining, 0);
    // Placements no longer use it from the first query after the drain.
    assert!(parts.clone().all(|p| obeying.look_up(&front, p) == Some(2)));
    assert!(parts.clone().any(|p| caching.look_up(&front, p) == Some(1)));
    // A NOTIFY without a response is repeated with the same id; the response ends the repetition.
    let first = caching.receive_notify(false);
    assert_eq!(caching.receive_notify(true), first);
    assert!(parts.clone().all(|p| caching.look_up(&front, p) == Some(2)));
    assert_eq!(
        front
            .query("s-00000001.node.route.example.", RecordType::A)
            .response_code(),
        ResponseCode::NXDomain
    );
    // Ready again but cold: it is unknown how many resolvers still cache its address, so no name returns it yet.
    front.change_server(1, MemberState::Ready, front.clock.now());
    assert!(parts.clone().all(|p| obeying.look_up(&front, p) == Some(2)));
    assert_eq!(
        front
            .query("s-00000001.node.route.example.", RecordType::A)
            .response_code(),
        ResponseCode::NXDomain
    );
}

/// A query over TLS from a client that trusts `authority` and presents `svid`.
fn query_over_tls(
    front: &DnsFront,
    authority: &Authority,
    svid: &Svid,
) -> std::io::Result<Message> {
    let name = ServerName::try_from("localhost").unwrap();
    let connection = rustls::ClientConnection::new(authority.peer(svid, &[]), name).unwrap();
    let stream = common::with_read_timeout(TcpStream::connect(front.addresses[2].unwrap())?);
    send_tcp(
        rustls::StreamOwned::new(connection, stream),
        &front.encode_query(&front.part_name(0), RecordType::A),
    )
}

#[test]
fn dns_over_tls_serves_only_allowed_spiffe_ids_and_follows_rotation() {
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
    let front = start("route.example.", &tls, 8);
    let resolver = ["spiffe://colour.example/resolver"];
    assert!(cache_number(&query_over_tls(&front, &old, &old.svid(&resolver)).unwrap()).is_some());
    // Another id, no id, two ids, or a chain to another authority.
    for ids in [
        &["spiffe://colour.example/other"][..],
        &[],
        &[resolver[0], "spiffe://colour.example/b"],
    ] {
        assert!(
            query_over_tls(&front, &old, &old.svid(ids)).is_err(),
            "{ids:?}"
        );
    }
    assert!(query_over_tls(&front, &old, &new.svid(&resolver)).is_err());
    // An incomplete rotation leaves the old certificate in use; a complete one replaces it and the trust bundle.
    std::fs::write(folder.join("svid.pem"), "half").unwrap();
    assert!(query_over_tls(&front, &old, &old.svid(&resolver)).is_ok());
    new.lay(&folder, "spiffe://colour.example/foldmux");
    assert!(query_over_tls(&front, &new, &new.svid(&resolver)).is_ok());
    assert!(query_over_tls(&front, &new, &old.svid(&resolver)).is_err());
    std::fs::remove_dir_all(&folder).unwrap();
}
