//! The messages that go back: pure. Only fields that a processor may set are set: no `host`, `:method`, `:authority` or
//! `:scheme`, and nothing of `x-envoy-`, which callers ignore unless they are told otherwise.

use crate::names;
use crate::pb::*;
use foldmux::interface::bound_ms;
use foldmux_core::delegated::Route;
use std::collections::HashMap;

/// A placement, as the caller is told of it.
pub struct Placement<'a> {
    pub way: &'a Route,
    /// The token of this attempt.
    pub token: &'a str,
    /// The client's id for it, and how long its client waits still (ms).
    pub via: u64,
    pub wait_ms: u64,
    pub key: Option<&'a str>,
    /// Until when it may be sent (Unix ms).
    pub good_until: u64,
    pub path: Option<&'a str>,
}

/// How much of a request ran, as far as it is known: what `Proxy-Status` says of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ran {
    Nothing,
    Maybe,
}

/// Why a request has its final answer from here.
#[derive(Clone, Debug, PartialEq)]
pub struct Final {
    pub status: u16,
    /// The error type of RFC 9209.
    pub error: &'static str,
    pub why: String,
    pub ran: Ran,
    /// When to come back (us).
    pub wait: Option<std::time::Duration>,
}

impl Final {
    fn of(
        status: u16,
        error: &'static str,
        why: &str,
        ran: Ran,
        wait: Option<std::time::Duration>,
    ) -> Final {
        Final {
            status,
            error,
            why: why.to_string(),
            ran,
            wait,
        }
    }

    /// Turned away: trying again later is harmless, or said not to be.
    pub fn refused(why: &str, ran: Ran, wait: std::time::Duration) -> Final {
        Final::of(503, "destination_unavailable", why, ran, Some(wait))
    }

    /// The caller, and not the fleet, has too much out.
    pub fn too_many(why: &str, wait: std::time::Duration) -> Final {
        Final::of(
            429,
            "connection_limit_reached",
            why,
            Ran::Nothing,
            Some(wait),
        )
    }

    pub fn given_up(why: &str, ran: Ran) -> Final {
        Final::of(504, "http_response_timeout", why, ran, None)
    }

    pub fn unusable(why: &str, ran: Ran) -> Final {
        Final::of(400, "http_request_error", why, ran, None)
    }

    pub fn unmatched() -> Final {
        Final::of(
            404,
            "destination_not_found",
            "no ask matches the request",
            Ran::Nothing,
            None,
        )
    }

    /// As an immediate response. `name`: this proxy's in `Proxy-Status`.
    pub fn answer(&self, name: &str) -> ProcessingResponse {
        let ran = match self.ran {
            Ran::Nothing => "nothing ran",
            Ran::Maybe => "may have run",
        };
        // A string of structured fields (RFC 8941): printable ASCII, with \ before " and \.
        let plain = self.why.bytes().map(|b| {
            if (0x20..0x7f).contains(&b) {
                b as char
            } else {
                '?'
            }
        });
        let why: String = plain
            .flat_map(|c| [matches!(c, '"' | '\\').then_some('\\'), Some(c)])
            .flatten()
            .collect();
        let status = format!("{name}; error={}; details=\"{why}; {ran}\"", self.error);
        let mut set = vec![
            field("proxy-status", status),
            field("content-type", "text/plain; charset=utf-8".into()),
        ];
        if let Some(wait) = self.wait.map(|wait| wait.as_micros()) {
            set.push(field(
                "retry-after",
                wait.div_ceil(1_000_000).max(1).to_string(),
            ));
            if wait > 0 {
                set.push(field(names::WAIT, wait.div_ceil(1_000).to_string()));
            }
        }
        let headers = Some(HeaderMutation {
            set_headers: set,
            remove_headers: Vec::new(),
        });
        let body = format!("{} ({ran})\n", self.why).into_bytes();
        let details = format!("foldmux_{}", self.error);
        let immediate = ImmediateResponse {
            status: Some(HttpStatus {
                code: self.status as i32,
            }),
            headers,
            body,
            grpc_status: None,
            details,
        };
        answer(Response::ImmediateResponse(immediate))
    }
}

fn field(name: &str, value: String) -> HeaderValueOption {
    HeaderValueOption {
        header: Some(HeaderValue {
            key: name.to_string(),
            raw_value: value.into_bytes(),
            ..HeaderValue::default()
        }),
        append_action: HeaderAppendAction::OverwriteIfExistsOrAdd as i32,
        ..HeaderValueOption::default()
    }
}

fn answer(response: Response) -> ProcessingResponse {
    ProcessingResponse {
        response: Some(response),
        ..ProcessingResponse::default()
    }
}

fn common(set_headers: Vec<HeaderValueOption>, remove: &[&str]) -> CommonResponse {
    let remove_headers = remove.iter().map(|name| name.to_string()).collect();
    CommonResponse {
        status: ResponseStatus::Continue as i32,
        header_mutation: Some(HeaderMutation {
            set_headers,
            remove_headers,
        }),
        ..CommonResponse::default()
    }
}

/// Where the request goes: as fields for the caches and the caller's cluster, and as dynamic metadata.
pub fn placed(placement: &Placement) -> ProcessingResponse {
    let Placement {
        way,
        token,
        via,
        wait_ms,
        key,
        good_until,
        path,
    } = placement;
    let fetch = &way.fetch;
    let mut told: Vec<(&str, String)> = vec![
        (names::CACHE, way.cache.address.to_string()),
        (names::TOKEN, token.to_string()),
        (names::GOOD_UNTIL, good_until.to_string()),
        (names::VIA_ID, format!("{via:016x}")),
        (names::VIA_WAIT, wait_ms.to_string()),
    ];
    told.extend(key.map(|key| (names::VIA_TOKEN, key.to_string())));
    told.extend(
        way.source
            .as_ref()
            .map(|source| (names::FILL_FROM, source.name.to_string())),
    );
    told.extend(
        (fetch.retention_rank > 0).then(|| (names::KEEP, fetch.retention_rank.to_string())),
    );
    told.extend(bound_ms(fetch.max_age).map(|age| (names::MAX_AGE, age.to_string())));
    told.extend(bound_ms(fetch.timeout).map(|time| (names::TIME_OUT, time.to_string())));
    told.extend(
        Some(fetch.flags())
            .filter(|flags| !flags.is_empty())
            .map(|flags| (names::FLAGS, flags)),
    );
    let remove: Vec<&str> = names::OURS
        .into_iter()
        .filter(|name| !told.iter().any(|(n, _)| n == name))
        .collect();
    let mut metadata: HashMap<String, Value> = told
        .iter()
        .filter(|(name, _)| *name != names::VIA_TOKEN)
        .map(|(n, v)| (n.to_string(), string(v)))
        .collect();
    metadata.insert("cache".into(), string(&way.cache.name));
    let mut set: Vec<HeaderValueOption> = told
        .into_iter()
        .map(|(name, value)| field(name, value))
        .collect();
    set.extend(path.map(|path| field(":path", path.to_string())));
    // A route that was chosen by the former path is chosen anew.
    let common = CommonResponse {
        clear_route_cache: path.is_some(),
        ..common(set, &remove)
    };
    let own = Value {
        kind: Some(Kind::StructValue(Struct { fields: metadata })),
    };
    ProcessingResponse {
        dynamic_metadata: Some(Struct {
            fields: HashMap::from([(names::METADATA.to_string(), own)]),
        }),
        // The response's head is what is learned from; its body is nobody's business here.
        mode_override: Some(ProcessingMode {
            response_header_mode: HeaderSendMode::Send as i32,
            request_body_mode: BodySendMode::None as i32,
            response_body_mode: BodySendMode::None as i32,
            ..ProcessingMode::default()
        }),
        ..answer(Response::RequestHeaders(HeadersResponse {
            response: Some(common),
        }))
    }
}

fn string(text: &str) -> Value {
    Value {
        kind: Some(Kind::StringValue(text.to_string())),
    }
}

/// A request that no ask matches goes on as it is, without fields that only this front may set.
pub fn unplaced() -> ProcessingResponse {
    let common = common(Vec::new(), &names::OURS[..4]);
    answer(Response::RequestHeaders(HeadersResponse {
        response: Some(common),
    }))
}

/// The answer goes on to its client; with word of another try where the module would make one.
pub fn response(again: Option<&str>) -> ProcessingResponse {
    let common = match again {
        Some(token) => common(vec![field(names::AGAIN, token.to_string())], &[]),
        None => common(Vec::new(), &[names::AGAIN]),
    };
    answer(Response::ResponseHeaders(HeadersResponse {
        response: Some(common),
    }))
}

/// A decision takes longer: asks for so long from now on.
pub fn longer(patience_ms: u64) -> ProcessingResponse {
    let (seconds, nanos) = (
        (patience_ms / 1_000) as i64,
        (patience_ms % 1_000) as i32 * 1_000_000,
    );
    ProcessingResponse {
        override_message_timeout: Some(Duration { seconds, nanos }),
        ..ProcessingResponse::default()
    }
}

pub fn request_body() -> ProcessingResponse {
    answer(Response::RequestBody(BodyResponse::default()))
}

pub fn request_trailers() -> ProcessingResponse {
    answer(Response::RequestTrailers(TrailersResponse::default()))
}

pub fn response_body() -> ProcessingResponse {
    answer(Response::ResponseBody(BodyResponse::default()))
}

pub fn response_trailers() -> ProcessingResponse {
    answer(Response::ResponseTrailers(TrailersResponse::default()))
}

/// Whether callers take this field from a processor under their default rules.
pub fn settable(name: &str) -> bool {
    !matches!(name, "host" | ":method" | ":authority" | ":scheme") && !name.starts_with("x-envoy")
}

#[cfg(test)]
mod tests;
