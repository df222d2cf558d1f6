//! The script's functions for limits by class and route.

// Each argument of a function is a named setting of the file.
#![allow(clippy::too_many_arguments)]

use super::sets::{here, whole, SETS};
use super::CALLS_MOST;
use anyhow::{anyhow, bail};
use foldmux_limits::account::IdempotencyScope;
use foldmux_limits::concurrency::ConcurrencyLimit;
use foldmux_limits::overrides::LimitOverrides;
use foldmux_limits::resolve::{ClassOverrides, LimitsFile, Located, RouteOverrides};
use foldmux_limits::retry_budget::RetryBudget;
use foldmux_limits::route_match::RouteMatch;
use starlark::collections::SmallMap;
use starlark::environment::GlobalsBuilder;
use starlark::eval::Evaluator;
use starlark::starlark_module;
use starlark::values::float::UnpackFloat;
use starlark::values::list::UnpackList;
use starlark::values::none::{NoneOr, NoneType};
use starlark::values::{UnpackValue, Value};

/// What `limits` and `route` set, by their names.
fn parse_overrides(set: &SmallMap<String, Value>) -> anyhow::Result<LimitOverrides> {
    let mut overrides = LimitOverrides::default();
    for (name, value) in set.iter() {
        let number = || match i64::unpack_value(*value) {
            Ok(Some(number)) => whole(name, number),
            _ => Err(anyhow!("{name}: {value} is no whole number")),
        };
        let real = || match UnpackFloat::unpack_value(*value) {
            Ok(Some(number)) => Ok(number.0),
            _ => Err(anyhow!("{name}: {value} is no number")),
        };
        let text = || {
            value
                .unpack_str()
                .ok_or_else(|| anyhow!("{name}: {value} is no text"))
        };
        match name.as_str() {
            "deadline_ms" => overrides.deadline_ms = Some(number()?),
            "attempt_ms" => overrides.attempt_timeout_ms = Some(number()?),
            "attempts" => overrides.max_attempts = Some(number()?),
            "backoff_ms" => overrides.backoff_base_ms = Some(number()?),
            "backoff_factor" => overrides.backoff_factor = Some(real()?),
            "backoff_most_ms" => overrides.backoff_max_ms = Some(number()?),
            "jitter_percent" => overrides.jitter_percent = Some(real()?),
            "budget" => overrides.retry_budget = Some(text()?.to_string()),
            "places" => overrides.concurrency = Some(ConcurrencyLimit::Fixed { max: number()? }),
            "adaptive" => match UnpackList::<i64>::unpack_value(*value) {
                Ok(Some(list)) if list.items.len() == 2 => {
                    let [min, max] = [whole(name, list.items[0])?, whole(name, list.items[1])?];
                    overrides.concurrency = Some(ConcurrencyLimit::Adaptive { min, max });
                }
                _ => bail!("adaptive: {value} is no list of the least and the most places"),
            },
            "queue" => overrides.queue_capacity = Some(number()?),
            "queue_age_ms" => overrides.queue_timeout_ms = Some(number()?),
            "copies" => overrides.concurrent_attempts = Some(number()?),
            "keep" => overrides.retention_rank = Some(number()?),
            "stale_ms" => overrides.max_stale_ms = Some(number()?),
            "fills" => overrides.max_fills = Some(number()?),
            "wait_ms" => overrides.max_retry_after_ms = Some(number()?),
            "window_ms" => overrides.idempotency_window_ms = Some(number()?),
            "group" => {
                let scope = IdempotencyScope::parse(text()?);
                overrides.idempotency_scope = Some(
                    scope.ok_or_else(|| anyhow!("group: {value} is none of cell, zone and all"))?,
                );
            }
            other => bail!("{other} is no limit"),
        }
    }
    if set.get("places").is_some() && set.get("adaptive").is_some() {
        bail!("places and adaptive say the same in two ways");
    }
    Ok(overrides)
}

fn limited(set: impl FnOnce(&mut LimitsFile) -> anyhow::Result<()>) -> anyhow::Result<NoneType> {
    SETS.with_borrow_mut(|sets| set(sets.limits.get_or_insert_default()).map(|()| NoneType))
}

fn bounded(list: usize, what: &str) -> anyhow::Result<()> {
    if list >= CALLS_MOST {
        bail!("more than {CALLS_MOST} {what}");
    }
    Ok(())
}

#[starlark_module]
pub(super) fn functions(builder: &mut GlobalsBuilder) {
    /// Limits of a class, or of all where none is named.
    fn limits<'v>(
        #[starlark(require = pos, default = NoneOr::None)] class: NoneOr<&str>,
        #[starlark(kwargs)] set: SmallMap<String, Value<'v>>,
        eval: &mut Evaluator<'v, '_, '_>,
    ) -> anyhow::Result<NoneType> {
        let (at, overrides) = (here(eval), parse_overrides(&set)?);
        limited(|limits| match class.into_option() {
            Some(class) => {
                bounded(limits.classes.len(), "limits")?;
                limits.classes.push(Located {
                    at,
                    value: ClassOverrides {
                        class: class.to_string(),
                        overrides,
                    },
                });
                Ok(())
            }
            None => match limits.defaults.replace(Located {
                at,
                value: overrides,
            }) {
                Some(_) => bail!("the limits of all classes are set twice"),
                None => Ok(()),
            },
        })
    }

    /// Limits of a part of a class's requests; the first route that matches a request holds.
    fn route<'v>(
        name: &str,
        #[starlark(require = named)] of: &str,
        #[starlark(require = named, default = NoneOr::None)] zone: NoneOr<&str>,
        #[starlark(require = named, default = NoneOr::None)] caller: NoneOr<&str>,
        #[starlark(require = named, default = NoneOr::None)] front: NoneOr<&str>,
        #[starlark(kwargs)] set: SmallMap<String, Value<'v>>,
        eval: &mut Evaluator<'v, '_, '_>,
    ) -> anyhow::Result<NoneType> {
        let own = |text: NoneOr<&str>| text.into_option().map(str::to_string);
        let matching = RouteMatch {
            zone: own(zone),
            caller: own(caller),
            front: own(front),
        };
        let (at, overrides) = (here(eval), parse_overrides(&set)?);
        let route = RouteOverrides {
            name: name.to_string(),
            class: of.to_string(),
            matching,
            overrides,
        };
        limited(|limits| {
            bounded(limits.routes.len(), "routes")?;
            limits.routes.push(Located { at, value: route });
            Ok(())
        })
    }

    /// A budget for repeats: so many percent of first attempts, saved up to a burst.
    fn budget(
        name: &str,
        #[starlark(require = named)] percent: UnpackFloat,
        #[starlark(require = named)] burst: i64,
        #[starlark(require = named, default = NoneOr::None)] parent: NoneOr<&str>,
        eval: &mut Evaluator,
    ) -> anyhow::Result<NoneType> {
        let parent = parent.into_option().map(str::to_string);
        let budget = RetryBudget {
            name: name.to_string(),
            percent: percent.0,
            burst: whole("burst", burst)?,
            parent,
        };
        let at = here(eval);
        limited(|limits| {
            bounded(limits.budgets.len(), "budgets")?;
            limits.budgets.push(Located { at, value: budget });
            Ok(())
        })
    }
}
