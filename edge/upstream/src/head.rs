//! The head of a request to a cache, written right before its first byte leaves.

use crate::Upstream;
use foldmux::interface::bound_ms;
use foldmux_core::attempt::Attempt;
use foldmux_core::inquiry::Inquiry;
use std::fmt::Write as _;
use std::time::Instant;

impl Upstream {
    /// The request's head, or none where it must not be sent any more.
    pub(crate) fn head(&self, attempt: &Attempt, until: Instant) -> Option<String> {
        let Attempt {
            inquiry,
            fetch,
            target,
            ..
        } = attempt;
        let cache = target
            .cache
            .filter(|start| self.members.allows(fetch.cache, *start))?;
        let mut source = None;
        if fetch.source != fetch.cache {
            target
                .source
                .filter(|start| self.members.allows(fetch.source, *start))?;
            source = Some(self.members.get(fetch.source)?.name);
        }
        let wait = until.saturating_duration_since(Instant::now()).as_millis();
        if wait == 0 || !fetch.may_begin(self.clock.now()) {
            return None;
        }
        let Inquiry {
            via,
            class_name,
            object,
            part,
            ..
        } = inquiry;
        // Also where there is a body: the caches know no other method.
        let mut head = format!("GET /v2/q/{class_name}/{object:016x}/{part} HTTP/1.1\r\n");
        let mut field = |name: &str, value: &dyn std::fmt::Display| {
            let _ = write!(head, "{name}: {value}\r\n");
        };
        field("Host", &cache.address);
        field("Via-Id", &format_args!("{via:016x}"));
        field("Via-Wait", &wait);
        inquiry
            .token
            .iter()
            .for_each(|token| field("Via-Token", token));
        let term = attempt.guard.and_then(|guard| guard.term());
        term.iter().for_each(|term| field("Via-Term", term));
        source
            .iter()
            .for_each(|source| field("X-Fill-From", source));
        if fetch.keep > 0 {
            field("X-Keep", &fetch.keep);
        }
        bound_ms(fetch.max_age)
            .iter()
            .for_each(|age| field("X-Max-Age-Ms", age));
        let flags = fetch.flags();
        if !flags.is_empty() {
            field("X-Flags", &flags);
        }
        inquiry
            .got
            .iter()
            .for_each(|got| field("If-None-Match", got));
        if let Some((_, length)) = inquiry.body {
            field("Content-Length", &length);
        }
        head.push_str("\r\n");
        Some(head)
    }
}
