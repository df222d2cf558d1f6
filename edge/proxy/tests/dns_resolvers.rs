//! The DNS front against stand-ins written here: resolvers that keep answers, one obeying the time to live and one not, and
//! callers that prove an identity. Nothing is timed: what is asserted is the order of what happens.

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
        Resolver {
            kept: HashMap::new(),
            socket,
            obeys,
        }
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
        assert_eq!(
            (message.op_code(), message.queries()[0].query_type()),
            (OpCode::Notify, RecordType::SOA)
        );
        if answers {
            self.kept.clear();
            message.set_message_type(MessageType::Response);
            self.socket
                .send_to(&message.to_vec().unwrap(), from)
                .unwrap();
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
    let before: Vec<_> = parts
        .clone()
        .map(|p| (obeying.look_up(&rig, p), keeping.look_up(&rig, p)))
        .collect();
    assert!(before.iter().any(|b| b.0 == Some(1)) && before.iter().all(|b| b.0 == b.1));
    rig.change(1, MemberState::Draining, 0);
    // The first query after the notice no longer gives it, to whoever asks.
    assert!(parts.clone().all(|p| obeying.look_up(&rig, p) == Some(2)));
    assert!(parts.clone().any(|p| keeping.look_up(&rig, p) == Some(1)));
    // A notice that is lost comes again; answered, it is the last.
    let first = keeping.notified(false);
    assert_eq!(keeping.notified(true), first);
    assert!(parts.clone().all(|p| keeping.look_up(&rig, p) == Some(2)));
    assert_eq!(
        rig.ask("s-00000001.node.route.example.", RecordType::A)
            .response_code(),
        ResponseCode::NXDomain
    );
    // Back, but cold: how many hold a stale answer is unknown, so it stays out, by all names.
    rig.change(1, MemberState::Ready, rig.clock.now());
    assert!(parts.clone().all(|p| obeying.look_up(&rig, p) == Some(2)));
    assert_eq!(
        rig.ask("s-00000001.node.route.example.", RecordType::A)
            .response_code(),
        ResponseCode::NXDomain
    );
}

fn over_tls(rig: &Rig, trusted: &Authority, shown: &Svid) -> std::io::Result<Message> {
    let name = ServerName::try_from("localhost").unwrap();
    let connection = rustls::ClientConnection::new(trusted.peer(shown, &[]), name).unwrap();
    let stream = common::connected(TcpStream::connect(rig.at[2].unwrap())?);
    over_tcp(
        rustls::StreamOwned::new(connection, stream),
        &rig.query(&rig.part(0), RecordType::A),
    )
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
    for ids in [
        &["spiffe://colour.example/other"][..],
        &[],
        &[resolver[0], "spiffe://colour.example/b"],
    ] {
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
