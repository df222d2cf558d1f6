//! The directory that the platform gives the processes of one edge proxy: in an upgrade the old and the new one share it.

use std::path::PathBuf;

/// Environment variable that names the directory.
const VARIABLE: &str = "TMPDIR";

/// The directory, if the platform gives one.
pub(crate) fn shared_directory() -> Option<PathBuf> {
    std::env::var_os(VARIABLE).map(PathBuf::from)
}
