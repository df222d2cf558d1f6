//! Decides whether a request that the core gives up is rejected or failed. The router has its own rule for the requests that
//! it gives up.

use crate::limits::RequestLimits;
use crate::metrics::Completion;
use crate::reason::Reason;
use crate::request::Response;
use crate::retry_after::Rejected;
use std::time::Duration;

/// Returns the final response of a request that the core gives up. The request is rejected if a retry is harmless, either
/// because no attempt may have executed, or because its class may be repeated at any server, which is known only if the
/// request has limits; otherwise it fails.
pub(crate) fn reject_or_fail(
    reason: Reason,
    retry_after: Duration,
    may_have_executed: bool,
    limits: Option<&RequestLimits>,
) -> (Completion, Response) {
    let retry_is_harmless =
        !may_have_executed || limits.is_some_and(RequestLimits::retry_is_harmless);
    if !retry_is_harmless {
        return (Completion::Failed(reason), Response::Failed);
    }
    (
        Completion::Rejected(reason),
        Response::Rejected(cap(retry_after, limits)),
    )
}

/// Returns the final response of a request that the router rejected.
pub(crate) fn rejected_by_router(
    Rejected { retry_after }: Rejected,
    limits: Option<&RequestLimits>,
) -> (Completion, Response) {
    (
        Completion::Rejected(Reason::Router),
        Response::Rejected(cap(retry_after, limits)),
    )
}

/// Caps the Retry-After to what the request's limits allow.
fn cap(retry_after: Duration, limits: Option<&RequestLimits>) -> Rejected {
    Rejected {
        retry_after: limits.map_or(retry_after, |limits| limits.cap_retry_after(retry_after)),
    }
}
