//! Load reports and health checks: connects the event loop and the upstream client, if the settings enable either.

use foldmux::interface::Settings;
use foldmux_core::messages::{Command, ProbeSender};
use foldmux_core::{EventLoop, EventLoopHandle, UpstreamClient};
use foldmux_load_reports::{RouterLoadReports, Setup};
use foldmux_upstream::probe::Prober;
use foldmux_upstream::{ReportingUpstream, Upstream};
use std::sync::Arc;
use std::time::Duration;

/// Starts health checks if they are configured, and returns the upstream client that forwards the load reports of
/// responses. If the settings enable neither, returns `upstream` unchanged, and adds no thread, lock or command.
///
/// # Errors
///
/// Returns an error if no thread can be created for the health checks.
pub fn start(
    setup: Setup,
    settings: &Settings,
    event_loop: &mut EventLoop,
    handle: &EventLoopHandle,
    upstream: Upstream,
) -> Result<Box<dyn UpstreamClient>, String> {
    let Some(reports) = RouterLoadReports::new(setup.clone(), settings) else {
        return Ok(Box::new(upstream));
    };
    let prober = match setup.probes_pay() {
        true => Some(start_prober(&setup, handle, &upstream)?),
        false => None,
    };
    event_loop.enable_load_reports(reports, prober);
    if !setup.in_responses || setup.fields.is_empty() {
        return Ok(Box::new(upstream));
    }
    let handle = handle.clone();
    let on_report = move |cache, incarnation, load| {
        handle.send(Command::LoadReport {
            cache,
            incarnation,
            load,
        })
    };
    Ok(Box::new(ReportingUpstream {
        upstream,
        fields: setup.fields,
        on_report: Box::new(on_report),
    }))
}

fn start_prober(
    setup: &Setup,
    handle: &EventLoopHandle,
    upstream: &Upstream,
) -> Result<Box<dyn ProbeSender>, String> {
    let handle = handle.clone();
    let on_probe = move |cache, incarnation, healthy, load| {
        handle.send(Command::ProbeResult {
            cache,
            incarnation,
            healthy,
            load,
        })
    };
    let prober = Prober::start(
        upstream.servers.clone(),
        upstream.pool.clone(),
        Arc::new(on_probe),
        setup.fields.clone(),
        Duration::from_micros(setup.probe_timeout),
    )?;
    Ok(Box::new(prober))
}
