//! The head of a request to a cache, made right before its first byte is written. The platform's header names stand here.

use crate::Upstream;
use foldmux::interface::{bound_ms, Fetch};
use foldmux_core::attempt::Attempt;
use foldmux_core::request::ClientRequest;
use std::fmt::Write as _;
use std::time::Instant;

impl Upstream {
    /// The router's decision, with the age of the copy bounded by purges that were told since: the attempt may have waited for
    /// a backoff, a permit or its connection.
    fn with_current_purges(&self, attempt: &Attempt) -> Fetch {
        let mut fetch = attempt.fetch.clone();
        let ClientRequest { object, group, .. } = *attempt.request;
        self.purges
            .limit(&mut fetch, self.clock.now(), object, group);
        fetch
    }

    /// The request's head, or `None` where it must not be sent any more.
    pub(crate) fn head(&self, attempt: &Attempt, until: Instant) -> Option<String> {
        let Attempt {
            request, target, ..
        } = attempt;
        let fetch = &self.with_current_purges(attempt);
        let cache = target
            .cache
            .filter(|incarnation| self.servers.accepts(fetch.cache, *incarnation))?;
        let mut source = None;
        if fetch.source != fetch.cache {
            target
                .source
                .filter(|incarnation| self.servers.accepts(fetch.source, *incarnation))?;
            source = Some(self.servers.get(fetch.source)?.name);
        }
        let wait = until.saturating_duration_since(Instant::now()).as_millis();
        if wait == 0 || !fetch.may_send(self.clock.now()) {
            return None;
        }
        let ClientRequest {
            via_id,
            class_name,
            object,
            part,
            ..
        } = request;
        // Also with a body: the caches know no other method.
        let mut head = format!("GET /v2/q/{class_name}/{object:016x}/{part} HTTP/1.1\r\n");
        let mut field = |name: &str, value: &dyn std::fmt::Display| {
            let _ = write!(head, "{name}: {value}\r\n");
        };
        field("Host", &cache.address);
        field("Via-Id", &format_args!("{via_id:016x}"));
        field("Via-Wait", &wait);
        request
            .token
            .iter()
            .for_each(|token| field("Via-Token", token));
        let term = attempt.record.and_then(|record| record.term());
        term.iter().for_each(|term| field("Via-Term", term));
        source
            .iter()
            .for_each(|source| field("X-Fill-From", source));
        if fetch.retention_rank > 0 {
            field("X-Keep", &fetch.retention_rank);
        }
        bound_ms(fetch.max_age)
            .iter()
            .for_each(|age| field("X-Max-Age-Ms", age));
        let flags = fetch.flags();
        if !flags.is_empty() {
            field("X-Flags", &flags);
        }
        request
            .etag
            .iter()
            .for_each(|etag| field("If-None-Match", etag));
        if let Some((_, length)) = request.body {
            field("Content-Length", &length);
        }
        head.push_str("\r\n");
        Some(head)
    }
}
