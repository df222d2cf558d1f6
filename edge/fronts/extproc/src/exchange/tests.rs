//! Unit tests of `exchange`.

use super::*;
use crate::pb::{HttpBody, HttpTrailers, ProtocolConfiguration};
use proptest::prelude::*;

fn message(kind: usize, whole: bool) -> ProcessingRequest {
    let headers = HttpHeaders {
        end_of_stream: whole,
        ..HttpHeaders::default()
    };
    let body = HttpBody {
        end_of_stream: whole,
        ..HttpBody::default()
    };
    let request = match kind {
        0 => Some(Request::RequestHeaders(headers)),
        1 => Some(Request::RequestBody(body)),
        2 => Some(Request::RequestTrailers(HttpTrailers::default())),
        3 => Some(Request::ResponseHeaders(headers)),
        4 => Some(Request::ResponseBody(body)),
        5 => Some(Request::ResponseTrailers(HttpTrailers::default())),
        _ => None,
    };
    ProcessingRequest {
        request,
        ..ProcessingRequest::default()
    }
}

fn play(kinds: &[(usize, bool)]) -> Result<(), Fault> {
    let mut exchange = Exchange::default();
    kinds
        .iter()
        .try_for_each(|(kind, whole)| exchange.hear(message(*kind, *whole)).map(drop))
}

#[test]
fn messages_in_their_order_are_taken_and_all_others_are_one_fault() {
    for fine in [
        &[(0, true), (3, false)][..],
        &[
            (0, false),
            (1, false),
            (1, true),
            (2, false),
            (3, false),
            (4, true),
            (5, false),
        ],
        // An answer that comes before the request is whole; a caller that sends no request headers here.
        &[(0, false), (3, false), (1, true), (4, true)],
        &[(3, true)],
        &[(0, false), (2, false), (3, false), (5, false)],
    ] {
        assert_eq!(play(fine), Ok(()), "{fine:?}");
    }
    for wrong in [
        &[(1, false)][..],
        &[(0, true), (0, true)],
        &[(0, true), (1, false)],
        &[(0, false), (1, true), (1, true)],
        &[(3, false), (0, false)],
        &[(3, false), (3, false)],
        &[(4, false)],
        &[(5, false)],
        &[(3, true), (4, true)],
        &[(0, false), (2, false), (2, false)],
    ] {
        assert!(
            matches!(play(wrong), Err(Fault::OutOfOrder(_))),
            "{wrong:?}"
        );
    }
    assert_eq!(play(&[(9, false)]), Err(Fault::Unknown));
}

#[test]
fn what_is_not_served_is_told_so() {
    let mode = BodySendMode::FullDuplexStreamed as i32;
    let config = ProtocolConfiguration {
        request_body_mode: mode,
        ..ProtocolConfiguration::default()
    };
    let first = ProcessingRequest {
        protocol_config: Some(config),
        ..message(0, true)
    };
    assert!(matches!(
        Exchange::default().hear(first),
        Err(Fault::Unsupported(_))
    ));
    let mut exchange = Exchange::default();
    exchange
        .hear(ProcessingRequest {
            observability_mode: true,
            ..message(0, true)
        })
        .unwrap();
    assert!(exchange.observed());
    assert!(exchange.hear(message(3, true)).is_err());
}

proptest! {
    /// Headers are heard once in each direction at most, and nothing before them.
    #[test]
    fn no_side_is_heard_out_of_order(kinds in proptest::collection::vec((0usize..7, any::<bool>()), 0..12)) {
        let mut exchange = Exchange::default();
        let mut seen = [0; 2];
        for (kind, whole) in kinds {
            let Ok(heard) = exchange.hear(message(kind, whole)) else { continue };
            match heard {
                Heard::RequestHeaders(_) => seen[0] += 1,
                Heard::ResponseHeaders(_) => seen[1] += 1,
                Heard::RequestBody | Heard::RequestTrailers => prop_assert!(seen[0] == 1),
                Heard::ResponseBody { .. } | Heard::ResponseTrailers => prop_assert!(seen[1] == 1),
            }
            prop_assert!(seen[0] <= 1 && seen[1] <= 1);
        }
    }
}
