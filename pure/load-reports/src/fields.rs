//! The fields of a load report, in the order of the settings; their values are read once and bounded.

/// Most field names that are taken from the settings; the rest are ignored.
pub const MAX_FIELDS: usize = 16;
/// Longest field that is read, its name included (bytes).
pub const MAX_FIELD_LEN: usize = 48;
/// Most fields of one report that are read.
pub const MAX_FIELDS_READ: usize = 64;
/// A greater value counts as missing: no server holds a million requests.
pub const MAX_VALUE: f32 = 1.0e6;

/// The values of a report by their meaning; `None` where missing or unusable.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    /// CPU utilisation, 0 to 1.
    pub util: Option<f32>,
    /// Requests in flight.
    pub inflight: Option<f32>,
    /// Recent hit ratio.
    pub hits: Option<f32>,
    /// Of a cache: utilisation of its zone's link. Of a parent: its fetches in flight.
    pub link: Option<f32>,
}

impl Load {
    /// Whether no value is usable.
    pub fn is_empty(&self) -> bool {
        *self == Load::default()
    }
}

/// What a field means.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Meaning {
    Util,
    Inflight,
    Hits,
    Link,
}

/// Maps the platform's names: the same value has one name in site files and on sockets, another on the simulator's wire.
fn meaning(name: &[u8]) -> Option<Meaning> {
    match name {
        b"util" | b"cpu" => Some(Meaning::Util),
        b"inflight" | b"active" => Some(Meaning::Inflight),
        b"x0" => Some(Meaning::Hits),
        b"x1" => Some(Meaning::Link),
        _ => None,
    }
}

/// The fields of a deployment's reports, in the order of their values; an unknown one keeps its position.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Fields(Vec<Option<Meaning>>);

impl Fields {
    /// Fields by the names that the settings give them.
    pub fn new<S: AsRef<str>>(names: impl IntoIterator<Item = S>) -> Fields {
        Fields(
            names
                .into_iter()
                .take(MAX_FIELDS)
                .map(|name| meaning(name.as_ref().as_bytes()))
                .collect(),
        )
    }

    /// Whether the settings name no known field.
    pub fn is_empty(&self) -> bool {
        self.0.iter().all(Option::is_none)
    }

    /// Reads a report as a response carries it (`inflight:7;util:0.61`). A bad field costs only itself: one that the settings
    /// do not name is ignored, and one that is doubled, not a number, negative, not finite, too large or too long is missing.
    pub fn read(&self, text: &[u8]) -> Load {
        let mut values = [f32::NAN; MAX_FIELDS];
        let mut seen = [false; MAX_FIELDS];
        for part in text.split(|b| *b == b';').take(MAX_FIELDS_READ) {
            let Some((name, value)) = part_of(part) else {
                continue;
            };
            let Some(wanted) = meaning(name) else {
                continue;
            };
            let Some(at) = self.0.iter().position(|known| *known == Some(wanted)) else {
                continue;
            };
            // Both are void: which of them counts is not known.
            values[at] = if seen[at] { f32::NAN } else { number(value) };
            seen[at] = true;
        }
        self.load(&values)
    }

    /// Values in the order of the settings' fields, by their meaning.
    pub fn load(&self, values: &[f32]) -> Load {
        let of = |meaning: Meaning| {
            let at = self.0.iter().position(|known| *known == Some(meaning))?;
            values.get(at).copied().filter(usable)
        };
        Load {
            util: of(Meaning::Util),
            inflight: of(Meaning::Inflight),
            hits: of(Meaning::Hits),
            link: of(Meaning::Link),
        }
    }
}

fn usable(value: &f32) -> bool {
    value.is_finite() && (0.0..=MAX_VALUE).contains(value)
}

/// Name and value of one field that is not over-long.
fn part_of(part: &[u8]) -> Option<(&[u8], &[u8])> {
    let part = part.trim_ascii();
    let colon = part
        .iter()
        .position(|b| *b == b':')
        .filter(|_| part.len() <= MAX_FIELD_LEN)?;
    Some((part[..colon].trim_ascii(), part[colon + 1..].trim_ascii()))
}

fn number(value: &[u8]) -> f32 {
    let value = std::str::from_utf8(value)
        .ok()
        .and_then(|text| text.parse::<f32>().ok());
    value.filter(usable).unwrap_or(f32::NAN)
}

#[cfg(test)]
mod tests;
