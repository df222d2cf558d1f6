//! Rules of the queue of requests that wait for capacity.

use super::{Rule, Scope};
use crate::effective::Field;

pub(super) fn check_values(scope: &mut Scope) {
    let values = scope.values();
    let (capacity, timeout_ms) = (values.queue_capacity, values.queue_timeout_ms);
    if capacity > 0 && timeout_ms == 0 {
        let fields = [Field::QueueCapacity, Field::QueueTimeout];
        let subject = format!("queue {capacity}");
        scope.add(Rule::QueueWithoutTimeout, &fields, subject);
    }
    if capacity == 0 && timeout_ms > 0 {
        let fields = [Field::QueueTimeout, Field::QueueCapacity];
        let subject = format!("age {timeout_ms} ms");
        scope.add(Rule::TimeoutWithoutQueue, &fields, subject);
    }
    if capacity > 0 && values.concurrency.is_none() {
        let fields = [Field::QueueCapacity, Field::Concurrency];
        let subject = format!("queue {capacity}");
        scope.add(Rule::QueueWithoutConcurrency, &fields, subject);
    }
    if timeout_ms >= values.deadline_ms {
        let fields = [Field::QueueTimeout, Field::Deadline];
        let subject = format!("age {timeout_ms} ms, deadline {} ms", values.deadline_ms);
        scope.add(Rule::QueueTimeoutPastDeadline, &fields, subject);
    }
}

/// After the longest wait there must be time for one attempt: its timeout, or without one the latency objective.
pub(super) fn check_time_left(scope: &mut Scope) {
    let values = scope.values();
    let attempt_ms = match values.attempt_timeout_ms {
        0 => scope.class().objective_ms.min(values.deadline_ms),
        timeout_ms => timeout_ms,
    };
    let needed_ms = values.queue_timeout_ms + attempt_ms;
    if values.queue_capacity > 0 && needed_ms > values.deadline_ms {
        let subject = format!(
            "waits {} ms, one attempt {attempt_ms} ms, deadline {} ms",
            values.queue_timeout_ms, values.deadline_ms
        );
        let fields = [Field::QueueTimeout, Field::AttemptTimeout, Field::Deadline];
        scope.add_for_class(Rule::NoTimeAfterQueue, &fields, subject);
    }
}
