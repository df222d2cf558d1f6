//! Health checks: `GET /stats` where the settings name fields of load reports, else `GET /ping`.
//!
//! Few at once, each bounded in time and bytes. None is sent to a server that drains, is gone or in maintenance, and a result
//! of one that came to be so meanwhile is dropped.

use crate::pool::Pool;
use crossbeam_channel::{bounded, Receiver, Sender};
use foldmux::interface::CacheId;
use foldmux_core::messages::ProbeSender;
use foldmux_core::servers::{Incarnation, Server, ServerList};
use foldmux_http1::answer::MOST_HEAD;
use foldmux_http1::io::write_all;
use foldmux_http1::read_response;
use foldmux_http1::reuse::REUSE_DELAY;
use foldmux_load_reports::{Fields, Load};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// Most health checks in flight.
pub const MAX_PROBES: usize = 2;
/// Most health checks that wait; any more are not sent.
pub const MAX_QUEUED_PROBES: usize = 4;
/// Longest response (bytes): a head, and as much again for the body.
const MAX_RESPONSE: usize = 2 * MOST_HEAD;
const STACK: usize = 64 * 1024;

/// Receives the result of a health check: whether the server is healthy, and its load report, empty where it gave none.
pub type OnProbeResult = Arc<dyn Fn(CacheId, Incarnation, bool, Load) + Send + Sync>;

/// What health checks need; each thread has handles of its own.
#[derive(Clone)]
struct ProbeContext {
    servers: Arc<ServerList>,
    pool: Arc<Pool>,
    on_result: OnProbeResult,
    fields: Fields,
    timeout: Duration,
}

/// Sends health checks from threads of its own, which end with it.
pub struct Prober(Sender<(CacheId, Incarnation)>);

impl Prober {
    /// Starts the threads. `timeout` bounds one health check, with its dial.
    ///
    /// # Errors
    ///
    /// Where no thread can be had.
    pub fn start(
        servers: Arc<ServerList>,
        pool: Arc<Pool>,
        on_result: OnProbeResult,
        fields: Fields,
        timeout: Duration,
    ) -> Result<Prober, String> {
        let (sender, requests) = bounded(MAX_QUEUED_PROBES);
        let context = ProbeContext {
            servers,
            pool,
            on_result,
            fields,
            timeout,
        };
        for _ in 0..MAX_PROBES {
            let (context, requests) = (context.clone(), requests.clone());
            let thread = thread::Builder::new()
                .name("probe".to_string())
                .stack_size(STACK);
            thread
                .spawn(move || serve(&context, &requests))
                .map_err(|e| format!("thread probe: {e}"))?;
        }
        Ok(Prober(sender))
    }

    /// Queues a health check without waiting; false where the queue is full.
    pub fn try_probe(&self, cache: CacheId, incarnation: Incarnation) -> bool {
        self.0.try_send((cache, incarnation)).is_ok()
    }
}

impl ProbeSender for Prober {
    fn probe(&self, cache: CacheId, incarnation: Incarnation) {
        self.try_probe(cache, incarnation);
    }
}

fn serve(context: &ProbeContext, requests: &Receiver<(CacheId, Incarnation)>) {
    let mut buffer = vec![0; MAX_RESPONSE];
    for (cache, incarnation) in requests {
        let result = probe_once(
            context,
            cache,
            incarnation,
            Instant::now() + context.timeout,
            &mut buffer,
        );
        // The response may have crossed a drain or a restart.
        if !context.servers.accepts(cache, incarnation) {
            continue;
        }
        let (healthy, load) = result.unwrap_or((false, Load::default()));
        (context.on_result)(cache, incarnation, healthy, load);
    }
}

/// Whether the server is healthy, and its report; `None` without a readable response in time.
fn probe_once(
    context: &ProbeContext,
    cache: CacheId,
    incarnation: Incarnation,
    until: Instant,
    buffer: &mut [u8],
) -> Option<(bool, Load)> {
    let Server { address, .. } = context.servers.get_accepting(cache, Some(incarnation))?;
    let mut connection = context.pool.acquire(cache, incarnation, REUSE_DELAY)?;
    let stream = connection.stream(context.timeout).ok()?;
    // The endpoint list may have changed while dialling.
    context.servers.get_accepting(cache, Some(incarnation))?;
    let path = if context.fields.is_empty() {
        "ping"
    } else {
        "stats"
    };
    let head = format!("GET /{path} HTTP/1.1\r\nHost: {address}\r\n\r\n");
    write_all(&stream, &[head.as_bytes()], until).ok()?;
    let response = read_response(&stream, buffer, until).ok()?;
    connection.reusable = response.reusable;
    connection.has_surplus = response.has_surplus;
    let load = response
        .load
        .map_or(Load::default(), |at| context.fields.read(&buffer[at]));
    Some((response.status == 200, load))
}
