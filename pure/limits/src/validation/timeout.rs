//! Rules of the deadline and of the timeout of one attempt.

use super::{Rule, Scope};
use crate::effective::Field;

/// Returns false if the deadline leaves no time at all.
pub(super) fn check_deadline(scope: &mut Scope) -> bool {
    let deadline_ms = scope.values().deadline_ms;
    let account_ms = scope.class().deadline_ms;
    if deadline_ms > account_ms {
        let subject = format!("deadline {deadline_ms} ms, the account's {account_ms} ms");
        scope.add(Rule::DeadlineTooLong, &[Field::Deadline], subject);
    }
    let slack_ms = scope.account().answer_slack_ms;
    if deadline_ms <= slack_ms {
        let subject = format!("deadline {deadline_ms} ms, slack {slack_ms} ms");
        scope.add(Rule::DeadlineTooShort, &[Field::Deadline], subject);
        return false;
    }
    true
}

pub(super) fn check_attempt(scope: &mut Scope) {
    let timeout_ms = scope.values().attempt_timeout_ms;
    let deadline_ms = scope.values().deadline_ms;
    if timeout_ms > deadline_ms {
        let subject = format!("attempt {timeout_ms} ms, deadline {deadline_ms} ms");
        let fields = [Field::AttemptTimeout, Field::Deadline];
        scope.add(Rule::AttemptPastDeadline, &fields, subject);
    }
}
