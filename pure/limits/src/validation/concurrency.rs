//! Rules of the bounds on requests in flight.

use super::{add_lines, locations, Report, Rule, Scope};
use crate::concurrency::ConcurrencyLimit;
use crate::effective::Field;
use crate::resolve::{LimitSet, ResolvedLimits};

pub(super) fn check_values(scope: &mut Scope) {
    let capacity = scope.account().request_capacity();
    match scope.values().concurrency {
        Some(ConcurrencyLimit::Adaptive { min, max }) if min == 0 || min > max => {
            let subject = format!("places {min} to {max}");
            scope.add(Rule::InvalidConcurrency, &[Field::Concurrency], subject);
        }
        Some(limit) if limit.max() > capacity => {
            let subject = format!("places {}, capacity for {capacity}", limit.max());
            scope.add(Rule::CapacityExceeded, &[Field::Concurrency], subject);
        }
        _ => {}
    }
    let queue = scope.values().queue_capacity;
    if queue > capacity {
        let subject = format!("queue {queue}, capacity for {capacity}");
        scope.add(Rule::CapacityExceeded, &[Field::QueueCapacity], subject);
    }
}

/// Checks the sum over all pools, which can be full at once; a queued request holds its buffers too.
pub(super) fn check_total(report: &mut Report, limits: &LimitSet) {
    let bounded: Vec<&ResolvedLimits> = limits
        .iter()
        .map(|resolved| &**resolved)
        .filter(|resolved| resolved.values.concurrency.is_some())
        .collect();
    let total: u64 = bounded.iter().map(|resolved| requests(resolved)).sum();
    let capacity = report.account.request_capacity();
    if total <= capacity {
        return;
    }
    let mut lines = Vec::new();
    for resolved in &bounded {
        let more = locations(resolved, &[Field::Concurrency, Field::QueueCapacity]);
        add_lines(&mut lines, more);
    }
    let subject = format!(
        "{total} places and queued requests in {} classes and routes, capacity for {capacity}",
        bounded.len()
    );
    report.add(Rule::TotalCapacityExceeded, lines, subject);
}

/// Requests that one pool can hold.
fn requests(resolved: &ResolvedLimits) -> u64 {
    let in_flight = resolved.values.concurrency.map_or(0, ConcurrencyLimit::max);
    in_flight + resolved.values.queue_capacity
}
