//! From what a file says to the values of each request: defaults, then the class, then the first route that matches.

use crate::account::Account;
use crate::values::{Budget, Effective, Layer, FIELDS};
use std::collections::HashMap;
use std::sync::Arc;

/// Which requests of a class a route is for. None: any.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Match {
    pub zone: Option<String>,
    /// The caller's identity, or the beginning of it where it ends in `*`.
    pub caller: Option<String>,
    pub front: Option<String>,
}

impl Match {
    pub(crate) fn part(own: &Option<String>, other: &str) -> bool {
        match own.as_deref() {
            None => true,
            Some(own) => match own.strip_suffix('*') {
                Some(begin) => other.starts_with(begin),
                None => own == other,
            },
        }
    }

    pub fn fits(&self, zone: &str, caller: &str, front: &str) -> bool {
        Match::part(&self.zone, zone)
            && Match::part(&self.caller, caller)
            && Match::part(&self.front, front)
    }

    /// Whether whatever fits the other fits this as well.
    pub fn covers(&self, other: &Match) -> bool {
        let covers =
            |own: &Option<String>, other: &Option<String>| match (own.as_deref(), other.as_deref())
            {
                (None, _) => true,
                (Some(_), None) => false,
                (Some(own), Some(other)) => match own.strip_suffix('*') {
                    Some(begin) => other.trim_end_matches('*').starts_with(begin),
                    None => own == other,
                },
            };
        covers(&self.zone, &other.zone)
            && covers(&self.caller, &other.caller)
            && covers(&self.front, &other.front)
    }

    /// Whether some request fits both.
    pub fn meets(&self, other: &Match) -> bool {
        let meets = |a: &Option<String>, b: &Option<String>| match (a.as_deref(), b.as_deref()) {
            (None, _) | (_, None) => true,
            (Some(a), Some(b)) => match (a.strip_suffix('*'), b.strip_suffix('*')) {
                (None, None) => a == b,
                (Some(begin), None) => b.starts_with(begin),
                (None, Some(begin)) => a.starts_with(begin),
                (Some(a), Some(b)) => a.starts_with(b) || b.starts_with(a),
            },
        };
        meets(&self.zone, &other.zone)
            && meets(&self.caller, &other.caller)
            && meets(&self.front, &other.front)
    }
}

/// One call in the file; `at` is FILE:LINE.
#[derive(Clone, Debug, PartialEq)]
pub struct Said<T> {
    pub at: String,
    pub value: T,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    pub name: String,
    pub class: String,
    pub matching: Match,
    pub layer: Layer,
}

/// What a file says, in its order.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Draft {
    /// For all classes.
    pub defaults: Option<Said<Layer>>,
    pub classes: Vec<Said<(String, Layer)>>,
    pub routes: Vec<Said<Route>>,
    pub budgets: Vec<Said<Budget>>,
}

/// Effective values, and where each comes from.
#[derive(Clone, Debug, PartialEq)]
pub struct Resolved {
    pub class: usize,
    /// None: the class itself.
    pub route: Option<String>,
    pub at: Vec<String>,
    pub matching: Match,
    pub values: Effective,
    /// By field: the place in the file, or `today`.
    pub from: HashMap<&'static str, String>,
}

/// All values that a file makes, ready to be looked up.
#[derive(Clone, Debug, Default)]
pub struct Table {
    pub names: Vec<String>,
    /// By class: its routes in the file's order, and its own at the end, which fits all.
    pub by_class: Vec<Vec<Arc<Resolved>>>,
    pub budgets: Vec<Said<Budget>>,
}

fn put(resolved: &mut Resolved, at: &str, layer: &Layer) {
    for field in layer.over(&mut resolved.values) {
        resolved.from.insert(field, at.to_string());
    }
    resolved.at.push(at.to_string());
}

impl Table {
    /// Names that are unknown here are the checks' to tell: what names no class of the account is left out.
    pub fn new(account: &Account, draft: &Draft) -> Table {
        let mut by_class = Vec::new();
        for (number, class) in account.classes.iter().enumerate() {
            let from = FIELDS
                .iter()
                .map(|field| (*field, "today".to_string()))
                .collect();
            let values = Effective::today(account, class);
            let matching = Match::default();
            let mut own = Resolved {
                class: number,
                route: None,
                at: Vec::new(),
                matching,
                values,
                from,
            };
            draft
                .defaults
                .iter()
                .for_each(|said| put(&mut own, &said.at, &said.value));
            for said in draft
                .classes
                .iter()
                .filter(|said| said.value.0 == class.name)
            {
                put(&mut own, &said.at, &said.value.1);
            }
            let mut all = Vec::new();
            for said in draft
                .routes
                .iter()
                .filter(|said| said.value.class == class.name)
            {
                let mut route = Resolved {
                    route: Some(said.value.name.clone()),
                    matching: said.value.matching.clone(),
                    ..own.clone()
                };
                put(&mut route, &said.at, &said.value.layer);
                all.push(Arc::new(route));
            }
            all.push(Arc::new(own));
            by_class.push(all);
        }
        let names = account
            .classes
            .iter()
            .map(|class| class.name.clone())
            .collect();
        Table {
            names,
            by_class,
            budgets: draft.budgets.clone(),
        }
    }

    /// The values of a request. Once for each: they are its own until it ends, whatever is loaded meanwhile.
    pub fn find(
        &self,
        class: usize,
        zone: &str,
        caller: &str,
        front: &str,
    ) -> Option<&Arc<Resolved>> {
        self.by_class
            .get(class)?
            .iter()
            .find(|resolved| resolved.matching.fits(zone, caller, front))
    }

    pub fn all(&self) -> impl Iterator<Item = &Arc<Resolved>> {
        self.by_class.iter().flatten()
    }

    /// A class's own, or one of its routes.
    pub fn named(&self, class: &str, route: Option<&str>) -> Option<&Arc<Resolved>> {
        let number = self.names.iter().position(|name| name == class)?;
        self.by_class[number]
            .iter()
            .find(|resolved| resolved.route.as_deref() == route)
    }
}

#[cfg(test)]
mod tests;
