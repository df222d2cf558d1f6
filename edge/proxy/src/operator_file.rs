//! Reads the operator's file for the commands of the program.

use crate::config::NEXT_LINE;
use foldmux_operator::{Hierarchy, Operator};
use std::fmt;
use std::path::{Path, PathBuf};

/// Why the operator's file can't be used.
#[derive(Debug, PartialEq, Eq)]
pub enum OperatorFileError {
    /// The file can't be read, or its script fails; one line for each fault.
    Faults(Vec<String>),
    /// The file doesn't define a hierarchy.
    NoHierarchy(PathBuf),
}

impl fmt::Display for OperatorFileError {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            OperatorFileError::Faults(faults) => write!(out, "{}", faults.join(NEXT_LINE)),
            OperatorFileError::NoHierarchy(file) => {
                write!(out, "{}: no hierarchy is defined", file.display())
            }
        }
    }
}

impl std::error::Error for OperatorFileError {}

/// Reads the operator's file.
///
/// # Errors
///
/// Returns an error if the file can't be read, or its script fails.
pub fn load(file: &Path) -> Result<Operator, OperatorFileError> {
    foldmux_operator::load(file).map_err(OperatorFileError::Faults)
}

/// Reads the hierarchy of an operator's file.
///
/// # Errors
///
/// Returns an error if the file can't be read, its script fails, or it doesn't define a hierarchy.
pub fn load_hierarchy(file: &Path) -> Result<Hierarchy, OperatorFileError> {
    load(file)?
        .hierarchy
        .ok_or_else(|| OperatorFileError::NoHierarchy(file.to_path_buf()))
}
