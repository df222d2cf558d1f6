//! Resolves an operator's file to the limits of each request: the defaults, then the class, then the first matching route.

use crate::account::{Account, ClassRules};
use crate::effective::{EffectiveLimits, Field};
use crate::overrides::LimitOverrides;
use crate::retry_budget::RetryBudget;
use crate::route_match::RouteMatch;
use std::collections::BTreeMap;
use std::sync::Arc;

/// A value of the operator's file, and where it was set.
#[derive(Clone, Debug, PartialEq)]
pub struct Located<T> {
    /// `FILE:LINE` of the call.
    pub at: String,
    /// The value that the call sets.
    pub value: T,
}

/// The overrides that a file sets for one class.
#[derive(Clone, Debug, PartialEq)]
pub struct ClassOverrides {
    /// Name of the class.
    pub class: String,
    /// The overrides.
    pub overrides: LimitOverrides,
}

/// The overrides that a file sets for some of a class's requests.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteOverrides {
    /// Name of the route, unique within its class.
    pub name: String,
    /// Name of the class.
    pub class: String,
    /// Selects the requests of the class.
    pub matching: RouteMatch,
    /// The overrides.
    pub overrides: LimitOverrides,
}

/// The limits of an operator's file, in its order; neither validated nor resolved.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LimitsFile {
    /// For all classes.
    pub defaults: Option<Located<LimitOverrides>>,
    /// For single classes.
    pub classes: Vec<Located<ClassOverrides>>,
    /// For some of a class's requests; the first route that matches a request applies.
    pub routes: Vec<Located<RouteOverrides>>,
    /// The retry budgets that limits name.
    pub budgets: Vec<Located<RetryBudget>>,
}

/// The limits of a class or of one of its routes, and where each was set.
#[derive(Clone, Debug, PartialEq)]
pub struct ResolvedLimits {
    /// Number of the class.
    pub class: usize,
    /// Name of the route; `None` for the class itself.
    pub route: Option<String>,
    /// `FILE:LINE` of the calls that apply, from the defaults to the route; empty if the file sets nothing.
    pub at: Vec<String>,
    /// Selects the requests of the class.
    pub matching: RouteMatch,
    /// The limits.
    pub values: EffectiveLimits,
    /// `FILE:LINE` of each field that the file sets.
    sources: BTreeMap<Field, String>,
}

impl ResolvedLimits {
    fn defaults(account: &Account, number: usize, class: &ClassRules) -> ResolvedLimits {
        ResolvedLimits {
            class: number,
            route: None,
            at: Vec::new(),
            matching: RouteMatch::default(),
            values: EffectiveLimits::defaults(account, class),
            sources: BTreeMap::new(),
        }
    }

    fn apply(&mut self, at: &str, overrides: &LimitOverrides) {
        for field in overrides.apply(&mut self.values) {
            self.sources.insert(field, at.to_string());
        }
        self.at.push(at.to_string());
    }

    fn with_route(&self, route: &Located<RouteOverrides>) -> ResolvedLimits {
        let mut resolved = ResolvedLimits {
            route: Some(route.value.name.clone()),
            matching: route.value.matching.clone(),
            ..self.clone()
        };
        resolved.apply(&route.at, &route.value.overrides);
        resolved
    }

    /// Returns where the file sets a field, as `FILE:LINE`; `None` if it does not.
    pub fn source(&self, field: Field) -> Option<&str> {
        self.sources.get(&field).map(String::as_str)
    }

    /// Returns whether the file sets a field.
    pub fn is_set(&self, field: Field) -> bool {
        self.sources.contains_key(&field)
    }
}

/// All limits of a file, resolved.
#[derive(Clone, Debug, Default)]
pub struct LimitSet {
    /// The classes' names, by number.
    pub class_names: Vec<String>,
    /// By class number: its routes in the file's order, and last the class itself, which matches all its requests.
    pub by_class: Vec<Vec<Arc<ResolvedLimits>>>,
    /// The retry budgets.
    pub budgets: Vec<Located<RetryBudget>>,
}

impl LimitSet {
    /// Resolves a file. Overrides of a class that the account does not have are ignored; validation reports them.
    pub fn new(account: &Account, file: &LimitsFile) -> LimitSet {
        let mut by_class = Vec::new();
        for (number, class) in account.classes.iter().enumerate() {
            let defaults = ResolvedLimits::defaults(account, number, class);
            by_class.push(resolve_class(defaults, &class.name, file));
        }
        let names = account.classes.iter().map(|class| class.name.clone());
        LimitSet {
            class_names: names.collect(),
            by_class,
            budgets: file.budgets.clone(),
        }
    }

    /// Returns the limits of a request. They are looked up once per request, which keeps them to its end even if other
    /// limits are loaded meanwhile.
    pub fn find(
        &self,
        class: usize,
        zone: &str,
        caller: &str,
        front: &str,
    ) -> Option<&Arc<ResolvedLimits>> {
        let routes = self.by_class.get(class)?;
        routes
            .iter()
            .find(|resolved| resolved.matching.matches(zone, caller, front))
    }

    /// Iterates over the limits of all classes and routes.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<ResolvedLimits>> {
        self.by_class.iter().flatten()
    }

    /// Returns the limits of a class, or of one of its routes, by name.
    pub fn get(&self, class: &str, route: Option<&str>) -> Option<&Arc<ResolvedLimits>> {
        let number = self.class_names.iter().position(|name| name == class)?;
        self.by_class[number]
            .iter()
            .find(|resolved| resolved.route.as_deref() == route)
    }
}

fn resolve_class(
    defaults: ResolvedLimits,
    name: &str,
    file: &LimitsFile,
) -> Vec<Arc<ResolvedLimits>> {
    let mut class = defaults;
    if let Some(located) = &file.defaults {
        class.apply(&located.at, &located.value);
    }
    for located in &file.classes {
        if located.value.class == name {
            class.apply(&located.at, &located.value.overrides);
        }
    }
    let routes = file.routes.iter().filter(|route| route.value.class == name);
    let mut resolved: Vec<Arc<ResolvedLimits>> = routes
        .map(|route| Arc::new(class.with_route(route)))
        .collect();
    resolved.push(Arc::new(class));
    resolved
}

#[cfg(test)]
mod tests;
