//! What the calls of a script have set so far, and how a call sets it.

use super::fleet::Parts;
use crate::values::{AskRule, ExtProc, LedgerFile, Operator, Place, TokenKey};
use anyhow::{anyhow, bail};
use foldmux_hierarchy::slow_start::SlowStart;
use foldmux_hierarchy::tree::ProposedNode;
use foldmux_limits::resolve::LimitsFile;
use garde::Validate;
use starlark::eval::Evaluator;
use starlark::values::none::{NoneOr, NoneType};
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::str::FromStr;

thread_local! {
    /// What the calls of the script under evaluation have set so far. On the thread, as the library's own place for
    /// it wants an implementation that is unsafe.
    pub(super) static SETS: RefCell<Sets> = RefCell::default();
}

#[derive(Debug, Default)]
pub(super) struct Sets {
    pub head: Option<Head>,
    pub nodes: Vec<ProposedNode>,
    pub places: HashMap<String, Place>,
    /// Where each node was named first.
    pub lines: HashMap<String, String>,
    pub cold: Option<SlowStart>,
    pub asks: Vec<AskRule>,
    pub keys: Vec<TokenKey>,
    pub ledger: Option<LedgerFile>,
    /// Where the external processor is set, and what it is still without its parts.
    pub ext_proc: Option<(String, ExtProc)>,
    pub limits: Option<LimitsFile>,
    pub fleet: Parts,
    pub operator: Operator,
}

#[derive(Debug)]
pub(super) struct Head {
    pub at: String,
    pub epoch: u64,
    pub domain: String,
    pub overlap_ms: u64,
    pub skip: bool,
    pub instead_of: Option<u64>,
}

/// The call under way: where it stands in the file.
pub(super) fn here(eval: &Evaluator) -> String {
    match eval.call_stack_top_location() {
        Some(span) => format!("{}:{}", span.filename(), span.resolve_span().begin.line + 1),
        None => "the script".to_string(),
    }
}

pub(super) fn address(what: &str, text: &str) -> anyhow::Result<SocketAddr> {
    SocketAddr::from_str(text)
        .map_err(|_| anyhow!("{what}: {text:?} is no address; IP:PORT is wanted"))
}

pub(super) fn addressed(what: &str, text: NoneOr<&str>) -> anyhow::Result<Option<SocketAddr>> {
    text.into_option()
        .map(|text| address(what, text))
        .transpose()
}

pub(super) fn whole(what: &str, number: i64) -> anyhow::Result<u64> {
    u64::try_from(number).map_err(|_| anyhow!("{what}: {number} is negative"))
}

pub(super) fn within(what: &str, number: f64, least: f64, most: f64) -> anyhow::Result<f64> {
    if !(least..=most).contains(&number) {
        bail!("{what}: {number} is not within {least} to {most}");
    }
    Ok(number)
}

pub(super) fn valid<T: Validate<Context = ()>>(value: T) -> anyhow::Result<T> {
    value
        .validate()
        .map_err(|report| anyhow!("{}", report.to_string().trim().replace('\n', "; ")))?;
    Ok(value)
}

pub(super) fn once<T>(
    slot: impl FnOnce(&mut Sets) -> &mut Option<T>,
    value: T,
    what: &str,
) -> anyhow::Result<NoneType> {
    SETS.with_borrow_mut(|sets| match slot(sets).replace(value) {
        Some(_) => bail!("{what} is set twice"),
        None => Ok(NoneType),
    })
}

pub(super) fn few<T>(
    list: impl FnOnce(&mut Sets) -> &mut Vec<T>,
    value: T,
    what: &str,
) -> anyhow::Result<NoneType> {
    SETS.with_borrow_mut(|sets| {
        let list = list(sets);
        if list.len() >= 256 {
            bail!("more than 256 {what}");
        }
        list.push(value);
        Ok(NoneType)
    })
}
