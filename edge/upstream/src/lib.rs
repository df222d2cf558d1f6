//! One attempt at a pop cache, a parent or the origin, over HTTP/1.1 with one request at a time.
//!
//! Owns: the connections to them ([`pool`]), the attempt itself ([`attempt`]), what an answer proves and reports, and the
//! probes ([`probe`]). May not: choose a cache, repeat an attempt, or hold anything of a request once its attempt has
//! returned. It implements the core's [`UpstreamClient`].

mod attempt;
mod head;
mod proof;

pub mod pool;
pub mod probe;

use foldmux::interface::{CacheId, Outcome};
use foldmux_core::attempt::{Attempt, Payload, UpstreamClient};
use foldmux_core::clock::Clock;
use foldmux_core::servers::{Incarnation, ServerList};
use foldmux_load_reports::{Fields, Load};
use pool::Pool;
use std::sync::Arc;
use std::time::Duration;

pub struct Upstream {
    pub members: Arc<ServerList>,
    pub pool: Arc<Pool>,
    pub clock: Clock,
    pub dial_time_out: Duration,
}

/// The same where answers carry reports: their fields, and who hears them.
pub struct Reporting {
    pub upstream: Upstream,
    pub fields: Fields,
    pub hears: Box<dyn Fn(CacheId, Incarnation, Load) + Send + Sync>,
}

/// Hears what a start of a cache reported, as it stands in the answer.
type Hears<'a> = &'a dyn Fn(CacheId, Incarnation, &[u8]);

impl UpstreamClient for Upstream {
    /// Makes the attempt and says how it ended; whatever it held is given back when this returns.
    fn attempt(&self, attempt: &Attempt, buffer: &mut [u8]) -> (Outcome, Option<Payload>) {
        self.ended(attempt, buffer, &|_, _, _| ())
    }
}

impl UpstreamClient for Reporting {
    /// Whatever stands in the report, the answer is what it is.
    fn attempt(&self, attempt: &Attempt, buffer: &mut [u8]) -> (Outcome, Option<Payload>) {
        self.upstream.ended(attempt, buffer, &|cache, start, load| {
            (self.hears)(cache, start, self.fields.read(load));
        })
    }
}
