//! Why a part of a reload was rejected.

use crate::config::ConfigError;
use crate::hierarchy::HierarchyError;
use foldmux_operations::class_table::ClassTableError;
use std::fmt;
use std::path::{Path, PathBuf};

/// Separates several faults on one line of the log.
const FAULT_SEPARATOR: &str = "; ";

/// Why a part of a reload was rejected. Nothing of that part has changed. The text is one line.
#[derive(Debug)]
pub enum ReloadError {
    /// The configuration can't be used.
    Config(ConfigError),
    /// The configuration's classes can't be used.
    Classes(ClassTableError),
    /// The operator's file can't be used; one line for each fault.
    Operator(Vec<String>),
    /// The operator's file no longer has the section of a part that is in service.
    Missing {
        /// The operator's file.
        file: PathBuf,
        /// The name of the section.
        section: &'static str,
    },
    /// The fill hierarchy can't be used here.
    Hierarchy(HierarchyError),
    /// The limits can't be used; one line for each fault.
    Limits(Vec<String>),
}

impl ReloadError {
    pub(super) fn missing(file: &Path, section: &'static str) -> ReloadError {
        ReloadError::Missing {
            file: file.to_path_buf(),
            section,
        }
    }
}

impl fmt::Display for ReloadError {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ReloadError::Config(error) => write!(out, "{}", error.faults().join(FAULT_SEPARATOR)),
            ReloadError::Classes(error) => write!(out, "configuration: {error}"),
            ReloadError::Operator(faults) | ReloadError::Limits(faults) => {
                write!(out, "{}", faults.join(FAULT_SEPARATOR))
            }
            ReloadError::Missing { file, section } => {
                write!(out, "{}: no {section} is defined", file.display())
            }
            ReloadError::Hierarchy(error) => write!(out, "{error}"),
        }
    }
}

impl std::error::Error for ReloadError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            ReloadError::Config(error) => Some(error),
            ReloadError::Classes(error) => Some(error),
            ReloadError::Hierarchy(error) => Some(error),
            _ => None,
        }
    }
}

impl From<ConfigError> for ReloadError {
    fn from(error: ConfigError) -> ReloadError {
        ReloadError::Config(error)
    }
}
