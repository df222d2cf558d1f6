//! The external processor (`envoy.service.ext_proc.v3`): another proxy asks once for each request, sends it where it
//! is told, and lets this front hear how it ended.
//!
//! Owns: its gRPC streams and the runtime that they run on ([`serve`]), the life of each ([`life`], its decision in `place`), ways that were
//! chosen for a caller's next attempt ([`parked`]), what is known of keyed attempts ([`keyed`]). Pure, in modules of
//! their own: the order of messages ([`exchange`]), what a request asks for ([`mapping`]), what a response proves
//! ([`outcome`]), the messages that go back ([`answers`]).
//!
//! May not: choose a server, or decide whether a request is tried again or turned away: the module does, by the core.
//! The runtime is started by [`serve::Bound::serve`] alone, with the threads that the operator's file gives it.

pub mod answers;
mod attempt;
pub mod check;
pub mod exchange;
mod front;
pub mod keyed;
pub mod life;
pub mod mapping;
mod next;
pub mod outcome;
pub mod parked;
mod place;
pub mod reflect;
pub mod serve;

/// The protocol's types, as the library generated them.
pub mod pb {
    pub use envoy_types::pb::envoy::config::core::v3::{
        header_value_option::HeaderAppendAction, HeaderMap, HeaderValue, HeaderValueOption,
    };
    pub use envoy_types::pb::envoy::extensions::filters::http::ext_proc::v3::{
        processing_mode::{BodySendMode, HeaderSendMode},
        ProcessingMode,
    };
    pub use envoy_types::pb::envoy::r#type::v3::HttpStatus;
    pub use envoy_types::pb::envoy::service::ext_proc::v3::{
        common_response::ResponseStatus, external_processor_client, external_processor_server,
        processing_request::Request, processing_response::Response, BodyResponse, CommonResponse,
        HeaderMutation, HeadersResponse, HttpBody, HttpHeaders, HttpTrailers, ImmediateResponse,
        ProcessingRequest, ProcessingResponse, ProtocolConfiguration, TrailersResponse,
    };
    pub use envoy_types::pb::google::protobuf::{value::Kind, Duration, Struct, Value};
}

/// Names of fields that this front reads and writes beside those of the caches.
pub mod names {
    /// Where the request goes, IP:PORT: for `http_header_name` of an original-destination cluster.
    pub const CACHE: &str = "x-foldmux-cache";
    /// The attempt's token: shown by a repeat.
    pub const TOKEN: &str = "x-foldmux-attempt";
    /// On an answer: the module would try again; the value is the token to show.
    pub const AGAIN: &str = "x-foldmux-again";
    /// Until when (Unix ms) the request may be sent there.
    pub const GOOD_UNTIL: &str = "x-foldmux-good-until-ms";
    /// The module waits no longer than this (ms) for the answer, where it says so.
    pub const TIME_OUT: &str = "x-foldmux-time-out-ms";
    /// With a refusal: when to come back, finer than `Retry-After` can say it.
    pub const WAIT: &str = "x-foldmux-wait-ms";
    pub const GROUP: &str = "x-foldmux-group";
    pub const SIZE: &str = "x-foldmux-size-kb";
    /// Fields of the caches' requests.
    pub const VIA_ID: &str = "via-id";
    pub const VIA_WAIT: &str = "via-wait";
    pub const VIA_TOKEN: &str = "via-token";
    pub const FILL_FROM: &str = "x-fill-from";
    pub const KEEP: &str = "x-keep";
    pub const MAX_AGE: &str = "x-max-age-ms";
    pub const FLAGS: &str = "x-flags";
    /// Of a request that is placed, those that are not set are removed: a client's own must not reach a cache.
    pub const OURS: [&str; 12] = [
        CACHE, TOKEN, GOOD_UNTIL, TIME_OUT, VIA_ID, VIA_WAIT, VIA_TOKEN, FILL_FROM, KEEP, MAX_AGE,
        FLAGS, AGAIN,
    ];
    /// The namespace of dynamic metadata.
    pub const METADATA: &str = "foldmux";
}
