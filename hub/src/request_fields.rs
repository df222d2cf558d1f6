//! What a request asks of this hub: its path and its fields.

use foldmux_hierarchy::fill_path::MAX_HEADER_BYTES;
use foldmux_hierarchy::in_flight::FillContext;
use foldmux_hierarchy::tree::TreeVersion;

/// What a request's fields say.
#[derive(Default)]
pub(crate) struct RequestFields {
    pub(crate) via: String,
    pub(crate) wait_ms: Option<u64>,
    pub(crate) max_age_ms: u64,
    pub(crate) hold_only: bool,
    pub(crate) keep_none: bool,
    pub(crate) way: Vec<u8>,
    pub(crate) tree: Option<String>,
    pub(crate) none_match: Option<String>,
    pub(crate) range: Option<String>,
    pub(crate) if_range: Option<String>,
    pub(crate) token: Option<String>,
    pub(crate) unusable: Option<&'static str>,
}

impl RequestFields {
    pub(crate) fn field(&mut self, name: &str, value: &[u8]) {
        let is = |known: &str| name.eq_ignore_ascii_case(known);
        if is("cdn-loop") {
            // Several fields are one list (RFC 9110, 5.3).
            if !self.way.is_empty() {
                self.way.extend_from_slice(b", ");
            }
            self.way
                .extend_from_slice(&value[..value.len().min(MAX_HEADER_BYTES + 1)]);
            return;
        }
        let Ok(text) = std::str::from_utf8(value) else {
            return;
        };
        let mut number = |what| text.parse().map_err(|_| self.unusable = Some(what)).ok();
        if is("via-wait") {
            self.wait_ms = number("Via-Wait is no number");
        } else if is("x-max-age-ms") {
            self.max_age_ms = number("X-Max-Age-Ms is no number").unwrap_or(0);
        } else if is("via-id") {
            self.via = text.to_string();
        } else if is("x-flags") {
            self.hold_only = text.split('+').any(|flag| flag == "shallow");
            self.keep_none = text.split('+').any(|flag| flag == "transit");
        } else if is("hub-tree") {
            self.tree = Some(text.to_string());
        } else if is("if-none-match") {
            self.none_match = Some(text.to_string());
        } else if is("range") {
            self.range = Some(text.to_string());
        } else if is("if-range") {
            self.if_range = Some(text.to_string());
        } else if is("via-token") {
            self.token = Some(text.to_string());
        }
    }

    /// How the fill comes here, and whom it was sent past. What can't be read counts as solo: that never waits.
    pub(crate) fn arrival(&self) -> (FillContext, Vec<String>) {
        let Some(text) = &self.tree else {
            return (FillContext::LOCAL, vec![]);
        };
        let mut parts = text.split(';').map(str::trim);
        let stamp = parts.next().and_then(TreeVersion::parse);
        let (mut solo, mut past) = (stamp.is_none(), vec![]);
        for part in parts {
            solo |= part == "solo";
            if let Some(names) = part.strip_prefix("past=") {
                past = names.split('+').take(8).map(str::to_string).collect();
            }
        }
        (
            FillContext {
                version: stamp,
                uncollapsed: solo,
            },
            past,
        )
    }
}

/// `/v2/q/CLASS/OBJECT/PART`.
pub(crate) fn parse_path(path: &str) -> Option<(&str, u64, u32)> {
    let mut parts = path.strip_prefix("/v2/q/")?.split('/');
    let (class, object, part) = (parts.next()?, parts.next()?, parts.next()?);
    let named = |b: u8| b.is_ascii_alphanumeric() || b == b'-' || b == b'_' || b == b'.';
    let digits = |t: &str| !t.is_empty() && t.len() < 10 && t.bytes().all(|b| b.is_ascii_digit());
    let hex = |t: &str| t.len() == 16 && t.bytes().all(|b| b.is_ascii_hexdigit());
    let fits = !class.is_empty()
        && class.len() <= 64
        && class.bytes().all(named)
        && hex(object)
        && digits(part);
    (fits && parts.next().is_none()).then(|| {
        Some((
            class,
            u64::from_str_radix(object, 16).ok()?,
            part.parse().ok()?,
        ))
    })?
}

#[cfg(test)]
mod tests;
