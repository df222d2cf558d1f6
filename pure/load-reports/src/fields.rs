//! Parses the fields of a load report, in the order in which the settings name them, and bounds their values.

/// Maximum number of field names taken from the settings; the rest are ignored.
pub const MAX_FIELDS: usize = 16;
/// Maximum length of a field that is read, including its name (bytes).
pub const MAX_FIELD_LEN: usize = 48;
/// Maximum number of fields read from one report; the rest are ignored.
pub const MAX_FIELDS_READ: usize = 64;
/// Largest value that is accepted; a greater one counts as missing, since no server holds a million requests.
pub const MAX_VALUE: f32 = 1.0e6;

/// The values of one report; a value is `None` where it is missing or invalid.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    /// CPU utilisation, 0 to 1.
    pub util: Option<f32>,
    /// Requests in flight.
    pub inflight: Option<f32>,
    /// Recent hit ratio of the cache.
    pub hits: Option<f32>,
    /// For a cache, the utilisation of its zone's link; for a parent, its fetches in flight.
    pub link: Option<f32>,
}

impl Load {
    /// Returns whether the report has no valid value.
    pub fn is_empty(&self) -> bool {
        *self == Load::default()
    }
}

/// The meaning of a field, whatever its name.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Meaning {
    Util,
    Inflight,
    Hits,
    Link,
}

/// Maps a name of the platform to its meaning. The same value has one name in site files and on sockets, and another in
/// the simulator's protocol.
fn meaning(name: &[u8]) -> Option<Meaning> {
    match name {
        b"util" | b"cpu" => Some(Meaning::Util),
        b"inflight" | b"active" => Some(Meaning::Inflight),
        b"x0" => Some(Meaning::Hits),
        b"x1" => Some(Meaning::Link),
        _ => None,
    }
}

/// The fields of a deployment's reports, in the order of their values. An unknown field keeps its position.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Fields(Vec<Option<Meaning>>);

impl Fields {
    /// Creates the fields from their names, in the order of the settings.
    pub fn new<S: AsRef<str>>(names: impl IntoIterator<Item = S>) -> Fields {
        Fields(
            names
                .into_iter()
                .take(MAX_FIELDS)
                .map(|name| meaning(name.as_ref().as_bytes()))
                .collect(),
        )
    }

    /// Returns whether the settings name no known field.
    pub fn is_empty(&self) -> bool {
        self.0.iter().all(Option::is_none)
    }

    /// Parses a report as a response carries it (`inflight:7;util:0.61`). An invalid field leaves the others valid: one that
    /// the settings do not name is ignored, and one that is duplicated, not a number, negative, not finite, too large or
    /// too long counts as missing.
    pub fn read(&self, text: &[u8]) -> Load {
        let mut values = [f32::NAN; MAX_FIELDS];
        let mut seen = [false; MAX_FIELDS];
        for field in text.split(|b| *b == b';').take(MAX_FIELDS_READ) {
            let Some((name, value)) = split_field(field) else {
                continue;
            };
            let Some(named) = meaning(name) else {
                continue;
            };
            let Some(at) = self.0.iter().position(|known| *known == Some(named)) else {
                continue;
            };
            // Of duplicates neither counts, since it is unknown which one is right.
            values[at] = if seen[at] {
                f32::NAN
            } else {
                parse_value(value)
            };
            seen[at] = true;
        }
        self.load(&values)
    }

    /// Converts values in the order of the settings' fields to a [`Load`].
    pub fn load(&self, values: &[f32]) -> Load {
        let valid_value = |meaning: Meaning| {
            let at = self.0.iter().position(|known| *known == Some(meaning))?;
            values.get(at).copied().filter(is_valid)
        };
        Load {
            util: valid_value(Meaning::Util),
            inflight: valid_value(Meaning::Inflight),
            hits: valid_value(Meaning::Hits),
            link: valid_value(Meaning::Link),
        }
    }
}

fn is_valid(value: &f32) -> bool {
    value.is_finite() && (0.0..=MAX_VALUE).contains(value)
}

/// Splits a field into name and value; `None` if it has no colon or exceeds [`MAX_FIELD_LEN`].
fn split_field(field: &[u8]) -> Option<(&[u8], &[u8])> {
    let field = field.trim_ascii();
    let colon = field
        .iter()
        .position(|b| *b == b':')
        .filter(|_| field.len() <= MAX_FIELD_LEN)?;
    Some((field[..colon].trim_ascii(), field[colon + 1..].trim_ascii()))
}

fn parse_value(value: &[u8]) -> f32 {
    let value = std::str::from_utf8(value)
        .ok()
        .and_then(|text| text.parse::<f32>().ok());
    value.filter(is_valid).unwrap_or(f32::NAN)
}

#[cfg(test)]
mod tests;
