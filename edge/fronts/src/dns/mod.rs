//! The DNS front: request routing by name (README, "DNS routing"). A query is an ask to the same desk as any
//! other; where the module would send the request is the answer.

pub mod names;
pub mod notify;
pub mod server;

use foldmux::interface::{bound_ms, MemberState, Time};
use foldmux_core::delegated::{route_once, Routing};
use foldmux_core::{ClientRequest, Core};
use hickory_proto::op::{Edns, Header, Message, MessageType, OpCode, Query, ResponseCode};
use hickory_proto::rr::rdata::opt::EdnsOption;
use hickory_proto::rr::rdata::{A, AAAA, SOA, SRV, TXT};
use hickory_proto::rr::{DNSClass, Name, RData, Record, RecordType};
use hickory_proto::serialize::binary::{BinDecodable, BinDecoder};
use names::Asked;
use std::net::IpAddr;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Longest UDP answer: passes any path unfragmented (DNS flag day 2020).
const UDP_MOST: u16 = 1232;
/// Option code of an Extended DNS Error (RFC 8914), and the codes given here.
const EDE: u16 = 15;
pub const EDE_OTHER: u16 = 0;
pub const EDE_PROHIBITED: u16 = 18;
pub const EDE_NO_AUTHORITY: u16 = 20;
/// "Not Ready": no room for another query.
pub const EDE_NOT_READY: u16 = 14;
/// "No Reachable Authority": the module found no cache that may take it.
pub const EDE_UNREACHABLE: u16 = 22;

/// A class as names route it.
pub struct Routed {
    pub name: Arc<str>,
    /// Its place among the module's classes, held as long as this front is.
    pub place: Arc<usize>,
    pub writes: bool,
}

pub struct Dns {
    pub core: Arc<Core>,
    pub zone: Name,
    pub classes: Vec<Routed>,
    /// How long a client may use an answer (us).
    pub lease: Time,
    /// How long a query may take (us).
    pub patience: Time,
    /// Counts the changes that were notified.
    pub serial: Arc<AtomicU32>,
}

/// What a query comes to: a code, records, and why not.
struct Reply {
    code: ResponseCode,
    answers: Vec<Record>,
    additionals: Vec<Record>,
    why: Option<(u16, &'static str)>,
}

impl Reply {
    fn no(code: ResponseCode, why: Option<(u16, &'static str)>) -> Reply {
        Reply {
            code,
            answers: Vec::new(),
            additionals: Vec::new(),
            why,
        }
    }

    fn answers(answers: Vec<Record>) -> Reply {
        Reply {
            answers,
            ..Reply::no(ResponseCode::NoError, None)
        }
    }
}

impl Dns {
    /// The answer to one message, or none where none is due: to an answer, or to what has no header.
    pub fn respond(&self, bytes: &[u8], udp: bool) -> Option<Vec<u8>> {
        let header = Header::read(&mut BinDecoder::new(bytes)).ok()?;
        if header.message_type() != MessageType::Query {
            return None;
        }
        let mut out = Message::new();
        out.set_id(header.id())
            .set_message_type(MessageType::Response)
            .set_op_code(header.op_code());
        out.set_recursion_desired(header.recursion_desired());
        let Ok(query) = Message::from_vec(bytes) else {
            out.set_response_code(ResponseCode::FormErr);
            return out.to_vec().ok();
        };
        out.add_queries(query.queries().iter().cloned());
        let reply = match (query.op_code(), query.queries()) {
            (OpCode::Query, [asked]) if query.version() == 0 => self.answer(asked),
            (OpCode::Query, [_]) => Reply::no(ResponseCode::BADVERS, None),
            (OpCode::Query, _) => Reply::no(ResponseCode::FormErr, None),
            _ => Reply::no(ResponseCode::NotImp, None),
        };
        out.set_response_code(reply.code);
        // Nothing is authoritative for a name that is not ours.
        out.set_authoritative(matches!(
            reply.code,
            ResponseCode::NoError | ResponseCode::NXDomain
        ));
        let empty = reply.answers.is_empty();
        out.add_answers(reply.answers)
            .add_additionals(reply.additionals);
        if out.authoritative() && empty {
            out.add_name_server(self.soa());
        }
        if query.extensions().is_some() {
            let mut edns = Edns::new();
            edns.set_max_payload(UDP_MOST).set_version(0);
            if let Some((code, text)) = reply.why {
                let option = [&code.to_be_bytes()[..], text.as_bytes()].concat();
                edns.options_mut().insert(EdnsOption::Unknown(EDE, option));
            }
            out.set_edns(edns);
        }
        let bytes = out.to_vec().ok()?;
        let most = query.max_payload().clamp(512, UDP_MOST) as usize;
        if !udp || bytes.len() <= most {
            return Some(bytes);
        }
        out.truncate().to_vec().ok()
    }

    fn answer(&self, query: &Query) -> Reply {
        let outside = Some((EDE_NO_AUTHORITY, "not a name of this zone"));
        if query.query_class() != DNSClass::IN {
            return Reply::no(ResponseCode::Refused, outside);
        }
        match names::read(query.name(), &self.zone) {
            Asked::Outside => Reply::no(ResponseCode::Refused, outside),
            Asked::Apex if query.query_type() == RecordType::SOA => {
                Reply::answers(vec![self.soa()])
            }
            Asked::Apex => Reply::answers(Vec::new()),
            Asked::Unknown => Reply::no(ResponseCode::NXDomain, None),
            Asked::Node(member) => self.node(query, &member),
            Asked::Part {
                class,
                object,
                part,
            } => {
                let Some(class) = self.classes.iter().find(|routed| *routed.name == *class) else {
                    return Reply::no(ResponseCode::NXDomain, None);
                };
                if class.writes {
                    // Guards against a write that runs twice: resolvers repeat queries as they see fit.
                    let why = "a write is not routed by name";
                    return Reply::no(ResponseCode::Refused, Some((EDE_PROHIBITED, why)));
                }
                self.part(query, class, object, part)
            }
        }
    }

    fn part(&self, query: &Query, class: &Routed, object: u64, part: u32) -> Reply {
        let wanted = [
            RecordType::A,
            RecordType::AAAA,
            RecordType::SRV,
            RecordType::TXT,
        ];
        if !wanted.contains(&query.query_type()) {
            return Reply::answers(Vec::new());
        }
        let request = ClientRequest {
            via_id: 0,
            class: class.place.clone(),
            class_name: class.name.clone(),
            object,
            part,
            group: 0,
            size_kb: 0.0,
            token: None,
            etag: None,
            body: None,
            arrived_at: Instant::now(),
            budget: Duration::from_micros(self.patience),
            front: "dns",
            caller: "".into(),
            required_group: None,
        };
        // A query does not wait for a place: one thread answers all that come over UDP.
        let limits = self
            .core
            .limiter
            .get()
            .map(|limiter| limiter.try_admit(*request.class, &request.caller, request.front));
        let Ok(limits) = limits.transpose().map(Option::flatten) else {
            let why = "its class has no place";
            return Reply::no(ResponseCode::ServFail, Some((EDE_NOT_READY, why)));
        };
        let placed = route_once(&self.core, &request, self.lease, |route| {
            let (cache, source) = (&route.cache, route.source.as_ref());
            let mut fetch = route.fetch.clone();
            limits.iter().for_each(|limits| limits.tighten(&mut fetch));
            let name = query.name().clone();
            let record = |data| Record::from_rdata(name.clone(), 0, data);
            let node = names::node(&cache.name, &self.zone);
            match (query.query_type(), cache.address.ip()) {
                (RecordType::A, IpAddr::V4(ip)) => Reply::answers(vec![record(RData::A(A(ip)))]),
                (RecordType::AAAA, IpAddr::V6(ip)) => {
                    Reply::answers(vec![record(RData::AAAA(AAAA(ip)))])
                }
                (RecordType::SRV, ip) => {
                    let Some(node) = node else {
                        return Reply::no(ResponseCode::ServFail, None);
                    };
                    let srv = SRV::new(0, 0, cache.address.port(), node.clone());
                    let address = Record::from_rdata(node, 0, address(ip));
                    Reply {
                        additionals: vec![address],
                        ..Reply::answers(vec![record(RData::SRV(srv))])
                    }
                }
                (RecordType::TXT, _) => {
                    let mut words = vec![format!("cache={}", cache.name)];
                    words.extend(source.iter().map(|s| format!("source={}", s.name)));
                    words.push(format!("keep={}", fetch.retention_rank));
                    words.extend(bound_ms(fetch.max_age).map(|age| format!("max-age-ms={age}")));
                    if fetch.only_if_cached {
                        words.push("flags=shallow".to_string());
                    }
                    Reply::answers(vec![record(RData::TXT(TXT::new(words)))])
                }
                _ => Reply::answers(Vec::new()),
            }
        });
        match placed {
            Routing::To(reply) => reply,
            Routing::Overloaded => {
                Reply::no(ResponseCode::ServFail, Some((EDE_NOT_READY, "overloaded")))
            }
            Routing::Rejected => Reply::no(
                ResponseCode::ServFail,
                Some((EDE_UNREACHABLE, "refused for now")),
            ),
            Routing::Failed => Reply::no(
                ResponseCode::ServFail,
                Some((EDE_OTHER, "no placement in time")),
            ),
        }
    }

    /// A member's address, while it may be sent to: neither draining, gone nor cold.
    fn node(&self, query: &Query, member: &str) -> Reply {
        let now = self.core.clock.now();
        let listed = self.core.servers.by_name(member);
        let Some(listed) = listed
            .filter(|l| l.member.state == MemberState::Ready && !self.core.is_warming_up(now, l))
        else {
            return Reply::no(ResponseCode::NXDomain, None);
        };
        let data = address(listed.address.ip());
        let fits = data.record_type() == query.query_type();
        Reply::answers(
            fits.then(|| Record::from_rdata(query.name().clone(), 0, data))
                .into_iter()
                .collect(),
        )
    }

    /// Negatives are not to be kept either: the last figure is their time to live.
    fn soa(&self) -> Record {
        let serial = self.serial.load(Ordering::SeqCst);
        let host = |label: &str| Name::from_ascii(label).and_then(|n| n.append_domain(&self.zone));
        let (ns, mail) = (
            host("ns").unwrap_or_default(),
            host("hostmaster").unwrap_or_default(),
        );
        Record::from_rdata(
            self.zone.clone(),
            0,
            RData::SOA(SOA::new(ns, mail, serial, 1, 1, 60, 0)),
        )
    }
}

fn address(ip: IpAddr) -> RData {
    match ip {
        IpAddr::V4(ip) => RData::A(A(ip)),
        IpAddr::V6(ip) => RData::AAAA(AAAA(ip)),
    }
}
