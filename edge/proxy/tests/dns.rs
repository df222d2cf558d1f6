//! Responses of the DNS front: placements, refusals, limits, and responses too long for UDP.

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
fn udp_and_tcp_queries_return_the_placement() {
    let front = start("route.example.", "", 8);
    let placed = cache_number(&front.query(&front.part_name(3), RecordType::A)).unwrap();
    assert!([1, 2].contains(&placed));
    let stream =
        common::with_read_timeout(TcpStream::connect(front.addresses[1].unwrap()).unwrap());
    let repeated = send_tcp(
        &stream,
        &front.encode_query(&front.part_name(3), RecordType::A),
    )
    .unwrap();
    assert_eq!(cache_number(&repeated), Some(placed));
    // Several queries on one connection. SRV gives the target; TXT also gives the source of a fill.
    let srv = send_tcp(
        &stream,
        &front.encode_query(&front.part_name(3), RecordType::SRV),
    )
    .unwrap();
    let target = format!("s-{placed:08x}.node.route.example.");
    assert_eq!(
        srv.answers()[0].data().to_string(),
        format!("0 0 7001 {target}")
    );
    assert_eq!(
        cache_number(&front.query(&target, RecordType::A)),
        Some(placed)
    );
    let txt = front.query(&front.part_name(3), RecordType::TXT);
    let txt = txt.answers()[0].data().to_string();
    assert!(
        txt.contains(&format!("cache=s-{placed:08x}")) && txt.contains("source=s-00000003"),
        "{txt}"
    );
    // The name has no AAAA record: an empty response, whose SOA allows no negative caching.
    let empty = front.query(&front.part_name(3), RecordType::AAAA);
    assert_eq!(
        (empty.response_code(), empty.answers().len()),
        (ResponseCode::NoError, 0)
    );
    let RData::SOA(soa) = empty.name_servers()[0].data() else {
        panic!("no SOA")
    };
    assert_eq!((empty.name_servers()[0].ttl(), soa.minimum()), (0, 0));
}

#[test]
fn unsupported_queries_get_the_matching_response_code() {
    let front = start("route.example.", "", 8);
    let response_code = |name: &str| front.query(name, RecordType::A).response_code();
    assert_eq!(response_code("route.other."), ResponseCode::Refused);
    assert_eq!(
        response_code(&format!("0.{OBJECT}.record.route.example.")),
        ResponseCode::Refused
    );
    assert_eq!(
        response_code(&format!("0.{OBJECT}.paint.route.example.")),
        ResponseCode::NXDomain
    );
    assert_eq!(
        response_code("s-0000000f.node.route.example."),
        ResponseCode::NXDomain
    );
    let valid = front.encode_query(&front.part_name(0), RecordType::A);
    assert_eq!(
        front.send_udp(&valid[..20]).response_code(),
        ResponseCode::FormErr
    );
    let mut update = valid.clone();
    update[2] |= 5 << 3;
    assert_eq!(
        front.send_udp(&update).response_code(),
        ResponseCode::NotImp
    );
}

#[test]
fn overload_and_lack_of_servers_are_servfail_with_an_extended_error() {
    let overloaded = start("route.example.", "", 0);
    let response = overloaded.query(&overloaded.part_name(0), RecordType::A);
    assert_eq!(
        (response.response_code(), extended_error(&response)),
        (ResponseCode::ServFail, Some(14))
    );
    let front = start("route.example.", "", 8);
    front.event_loop.send(Command::Servers {
        full: true,
        servers: Vec::new(),
    });
    let response = front.query(&front.part_name(0), RecordType::A);
    assert_eq!(
        (response.response_code(), extended_error(&response)),
        (ResponseCode::ServFail, Some(22))
    );
}

#[test]
fn a_placement_takes_a_permit_of_its_class_and_obeys_its_route() {
    let limits = "limits(\"sheet\", places = 1)\nroute(\"named\", of = \"sheet\", front = \"dns\", keep = 0)";
    let front = start_with_limits("route.example.", "", 8, limits);
    let is_not_kept = |message: &Message| {
        message
            .answers()
            .first()
            .is_some_and(|response| response.data().to_string().contains("keep=0"))
    };
    assert!(is_not_kept(
        &front.query(&front.part_name(3), RecordType::TXT)
    ));
    let Ok(Some(permit)) = front.core.limiter.get().unwrap().try_admit(0, "", "dns") else {
        panic!("no permit")
    };
    let empty = front.query(&front.part_name(3), RecordType::TXT);
    assert_eq!(
        (empty.response_code(), extended_error(&empty)),
        (ResponseCode::ServFail, Some(14))
    );
    drop(permit);
    assert!(is_not_kept(
        &front.query(&front.part_name(3), RecordType::TXT)
    ));
    assert_eq!(
        front.core.limiter.get().unwrap().occupancy(),
        Occupancy { open: 0, queued: 0 },
        "every permit is released"
    );
}

#[test]
fn a_response_too_long_for_udp_is_truncated_and_complete_over_tcp() {
    let front = start("route.example.", "", 8);
    let long_named = [(1, 0), (3, 1)].map(|(n, kind)| {
        let name = format!("{}-{n:08x}", "x".repeat(230)).into();
        Server {
            name,
            ..front.server(n, kind, MemberState::Ready, 0)
        }
    });
    front.event_loop.send(Command::Servers {
        full: true,
        servers: long_named.to_vec(),
    });
    let mut query = Message::new();
    query.set_id(7).add_query(Query::query(
        Name::from_ascii(front.part_name(0)).unwrap(),
        RecordType::TXT,
    ));
    let bytes = query.to_vec().unwrap();
    let truncated = front.send_udp(&bytes);
    assert!(truncated.truncated() && truncated.answers().is_empty());
    let stream =
        common::with_read_timeout(TcpStream::connect(front.addresses[1].unwrap()).unwrap());
    assert_eq!(send_tcp(stream, &bytes).unwrap().answers().len(), 1);
}
