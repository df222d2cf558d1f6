//! What SIGHUP reads again, and the classes as each front takes them.

use crate::config;
use crate::fleet::Running;
use crate::hierarchy::ActiveHierarchy;
use crate::journal::Service;
use crate::limits;
use crate::retry_after::refusal_wait;
use crate::startup_settings::StartupSettings;
use foldmux::interface::{Class, Repeat};
use foldmux_core::desk::Notice;
use foldmux_core::limits::Limiter;
use foldmux_extproc::life::Class as Processed;
use foldmux_extproc::serve::Serving;
use foldmux_fronts::dns::Routed;
use foldmux_fronts::msgpack::{Front, Taken};
use foldmux_operations::retune::Classes;
use std::path::Path;
use std::sync::{Arc, PoisonError};

/// What a part of a reload came to. One that was refused is a warning: staff who filter at that level must see it.
pub fn tell(part: &str, came: Result<String, String>) {
    match came {
        Ok(taken) => tracing::info!("{part}: {taken}"),
        Err(why) => tracing::warn!("{part}: {why}; all stays as it was"),
    }
}

/// Reads the configuration again: takes its settings and classes, and goes by where it says that the journal
/// service is; what holds from the next start is told. Guards against a file that can't be used costing the settings in
/// service or the service that there is: what can fail comes before the first change. One that names no journal service
/// is taken as at the start: the list stays as it is.
pub fn reload(
    file: &Path,
    service: &Service,
    (started, tune): (&StartupSettings, &mut Classes<Class>),
    front: &Front,
) -> Result<String, String> {
    let config = config::read(file).map_err(|unusable| unusable.on_one_line())?;
    started
        .check(&config)
        .map_err(|unusable| unusable.on_one_line())?;
    let mut settings = config.decoded.settings.clone();
    tune.take(rules(&config.decoded))
        .map_err(|refused| format!("configuration: {refused}"))?;
    settings.classes = tune.all().cloned().collect();
    front
        .core
        .retune(refusal_wait(&settings), settings.longest_cold());
    // The module knows the new places before any client can name them.
    front.core.desk.tell(Notice::Retuned(Box::new(settings)));
    // Which member is a parent, the origin or a neighbour follows from the settings: it is worked out anew.
    front.core.desk.tell(Notice::Members {
        full: false,
        listed: Vec::new(),
    });
    let taken = served(tune);
    taken
        .iter()
        .for_each(|class| front.core.tally.know(&class.name));
    *front
        .classes
        .write()
        .unwrap_or_else(PoisonError::into_inner) = Arc::new(taken);
    service.move_to(config.journal);
    let names: Vec<&str> = tune.named().map(|(name, ..)| name).collect();
    let at = config.journal.map_or(
        "no journal service: the list stays as it is".to_string(),
        |address| format!("the journal service is at {address}"),
    );
    let later = match started.later(&config) {
        keys if keys.is_empty() => String::new(),
        keys => format!("; from the next start: {}", keys.join(", ")),
    };
    Ok(format!("classes {}; {at}{later}", names.join(", ")))
}

pub fn rules(decoded: &foldmux_settings::Decoded) -> Vec<(String, Class)> {
    decoded
        .classes
        .iter()
        .cloned()
        .zip(decoded.settings.classes.iter().cloned())
        .collect()
}

/// The classes that the front takes by name, each at its place.
pub fn served(tune: &Classes<Class>) -> Vec<Taken> {
    let one = |(name, place, class): (&str, &Arc<usize>, &Class)| {
        let keyed = matches!(class.repeat, Repeat::Keyed(_));
        Taken {
            name: name.into(),
            place: place.clone(),
            keyed,
            longest: class.deadline,
        }
    };
    tune.named().map(one).collect()
}

/// The classes as the DNS front routes them by name.
pub fn routed(tune: &Classes<Class>) -> Vec<Routed> {
    let one = |(name, place, class): (&str, &Arc<usize>, &Class)| Routed {
        name: name.into(),
        place: place.clone(),
        writes: class.pass_on,
    };
    tune.named().map(one).collect()
}

/// Reads the operator's file again and takes its tree. Whatever else it says holds from the next start. The tree in
/// service is told again first: the settings that were read again name other hubs.
pub fn rewire(file: &Path, live: &mut ActiveHierarchy) -> Result<String, String> {
    live.tell_again()?;
    let operator = foldmux_operator::load(file).map_err(|faults| faults.join("; "))?;
    let hierarchy = operator
        .hierarchy
        .ok_or_else(|| format!("{}: no hierarchy", file.display()))?;
    live.take(&hierarchy)
}

/// Reads the operator's file again and takes its limits, all at once; those who are open keep theirs.
pub fn relimit(
    file: &Path,
    account: &foldmux_limits::Account,
    limiter: &Limiter,
) -> Result<String, String> {
    let operator = foldmux_operator::load(file).map_err(|faults| faults.join("; "))?;
    let draft = operator.limits.unwrap_or_default();
    let table = limits::table(account, &draft).map_err(|faults| faults.join("; "))?;
    let count = table
        .all()
        .filter(|resolved| !resolved.at.is_empty())
        .count();
    limiter.swap(table);
    Ok(format!("{count} sets of limits taken"))
}

/// Reads what tenants weigh again, in the operator's file and the settings, and takes it at the pools, where there are any.
pub fn reweigh(file: &Path, settings: &Path, fleet: &Running) -> Option<Result<String, String>> {
    let told = || -> Result<Option<usize>, String> {
        let operator = foldmux_operator::load(file).map_err(|faults| faults.join("; "))?;
        let said = operator
            .fleet
            .ok_or_else(|| format!("{}: no fleet", file.display()))?;
        let read = config::read(settings).map_err(|unusable| unusable.on_one_line())?;
        Ok(fleet.reweigh(&said, &read.decoded.tenants))
    };
    told()
        .map(|count| count.map(|count| format!("{count} taken")))
        .transpose()
}

/// Reads the operator's file again and takes its keys for tokens.
pub fn rekey(file: &Path, serving: &Serving) -> Result<String, String> {
    let operator = foldmux_operator::load(file).map_err(|faults| faults.join("; "))?;
    let own = operator
        .ext_proc
        .ok_or_else(|| format!("{}: no ext_proc", file.display()))?;
    let keys: Vec<(u8, &[u8])> = own
        .keys
        .iter()
        .map(|key| (key.number, key.secret.as_bytes()))
        .collect();
    serving.front.keeper.change(&keys);
    Ok(keys
        .last()
        .map_or("none".to_string(), |(number, _)| format!("{number} signs")))
}

/// The classes, as the external processor serves them.
pub fn processed(tune: &Classes<Class>) -> Vec<Processed> {
    let class = |(name, place, class): (&str, &Arc<usize>, &Class)| Processed {
        name: name.into(),
        place: place.clone(),
        repeat: class.repeat,
        window: class.repeat_window,
        longest: class.deadline,
    };
    tune.named().map(class).collect()
}
