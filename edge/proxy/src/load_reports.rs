//! Load reports and health checks, where the settings have them: connected between the event loop and the upstream client.

use foldmux::interface::Settings;
use foldmux_core::clock::span;
use foldmux_core::desk::{Notice, Probes};
use foldmux_core::{Desk, DeskHandle, Tries};
use foldmux_load_reports::{Beside, Setup};
use foldmux_upstream::probe::Prober;
use foldmux_upstream::{Reporting, Upstream};
use std::sync::Arc;

/// Starts health checks where they are configured, and returns the upstream client, which forwards the load reports of
/// responses. Where the settings have neither, that is `upstream` unchanged: no thread, lock or notice is added.
///
/// # Errors
///
/// Where no thread can be had for the health checks.
pub fn start(
    setup: Setup,
    settings: &Settings,
    event_loop: &mut Desk,
    handle: &DeskHandle,
    upstream: Upstream,
) -> Result<Box<dyn Tries>, String> {
    let Some(reports) = Beside::new(setup.clone(), settings) else {
        return Ok(Box::new(upstream));
    };
    let prober = match setup.asks() {
        true => Some(start_prober(&setup, handle, &upstream)?),
        false => None,
    };
    event_loop.report_to(reports, prober);
    if !setup.in_answers || setup.fields.is_empty() {
        return Ok(Box::new(upstream));
    }
    let handle = handle.clone();
    let on_report = move |cache, start, load| handle.tell(Notice::Load { cache, start, load });
    Ok(Box::new(Reporting {
        upstream,
        fields: setup.fields,
        hears: Box::new(on_report),
    }))
}

fn start_prober(
    setup: &Setup,
    handle: &DeskHandle,
    upstream: &Upstream,
) -> Result<Box<dyn Probes>, String> {
    let handle = handle.clone();
    let on_probe = move |cache, start, well, load| {
        handle.tell(Notice::Probed {
            cache,
            start,
            well,
            load,
        })
    };
    let prober = Prober::start(
        upstream.members.clone(),
        upstream.pool.clone(),
        Arc::new(on_probe),
        setup.fields.clone(),
        span(setup.patience),
    )?;
    Ok(Box::new(prober))
}
