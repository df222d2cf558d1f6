//! The account's rules, checked in order: first what a single value shows, then what values do together; what arithmetic
//! does not settle goes to [`crate::explore`].

use crate::account::Account;
pub use crate::fault::{Check, Fault};
use crate::table::{Draft, Resolved, Table};
use std::sync::Arc;

/// All that is wrong with a file; nothing of one that has a fault is taken.
pub fn check(account: &Account, draft: &Draft) -> Vec<Fault> {
    let mut faults = Faults {
        account,
        all: Vec::new(),
    };
    faults.names(draft);
    faults.budgets(draft);
    if !faults.all.is_empty() {
        return faults.all;
    }
    let table = Table::new(account, draft);
    let all: Vec<&Arc<Resolved>> = table.all().collect();
    // What nobody set is today's, and fine as it is.
    let own: Vec<&Resolved> = all
        .iter()
        .map(|r| &***r)
        .filter(|r| !r.at.is_empty())
        .collect();
    own.iter().for_each(|resolved| faults.single(resolved));
    faults.shadows(&table);
    if !faults.all.is_empty() {
        return faults.all;
    }
    faults.together(&table, &own);
    if faults.all.is_empty() {
        own.iter().for_each(|resolved| faults.searched(resolved));
    }
    faults.all
}

pub(crate) struct Faults<'a> {
    pub(crate) account: &'a Account,
    pub(crate) all: Vec<Fault>,
}

/// Where a field of the values was set.
pub(crate) fn at(resolved: &Resolved, fields: &[&str]) -> Vec<String> {
    let mut lines: Vec<String> = Vec::new();
    for field in fields {
        let line = resolved.from.get(field).filter(|line| *line != "today");
        lines.extend(line.filter(|line| !lines.contains(line)).cloned());
    }
    if lines.is_empty() {
        lines.extend(resolved.at.last().cloned());
    }
    lines
}

impl Faults<'_> {
    pub(crate) fn add(&mut self, check: Check, at: Vec<String>, what: String) {
        // One line says it once, though several routes inherit it.
        if !self
            .all
            .iter()
            .any(|fault| fault.check == check && fault.at == at)
        {
            self.all.push(Fault {
                check,
                at,
                what,
                story: Vec::new(),
            });
        }
    }
}
