//! The upstream client: attempts at caches, parents and the origin over HTTP/1.1, one request at a time on a connection.
//!
//! [`pool`] has the connections, `attempt` makes one attempt, `head` writes its request, `proof` says what its end proves, and
//! [`probe`] sends health checks. It implements the core's [`UpstreamClient`]: it selects no server, retries nothing, and keeps
//! nothing of a request once its attempt has returned.
#![warn(missing_docs)]

mod attempt;
mod head;
mod proof;

pub mod pool;
pub mod probe;

use foldmux::interface::{CacheId, Outcome};
use foldmux_core::attempt::{Attempt, Payload, UpstreamClient};
use foldmux_core::buffers::Buffer;
use foldmux_core::clock::Clock;
use foldmux_core::purges::RecentPurges;
use foldmux_core::servers::{Incarnation, ServerList};
use foldmux_load_reports::{Fields, Load};
use pool::Pool;
use std::sync::Arc;
use std::time::Duration;

/// The upstream client.
pub struct Upstream {
    /// Which servers accept requests.
    pub servers: Arc<ServerList>,
    /// The connections.
    pub pool: Arc<Pool>,
    /// The purges, looked up right before a request's first byte.
    pub purges: Arc<RecentPurges>,
    /// The router's clock.
    pub clock: Clock,
    /// Bounds one dial.
    pub dial_timeout: Duration,
}

/// The upstream client where responses carry load reports.
pub struct ReportingUpstream {
    /// Makes the attempts.
    pub upstream: Upstream,
    /// The fields of a report.
    pub fields: Fields,
    /// Receives each report with the incarnation that made it.
    pub on_report: Box<dyn Fn(CacheId, Incarnation, Load) + Send + Sync>,
}

/// Receives the report of an incarnation of a cache, as the response carries it.
type OnReport<'a> = &'a dyn Fn(CacheId, Incarnation, &[u8]);

impl UpstreamClient for Upstream {
    /// Makes the attempt; everything it held is released when this returns.
    fn attempt(&self, attempt: &Attempt, buffer: &mut Buffer) -> (Outcome, Option<Payload>) {
        self.make_attempt(attempt, buffer, &|_, _, _| ())
    }
}

impl UpstreamClient for ReportingUpstream {
    /// A report never changes the outcome.
    fn attempt(&self, attempt: &Attempt, buffer: &mut Buffer) -> (Outcome, Option<Payload>) {
        self.upstream
            .make_attempt(attempt, buffer, &|cache, incarnation, load| {
                (self.on_report)(cache, incarnation, self.fields.read(load));
            })
    }
}
