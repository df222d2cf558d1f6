//! Patterns that select the requests of a class to which a route applies.

/// A pattern of a zone, caller or listener: exact, or a prefix where it ends in `*`.
#[derive(Clone, Copy)]
enum Pattern<'a> {
    Any,
    Exact(&'a str),
    Prefix(&'a str),
}

impl<'a> Pattern<'a> {
    fn new(text: &'a Option<String>) -> Pattern<'a> {
        let Some(text) = text else {
            return Pattern::Any;
        };
        match text.strip_suffix('*') {
            Some(prefix) => Pattern::Prefix(prefix),
            None => Pattern::Exact(text),
        }
    }

    fn matches(self, value: &str) -> bool {
        match self {
            Pattern::Any => true,
            Pattern::Exact(text) => text == value,
            Pattern::Prefix(prefix) => value.starts_with(prefix),
        }
    }

    /// Returns whether this matches every value that the other matches.
    fn covers(self, other: Pattern) -> bool {
        match (self, other) {
            (Pattern::Any, _) => true,
            (_, Pattern::Any) => false,
            (Pattern::Exact(own), Pattern::Exact(other)) => own == other,
            (Pattern::Exact(_), Pattern::Prefix(_)) => false,
            (Pattern::Prefix(own), Pattern::Exact(other) | Pattern::Prefix(other)) => {
                other.starts_with(own)
            }
        }
    }

    /// Returns whether some value matches both.
    fn overlaps(self, other: Pattern) -> bool {
        match (self, other) {
            (Pattern::Any, _) | (_, Pattern::Any) => true,
            (Pattern::Exact(own), Pattern::Exact(other)) => own == other,
            (Pattern::Prefix(prefix), Pattern::Exact(text))
            | (Pattern::Exact(text), Pattern::Prefix(prefix)) => text.starts_with(prefix),
            (Pattern::Prefix(own), Pattern::Prefix(other)) => {
                own.starts_with(other) || other.starts_with(own)
            }
        }
    }
}

/// Returns whether a pattern matches a value; `None` matches any.
pub(crate) fn pattern_matches(pattern: &Option<String>, value: &str) -> bool {
    Pattern::new(pattern).matches(value)
}

/// Selects the requests of a class to which a route applies; a field of `None` matches any.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RouteMatch {
    /// The zone of the proxy.
    pub zone: Option<String>,
    /// The caller's identity, or a prefix of it where it ends in `*`.
    pub caller: Option<String>,
    /// The protocol listener at which the request arrived.
    pub front: Option<String>,
}

impl RouteMatch {
    /// Returns whether a request matches.
    pub fn matches(&self, zone: &str, caller: &str, front: &str) -> bool {
        pattern_matches(&self.zone, zone)
            && pattern_matches(&self.caller, caller)
            && pattern_matches(&self.front, front)
    }

    fn patterns(&self) -> [Pattern<'_>; 3] {
        [&self.zone, &self.caller, &self.front].map(Pattern::new)
    }

    fn all_pairs(&self, other: &RouteMatch, holds: fn(Pattern, Pattern) -> bool) -> bool {
        let mut pairs = self.patterns().into_iter().zip(other.patterns());
        pairs.all(|(own, other)| holds(own, other))
    }

    /// Returns whether every request that matches the other matches this as well.
    pub fn covers(&self, other: &RouteMatch) -> bool {
        self.all_pairs(other, |own, other| own.covers(other))
    }

    /// Returns whether some request matches both.
    pub fn overlaps(&self, other: &RouteMatch) -> bool {
        self.all_pairs(other, |own, other| own.overlaps(other))
    }
}
