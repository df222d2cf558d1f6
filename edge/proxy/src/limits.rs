//! Limits by class and route, from the operator's file into service: checked against the account's rules, shown, compared,
//! and taken anew at a reload. Without them in the file nothing here is started.

use foldmux::interface::{Group as Grouped, Repeat as Repeats, Settings};
use foldmux_limits::account::{Account, Class, Group, Repeat};
use foldmux_limits::check::check;
use foldmux_limits::export;
use foldmux_limits::table::{Draft, Table};
use foldmux_operator::Operator;
use foldmux_settings::Decoded;
use std::path::Path;

/// The account's rules as the platform's settings give them. `sockets` and `memory_mb`: the process's.
pub fn account(decoded: &Decoded, sockets: u64, memory_mb: u64) -> Account {
    let Settings {
        classes,
        max_attempts,
        may_duplicate,
        retry_after,
        answer_slack,
        purge_slack,
        ..
    } = &decoded.settings;
    let ms = |us: u64| us / 1_000;
    let class = |(name, class): (&String, &foldmux::interface::Class)| Class {
        name: name.clone(),
        deadline_ms: ms(class.deadline),
        aim_ms: ms(class.aim),
        repeat: match class.repeat {
            Repeats::Safe => Repeat::Free,
            Repeats::SingleShot => Repeat::Once,
            Repeats::Keyed(Grouped::All) => Repeat::Keyed(Group::All),
            Repeats::Keyed(Grouped::Zone) => Repeat::Keyed(Group::Zone),
            Repeats::Keyed(Grouped::Cell) => Repeat::Keyed(Group::Cell),
        },
        window_ms: ms(class.repeat_window),
    };
    Account {
        classes: decoded.classes.iter().zip(classes).map(class).collect(),
        max_attempts: *max_attempts as u64,
        may_duplicate: *may_duplicate,
        max_wait_ms: retry_after.map(ms),
        answer_slack_ms: ms(*answer_slack),
        purge_slack_ms: ms(*purge_slack),
        sockets,
        memory_mb,
    }
}

/// The table of a file, or all that is wrong with it, a line each.
pub fn table(account: &Account, draft: &Draft) -> Result<Table, Vec<String>> {
    let faults = check(account, draft);
    match faults.is_empty() {
        true => Ok(Table::new(account, draft)),
        false => Err(faults.iter().map(ToString::to_string).collect()),
    }
}

fn load(file: &Path) -> Result<Table, String> {
    let Operator { limits, .. } =
        foldmux_operator::load(file).map_err(|faults| faults.join("\nfoldmux: "))?;
    let draft = limits.unwrap_or_default();
    table(&Account::default(), &draft).map_err(|faults| faults.join("\nfoldmux: "))
}

/// `foldmux limits …`: what is printed.
pub fn command(
    words: &[String],
    operator: Option<&Path>,
    route: Option<&str>,
) -> Result<String, String> {
    let words: Vec<&str> = words.iter().map(String::as_str).collect();
    let file = |named: Option<&Path>| {
        named.map_or_else(
            || Ok(Table::new(&Account::default(), &Draft::default())),
            load,
        )
    };
    match words[..] {
        ["show", class] => {
            let table = file(operator)?;
            let resolved = table.named(class, route).ok_or_else(|| match route {
                Some(route) => format!("{class} has no route {route}"),
                None => format!("no class {class}"),
            })?;
            Ok(export::show(&table, resolved))
        }
        ["export"] => Ok(export::json(&file(operator)?) + "\n"),
        ["schema"] => Ok(export::schema()),
        ["diff", old, new] => {
            let lines = export::diff(&load(Path::new(old))?, &load(Path::new(new))?);
            Ok(lines.iter().map(|line| format!("{line}\n")).collect())
        }
        _ => Err(
            "limits show CLASS [--route R] | export | schema | diff OLD NEW; see foldmux help"
                .to_string(),
        ),
    }
}
