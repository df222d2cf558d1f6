//! What `check-config` and `plan` print.

use crate::hierarchy::Zones;
use crate::{config, limits};
use foldmux_hierarchy::plan::{plan, Plan};
use foldmux_hierarchy::tree::Kind;
use foldmux_operator::{Fleet, Hierarchy, Operator};
use std::ffi::OsString;
use std::path::{Path, PathBuf};

/// Where the configuration is: the same file is read at the start and at each reload.
pub fn place(file: Option<OsString>) -> Result<PathBuf, String> {
    let file = file
        .or_else(|| std::env::var_os("GW_CONFIG"))
        .ok_or("no configuration: set GW_CONFIG")?;
    Ok(file.into())
}

pub fn load(file: &Path) -> Result<Operator, String> {
    foldmux_operator::load(file).map_err(|faults| faults.join("\nfoldmux: "))
}

pub fn tree(file: &Path) -> Result<Hierarchy, String> {
    load(file)?
        .hierarchy
        .ok_or_else(|| format!("{}: it has no hierarchy", file.display()))
}

pub fn check(config: Option<OsString>, operator: Option<PathBuf>) -> Result<(), String> {
    let operator = operator
        .map(|file| load(&file).map(|held| (file, held)))
        .transpose()?;
    let mut account = foldmux_limits::Account::default();
    if config.is_some() || operator.is_none() || std::env::var_os("GW_CONFIG").is_some() {
        let config = config::read(&place(config)?)?;
        account = limits::account(&config.decoded, config.limits[0], config.limits[1]);
        let (classes, bounds) = (config.decoded.classes.join(", "), config.bounds);
        println!("{} on {}: classes {classes}", config.name, config.listen);
        println!("{bounds:?}, {} events known", config.known.entries.len());
        if let Some(fleet) = operator.as_ref().and_then(|(_, held)| held.fleet.as_ref()) {
            let faults: Vec<String> = fleet.unknown(&config.decoded.classes).collect();
            if !faults.is_empty() {
                return Err(faults.join("\nfoldmux: "));
            }
        }
        if let Some(hierarchy) = operator
            .as_ref()
            .and_then(|(_, held)| held.hierarchy.as_ref())
        {
            let settings = config.decoded.settings;
            let zones = Zones {
                names: config.decoded.zones,
                own: settings.zone,
                hub_of: settings.hub_of,
            };
            zones.notice(&hierarchy.tree)?;
        }
    }
    let Some((file, held)) = operator else {
        return Ok(());
    };
    println!("{}:", file.display());
    match &held.hierarchy {
        None => println!("  hierarchy: off"),
        Some(h) => {
            let count = |kind| h.names(kind).len();
            let (locations, hubs, tops) =
                (count(Kind::Location), count(Kind::Hub), h.tree.tops().len());
            println!(
                "  hierarchy: tree {}, {locations} locations, {hubs} hubs, {tops} of them shields, {}",
                h.tree.stamp(),
                h.domain
            );
        }
    }
    held.relay
        .iter()
        .for_each(|relay| println!("  relay: {relay:?}"));
    match &held.limits {
        None => println!("  limits: off"),
        Some(draft) => {
            let table =
                limits::table(&account, draft).map_err(|faults| faults.join("\nfoldmux: "))?;
            let own = table
                .all()
                .filter(|resolved| !resolved.at.is_empty())
                .count();
            println!("  limits: {own} sets, {} budgets", table.budgets.len());
        }
    }
    match &held.ext_proc {
        None => println!("  ext_proc: off"),
        Some(own) => println!("  ext_proc: {own:?}"),
    }
    match &held.dns {
        None => println!("  dns: off"),
        Some(dns) => {
            foldmux_fronts::dns::server::zone(&dns.zone)?;
            println!("  dns: {dns:?}");
        }
    }
    match &held.fleet {
        None => println!("  fleet: off"),
        Some(fleet) => print!("{}", told(fleet)),
    }
    Ok(())
}

/// A fleet, and a line for each thing that it shares.
fn told(fleet: &Fleet) -> String {
    let seats = fleet.seats.join(", ");
    let mut text = format!(
        "  fleet: {} peers, seats {seats}, on {}, leases of {} ms, clocks within {} percent\n",
        fleet.peers.len(),
        fleet.listen,
        fleet.lease_ms,
        fleet.drift_percent
    );
    fleet
        .covers
        .iter()
        .for_each(|cover| text += &format!("    {:?}\n", cover.value));
    fleet
        .streams
        .iter()
        .for_each(|stream| text += &format!("    {stream:?}\n"));
    fleet
        .pools
        .iter()
        .for_each(|pool| text += &format!("    {pool:?}\n"));
    text
}

/// Prints what a rewiring moves; an error where the tree in service would refuse it.
pub fn tell(old: &Hierarchy, new: &Hierarchy) -> Result<(), String> {
    let Plan {
        came,
        went,
        rewired,
        shields_moved,
        ways_moved,
        extra_fetches,
    } = plan(&old.tree, &new.tree);
    println!("tree {} -> {}", old.tree.stamp(), new.tree.stamp());
    came.iter().for_each(|name| println!("  new      {name}"));
    went.iter().for_each(|name| println!("  gone     {name}"));
    for change in &rewired {
        let (kind, name) = (change.kind, &change.name);
        println!(
            "  rewired  {kind} {name}: {} -> {}",
            change.before.join(", "),
            change.after.join(", ")
        );
    }
    let of = |kind| rewired.iter().filter(|c| c.kind == kind).count();
    println!(
        "{} locations and {} hubs rewired",
        of(Kind::Location),
        of(Kind::Hub)
    );
    println!(
        "{:.1}% of objects get another shield",
        shields_moved * 100.0
    );
    println!(
        "{:.1}% of (location, object) go by other hubs",
        ways_moved * 100.0
    );
    println!("{extra_fetches:.3} extra fetches from the archive for each held object, at the most");
    let root = old.tree.name(old.tree.archive());
    let wiring = foldmux_hierarchy::epochs::Wiring::new(root, old.tree.clone(), 0);
    let mut wiring = wiring.map_err(|refused| refused.to_string())?;
    match wiring.take(1, new.tree.clone()) {
        Ok(taken) => println!("it would be taken ({taken:?})"),
        Err(refused) => return Err(format!("it would be refused: {refused}")),
    }
    Ok(())
}
