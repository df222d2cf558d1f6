//! Reconciles a token that a caller presents with the table's entry of the key.

use super::{Denied, Entry, RetryPolicy};
use crate::token::Token;

/// Returns whether entry and token are of the same attempt. The number alone does not tell: a caller that got no response
/// from one instance asks another, which counts from 0.
pub(super) fn is_same_attempt(entry: &Entry, token: &Token) -> bool {
    (entry.attempt, entry.request) == (token.attempt, token.request)
}

/// Merges the entry with another attempt, which a token proves. Both may have been executed, and both may be running.
///
/// # Errors
///
/// Returns [`Denied::ConflictingGroups`] if they are in two groups, since then no retry is safe.
pub(super) fn merge(entry: &Entry, token: &Token, policy: &RetryPolicy) -> Result<Entry, Denied> {
    let from_token = entry_from_token(token, policy);
    let first_run = entry
        .may_have_run
        .or(entry.in_flight.then_some((entry.issued_at, entry.group)));
    if first_run.is_some_and(|(_, group)| group != token.group) {
        return Err(Denied::ConflictingGroups);
    }
    let first = first_run.map_or(token.first, |(at, _)| at.min(token.first));
    let running_until = from_token.running_until.max(if entry.in_flight {
        entry.running_until
    } else {
        0
    });
    let evict_at = from_token.evict_at.max(entry.evict_at);
    Ok(Entry {
        may_have_run: Some((first, token.group)),
        running_until,
        evict_at,
        ..from_token
    })
}

/// Returns the entry that a token alone proves: its attempt was issued, and its end is unknown.
pub(super) fn entry_from_token(token: &Token, policy: &RetryPolicy) -> Entry {
    Entry {
        attempt: token.attempt,
        in_flight: true,
        running_until: token.expires.saturating_add(policy.max_run_time),
        may_have_run: Some((token.first, token.group)),
        request: token.request,
        group: token.group,
        issued_at: token.first,
        evict_at: token
            .expires
            .saturating_add(policy.max_run_time)
            .saturating_add(policy.retention),
    }
}
