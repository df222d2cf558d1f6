//! Why the process could not start.

use crate::config::{ConfigError, NEXT_LINE};
use crate::hierarchy::HierarchyError;
use foldmux_operations::class_table::ClassTableError;
use std::fmt;
use std::io;
use std::net::SocketAddr;

/// Why the process could not start. The program prints its text.
#[derive(Debug)]
pub enum StartError {
    /// The signal handlers could not be installed.
    Signals(io::Error),
    /// The configuration can't be used.
    Config(ConfigError),
    /// The configuration's classes can't be used.
    Classes(ClassTableError),
    /// The configuration's events have a gap.
    KnownEventsGap,
    /// The fill hierarchy can't be used here.
    Hierarchy(HierarchyError),
    /// The limits of the operator's file can't be used; one line for each fault.
    Limits(Vec<String>),
    /// The client listener could not be bound.
    Listen {
        /// The address that was configured.
        address: SocketAddr,
        /// Why it could not be bound.
        source: io::Error,
    },
    /// A part of the process could not start; the text names the part and the reason.
    Component(String),
}

impl fmt::Display for StartError {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            StartError::Signals(source) => write!(out, "signals: {source}"),
            StartError::Config(error) => write!(out, "{error}"),
            StartError::Classes(error) => write!(out, "configuration: {error}"),
            StartError::Hierarchy(error) => write!(out, "{error}"),
            StartError::KnownEventsGap => {
                write!(
                    out,
                    "configuration.known: an event is missing or out of order"
                )
            }
            StartError::Limits(faults) => write!(out, "{}", faults.join(NEXT_LINE)),
            StartError::Listen { address, source } => {
                write!(out, "listening on {address}: {source}")
            }
            StartError::Component(message) => write!(out, "{message}"),
        }
    }
}

impl std::error::Error for StartError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            StartError::Signals(source) | StartError::Listen { source, .. } => Some(source),
            StartError::Config(error) => Some(error),
            StartError::Classes(error) => Some(error),
            StartError::Hierarchy(error) => Some(error),
            _ => None,
        }
    }
}

impl From<ConfigError> for StartError {
    fn from(error: ConfigError) -> StartError {
        StartError::Config(error)
    }
}

impl From<HierarchyError> for StartError {
    fn from(error: HierarchyError) -> StartError {
        StartError::Hierarchy(error)
    }
}

impl From<String> for StartError {
    fn from(message: String) -> StartError {
        StartError::Component(message)
    }
}
