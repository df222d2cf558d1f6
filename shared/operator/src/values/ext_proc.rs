//! The external processor, as the file sets it.

use super::Tls;
use garde::Validate;
use std::net::SocketAddr;

/// The external processor: gRPC on loopback, or with TLS and the SPIFFE IDs that may call.
#[derive(Clone, Debug, PartialEq, Validate)]
#[garde(allow_unvalidated)]
pub struct ExtProc {
    /// Without TLS a loopback address.
    pub listen: SocketAddr,
    #[garde(dive)]
    pub tls: Option<Tls>,
    /// This proxy in `Proxy-Status` (RFC 9209).
    #[garde(length(min = 1, max = 64), custom(token))]
    pub name: String,
    /// Connections, and streams on all of them together.
    #[garde(range(min = 1, max = 4_096))]
    pub connections: u64,
    #[garde(range(min = 1, max = 65_536))]
    pub streams: u64,
    /// Threads of its runtime.
    #[garde(range(min = 1, max = 16))]
    pub threads: u64,
    /// How long a decision may take.
    #[garde(range(min = 1, max = 60_000))]
    pub patience_ms: u64,
    /// The caller's `message_timeout`; asked to be longer (`override_message_timeout`) where half of it has passed.
    #[garde(range(min = 2, max = 60_000))]
    pub message_timeout_ms: u64,
    /// How long a placement may be sent: under the time in which a drain must be heeded.
    #[garde(range(min = 1, max = 250))]
    pub good_for_ms: u64,
    /// A stream on which nothing comes for so long is ended.
    #[garde(range(min = 100, max = 86_400_000))]
    pub idle_ms: u64,
    /// Whether an answer that the module would try again tells the caller so (`x-foldmux-again`).
    pub again: bool,
    /// What matches no ask is refused, and not passed on unplaced.
    pub strict: bool,
    #[garde(length(min = 1, max = 256), dive)]
    pub asks: Vec<AskRule>,
    /// Keys that sign tokens: the last signs, those before it are believed for `overlap_ms`.
    #[garde(length(max = 16), dive)]
    pub keys: Vec<TokenKey>,
    #[garde(range(min = 0, max = 86_400_000))]
    pub overlap_ms: u64,
    #[garde(dive)]
    pub ledger: Option<LedgerFile>,
}

/// Which requests ask for a class, and where in them its parts stand.
#[derive(Clone, Debug, PartialEq, Validate)]
#[garde(allow_unvalidated)]
pub struct AskRule {
    #[garde(length(min = 1, max = 64))]
    pub class: String,
    #[garde(length(max = 32))]
    pub method: String,
    /// Segments: words, `{object}` (16 hex digits at most), `{name}` (any text) and `{part}` (a number).
    #[garde(length(min = 1, max = 512), prefix("/"))]
    pub path: String,
    /// The header with the idempotency key, for keyed classes.
    #[garde(length(max = 64))]
    pub key: Option<String>,
    /// The path is made that of the caches.
    pub rewrite: bool,
}

#[derive(Clone, PartialEq, Validate)]
#[garde(allow_unvalidated)]
pub struct TokenKey {
    pub number: u8,
    #[garde(length(min = 32, max = 1_024))]
    pub secret: String,
}

/// Never the secret itself.
impl std::fmt::Debug for TokenKey {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        write!(f, "key {}", self.number)
    }
}

/// When an entry is told to be on the disk.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Durable {
    Each,
    Group,
    /// Written behind: a crash may lose what a caller was told.
    Behind,
}

/// Where the ledger of keyed attempts is kept, and its bounds.
#[derive(Clone, Debug, PartialEq, Validate)]
#[garde(allow_unvalidated)]
pub struct LedgerFile {
    #[garde(length(min = 1))]
    pub file: String,
    #[garde(range(min = 1, max = 10_000_000))]
    pub entries: u64,
    pub durable: Durable,
    /// How long after its last attempt a key's repeat may come.
    #[garde(range(min = 1_000, max = 604_800_000))]
    pub remember_ms: u64,
}

/// A token of HTTP (RFC 9110), as `Proxy-Status` names an intermediary.
fn token(text: &str, _: &()) -> garde::Result {
    let fits = |b: u8| b.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&b);
    match text.bytes().all(fits) && text.starts_with(|c: char| c.is_ascii_alphabetic()) {
        true => Ok(()),
        false => Err(garde::Error::new(
            "is no token of HTTP that begins with a letter",
        )),
    }
}

impl ExtProc {
    /// What no single value shows.
    pub(crate) fn fits(&self) -> Result<(), String> {
        if self.tls.is_none() && !self.listen.ip().is_loopback() {
            return Err(format!(
                "{} is no loopback address, and there is no TLS",
                self.listen
            ));
        }
        if self.ledger.is_some() && self.keys.is_empty() {
            return Err("a ledger without a token_key: repeats could not be told".to_string());
        }
        for (n, key) in self.keys.iter().enumerate() {
            if self.keys[..n]
                .iter()
                .any(|other| other.number == key.number)
            {
                return Err(format!("token key {} is there twice", key.number));
            }
        }
        Ok(())
    }
}
