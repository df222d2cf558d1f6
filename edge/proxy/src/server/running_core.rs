//! Phase 2: builds the core, and starts the event loop that decides for every request.

use super::checked::CheckedSetup;
use super::error::StartError;
use crate::load_reports;
use crate::reload::dns_classes;
use foldmux::interface::RetrySafety;
use foldmux::Router;
use foldmux_core::buffers::BufferPool;
use foldmux_core::limits::Limiter;
use foldmux_core::retry_after::own_retry_after;
use foldmux_core::{Core, CoreSetup, EventLoop};
use foldmux_fronts::listen::named;
use foldmux_limits::resolve::LimitSet;
use foldmux_settings::Decoded;
use foldmux_upstream::{pool::Pool, Upstream};
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::sync::Arc;
use std::time::Duration;

/// Stack of the event loop's thread (bytes).
const EVENT_LOOP_STACK: usize = 512 * 1024;
/// Exit code of the process when its event loop has ended.
const EVENT_LOOP_ENDED: i32 = 3;

/// The core, whose event loop runs, and the pool of connections to pop caches.
pub(super) struct RunningCore {
    pub(super) core: Arc<Core>,
    pub(super) pool: Arc<Pool>,
}

impl RunningCore {
    /// Builds the core, starts the DNS front if it is configured, and starts the event loop's thread.
    pub(super) fn start(checked: &mut CheckedSetup) -> Result<RunningCore, StartError> {
        let decoded = &checked.config.decoded;
        let idle_timeout = Duration::from_micros(decoded.keep_alive);
        let pool = Pool::new(checked.config.bounds.upstream, idle_timeout);
        let (mut event_loop, core) = build_core(checked, &pool)?;
        if let Some(limits) = checked.limits.take() {
            enforce_limits(&core, limits, decoded);
        }
        if let Some(mut dns) = checked.dns.take() {
            let serial = dns.notify(&mut event_loop)?;
            dns.serve(
                core.clone(),
                dns_classes(&checked.classes),
                serial,
                checked.config.bounds.dns,
            )?;
        }
        named("event-loop", EVENT_LOOP_STACK, move || {
            run_event_loop(event_loop)
        })?;
        Ok(RunningCore { core, pool })
    }
}

/// Builds the event loop, which doesn't run yet, and the core that all requests share.
fn build_core(
    checked: &CheckedSetup,
    pool: &Arc<Pool>,
) -> Result<(EventLoop, Arc<Core>), StartError> {
    let (config, clock, servers) = (&checked.config, &checked.clock, &checked.servers);
    let (decoded, settings) = (&config.decoded, &config.decoded.settings);
    let router = Router::new(settings.clone(), config.seed);
    let (mut event_loop, handle) = EventLoop::new(router, clock.clone(), servers.clone());
    let connections = pool.clone();
    event_loop.on_incarnation_ended(move |former| connections.discard(former.member.cache));
    let upstream = Upstream {
        servers: servers.clone(),
        pool: pool.clone(),
        purges: handle.purges().clone(),
        clock: clock.clone(),
        dial_timeout: Duration::from_micros(decoded.dial_time_out),
    };
    let reports = decoded.reports.clone();
    let upstream = load_reports::start(reports, settings, &mut event_loop, &handle, upstream)?;
    let core = Core::new(CoreSetup {
        event_loop: handle,
        clock: clock.clone(),
        buffers: BufferPool::new(config.bounds.buffers),
        servers: servers.clone(),
        upstream,
        retry_after: own_retry_after(settings),
        warm_up: Duration::from_micros(settings.longest_slow_start()),
        max_open: config.bounds.open,
    });
    Ok((event_loop, core))
}

fn enforce_limits(core: &Core, limits: LimitSet, decoded: &Decoded) {
    let settings = &decoded.settings;
    let retry_safety: Vec<RetrySafety> = settings
        .classes
        .iter()
        .map(|class| class.retry_safety)
        .collect();
    let own_zone = decoded
        .zones
        .get(settings.zone)
        .cloned()
        .unwrap_or_default();
    let limiter = Limiter::new(limits, core.clock.clone(), own_zone, retry_safety);
    let _ = core.limiter.set(limiter);
}

/// Runs the event loop, which ends only by a panic. Without it no request can be routed, so the process exits and the
/// platform starts another.
fn run_event_loop(event_loop: EventLoop) {
    let _ = catch_unwind(AssertUnwindSafe(|| event_loop.run()));
    eprintln!("foldmux: the event loop has ended; exiting");
    std::process::exit(EVENT_LOOP_ENDED);
}
