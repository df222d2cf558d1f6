//! Probes: `GET /stats` where the settings name fields of reports, else `GET /ping`. Few at once, each bounded in time and
//! bytes; none to a member that drains, is gone or is out by hand, and no word of one that came to be so meanwhile.

use crate::pool::Pool;
use crossbeam_channel::{bounded, Receiver, Sender};
use foldmux::interface::CacheId;
use foldmux_core::messages::ProbeSender;
use foldmux_core::servers::{Incarnation, Server, ServerList};
use foldmux_http1::answer::MOST_HEAD;
use foldmux_http1::io::write_all;
use foldmux_http1::read_response;
use foldmux_load_reports::{Fields, Load};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// Probes under way at once, and those that wait for a place; what is beyond is not sent.
pub const PLACES: usize = 2;
pub const QUEUE: usize = 4;
/// Longest answer: its head, and as much again. Either sort has no body worth the name.
const MOST: usize = 2 * MOST_HEAD;
const STACK: usize = 64 * 1024;

/// Hears what a start of a member said to a probe: whether it is well, and its report; empty where it gave none.
pub type Hears = Arc<dyn Fn(CacheId, Incarnation, bool, Load) + Send + Sync>;

/// What probes need; each thread has its own handles on it.
#[derive(Clone)]
struct Means {
    members: Arc<ServerList>,
    pool: Arc<Pool>,
    hears: Hears,
    fields: Fields,
    patience: Duration,
}

/// Takes orders to probe and never waits; its threads end with it.
pub struct Prober(Sender<(CacheId, Incarnation)>);

impl Prober {
    /// `patience`: the longest that one may take, its dial too.
    pub fn start(
        members: Arc<ServerList>,
        pool: Arc<Pool>,
        hears: Hears,
        fields: Fields,
        patience: Duration,
    ) -> Result<Prober, String> {
        let (sender, orders) = bounded(QUEUE);
        let means = Means {
            members,
            pool,
            hears,
            fields,
            patience,
        };
        for _ in 0..PLACES {
            let (means, orders) = (means.clone(), orders.clone());
            let thread = thread::Builder::new()
                .name("probe".to_string())
                .stack_size(STACK);
            thread
                .spawn(move || serve(&means, &orders))
                .map_err(|e| format!("thread probe: {e}"))?;
        }
        Ok(Prober(sender))
    }

    /// Whether there was room for it.
    pub fn order(&self, cache: CacheId, start: Incarnation) -> bool {
        self.0.try_send((cache, start)).is_ok()
    }
}

impl ProbeSender for Prober {
    fn probe(&self, cache: CacheId, start: Incarnation) {
        self.order(cache, start);
    }
}

fn serve(means: &Means, orders: &Receiver<(CacheId, Incarnation)>) {
    let mut buffer = vec![0; MOST];
    for (cache, start) in orders {
        let heard = one(
            means,
            cache,
            start,
            Instant::now() + means.patience,
            &mut buffer,
        );
        // Guards against an answer that crossed a drain: it is of a process that takes no work any more.
        if !means.members.accepts(cache, start) {
            continue;
        }
        let (well, load) = heard.unwrap_or((false, Load::default()));
        (means.hears)(cache, start, well, load);
    }
}

/// Whether the cache said that it is well, and its report; none where it gave no answer that can be read in time.
fn one(
    means: &Means,
    cache: CacheId,
    start: Incarnation,
    until: Instant,
    buffer: &mut [u8],
) -> Option<(bool, Load)> {
    let Server { address, .. } = means.members.get_accepting(cache, Some(start))?;
    let mut loan = means.pool.lend(cache, start)?;
    let stream = loan.stream(means.patience).ok()?;
    // Dialling took time, and the list may have changed in it.
    means.members.get_accepting(cache, Some(start))?;
    let path = if means.fields.is_empty() {
        "ping"
    } else {
        "stats"
    };
    let head = format!("GET /{path} HTTP/1.1\r\nHost: {address}\r\n\r\n");
    write_all(&stream, &[head.as_bytes()], until).ok()?;
    let response = read_response(&stream, buffer, until).ok()?;
    loan.reusable = response.reusable;
    let load = response
        .load
        .map_or(Load::default(), |at| means.fields.read(&buffer[at]));
    Some((response.status == 200, load))
}
