//! The DNS front's answers: placements, refusals, limits, what is too long for UDP.

use dns_front::*;
use foldmux::interface::MemberState;
use foldmux_core::limits::Occupancy;
use foldmux_core::messages::Command;
use foldmux_core::servers::Server;
use hickory_proto::op::{Message, Query, ResponseCode};
use hickory_proto::rr::{Name, RData, RecordType};
use std::net::TcpStream;

mod common;
#[path = "common/dns_front.rs"]
mod dns_front;

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
    assert_eq!(
        srv.answers()[0].data().to_string(),
        format!("0 0 7001 {target}")
    );
    assert_eq!(cache(&rig.ask(&target, RecordType::A)), Some(home));
    let txt = rig.ask(&rig.part(3), RecordType::TXT);
    let txt = txt.answers()[0].data().to_string();
    assert!(
        txt.contains(&format!("cache=s-{home:08x}")) && txt.contains("source=s-00000003"),
        "{txt}"
    );
    // Nothing of this kind at that name: no data, and that is not kept either.
    let none = rig.ask(&rig.part(3), RecordType::AAAA);
    assert_eq!(
        (none.response_code(), none.answers().len()),
        (ResponseCode::NoError, 0)
    );
    let RData::SOA(soa) = none.name_servers()[0].data() else {
        panic!("no SOA")
    };
    assert_eq!((none.name_servers()[0].ttl(), soa.minimum()), (0, 0));
}

#[test]
fn what_is_not_served_is_refused_each_in_its_way() {
    let rig = rig("route.example.", "", 8);
    let code = |name: &str| rig.ask(name, RecordType::A).response_code();
    assert_eq!(code("route.other."), ResponseCode::Refused);
    assert_eq!(
        code(&format!("0.{OBJECT}.record.route.example.")),
        ResponseCode::Refused
    );
    assert_eq!(
        code(&format!("0.{OBJECT}.paint.route.example.")),
        ResponseCode::NXDomain
    );
    assert_eq!(
        code("s-0000000f.node.route.example."),
        ResponseCode::NXDomain
    );
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
    assert_eq!(
        (answer.response_code(), ede(&answer)),
        (ResponseCode::ServFail, Some(14))
    );
    let rig = rig("route.example.", "", 8);
    rig.desk.send(Command::Servers {
        full: true,
        servers: Vec::new(),
    });
    let answer = rig.ask(&rig.part(0), RecordType::A);
    assert_eq!(
        (answer.response_code(), ede(&answer)),
        (ResponseCode::ServFail, Some(22))
    );
}

#[test]
fn a_placement_takes_a_place_of_its_class_and_keeps_to_its_limits() {
    let limits = "limits(\"sheet\", places = 1)\nroute(\"named\", of = \"sheet\", front = \"dns\", keep = 0)";
    let rig = limited("route.example.", "", 8, limits);
    let unkept = |message: &Message| {
        message
            .answers()
            .first()
            .is_some_and(|answer| answer.data().to_string().contains("keep=0"))
    };
    assert!(unkept(&rig.ask(&rig.part(3), RecordType::TXT)));
    let Ok(Some(held)) = rig.core.limiter.get().unwrap().try_admit(0, "", "dns") else {
        panic!("a place")
    };
    let none = rig.ask(&rig.part(3), RecordType::TXT);
    assert_eq!(
        (none.response_code(), ede(&none)),
        (ResponseCode::ServFail, Some(14))
    );
    drop(held);
    assert!(unkept(&rig.ask(&rig.part(3), RecordType::TXT)));
    assert_eq!(
        rig.core.limiter.get().unwrap().occupancy(),
        Occupancy { open: 0, queued: 0 },
        "each place is given back"
    );
}

#[test]
fn an_answer_too_long_for_udp_is_truncated_and_whole_over_tcp() {
    let rig = rig("route.example.", "", 8);
    let long = [(1, 0), (3, 1)].map(|(n, kind)| {
        let name = format!("{}-{n:08x}", "x".repeat(230)).into();
        Server {
            name,
            ..rig.line(n, kind, MemberState::Ready, 0)
        }
    });
    rig.desk.send(Command::Servers {
        full: true,
        servers: long.to_vec(),
    });
    let mut query = Message::new();
    query.set_id(7).add_query(Query::query(
        Name::from_ascii(rig.part(0)).unwrap(),
        RecordType::TXT,
    ));
    let bytes = query.to_vec().unwrap();
    let short = rig.udp(&bytes);
    assert!(short.truncated() && short.answers().is_empty());
    let stream = common::connected(TcpStream::connect(rig.at[1].unwrap()).unwrap());
    assert_eq!(over_tcp(stream, &bytes).unwrap().answers().len(), 1);
}
