//! What a token that a caller shows adds to what is known here.

use super::{Entry, Refusal, Rule};
use crate::token::Token;

/// Whether an entry is of the attempt that a token is of. Guards against two attempts of one number: a caller that got no
/// answer at one instance asks another, which begins to count anew.
pub(super) fn is_of(entry: &Entry, token: &Token) -> bool {
    (entry.attempt, entry.request) == (token.attempt, token.request)
}

/// What is known here and what a token tells of another attempt: both may have run, and both may be running. Where that
/// is in two groups, no repeat is safe.
pub(super) fn merged(entry: &Entry, token: &Token, rule: &Rule) -> Result<Entry, Refusal> {
    let other = of_token(token, rule);
    let ran = entry
        .ran
        .or(entry.out.then_some((entry.handed, entry.group)));
    if ran.is_some_and(|(_, group)| group != token.group) {
        return Err(Refusal::Torn);
    }
    let first = ran.map_or(token.first, |(at, _)| at.min(token.first));
    let quiet_at = other
        .quiet_at
        .max(if entry.out { entry.quiet_at } else { 0 });
    let forget_at = other.forget_at.max(entry.forget_at);
    Ok(Entry {
        ran: Some((first, token.group)),
        quiet_at,
        forget_at,
        ..other
    })
}

/// What a token alone tells: its attempt was handed out, and nothing is known of its end.
pub(super) fn of_token(token: &Token, rule: &Rule) -> Entry {
    Entry {
        attempt: token.attempt,
        out: true,
        quiet_at: token.expires.saturating_add(rule.runs_for),
        ran: Some((token.first, token.group)),
        request: token.request,
        group: token.group,
        handed: token.first,
        forget_at: token
            .expires
            .saturating_add(rule.runs_for)
            .saturating_add(rule.remember),
    }
}
