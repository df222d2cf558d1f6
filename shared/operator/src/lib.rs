//! The operator's file: a Starlark script that calls a few functions, each of which sets one thing.
//!
//! Owns: the script's functions ([`script`]), its bounds (steps, memory, depth, size), the values that it sets and
//! their checks ([`values`]). What is wrong is told with file, line and reason, and nothing is taken of such a file.
//!
//! May not: give the script a way to files, sockets, clocks or chance; decide anything for a request. It depends on
//! the hierarchy, whose trees it checks, and on no wire.

pub mod script;
pub mod values;

pub use values::{
    AskRule, Cover, Dns, Durable, ExtProc, Fleet, Hierarchy, LedgerFile, Operator, PoolBy, Relay,
    Tls, TokenKey, Unclaimed, Uncovered,
};
pub use values::{Slow, Stream, StreamFirst};

use std::path::Path;

/// Longest file that is read.
pub const BYTES_MOST: u64 = 4 * 1024 * 1024;

/// The values in a file, or what is wrong with it: one line each.
pub fn load(file: &Path) -> Result<Operator, Vec<String>> {
    let name = file.display().to_string();
    let told = |e: std::io::Error| vec![format!("{name}: {e}")];
    let length = std::fs::metadata(file).map_err(told)?.len();
    if length > BYTES_MOST {
        return Err(vec![format!(
            "{name}: {length} bytes, {BYTES_MOST} at most"
        )]);
    }
    script::evaluate(&name, std::fs::read_to_string(file).map_err(told)?)
}
