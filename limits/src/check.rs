//! Every rule of the account as a named check: what is wrong, where in the file, and why it is refused. First what a
//! single value shows, then what values do together; what arithmetic does not settle goes to [`crate::explore`].

use crate::account::{Account, Repeat};
use crate::explore::{self, Setting};
use crate::table::{Draft, Resolved, Table};
use crate::values::{Budget, Concurrency, Layer};
use std::fmt;
use std::sync::Arc;

/// Part of the boxes that fails, in the check of storms, and how much load that may make.
pub const STORM_FAILS: f64 = 0.2;
pub const STORM_MOST: f64 = 2.0;
/// Repeats that the module itself makes, for each hundred requests, where no budget is named.
pub const MODULE_PERCENT: f64 = 10.0;
/// Most routes of a file.
pub const ROUTES_MOST: usize = 1_000;

pub const FRONTS: [&str; 3] = ["msgpack", "dns", "ext_proc"];

macro_rules! checks {
    ($($name:ident = $text:literal: $why:literal,)*) => {
        /// A rule, by its name.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
        pub enum Check { $($name,)* }

        impl Check {
            pub const ALL: &'static [Check] = &[$(Check::$name,)*];

            pub fn name(self) -> &'static str {
                match self { $(Check::$name => $text,)* }
            }

            /// Why such a file is refused.
            pub fn reason(self) -> &'static str {
                match self { $(Check::$name => $why,)* }
            }
        }
    };
}

checks! {
    UnknownClass = "unknown-class": "the account has no class of that name, so the limits would hold for nothing",
    UnknownBudget = "unknown-budget": "no budget has that name, so repeats would be unbounded",
    UnknownFront = "unknown-front": "no front has that name, so the route would match nothing",
    PatternShape = "pattern-shape": "a * stands for what follows at the end alone: elsewhere nothing would ever match",
    NeverMatches = "never-matches": "callers prove who they are at the external processor alone, so nothing would ever match",
    TwiceSet = "twice-set": "two calls set the same, and only one of them could hold",
    TooManyRoutes = "too-many-routes": "each request looks through its class's routes",
    DeadlinePastAccount = "deadline-past-account": "clients leave at the account's deadline: what is done after it is lost",
    NoRoomForAnswer = "no-room-for-answer": "a final answer is due within the slack, so a deadline must be over it",
    AttemptPastDeadline = "attempt-past-deadline": "an attempt that may take longer than the request ends after its answer is due",
    NoAttempt = "no-attempt": "a request without an attempt is never served",
    TooManyAttempts = "too-many-attempts": "the account allows no more attempts of one request",
    CopiesAtOnce = "copies-at-once": "the account allows no two attempts of one request at once (mayDuplicate is false)",
    WaitPastAccount = "wait-past-account": "clients follow no longer advice to come back",
    WindowPastArchive = "window-past-archive": "the archive drops a key's repeats for its window only: a later one would run twice",
    GroupTooWide = "group-too-wide": "a repeat outside the group that drops repeats would run twice",
    NotKeyed = "not-keyed": "only keyed classes have a window and a group",
    RepeatedOnce = "repeated-once": "an attempt of this class may have run, and none may follow",
    StalePastPurge = "stale-past-purge": "an older copy may be served for the purge slack and no longer",
    StaleOfKeyed = "stale-of-keyed": "nothing of a keyed class is kept, so there is never an old copy to serve",
    RankOutOfRange = "rank-out-of-range": "caches know ranks 0 to 3",
    BackoffShape = "backoff-shape": "pauses grow from the first to the most, less a part of 0 to 100 percent",
    BackoffPastDeadline = "backoff-past-deadline": "after such a pause there is no time for an attempt",
    QueueWithoutAge = "queue-without-age": "what waits without an age is answered after its client left",
    AgeWithoutQueue = "age-without-queue": "an age of what never waits says nothing: the queue is 0",
    QueueWithoutPlaces = "queue-without-places": "without a bound on places nothing ever waits",
    AgePastDeadline = "age-past-deadline": "what waits past its deadline is answered after its client left",
    PlacesShape = "places-shape": "places are at least one, and the least is under the most",
    PlacesPastRoom = "places-past-room": "the process has descriptors and memory for fewer requests",
    BudgetShape = "budget-shape": "a budget earns 0 to 500 percent and holds at least one token",
    BudgetCircle = "budget-circle": "a budget above itself could never be taken from",
    NeverMade = "never-made": "an attempt that can only begin after the window or the deadline is never made",
    ShadowedRoute = "shadowed-route": "a route before it takes all that it would match",
    // What is fine alone, and not together.
    Storm = "storm": "with a fifth of the boxes failing, repeats would more than double the load",
    BurstsTogether = "bursts-together": "all bursts spent at once would double the load of a full process in an instant",
    BudgetStarves = "budget-starves": "another class can take all tokens of a keyed class, and leave its records unrepeated",
    ParentStarves = "parent-starves": "the other budgets under one parent can take all that it earns from a keyed class",
    PlacesTogether = "places-together": "all classes' places and queues together are over the process's descriptors and memory",
    WaitStarves = "wait-starves": "after the longest wait there is no time left for one whole attempt",
    WindowsDiffer = "windows-differ": "one key can come by both, and each would believe another window or group",
    StaleAndWait = "stale-and-wait": "a copy that is old when it is judged is served after the wait: together past the purge slack",
    TriesPastAnswer = "tries-past-answer": "the wait and the attempts' pauses together leave no time in which the last attempt could end",
    RunsTwice = "runs-twice": "a sequence of lost answers and pauses leads to a second run of one key",
}

/// One fault: its check, the lines that clash, and what it is about.
#[derive(Clone, Debug, PartialEq)]
pub struct Fault {
    pub check: Check,
    pub at: Vec<String>,
    pub what: String,
    /// How it comes about, step by step, where that was searched for.
    pub story: Vec<String>,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let at = self.at.first().map(String::as_str).unwrap_or("the file");
        write!(f, "{at}: [{}] {}: {}", self.check.name(), self.what, self.check.reason())?;
        if self.at.len() > 1 {
            write!(f, " (with {})", self.at[1..].join(", "))?;
        }
        if !self.story.is_empty() {
            write!(f, "; how: {}", self.story.join("; "))?;
        }
        Ok(())
    }
}

/// All that is wrong with a file; nothing of one that has a fault is taken.
pub fn check(account: &Account, draft: &Draft) -> Vec<Fault> {
    let mut faults = Faults { account, all: Vec::new() };
    faults.names(draft);
    faults.budgets(draft);
    if !faults.all.is_empty() {
        return faults.all;
    }
    let table = Table::new(account, draft);
    let all: Vec<&Arc<Resolved>> = table.all().collect();
    // What nobody set is today's, and fine as it is.
    let own: Vec<&Resolved> = all.iter().map(|r| &***r).filter(|r| !r.at.is_empty()).collect();
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

struct Faults<'a> {
    account: &'a Account,
    all: Vec<Fault>,
}

/// Where a field of the values was set.
fn at(resolved: &Resolved, fields: &[&str]) -> Vec<String> {
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
    fn add(&mut self, check: Check, at: Vec<String>, what: String) {
        // One line says it once, though several routes inherit it.
        if !self.all.iter().any(|fault| fault.check == check && fault.at == at) {
            self.all.push(Fault { check, at, what, story: Vec::new() });
        }
    }

    fn names(&mut self, draft: &Draft) {
        let mut classes: Vec<&str> = Vec::new();
        for said in &draft.classes {
            let name = said.value.0.as_str();
            if self.account.class(name).is_none() {
                self.add(Check::UnknownClass, vec![said.at.clone()], format!("limits of {name:?}"));
            }
            if classes.contains(&name) {
                self.add(Check::TwiceSet, vec![said.at.clone()], format!("limits of {name}"));
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
            if let Some(front) = route.matching.front.as_deref().filter(|front| !FRONTS.contains(front)) {
                let what = format!("route {}, front {front:?}", route.name);
                self.add(Check::UnknownFront, vec![said.at.clone()], what);
            }
            let matching = &route.matching;
            let stars = |text: &&String| text.trim_end_matches('*').contains('*') || text.ends_with("**");
            if let Some(text) = [&matching.zone, &matching.caller].into_iter().flatten().find(stars) {
                self.add(
                    Check::PatternShape,
                    vec![said.at.clone()],
                    format!("route {}: {text:?}", route.name),
                );
            }
            let unproved = matching.front.as_deref().is_some_and(|f| f != "ext_proc" && FRONTS.contains(&f));
            if unproved && matching.caller.as_ref().is_some_and(|caller| caller != "*") {
                let front = matching.front.as_deref().unwrap_or_default();
                let what = format!("route {}: a caller at the front {front:?}", route.name);
                self.add(Check::NeverMatches, vec![said.at.clone()], what);
            }
            let same = |other: &&crate::table::Said<crate::table::Route>| {
                other.value.name == route.name && other.value.class == route.class
            };
            if let Some(first) = draft.routes[..n].iter().find(same) {
                let lines = vec![said.at.clone(), first.at.clone()];
                self.add(Check::TwiceSet, lines, format!("route {} of {}", route.name, route.class));
            }
        }
        let layers = draft.defaults.iter().map(|said| (&said.at, &said.value));
        let layers = layers.chain(draft.classes.iter().map(|said| (&said.at, &said.value.1)));
        let keyed = |class: &str| {
            self.account.class(class).is_some_and(|class| matches!(class.repeat, Repeat::Keyed(_)))
        };
        let classes = draft.classes.iter().map(|said| (&said.at, &said.value.0, &said.value.1));
        let routes = draft.routes.iter().map(|said| (&said.at, &said.value.class, &said.value.layer));
        let stale: Vec<(&String, &String)> = classes
            .chain(routes)
            .filter(|(_, class, layer)| layer.stale_ms.is_some_and(|ms| ms > 0) && keyed(class))
            .map(|(line, class, _)| (line, class))
            .collect();
        for (line, class) in stale {
            self.add(Check::StaleOfKeyed, vec![line.clone()], format!("{class}: stale_ms"));
        }
        let layers: Vec<(&String, &Layer)> =
            layers.chain(draft.routes.iter().map(|said| (&said.at, &said.value.layer))).collect();
        for (line, layer) in layers {
            if let Some(name) = layer.budget.as_ref().filter(|name| *name != "none") {
                if !draft.budgets.iter().any(|said| said.value.name == *name) {
                    self.add(Check::UnknownBudget, vec![line.clone()], format!("budget {name:?}"));
                }
            }
        }
    }

    fn budgets(&mut self, draft: &Draft) {
        for (n, said) in draft.budgets.iter().enumerate() {
            let Budget { name, percent, burst, parent } = &said.value;
            if let Some(first) = draft.budgets[..n].iter().find(|other| other.value.name == *name) {
                self.add(Check::TwiceSet, vec![said.at.clone(), first.at.clone()], format!("budget {name}"));
            }
            if !(0.0..=500.0).contains(percent) || *burst == 0 || name == "none" {
                let what = format!("budget {name}: {percent} percent, burst {burst}");
                self.add(Check::BudgetShape, vec![said.at.clone()], what);
            }
            let Some(above) = parent else { continue };
            if !draft.budgets.iter().any(|other| other.value.name == *above) {
                self.add(Check::UnknownBudget, vec![said.at.clone()], format!("{name}'s parent {above:?}"));
                continue;
            }
            let up =
                |name: &str| draft.budgets.iter().find(|b| b.value.name == name)?.value.parent.as_deref();
            let mut next = up(name);
            for _ in 0..draft.budgets.len() {
                if next == Some(name) {
                    self.add(Check::BudgetCircle, vec![said.at.clone()], format!("budget {name}"));
                    break;
                }
                next = next.and_then(up);
            }
        }
    }

    fn single(&mut self, resolved: &Resolved) {
        let (account, values) = (self.account, &resolved.values);
        let class = &account.classes[resolved.class];
        let name = match &resolved.route {
            Some(route) => format!("{}, route {route}", class.name),
            None => class.name.clone(),
        };
        let mut add = |check, fields: &[&str], what: String| {
            self.add(check, at(resolved, fields), format!("{name}: {what}"))
        };
        if values.deadline_ms > class.deadline_ms {
            add(
                Check::DeadlinePastAccount,
                &["deadline_ms"],
                format!("deadline {} ms, the account's {} ms", values.deadline_ms, class.deadline_ms),
            );
        }
        if values.deadline_ms <= account.answer_slack_ms {
            let what = format!("deadline {} ms, slack {} ms", values.deadline_ms, account.answer_slack_ms);
            add(Check::NoRoomForAnswer, &["deadline_ms"], what);
            // Nothing else of it fits into no time.
            return;
        }
        if values.attempt_ms > values.deadline_ms {
            let what = format!("attempt {} ms, deadline {} ms", values.attempt_ms, values.deadline_ms);
            add(Check::AttemptPastDeadline, &["attempt_ms", "deadline_ms"], what);
        }
        if values.attempts == 0 {
            add(Check::NoAttempt, &["attempts"], "attempts 0".to_string());
        }
        if values.attempts > account.max_attempts {
            let what = format!("attempts {}, maxAttempts {}", values.attempts, account.max_attempts);
            add(Check::TooManyAttempts, &["attempts"], what);
        }
        if values.copies != 1 && !(values.copies > 1 && account.may_duplicate && class.repeat == Repeat::Free)
        {
            add(Check::CopiesAtOnce, &["copies"], format!("copies {}", values.copies));
        }
        if values.wait_ms > account.max_wait_ms.unwrap_or(0) {
            let what =
                format!("wait {} ms, maxRetryAfter {} ms", values.wait_ms, account.max_wait_ms.unwrap_or(0));
            add(Check::WaitPastAccount, &["wait_ms"], what);
        }
        let set = |field| resolved.from.get(field).is_some_and(|line| line != "today");
        match class.repeat {
            Repeat::Keyed(group) => {
                if values.window_ms > class.window_ms {
                    let what =
                        format!("window {} ms, the archive's {} ms", values.window_ms, class.window_ms);
                    add(Check::WindowPastArchive, &["window_ms"], what);
                }
                if values.group > group {
                    add(
                        Check::GroupTooWide,
                        &["group"],
                        format!("group {:?}, the account's {group:?}", values.group),
                    );
                }
            }
            _ if set("window_ms") || set("group") => {
                add(Check::NotKeyed, &["window_ms", "group"], "a window or a group".to_string());
            }
            _ => {}
        }
        if class.repeat == Repeat::Once && values.attempts > 1 && set("attempts") {
            add(Check::RepeatedOnce, &["attempts"], format!("attempts {}", values.attempts));
        }
        if values.stale_ms > account.purge_slack_ms {
            let what = format!("stale {} ms, purgeSlack {} ms", values.stale_ms, account.purge_slack_ms);
            add(Check::StalePastPurge, &["stale_ms"], what);
        }
        if values.keep > 3 {
            add(Check::RankOutOfRange, &["keep"], format!("keep {}", values.keep));
        }
        let backoff = ["backoff_ms", "backoff_factor", "backoff_most_ms", "jitter_percent"];
        let most = values.backoff_most_ms;
        let shaped =
            (1.0..=100.0).contains(&values.backoff_factor) && (0.0..=100.0).contains(&values.jitter_percent);
        if !shaped || (most > 0 && most < values.backoff_ms) || (most > 0 && values.backoff_ms == 0) {
            let what = format!(
                "backoff {} ms, times {}, {} ms at most, less {} percent",
                values.backoff_ms, values.backoff_factor, most, values.jitter_percent
            );
            add(Check::BackoffShape, &backoff, what);
        }
        if values.backoff_ms >= values.deadline_ms {
            let what = format!("backoff {} ms, deadline {} ms", values.backoff_ms, values.deadline_ms);
            add(Check::BackoffPastDeadline, &["backoff_ms", "deadline_ms"], what);
        }
        if values.queue > 0 && values.queue_age_ms == 0 {
            add(Check::QueueWithoutAge, &["queue", "queue_age_ms"], format!("queue {}", values.queue));
        }
        if values.queue == 0 && values.queue_age_ms > 0 {
            add(
                Check::AgeWithoutQueue,
                &["queue_age_ms", "queue"],
                format!("age {} ms", values.queue_age_ms),
            );
        }
        if values.queue > 0 && values.concurrency.is_none() {
            add(Check::QueueWithoutPlaces, &["queue", "concurrency"], format!("queue {}", values.queue));
        }
        if values.queue_age_ms >= values.deadline_ms {
            let what = format!("age {} ms, deadline {} ms", values.queue_age_ms, values.deadline_ms);
            add(Check::AgePastDeadline, &["queue_age_ms", "deadline_ms"], what);
        }
        match values.concurrency {
            Some(Concurrency::Adaptive { least, most }) if least == 0 || least > most => {
                add(Check::PlacesShape, &["concurrency"], format!("places {least} to {most}"));
            }
            Some(places) if places.most() > account.room() => {
                let what = format!("places {}, room for {}", places.most(), account.room());
                add(Check::PlacesPastRoom, &["concurrency"], what);
            }
            _ => {}
        }
        if values.queue > account.room() {
            add(
                Check::PlacesPastRoom,
                &["queue"],
                format!("queue {}, room for {}", values.queue, account.room()),
            );
        }
        // Where each attempt takes its whole time, the last one begins so late.
        if values.attempt_ms > 0 && values.attempts > 1 && values.attempts <= account.max_attempts {
            let pauses: u64 = (1..values.attempts).map(|n| values.pause_ms(n, 1.0)).sum();
            let begins = values.attempt_ms * (values.attempts - 1) + pauses;
            let keyed = matches!(class.repeat, Repeat::Keyed(_));
            let end = if keyed { values.window_ms.min(values.deadline_ms) } else { values.deadline_ms };
            if begins >= end && set("attempts") {
                let what =
                    format!("attempt {} begins after {begins} ms, the end is at {end} ms", values.attempts);
                add(Check::NeverMade, &["attempts", "attempt_ms", "backoff_ms", "window_ms"], what);
            }
        }
    }

    fn shadows(&mut self, table: &Table) {
        for routes in &table.by_class {
            for (n, route) in routes.iter().enumerate().filter(|(_, route)| route.route.is_some()) {
                let before = routes[..n].iter().find(|other| other.matching.covers(&route.matching));
                if let Some(before) = before {
                    let lines = [route, before].iter().filter_map(|r| r.at.last().cloned()).collect();
                    let (name, by) =
                        (route.route.clone().unwrap_or_default(), before.route.clone().unwrap_or_default());
                    let what = format!("{}: route {name} is behind {by}", table.names[route.class]);
                    self.add(Check::ShadowedRoute, lines, what);
                }
            }
        }
    }

    /// Tokens that a class's repeats can take, for each hundred of its requests.
    fn percent(&self, table: &Table, budget: Option<&str>) -> f64 {
        let Some(mut next) = budget else { return MODULE_PERCENT };
        let mut least = f64::INFINITY;
        for _ in 0..=table.budgets.len() {
            let Some(said) = table.budgets.iter().find(|said| said.value.name == next) else { break };
            least = least.min(said.value.percent);
            match &said.value.parent {
                Some(parent) => next = parent,
                None => break,
            }
        }
        least
    }

    fn together(&mut self, table: &Table, own: &[&Resolved]) {
        let account = self.account;
        // A failing part fails each of a request's attempts there; the rest of them are repeats.
        for resolved in own {
            let values = &resolved.values;
            let budget = self.percent(table, values.budget.as_deref()) / 100.0;
            let wanted = STORM_FAILS * (values.attempts - 1) as f64;
            let load = 1.0 + wanted.min(budget);
            if load > STORM_MOST {
                let lines = at(resolved, &["budget", "attempts"]);
                let what = format!("{}: {load:.2} times the load", account.classes[resolved.class].name);
                self.add(Check::Storm, lines, what);
            }
        }
        let bursts: u64 =
            table.budgets.iter().filter(|b| b.value.parent.is_none()).map(|b| b.value.burst).sum();
        if bursts > account.room() {
            let lines =
                table.budgets.iter().filter(|b| b.value.parent.is_none()).map(|b| b.at.clone()).collect();
            let what = format!("bursts of {bursts} in all, room for {} requests", account.room());
            self.add(Check::BurstsTogether, lines, what);
        }
        self.starving(table);
        // Each lane's places can be full at once, and each that waits holds what it came with.
        let lanes: Vec<&Arc<Resolved>> = table.all().filter(|r| r.values.concurrency.is_some()).collect();
        let places: u64 =
            lanes.iter().map(|r| r.values.concurrency.map_or(0, Concurrency::most) + r.values.queue).sum();
        if places > account.room() {
            let mut lines: Vec<String> = Vec::new();
            for resolved in &lanes {
                let more = at(resolved, &["concurrency", "queue"]);
                lines.extend(more.into_iter().filter(|line| !lines.contains(line)).collect::<Vec<_>>());
            }
            let what =
                format!("{places} places and waits in {} lanes, room for {}", lanes.len(), account.room());
            self.add(Check::PlacesTogether, lines, what);
        }
        for resolved in own {
            let (values, class) = (&resolved.values, &account.classes[resolved.class]);
            let name = &class.name;
            let attempt =
                if values.attempt_ms > 0 { values.attempt_ms } else { class.aim_ms.min(values.deadline_ms) };
            if values.queue > 0 && values.queue_age_ms + attempt > values.deadline_ms {
                let what = format!(
                    "{name}: waits {} ms, one attempt {attempt} ms, deadline {} ms",
                    values.queue_age_ms, values.deadline_ms
                );
                self.add(
                    Check::WaitStarves,
                    at(resolved, &["queue_age_ms", "attempt_ms", "deadline_ms"]),
                    what,
                );
            }
            if values.queue > 0 && values.stale_ms + values.queue_age_ms > account.purge_slack_ms {
                let what = format!(
                    "{name}: stale {} ms and a wait of {} ms, purgeSlack {} ms",
                    values.stale_ms, values.queue_age_ms, account.purge_slack_ms
                );
                self.add(Check::StaleAndWait, at(resolved, &["stale_ms", "queue_age_ms"]), what);
            }
            if values.attempt_ms > 0 && values.attempts > 1 {
                let pauses: u64 = (1..values.attempts).map(|n| values.pause_ms(n, 0.0)).sum();
                let wait = if values.queue > 0 { values.queue_age_ms } else { 0 };
                let begins = wait + pauses + values.attempt_ms * (values.attempts - 1);
                if values.queue > 0 && begins >= values.deadline_ms {
                    let what = format!(
                        "{name}: the last attempt begins after {begins} ms, deadline {} ms",
                        values.deadline_ms
                    );
                    let fields = ["attempts", "attempt_ms", "backoff_ms", "queue_age_ms"];
                    self.add(Check::TriesPastAnswer, at(resolved, &fields), what);
                }
            }
        }
        for routes in &table.by_class {
            let keyed = |r: &&Arc<Resolved>| matches!(account.classes[r.class].repeat, Repeat::Keyed(_));
            let routes: Vec<&Arc<Resolved>> = routes.iter().filter(keyed).collect();
            for (n, one) in routes.iter().enumerate() {
                let differs = |other: &&&Arc<Resolved>| {
                    (other.values.window_ms, other.values.group) != (one.values.window_ms, one.values.group)
                };
                if let Some(other) = routes[..n].iter().find(differs) {
                    let mut lines = at(one, &["window_ms", "group"]);
                    lines.extend(
                        at(other, &["window_ms", "group"])
                            .into_iter()
                            .filter(|l| !lines.contains(l))
                            .collect::<Vec<_>>(),
                    );
                    let of = |r: &Resolved| r.route.clone().unwrap_or_else(|| "the class itself".to_string());
                    let what = format!(
                        "{}: {} has {} ms, {} has {} ms",
                        table.names[one.class],
                        of(one),
                        one.values.window_ms,
                        of(other),
                        other.values.window_ms
                    );
                    self.add(Check::WindowsDiffer, lines, what);
                    // Once for a class: each further route says the same.
                    break;
                }
            }
        }
    }

    fn starving(&mut self, table: &Table) {
        let keyed = |class: usize| matches!(self.account.classes[class].repeat, Repeat::Keyed(_));
        let mut found = Vec::new();
        for said in &table.budgets {
            let users: Vec<&Arc<Resolved>> =
                table.all().filter(|r| r.values.budget.as_deref() == Some(&said.value.name)).collect();
            let (ours, others): (Vec<&Arc<Resolved>>, Vec<_>) =
                users.into_iter().partition(|r| keyed(r.class));
            if let (Some(own), Some(other)) = (ours.first(), others.first()) {
                let mut lines = at(own, &["budget"]);
                lines.extend(
                    at(other, &["budget"]).into_iter().filter(|l| !lines.contains(l)).collect::<Vec<_>>(),
                );
                lines.push(said.at.clone());
                let what = format!(
                    "budget {} of {} and {}",
                    said.value.name, table.names[own.class], table.names[other.class]
                );
                found.push((Check::BudgetStarves, lines, what));
            }
            // Under a parent: what the others may take of it, against what it earns.
            let under: Vec<_> = table
                .budgets
                .iter()
                .filter(|b| b.value.parent.as_deref() == Some(&said.value.name))
                .collect();
            let used = |b: &crate::table::Said<Budget>, want: bool| {
                table
                    .all()
                    .any(|r| r.values.budget.as_deref() == Some(&b.value.name) && keyed(r.class) == want)
            };
            let Some(own) = under.iter().find(|b| used(b, true)) else { continue };
            let others: Vec<_> =
                under.iter().filter(|b| used(b, false) && b.value.name != own.value.name).collect();
            let takes: f64 = others.iter().map(|b| b.value.percent).sum();
            if !others.is_empty() && takes >= said.value.percent {
                let mut lines = vec![own.at.clone(), said.at.clone()];
                lines.extend(others.iter().map(|b| b.at.clone()));
                let what = format!(
                    "budget {} under {}: the others earn {takes} percent, it {} percent",
                    own.value.name, said.value.name, said.value.percent
                );
                found.push((Check::ParentStarves, lines, what));
            }
        }
        found.into_iter().for_each(|(check, lines, what)| self.add(check, lines, what));
    }

    /// What only a search shows: pauses, lost answers and the window of keyed classes.
    fn searched(&mut self, resolved: &Resolved) {
        let class = &self.account.classes[resolved.class];
        let Repeat::Keyed(_) = class.repeat else { return };
        let setting = Setting::new(self.account, class, &resolved.values);
        if let Some(story) = explore::second_run(&setting).story {
            let fields = ["backoff_ms", "backoff_most_ms", "attempts", "attempt_ms", "window_ms"];
            let lines = at(resolved, &fields);
            let what = format!("{}: one key runs twice", class.name);
            if !self.all.iter().any(|fault| fault.check == Check::RunsTwice && fault.at == lines) {
                self.all.push(Fault { check: Check::RunsTwice, at: lines, what, story });
            }
        }
    }
}
