//! What a request asks for, from its method, path and headers, by the operator's file: pure.

use crate::names;
use crate::pb::HttpHeaders;
use foldmux_idempotency::token::KeyHash;
use foldmux_operator::AskRule;

/// Longest path and key that are looked at.
const PATH_MOST: usize = 8 * 1024;
const KEY_MOST: usize = 256;

#[derive(Clone, Debug, PartialEq, Eq)]
enum Segment {
    AttemptEnd(String),
    /// Up to 16 hex digits.
    Object,
    /// Any text, of which the object is a digest.
    Name,
    Part,
}

struct Rule {
    class: usize,
    method: String,
    path: Vec<Segment>,
    key: Option<String>,
    rewrite: bool,
}

/// The operator's asks, in the order in which they are tried.
pub struct Map {
    rules: Vec<Rule>,
}

/// What a request asks for.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Asked {
    pub class: usize,
    pub object: u64,
    pub part: u32,
    pub group: u32,
    pub size_kb: f64,
    pub key: Option<String>,
    /// The token that it shows, as text.
    pub token: Option<String>,
    /// How long its client waits (ms), where that is told.
    pub wait_ms: Option<u64>,
    /// It names a copy that its client holds.
    pub holds: bool,
    /// The path that the caches know it by.
    pub path: Option<String>,
}

/// Why a request is not one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unusable {
    /// The caller broke the protocol.
    Caller(&'static str),
    /// The client's request can't be read.
    Client(&'static str),
    /// No ask matches it.
    Unmatched,
}

/// A header's bytes: callers fill either of two fields.
fn value(header: &crate::pb::HeaderValue) -> &[u8] {
    match header.raw_value.is_empty() {
        true => header.value.as_bytes(),
        false => &header.raw_value,
    }
}

/// The first header of a name, in lower case.
pub fn field<'a>(headers: &'a HttpHeaders, name: &str) -> Option<&'a [u8]> {
    let all = headers.headers.as_ref()?;
    all.headers
        .iter()
        .find(|h| h.key.eq_ignore_ascii_case(name))
        .map(value)
}

fn text<'a>(headers: &'a HttpHeaders, name: &str) -> Option<&'a str> {
    field(headers, name)
        .and_then(|bytes| std::str::from_utf8(bytes).ok())
        .filter(|text| !text.is_empty())
}

fn number<T: std::str::FromStr>(headers: &HttpHeaders, name: &str) -> Option<T> {
    text(headers, name)?.parse().ok()
}

/// A pseudo header: there once.
fn pseudo<'a>(
    headers: &'a HttpHeaders,
    name: &str,
    why: &'static str,
) -> Result<&'a str, Unusable> {
    let all = headers.headers.as_ref().map_or(&[][..], |all| &all.headers);
    let mut named = all.iter().filter(|h| h.key == name);
    match (named.next(), named.next()) {
        (Some(one), None) => std::str::from_utf8(value(one)).map_err(|_| Unusable::Caller(why)),
        _ => Err(Unusable::Caller(why)),
    }
}

impl Map {
    /// An error is one plain line. `classes`: their names, and whether they are keyed.
    pub fn new(rules: &[AskRule], classes: &[(&str, bool)]) -> Result<Map, String> {
        let rules = rules.iter().map(|rule| {
            let told = |why: &str| format!("ask({:?}, path = {:?}): {why}", rule.class, rule.path);
            let class = classes.iter().position(|(name, _)| *name == rule.class);
            let class = class.ok_or_else(|| told("no such class in the settings"))?;
            if classes[class].1 && rule.key.is_none() {
                return Err(told("the class is keyed, and no header has its key"));
            }
            let segment = |word: &str| match word {
                "{object}" => Ok(Segment::Object),
                "{name}" => Ok(Segment::Name),
                "{part}" => Ok(Segment::Part),
                word if word.contains(['{', '}']) => {
                    Err(told("a segment is {object}, {name}, {part} or a word"))
                }
                word => Ok(Segment::AttemptEnd(word.to_string())),
            };
            let path = rule.path[1..]
                .split('/')
                .map(segment)
                .collect::<Result<Vec<_>, _>>()?;
            let objects = path
                .iter()
                .filter(|s| matches!(s, Segment::Object | Segment::Name))
                .count();
            if objects != 1 || path.iter().filter(|s| **s == Segment::Part).count() > 1 {
                return Err(told("it names one object, and one part at most"));
            }
            Ok(Rule {
                class,
                method: rule.method.clone(),
                path,
                key: rule.key.clone(),
                rewrite: rule.rewrite,
            })
        });
        Ok(Map {
            rules: rules.collect::<Result<_, _>>()?,
        })
    }

    /// What a request asks for; `name` gives a class's name for the caches' path.
    pub fn read(
        &self,
        headers: &HttpHeaders,
        name: impl Fn(usize) -> String,
    ) -> Result<Asked, Unusable> {
        let method = pseudo(headers, ":method", "no single :method")?;
        let path = pseudo(headers, ":path", "no single :path")?;
        if path.len() > PATH_MOST {
            return Err(Unusable::Client("the path is too long"));
        }
        let path = path.split(['?', '#']).next().unwrap_or_default();
        let path = path.strip_prefix('/').ok_or(Unusable::Unmatched)?;
        let fits = |rule: &&Rule| {
            let mut words = path.split('/');
            let met = rule
                .path
                .iter()
                .all(|segment| match (segment, words.next()) {
                    (Segment::AttemptEnd(word), Some(found)) => word == found,
                    (_, Some(found)) => !found.is_empty(),
                    (_, None) => false,
                });
            met && words.next().is_none() && rule.method.eq_ignore_ascii_case(method)
        };
        let rule = self.rules.iter().find(fits).ok_or(Unusable::Unmatched)?;
        let mut asked = Asked {
            class: rule.class,
            ..Asked::default()
        };
        for (segment, word) in rule.path.iter().zip(path.split('/')) {
            match segment {
                Segment::AttemptEnd(_) => {}
                Segment::Object => {
                    // The standard library would take a sign.
                    let hex = word.len() <= 16 && word.bytes().all(|b| b.is_ascii_hexdigit());
                    let object = hex.then(|| u64::from_str_radix(word, 16).ok()).flatten();
                    asked.object = object
                        .ok_or(Unusable::Client("the object is no number of 16 hex digits"))?;
                }
                Segment::Name => {
                    let digest = KeyHash::of(word).0;
                    asked.object = u64::from_be_bytes(digest[..8].try_into().unwrap_or_default());
                }
                Segment::Part => {
                    let digits = word.bytes().all(|b| b.is_ascii_digit());
                    let part = digits.then(|| word.parse().ok()).flatten();
                    asked.part = part.ok_or(Unusable::Client("the part is no number"))?;
                }
            }
        }
        if let Some(header) = &rule.key {
            let key = text(headers, header).ok_or(Unusable::Client("no idempotency key"))?;
            let plain = key.len() <= KEY_MOST && key.bytes().all(|b| (0x21..0x7f).contains(&b));
            asked.key = Some(
                plain
                    .then(|| key.to_string())
                    .ok_or(Unusable::Client("the idempotency key can't be used"))?,
            );
        }
        asked.group = number(headers, names::GROUP).unwrap_or(0);
        asked.size_kb = number(headers, names::SIZE)
            .filter(|size: &f64| size.is_finite() && *size >= 0.0)
            .unwrap_or(0.0);
        asked.token = text(headers, names::TOKEN).map(str::to_string);
        asked.wait_ms = number(headers, names::VIA_WAIT)
            .or_else(|| number(headers, "x-envoy-expected-rq-timeout-ms"));
        asked.holds = field(headers, "if-none-match").is_some();
        if rule.rewrite {
            asked.path = Some(format!(
                "/v2/q/{}/{:016x}/{}",
                name(rule.class),
                asked.object,
                asked.part
            ));
        }
        Ok(asked)
    }
}

#[cfg(test)]
mod tests;
