//! What names say: classes, routes, fronts and budgets that there are, each once.

use crate::account::{Repeat, FRONTS};
use crate::check::Faults;
use crate::fault::Check;
use crate::table::{Draft, Route, Said};
use crate::values::{Budget, Layer};

/// Most routes of a file.
pub const ROUTES_MOST: usize = 1_000;

impl Faults<'_> {
    pub(crate) fn names(&mut self, draft: &Draft) {
        let mut classes: Vec<&str> = Vec::new();
        for said in &draft.classes {
            let name = said.value.0.as_str();
            if self.account.class(name).is_none() {
                self.add(
                    Check::UnknownClass,
                    vec![said.at.clone()],
                    format!("limits of {name:?}"),
                );
            }
            if classes.contains(&name) {
                self.add(
                    Check::TwiceSet,
                    vec![said.at.clone()],
                    format!("limits of {name}"),
                );
            }
            classes.push(name);
        }
        if draft.routes.len() > ROUTES_MOST {
            let last = &draft.routes[ROUTES_MOST].at;
            self.add(
                Check::TooManyRoutes,
                vec![last.clone()],
                format!("{} routes, {ROUTES_MOST} at most", draft.routes.len()),
            );
        }
        for (n, said) in draft.routes.iter().enumerate() {
            let route = &said.value;
            if self.account.class(&route.class).is_none() {
                let what = format!("route {} of {:?}", route.name, route.class);
                self.add(Check::UnknownClass, vec![said.at.clone()], what);
            }
            if let Some(front) = route
                .matching
                .front
                .as_deref()
                .filter(|front| !FRONTS.contains(front))
            {
                let what = format!("route {}, front {front:?}", route.name);
                self.add(Check::UnknownFront, vec![said.at.clone()], what);
            }
            let matching = &route.matching;
            let stars =
                |text: &&String| text.trim_end_matches('*').contains('*') || text.ends_with("**");
            if let Some(text) = [&matching.zone, &matching.caller]
                .into_iter()
                .flatten()
                .find(stars)
            {
                self.add(
                    Check::PatternShape,
                    vec![said.at.clone()],
                    format!("route {}: {text:?}", route.name),
                );
            }
            let unproved = matching
                .front
                .as_deref()
                .is_some_and(|f| f != "ext_proc" && FRONTS.contains(&f));
            if unproved && matching.caller.as_ref().is_some_and(|caller| caller != "*") {
                let front = matching.front.as_deref().unwrap_or_default();
                let what = format!("route {}: a caller at the front {front:?}", route.name);
                self.add(Check::NeverMatches, vec![said.at.clone()], what);
            }
            let same = |other: &&Said<Route>| {
                other.value.name == route.name && other.value.class == route.class
            };
            if let Some(first) = draft.routes[..n].iter().find(same) {
                let lines = vec![said.at.clone(), first.at.clone()];
                self.add(
                    Check::TwiceSet,
                    lines,
                    format!("route {} of {}", route.name, route.class),
                );
            }
        }
        let layers = draft.defaults.iter().map(|said| (&said.at, &said.value));
        let layers = layers.chain(draft.classes.iter().map(|said| (&said.at, &said.value.1)));
        let keyed = |class: &str| {
            self.account
                .class(class)
                .is_some_and(|class| matches!(class.repeat, Repeat::Keyed(_)))
        };
        let classes = draft
            .classes
            .iter()
            .map(|said| (&said.at, &said.value.0, &said.value.1));
        let routes = draft
            .routes
            .iter()
            .map(|said| (&said.at, &said.value.class, &said.value.layer));
        let stale: Vec<(&String, &String)> = classes
            .chain(routes)
            .filter(|(_, class, layer)| layer.stale_ms.is_some_and(|ms| ms > 0) && keyed(class))
            .map(|(line, class, _)| (line, class))
            .collect();
        for (line, class) in stale {
            self.add(
                Check::StaleOfKeyed,
                vec![line.clone()],
                format!("{class}: stale_ms"),
            );
        }
        let layers: Vec<(&String, &Layer)> = layers
            .chain(
                draft
                    .routes
                    .iter()
                    .map(|said| (&said.at, &said.value.layer)),
            )
            .collect();
        for (line, layer) in layers {
            if let Some(name) = layer.budget.as_ref().filter(|name| *name != "none") {
                if !draft.budgets.iter().any(|said| said.value.name == *name) {
                    self.add(
                        Check::UnknownBudget,
                        vec![line.clone()],
                        format!("budget {name:?}"),
                    );
                }
            }
        }
    }

    pub(crate) fn budgets(&mut self, draft: &Draft) {
        for (n, said) in draft.budgets.iter().enumerate() {
            let Budget {
                name,
                percent,
                burst,
                parent,
            } = &said.value;
            if let Some(first) = draft.budgets[..n]
                .iter()
                .find(|other| other.value.name == *name)
            {
                self.add(
                    Check::TwiceSet,
                    vec![said.at.clone(), first.at.clone()],
                    format!("budget {name}"),
                );
            }
            if !(0.0..=500.0).contains(percent) || *burst == 0 || name == "none" {
                let what = format!("budget {name}: {percent} percent, burst {burst}");
                self.add(Check::BudgetShape, vec![said.at.clone()], what);
            }
            let Some(above) = parent else { continue };
            if !draft.budgets.iter().any(|other| other.value.name == *above) {
                self.add(
                    Check::UnknownBudget,
                    vec![said.at.clone()],
                    format!("{name}'s parent {above:?}"),
                );
                continue;
            }
            let up = |name: &str| {
                draft
                    .budgets
                    .iter()
                    .find(|b| b.value.name == name)?
                    .value
                    .parent
                    .as_deref()
            };
            let mut next = up(name);
            for _ in 0..draft.budgets.len() {
                if next == Some(name) {
                    self.add(
                        Check::BudgetCircle,
                        vec![said.at.clone()],
                        format!("budget {name}"),
                    );
                    break;
                }
                next = next.and_then(up);
            }
        }
    }
}
