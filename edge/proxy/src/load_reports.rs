//! Reports and probes, where the settings have them: put between the desk and whoever makes attempts.

use foldmux::interface::Settings;
use foldmux_core::clock::span;
use foldmux_core::desk::{Notice, Probes};
use foldmux_core::{Desk, DeskHandle, Tries};
use foldmux_load_reports::{Beside, Setup};
use foldmux_upstream::probe::Prober;
use foldmux_upstream::{Reporting, Upstream};
use std::sync::Arc;

/// Whoever makes attempts, told of what answers report. Where the settings have neither reports nor probes, that is
/// `upstream` as it is: no thread, no lock and no notice more.
pub fn start(
    setup: Setup,
    settings: &Settings,
    desk: &mut Desk,
    handle: &DeskHandle,
    upstream: Upstream,
) -> Result<Box<dyn Tries>, String> {
    let Some(beside) = Beside::new(setup.clone(), settings) else {
        return Ok(Box::new(upstream));
    };
    let asks = setup.asks();
    let Setup {
        fields,
        in_answers,
        patience,
        ..
    } = setup;
    let prober = || {
        let (members, pool) = (upstream.members.clone(), upstream.pool.clone());
        let desk = handle.clone();
        let hears = move |cache, start, well, load| {
            desk.tell(Notice::Probed {
                cache,
                start,
                well,
                load,
            })
        };
        Prober::start(
            members,
            pool,
            Arc::new(hears),
            fields.clone(),
            span(patience),
        )
    };
    let prober = asks.then(prober).transpose()?;
    desk.report_to(
        beside,
        prober.map(|prober| Box::new(prober) as Box<dyn Probes>),
    );
    if !in_answers || fields.is_empty() {
        return Ok(Box::new(upstream));
    }
    let desk = handle.clone();
    let hears = move |cache, start, load| desk.tell(Notice::Load { cache, start, load });
    Ok(Box::new(Reporting {
        upstream,
        fields,
        hears: Box::new(hears),
    }))
}
