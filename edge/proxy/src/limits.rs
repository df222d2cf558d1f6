//! The operator's file's limits by class and route: checked against the account's rules, printed and compared. Without
//! limits in the file none are enforced.

use crate::config::{self, NEXT_LINE};
use foldmux::interface::{
    Class as RouterClass, KeyScope as RouterKeyScope, RetrySafety as RouterRetrySafety,
};
use foldmux_limits::account::{Account, ClassRules, IdempotencyScope, RetrySafety};
use foldmux_limits::export;
use foldmux_limits::resolve::{LimitSet, LimitsFile};
use foldmux_limits::validation::validate;
use foldmux_settings::Decoded;
use std::fmt;
use std::path::Path;

const USAGE: &str =
    "limits show CLASS [--route R] | export | schema | diff OLD NEW; see foldmux help";

/// Why `foldmux limits` failed.
#[derive(Debug, PartialEq, Eq)]
pub enum LimitsError {
    /// A file can't be used; one line for each fault.
    File(Vec<String>),
    /// No class has this name.
    UnknownClass(String),
    /// The class has no such route.
    UnknownRoute {
        /// The class that was named.
        class: String,
        /// The route that was named.
        route: String,
    },
    /// The arguments are not a command of `foldmux limits`.
    Usage,
}

impl fmt::Display for LimitsError {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            LimitsError::File(faults) => write!(out, "{}", faults.join(NEXT_LINE)),
            LimitsError::UnknownClass(class) => write!(out, "unknown class {class}"),
            LimitsError::UnknownRoute { class, route } => {
                write!(out, "class {class} has no route {route}")
            }
            LimitsError::Usage => write!(out, "{USAGE}"),
        }
    }
}

impl std::error::Error for LimitsError {}

/// The account's rules: the platform's settings, and the limits on this process.
pub fn account(decoded: &Decoded, process: &config::Limits) -> Account {
    let settings = &decoded.settings;
    let classes = decoded.classes.iter().zip(&settings.classes);
    Account {
        classes: classes
            .map(|(name, class)| account_class(name, class))
            .collect(),
        max_attempts: settings.max_attempts as u64,
        may_duplicate: settings.may_hedge,
        max_retry_after_ms: settings.max_retry_after.map(milliseconds),
        answer_slack_ms: milliseconds(settings.response_slack),
        purge_slack_ms: milliseconds(settings.purge_slack),
        max_sockets: process.sockets as u64,
        memory_mb: process.memory_mb as u64,
    }
}

fn account_class(name: &str, class: &RouterClass) -> ClassRules {
    ClassRules {
        name: name.to_string(),
        deadline_ms: milliseconds(class.deadline),
        objective_ms: milliseconds(class.latency_objective),
        retry_safety: match class.retry_safety {
            RouterRetrySafety::Idempotent => RetrySafety::Idempotent,
            RouterRetrySafety::NonIdempotent => RetrySafety::NotIdempotent,
            RouterRetrySafety::Keyed(RouterKeyScope::All) => {
                RetrySafety::Keyed(IdempotencyScope::All)
            }
            RouterRetrySafety::Keyed(RouterKeyScope::Zone) => {
                RetrySafety::Keyed(IdempotencyScope::Zone)
            }
            RouterRetrySafety::Keyed(RouterKeyScope::Cell) => {
                RetrySafety::Keyed(IdempotencyScope::Cell)
            }
        },
        idempotency_window_ms: milliseconds(class.idempotency_window),
    }
}

fn milliseconds(microseconds: u64) -> u64 {
    microseconds / 1_000
}

/// The number of classes and routes for which the operator's file sets limits.
pub fn count_own_sets(limits: &LimitSet) -> usize {
    let sets = limits.iter();
    sets.filter(|resolved| !resolved.at.is_empty()).count()
}

/// Checks the limits of a file and resolves them for each class and route.
///
/// # Errors
///
/// Returns one line for each rule that the file violates.
pub fn resolve(account: &Account, file: &LimitsFile) -> Result<LimitSet, Vec<String>> {
    let violations = validate(account, file);
    match violations.is_empty() {
        true => Ok(LimitSet::new(account, file)),
        false => Err(violations.iter().map(ToString::to_string).collect()),
    }
}

fn load(file: &Path) -> Result<LimitSet, LimitsError> {
    let operator = foldmux_operator::load(file).map_err(LimitsError::File)?;
    let file = operator.limits.unwrap_or_default();
    resolve(&Account::default(), &file).map_err(LimitsError::File)
}

fn load_or_default(file: Option<&Path>) -> Result<LimitSet, LimitsError> {
    match file {
        Some(file) => load(file),
        None => Ok(LimitSet::new(&Account::default(), &LimitsFile::default())),
    }
}

/// Runs `foldmux limits` with these arguments, and returns what it prints.
///
/// # Errors
///
/// Returns an error if the arguments are not a command, a file can't be used, or it has no such class or route.
pub fn run_command(
    arguments: &[String],
    operator: Option<&Path>,
    route: Option<&str>,
) -> Result<String, LimitsError> {
    let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
    match arguments[..] {
        ["show", class] => show(&load_or_default(operator)?, class, route),
        ["export"] => Ok(export::to_json(&load_or_default(operator)?) + "\n"),
        ["schema"] => Ok(export::schema()),
        ["diff", old, new] => {
            let lines = export::diff(&load(Path::new(old))?, &load(Path::new(new))?);
            Ok(lines.iter().map(|line| format!("{line}\n")).collect())
        }
        _ => Err(LimitsError::Usage),
    }
}

fn show(limits: &LimitSet, class: &str, route: Option<&str>) -> Result<String, LimitsError> {
    let resolved = limits.get(class, route).ok_or_else(|| match route {
        Some(route) => LimitsError::UnknownRoute {
            class: class.to_string(),
            route: route.to_string(),
        },
        None => LimitsError::UnknownClass(class.to_string()),
    })?;
    Ok(export::describe(limits, resolved))
}
