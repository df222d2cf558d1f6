//! One line, one call. Whatever can't be read is one `error` line, and the connection goes on.

/// Longest call, without its end of line. An id of a pop cache is far shorter.
pub const LONGEST: usize = 256;

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Call {
    Status,
    Stats,
    MaintOn(String),
    MaintOff(String),
}

/// Why a line is no call; written after `error `.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Fault {
    Empty,
    TooLong,
    NotText,
    Unknown(String),
    NoId(&'static str),
    TooManyWords(&'static str),
}

impl std::fmt::Display for Fault {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Fault::Empty => write!(f, "empty call"),
            Fault::TooLong => write!(f, "call longer than {LONGEST} bytes"),
            Fault::NotText => write!(f, "call is not text"),
            Fault::Unknown(word) => {
                write!(
                    f,
                    "no call {word:?}; calls: status, stats, maint-on ID, maint-off ID"
                )
            }
            Fault::NoId(call) => write!(f, "{call} wants the id of a pop cache"),
            Fault::TooManyWords(call) => write!(f, "{call} takes no more than its words"),
        }
    }
}

/// What a line asks for; `line` is without its end of line (a `\r` before it is allowed).
pub fn parse(line: &[u8]) -> Result<Call, Fault> {
    if line.len() > LONGEST {
        return Err(Fault::TooLong);
    }
    let text = std::str::from_utf8(line).map_err(|_| Fault::NotText)?;
    let mut words = text.split_ascii_whitespace();
    let Some(first) = words.next() else {
        return Err(Fault::Empty);
    };
    let (second, third) = (words.next(), words.next());
    let bare = |call: Call, name: &'static str| match second {
        None => Ok(call),
        Some(_) => Err(Fault::TooManyWords(name)),
    };
    let named = |name: &'static str| match (second, third) {
        (None, _) => Err(Fault::NoId(name)),
        (Some(id), None) => Ok(id.to_string()),
        (Some(_), Some(_)) => Err(Fault::TooManyWords(name)),
    };
    match first {
        "status" => bare(Call::Status, "status"),
        "stats" => bare(Call::Stats, "stats"),
        "maint-on" => named("maint-on").map(Call::MaintOn),
        "maint-off" => named("maint-off").map(Call::MaintOff),
        other => Err(Fault::Unknown(other.chars().take(32).collect())),
    }
}

/// Cuts calls out of what a connection sent. Bounded: a line longer than `LONGEST` is told as one fault as soon as
/// it is too long, and its rest is passed over up to its end of line, however long it is.
#[derive(Default)]
pub struct Lines {
    held: Vec<u8>,
    /// Within a line too long, until its end.
    skipping: bool,
}

impl Lines {
    /// The calls whole in what came, in order; what is left of a line waits for more.
    pub fn feed(&mut self, bytes: &[u8]) -> Vec<Result<Call, Fault>> {
        let mut calls = Vec::new();
        for &byte in bytes {
            if byte == b'\n' {
                if !std::mem::take(&mut self.skipping) {
                    let line = std::mem::take(&mut self.held);
                    let line = line.strip_suffix(b"\r").unwrap_or(&line);
                    calls.push(parse(line));
                }
            } else if !self.skipping {
                self.held.push(byte);
                if self.held.len() > LONGEST + 1 {
                    self.held.clear();
                    self.skipping = true;
                    calls.push(Err(Fault::TooLong));
                }
            }
        }
        calls
    }

    /// Whether part of a line waits: at a close, that is a call cut off.
    pub fn partial(&self) -> bool {
        self.skipping || !self.held.is_empty()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    #[test]
    fn each_call_by_its_words() {
        assert_eq!(parse(b"status"), Ok(Call::Status));
        assert_eq!(parse(b"  stats "), Ok(Call::Stats));
        assert_eq!(
            parse(b"maint-on s-0a1b2c3d"),
            Ok(Call::MaintOn("s-0a1b2c3d".into()))
        );
        assert_eq!(
            parse(b"maint-off s-0a1b2c3d"),
            Ok(Call::MaintOff("s-0a1b2c3d".into()))
        );
    }

    #[test]
    fn bad_lines_are_faults_with_a_reason() {
        assert_eq!(parse(b""), Err(Fault::Empty));
        assert_eq!(parse(b"maint-on"), Err(Fault::NoId("maint-on")));
        assert_eq!(parse(b"maint-on a b"), Err(Fault::TooManyWords("maint-on")));
        assert_eq!(parse(b"status now"), Err(Fault::TooManyWords("status")));
        assert!(matches!(parse(b"reboot"), Err(Fault::Unknown(_))));
        assert_eq!(parse(&[0xff, 0xfe]), Err(Fault::NotText));
        assert_eq!(parse(&[b'a'; LONGEST + 1]), Err(Fault::TooLong));
    }

    #[test]
    fn a_line_too_long_is_one_fault_and_the_next_call_is_read() {
        let mut lines = Lines::default();
        let mut sent = vec![b'x'; 100_000];
        sent.extend_from_slice(b"\nstatus\r\nsta");
        assert_eq!(
            lines.feed(&sent),
            vec![Err(Fault::TooLong), Ok(Call::Status)]
        );
        assert!(lines.partial());
        assert_eq!(lines.feed(b"ts\n"), vec![Ok(Call::Stats)]);
        assert!(!lines.partial());
    }

    proptest! {
        #[test]
        fn any_bytes_in_any_pieces_give_one_answer_a_line_and_hold_little(
            bytes in proptest::collection::vec(any::<u8>(), 0..4000),
            cut in 0usize..4000,
        ) {
            let cut = cut.min(bytes.len());
            let mut lines = Lines::default();
            let mut calls = lines.feed(&bytes[..cut]);
            calls.extend(lines.feed(&bytes[cut..]));
            let segments: Vec<&[u8]> = bytes.split(|b| *b == b'\n').collect();
            let (whole, rest) = segments.split_at(segments.len() - 1);
            let owed = whole.len() + usize::from(rest[0].len() > LONGEST + 1);
            prop_assert_eq!(calls.len(), owed);
            prop_assert!(lines.held.len() <= LONGEST + 1);
        }
    }
}
