//! The command line of foldmux.

use foldmux_hierarchy::plan::{plan, Plan};
use foldmux_hierarchy::tree::Kind;
use foldmux_operator::{Hierarchy, Operator};
use foldmux_proxy::log::{self, Form};
use foldmux_proxy::wiring::Zones;
use foldmux_proxy::{config, limits, server};
use lexopt::{Arg, Parser};
use std::ffi::OsString;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

const USAGE: &str = "\
foldmux, an edge proxy in front of pop caches, and a hub cache behind them

  foldmux serve [--config FILE] [--operator FILE]          run in the foreground until SIGTERM; SIGHUP reloads
  foldmux hub --operator FILE --name NODE                  serve as a hub of the operator's tree; SIGHUP rewires
  foldmux check-config [--config FILE] [--operator FILE]   read either or both and say what they hold
  foldmux plan OLD NEW                                     what a rewiring would move, and whether it is taken
  foldmux extproc-check ADDRESS [--method M] [--path P] [--header NAME:VALUE]...
                                                           ask a running external processor for one decision
  foldmux limits show CLASS [--route R] | export | schema [--operator FILE]
  foldmux limits diff OLD NEW                              what differs between two files' limits
  foldmux version
  foldmux help

  --log plain|json    form of the log on standard error
  --log-level LEVEL   error, warn, info, debug, or a filter by module; else FOLDMUX_LOG, else info

The configuration is FILE, else the file that GW_CONFIG names. GW_NAME and GW_LISTEN override it.
The operator's file is a script (deploy/foldmux.star); without it, or FOLDMUX_OPERATOR, all that it could set is off.";

#[derive(Clone, Copy, PartialEq)]
enum Command {
    Serve,
    Hub,
    Check,
    Plan,
    Ask,
    Limits,
    Version,
    Help,
}

/// What the command line says.
struct Line {
    command: Command,
    config: Option<OsString>,
    operator: Option<PathBuf>,
    name: Option<String>,
    files: Vec<PathBuf>,
    /// Of the request that `extproc-check` asks about.
    method: String,
    path: String,
    headers: Vec<(String, String)>,
    /// Of `limits`.
    words: Vec<String>,
    route: Option<String>,
    form: Form,
    level: Option<String>,
}

fn main() -> ExitCode {
    match read().and_then(run) {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("foldmux: {}", message.trim_end());
            ExitCode::FAILURE
        }
    }
}

fn read() -> Result<Line, String> {
    let mut parser = Parser::from_env();
    let (mut command, mut config, mut name, mut level) = (None, None, None, None);
    let mut operator = std::env::var_os("FOLDMUX_OPERATOR").map(PathBuf::from);
    let (mut files, mut form) = (Vec::new(), Form::Plain);
    let (mut method, mut path) = ("GET".to_string(), "/v2/q/formula-card/0000000000000001/0".to_string());
    let (mut headers, mut words, mut route) = (Vec::new(), Vec::new(), None);
    let said = |e: lexopt::Error| e.to_string();
    let word = |value: OsString| value.into_string().map_err(|v| format!("{v:?} is no text"));
    while let Some(arg) = parser.next().map_err(said)? {
        match arg {
            Arg::Value(value) if command.is_none() => {
                command = Some(match word(value)?.as_str() {
                    "serve" => Command::Serve,
                    "hub" => Command::Hub,
                    "check-config" => Command::Check,
                    "plan" => Command::Plan,
                    "extproc-check" => Command::Ask,
                    "limits" => Command::Limits,
                    "version" => Command::Version,
                    "help" => Command::Help,
                    other => return Err(format!("no command {other:?}; see foldmux help")),
                });
            }
            Arg::Value(file) if command == Some(Command::Plan) && files.len() < 2 => files.push(file.into()),
            Arg::Value(place) if command == Some(Command::Ask) && files.is_empty() => {
                files.push(place.into())
            }
            Arg::Value(value) if command == Some(Command::Limits) && words.len() < 3 => {
                words.push(word(value)?)
            }
            Arg::Long("route") => route = Some(word(parser.value().map_err(said)?)?),
            Arg::Long("method") => method = word(parser.value().map_err(said)?)?,
            Arg::Long("path") => path = word(parser.value().map_err(said)?)?,
            Arg::Long("header") => {
                let text = word(parser.value().map_err(said)?)?;
                let (name, value) =
                    text.split_once(':').ok_or_else(|| format!("{text:?} is no NAME:VALUE"))?;
                headers.push((name.to_string(), value.trim().to_string()));
            }
            Arg::Long("config") => config = Some(parser.value().map_err(said)?),
            Arg::Long("operator") => operator = Some(parser.value().map_err(said)?.into()),
            Arg::Long("name") => name = Some(word(parser.value().map_err(said)?)?),
            Arg::Long("log") => form = Form::parse(&word(parser.value().map_err(said)?)?)?,
            Arg::Long("log-level") => level = Some(word(parser.value().map_err(said)?)?),
            Arg::Long("help") | Arg::Short('h') => command = Some(Command::Help),
            Arg::Long("version") | Arg::Short('V') => command = Some(Command::Version),
            other => return Err(other.unexpected().to_string()),
        }
    }
    let command = command.ok_or("no command; see foldmux help")?;
    Ok(Line { command, config, operator, name, files, method, path, headers, words, route, form, level })
}

fn run(line: Line) -> Result<(), String> {
    let Line { command, config, operator, name, files, method, path, headers, words, route, form, level } =
        line;
    match command {
        Command::Help => println!("{USAGE}"),
        Command::Version => println!("foldmux {}", env!("CARGO_PKG_VERSION")),
        Command::Check => check(config, operator)?,
        Command::Plan => {
            let [old, new] = &files[..] else {
                return Err("plan wants two files; see foldmux help".to_string());
            };
            tell(&tree(old)?, &tree(new)?)?;
        }
        Command::Ask => {
            let [place] = &files[..] else {
                return Err("extproc-check wants an address; see foldmux help".to_string());
            };
            let place = place.to_string_lossy();
            print!("{}", foldmux_extproc::check::check(&place, &method, &path, &headers)?);
        }
        Command::Limits => print!("{}", limits::command(&words, operator.as_deref(), route.as_deref())?),
        Command::Serve => {
            let file = place(config)?;
            let config = config::read(&file)?;
            let held = operator.as_deref().map(load).transpose()?;
            let _log = log::start(form, level.as_deref())?;
            server::run(config, &file, operator.as_deref().zip(held))?;
        }
        Command::Hub => {
            let file = operator.ok_or("hub wants --operator FILE")?;
            let name = name.ok_or("hub wants --name NODE")?;
            let _log = log::start(form, level.as_deref())?;
            foldmux_hub::run::run(&name, &file)?;
        }
    }
    Ok(())
}

/// Where the configuration is: the same file is read at the start and at each reload.
fn place(file: Option<OsString>) -> Result<PathBuf, String> {
    let file = file.or_else(|| std::env::var_os("GW_CONFIG")).ok_or("no configuration: set GW_CONFIG")?;
    Ok(file.into())
}

fn load(file: &Path) -> Result<Operator, String> {
    foldmux_operator::load(file).map_err(|faults| faults.join("\nfoldmux: "))
}

fn tree(file: &Path) -> Result<Hierarchy, String> {
    load(file)?.hierarchy.ok_or_else(|| format!("{}: it has no hierarchy", file.display()))
}

fn check(config: Option<OsString>, operator: Option<PathBuf>) -> Result<(), String> {
    let operator = operator.map(|file| load(&file).map(|held| (file, held))).transpose()?;
    let mut account = foldmux_limits::Account::default();
    if config.is_some() || operator.is_none() || std::env::var_os("GW_CONFIG").is_some() {
        let config = config::read(&place(config)?)?;
        account = limits::account(&config.decoded, config.limits[0], config.limits[1]);
        let (classes, bounds) = (config.decoded.classes.join(", "), config.bounds);
        println!("{} on {}: classes {classes}", config.name, config.listen);
        println!("{bounds:?}, {} events known", config.known.entries.len());
        if let Some(hierarchy) = operator.as_ref().and_then(|(_, held)| held.hierarchy.as_ref()) {
            let settings = config.decoded.settings;
            let zones = Zones { names: config.decoded.zones, own: settings.zone, hub_of: settings.hub_of };
            zones.notice(&hierarchy.tree)?;
        }
    }
    let Some((file, held)) = operator else { return Ok(()) };
    println!("{}:", file.display());
    match &held.hierarchy {
        None => println!("  hierarchy: off"),
        Some(h) => {
            let count = |kind| h.names(kind).len();
            let (locations, hubs, tops) = (count(Kind::Location), count(Kind::Hub), h.tree.tops().len());
            println!(
                "  hierarchy: tree {}, {locations} locations, {hubs} hubs, {tops} of them shields, {}",
                h.tree.stamp(),
                h.domain
            );
        }
    }
    held.relay.iter().for_each(|relay| println!("  relay: {relay:?}"));
    match &held.limits {
        None => println!("  limits: off"),
        Some(draft) => {
            let table = limits::table(&account, draft).map_err(|faults| faults.join("\nfoldmux: "))?;
            let own = table.all().filter(|resolved| !resolved.at.is_empty()).count();
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
    Ok(())
}

/// Prints what a rewiring moves; an error where the tree in service would refuse it.
fn tell(old: &Hierarchy, new: &Hierarchy) -> Result<(), String> {
    let Plan { came, went, rewired, shields_moved, ways_moved, extra_fetches } = plan(&old.tree, &new.tree);
    println!("tree {} -> {}", old.tree.stamp(), new.tree.stamp());
    came.iter().for_each(|name| println!("  new      {name}"));
    went.iter().for_each(|name| println!("  gone     {name}"));
    for change in &rewired {
        let (kind, name) = (change.kind, &change.name);
        println!("  rewired  {kind} {name}: {} -> {}", change.before.join(", "), change.after.join(", "));
    }
    let of = |kind| rewired.iter().filter(|c| c.kind == kind).count();
    println!("{} locations and {} hubs rewired", of(Kind::Location), of(Kind::Hub));
    println!("{:.1}% of objects get another shield", shields_moved * 100.0);
    println!("{:.1}% of (location, object) go by other hubs", ways_moved * 100.0);
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
