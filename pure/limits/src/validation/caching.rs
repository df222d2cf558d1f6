//! Rules of what caches may keep and serve.

use super::{Rule, Scope};
use crate::effective::{Field, MAX_RETENTION_RANK};

pub(super) fn check_values(scope: &mut Scope) {
    let stale_ms = scope.values().max_stale_ms;
    let slack_ms = scope.account().purge_slack_ms;
    if stale_ms > slack_ms {
        let subject = format!("stale {stale_ms} ms, purgeSlack {slack_ms} ms");
        scope.add(Rule::StaleTooLong, &[Field::MaxStale], subject);
    }
    let rank = scope.values().retention_rank;
    if rank > MAX_RETENTION_RANK {
        let subject = format!("keep {rank}");
        scope.add(Rule::UnknownRetentionRank, &[Field::RetentionRank], subject);
    }
}

/// The age of a copy is judged before the wait in the queue, and the copy is served after it.
pub(super) fn check_stale_after_wait(scope: &mut Scope) {
    let values = scope.values();
    let slack_ms = scope.account().purge_slack_ms;
    let oldest_ms = values.max_stale_ms + values.queue_timeout_ms;
    if values.queue_capacity > 0 && oldest_ms > slack_ms {
        let subject = format!(
            "stale {} ms and a wait of {} ms, purgeSlack {slack_ms} ms",
            values.max_stale_ms, values.queue_timeout_ms
        );
        let fields = [Field::MaxStale, Field::QueueTimeout];
        scope.add_for_class(Rule::StaleAfterQueue, &fields, subject);
    }
}
