//! Logs at a fixed interval how many requests ended in which way.

use foldmux_core::Core;
use foldmux_fronts::listen::{named, READER_STACK};
use foldmux_upstream::pool::Pool;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

const LOG_INTERVAL: Duration = Duration::from_secs(5);

/// Starts the thread that logs. It also closes the pool's idle connections, because without a journal service nothing
/// else does.
pub(super) fn start(core: Arc<Core>, pool: Arc<Pool>) -> Result<(), String> {
    named("outcome-log", READER_STACK, move || loop {
        thread::sleep(LOG_INTERVAL);
        pool.sweep();
        log_outcomes(&core);
    })?;
    Ok(())
}

fn log_outcomes(core: &Core) {
    if let Some(outcomes) = core.metrics.take_summary() {
        tracing::info!("{outcomes}; {} in flight", core.open_requests());
    }
    if let Some(reasons) = core.metrics.take_reasons_summary() {
        tracing::info!("rejected or failed: {reasons}");
    }
    let suppressed = core.unserved_log.take_withheld();
    if suppressed > 0 {
        tracing::info!("{suppressed} lines of requests that were rejected or failed are left out");
    }
}
