//! The script: its functions, its bounds, and where in the file something is wrong.

// Each argument of a function is a named setting of the file.
#![allow(clippy::too_many_arguments)]

use crate::values::{
    AskRule, Dns, Durable, ExtProc, Hierarchy, LedgerFile, Operator, Place, Relay, Tls, TokenKey,
};
use anyhow::{anyhow, bail};
use foldmux_hierarchy::cold::Rule;
use foldmux_hierarchy::tree::{Draft, Kind, Proposed, Tree};
use foldmux_limits::account::Group;
use foldmux_limits::table::{Draft as Limits, Match, Route, Said};
use foldmux_limits::values::{Budget, Concurrency, Layer};
use garde::Validate;
use starlark::collections::SmallMap;
use starlark::environment::{Globals, GlobalsBuilder, LibraryExtension, Module};
use starlark::eval::Evaluator;
use starlark::starlark_module;
use starlark::syntax::{AstModule, Dialect, DialectTypes};
use starlark::values::float::UnpackFloat;
use starlark::values::list::UnpackList;
use starlark::values::none::{NoneOr, NoneType};
use starlark::values::{UnpackValue, Value};
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::str::FromStr;

/// Calls and turns of loops; memory of the script's values, looked at every so many steps; calls within each other.
/// A single operation that makes one huge value is not caught: the file is the operator's own.
const STEPS: u64 = 500_000;
const MEMORY: usize = 64 * 1024 * 1024;
const DEPTH: usize = 64;
/// Most things that a file may set: far over any fleet, under what would fill the memory from outside the heap.
const CALLS_MOST: usize = 20_000;

thread_local! {
    /// What the calls of the script under evaluation have set so far. On the thread, as the library's own place for
    /// it wants an implementation that is unsafe.
    static SETS: RefCell<Sets> = RefCell::default();
}

#[derive(Debug, Default)]
struct Sets {
    head: Option<Head>,
    nodes: Vec<Proposed>,
    places: HashMap<String, Place>,
    /// Where each node was named first.
    lines: HashMap<String, String>,
    cold: Option<Rule>,
    asks: Vec<AskRule>,
    keys: Vec<TokenKey>,
    ledger: Option<LedgerFile>,
    /// Where the external processor is set, and what it is still without its parts.
    ext_proc: Option<(String, ExtProc)>,
    limits: Option<Limits>,
    operator: Operator,
}

#[derive(Debug)]
struct Head {
    at: String,
    epoch: u64,
    domain: String,
    overlap_ms: u64,
    skip: bool,
    instead_of: Option<u64>,
}

/// Evaluates a script once. Errors are `FILE:LINE: REASON`, all that can be told at once.
pub fn evaluate(name: &str, text: String) -> Result<Operator, Vec<String>> {
    let dialect = Dialect {
        enable_load: false,
        enable_top_level_stmt: true,
        enable_f_strings: true,
        enable_types: DialectTypes::Disable,
        ..Dialect::Standard
    };
    SETS.take();
    let run = || -> starlark::Result<()> {
        let ast = AstModule::parse(name, text, &dialect)?;
        let globals: Globals =
            GlobalsBuilder::extended_by(&[LibraryExtension::Print]).with(functions).build();
        Module::with_temp_heap(|module| {
            let mut eval = Evaluator::new(&module);
            eval.set_max_tick_count(STEPS)?;
            eval.set_max_heap_size(MEMORY)?;
            eval.set_max_callstack_size(DEPTH)?;
            eval.eval_module(ast, &globals)?;
            Ok(())
        })
    };
    let ran = run().map_err(|error| vec![told(name, &error)]);
    let sets = SETS.take();
    ran?;
    finish(name, sets)
}

/// One line: where, and why.
fn told(name: &str, error: &starlark::Error) -> String {
    let at = match error.span() {
        Some(span) => format!("{name}:{}", span.resolve_span().begin.line + 1),
        None => name.to_string(),
    };
    let why = format!("{:#}", error.without_diagnostic());
    format!("{at}: {}", why.split_whitespace().collect::<Vec<_>>().join(" "))
}

/// What only the whole file shows: the tree, and whether its parts fit together.
fn finish(name: &str, sets: Sets) -> Result<Operator, Vec<String>> {
    let Sets { head, nodes, places, lines, cold, asks, keys, ledger, ext_proc, limits, mut operator } = sets;
    operator.limits = limits;
    match ext_proc {
        Some((at, own)) => {
            let whole = ExtProc { asks, keys, ledger, ..own };
            let checked =
                valid(whole).and_then(|own| own.fits().map(|()| own).map_err(|why| anyhow!("{why}")));
            operator.ext_proc = Some(checked.map_err(|why| vec![format!("{at}: {why}")])?);
        }
        None if asks.is_empty() && keys.is_empty() && ledger.is_none() => {}
        None => return Err(vec![format!("{name}: ask, token_key and ledger need an ext_proc")]),
    }
    let Some(head) = head else {
        let orphan = nodes.first().map(|n| n.name.as_str());
        return match (orphan, &operator.relay) {
            (Some(node), _) => {
                Err(vec![format!("{}: {node} is in no hierarchy: call hierarchy(…)", lines[node])])
            }
            (None, Some(_)) => Err(vec![format!("{name}: a relay needs a hierarchy")]),
            (None, None) => Ok(operator),
        };
    };
    let draft = Draft { epoch: head.epoch, instead_of: head.instead_of, skip: head.skip, nodes };
    let tree = Tree::check(&draft).map_err(|faults| {
        let at = |node: Option<&str>| node.and_then(|n| lines.get(n)).unwrap_or(&head.at);
        faults.iter().map(|fault| format!("{}: {fault}", at(fault.node()))).collect::<Vec<_>>()
    })?;
    if operator.relay.is_some() {
        let without = |p: &&Proposed| p.kind != Kind::Location && places[&p.name].address.is_none();
        let faults: Vec<String> = draft
            .nodes
            .iter()
            .filter(without)
            .map(|p| format!("{}: {} has no address, and relays must reach it", lines[&p.name], p.name))
            .collect();
        if !faults.is_empty() {
            return Err(faults);
        }
    }
    operator.hierarchy = Some(Hierarchy {
        nodes: tree.nodes().map(|(_, n)| (n.name.clone(), places[&*n.name])).collect(),
        tree,
        domain: head.domain,
        overlap_ms: head.overlap_ms,
        cold: cold.unwrap_or(COLD),
    });
    Ok(operator)
}

/// Where the file says nothing: the figures of our first installation.
const COLD: Rule = Rule { from: 0.067, over: 21_000_000, breaks_at: 2.0, window: 3_000_000, safety: 0.6 };

/// The call under way: where it stands in the file.
fn here(eval: &Evaluator) -> String {
    match eval.call_stack_top_location() {
        Some(span) => format!("{}:{}", span.filename(), span.resolve_span().begin.line + 1),
        None => "the script".to_string(),
    }
}

fn address(what: &str, text: &str) -> anyhow::Result<SocketAddr> {
    SocketAddr::from_str(text).map_err(|_| anyhow!("{what}: {text:?} is no address; IP:PORT is wanted"))
}

fn addressed(what: &str, text: NoneOr<&str>) -> anyhow::Result<Option<SocketAddr>> {
    text.into_option().map(|text| address(what, text)).transpose()
}

fn whole(what: &str, number: i64) -> anyhow::Result<u64> {
    u64::try_from(number).map_err(|_| anyhow!("{what}: {number} is negative"))
}

fn within(what: &str, number: f64, least: f64, most: f64) -> anyhow::Result<f64> {
    if !(least..=most).contains(&number) {
        bail!("{what}: {number} is not within {least} to {most}");
    }
    Ok(number)
}

fn valid<T: Validate<Context = ()>>(value: T) -> anyhow::Result<T> {
    value.validate().map_err(|report| anyhow!("{}", report.to_string().trim().replace('\n', "; ")))?;
    Ok(value)
}

fn once<T>(slot: impl FnOnce(&mut Sets) -> &mut Option<T>, value: T, what: &str) -> anyhow::Result<NoneType> {
    SETS.with_borrow_mut(|sets| match slot(sets).replace(value) {
        Some(_) => bail!("{what} is set twice"),
        None => Ok(NoneType),
    })
}

fn few<T>(list: impl FnOnce(&mut Sets) -> &mut Vec<T>, value: T, what: &str) -> anyhow::Result<NoneType> {
    SETS.with_borrow_mut(|sets| {
        let list = list(sets);
        if list.len() >= 256 {
            bail!("more than 256 {what}");
        }
        list.push(value);
        Ok(NoneType)
    })
}

fn node(eval: &Evaluator, proposed: Proposed, place: Place) -> anyhow::Result<NoneType> {
    let at = here(eval);
    SETS.with_borrow_mut(|sets| {
        if sets.nodes.len() >= CALLS_MOST {
            bail!("more than {CALLS_MOST} nodes");
        }
        // Named again, the second line is where the fault is.
        sets.lines.insert(proposed.name.clone(), at);
        sets.places.insert(proposed.name.clone(), place);
        sets.nodes.push(proposed);
        Ok(NoneType)
    })
}

/// What `limits` and `route` set, by their names.
fn layer(set: &SmallMap<String, Value>) -> anyhow::Result<Layer> {
    let mut layer = Layer::default();
    for (name, value) in set.iter() {
        let number = || match i64::unpack_value(*value) {
            Ok(Some(number)) => whole(name, number),
            _ => Err(anyhow!("{name}: {value} is no whole number")),
        };
        let real = || match UnpackFloat::unpack_value(*value) {
            Ok(Some(number)) => Ok(number.0),
            _ => Err(anyhow!("{name}: {value} is no number")),
        };
        let text = || value.unpack_str().ok_or_else(|| anyhow!("{name}: {value} is no text"));
        match name.as_str() {
            "deadline_ms" => layer.deadline_ms = Some(number()?),
            "attempt_ms" => layer.attempt_ms = Some(number()?),
            "attempts" => layer.attempts = Some(number()?),
            "backoff_ms" => layer.backoff_ms = Some(number()?),
            "backoff_factor" => layer.backoff_factor = Some(real()?),
            "backoff_most_ms" => layer.backoff_most_ms = Some(number()?),
            "jitter_percent" => layer.jitter_percent = Some(real()?),
            "budget" => layer.budget = Some(text()?.to_string()),
            "places" => layer.concurrency = Some(Concurrency::Fixed { most: number()? }),
            "adaptive" => match UnpackList::<i64>::unpack_value(*value) {
                Ok(Some(list)) if list.items.len() == 2 => {
                    let [least, most] = [whole(name, list.items[0])?, whole(name, list.items[1])?];
                    layer.concurrency = Some(Concurrency::Adaptive { least, most });
                }
                _ => bail!("adaptive: {value} is no list of the least and the most places"),
            },
            "queue" => layer.queue = Some(number()?),
            "queue_age_ms" => layer.queue_age_ms = Some(number()?),
            "copies" => layer.copies = Some(number()?),
            "keep" => layer.keep = Some(number()?),
            "stale_ms" => layer.stale_ms = Some(number()?),
            "fills" => layer.fills = Some(number()?),
            "wait_ms" => layer.wait_ms = Some(number()?),
            "window_ms" => layer.window_ms = Some(number()?),
            "group" => {
                let group = Group::parse(text()?);
                layer.group =
                    Some(group.ok_or_else(|| anyhow!("group: {value} is none of cell, zone and all"))?);
            }
            other => bail!("{other} is no limit"),
        }
    }
    if set.get("places").is_some() && set.get("adaptive").is_some() {
        bail!("places and adaptive say the same in two ways");
    }
    Ok(layer)
}

fn limited(set: impl FnOnce(&mut Limits) -> anyhow::Result<()>) -> anyhow::Result<NoneType> {
    SETS.with_borrow_mut(|sets| set(sets.limits.get_or_insert_default()).map(|()| NoneType))
}

fn bounded(list: usize, what: &str) -> anyhow::Result<()> {
    if list >= CALLS_MOST {
        bail!("more than {CALLS_MOST} {what}");
    }
    Ok(())
}

#[starlark_module]
fn functions(builder: &mut GlobalsBuilder) {
    /// The tree's head: its number, and the domain under which its nodes sign a fill's way.
    fn hierarchy(
        #[starlark(require = named)] epoch: i64,
        #[starlark(require = named)] domain: &str,
        #[starlark(require = named, default = 5_000i64)] overlap_ms: i64,
        #[starlark(require = named, default = false)] skip_tiers: bool,
        #[starlark(require = named, default = NoneOr::None)] instead_of: NoneOr<i64>,
        eval: &mut Evaluator,
    ) -> anyhow::Result<NoneType> {
        let host = |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit() || b == b'-' || b == b'.';
        if domain.is_empty() || domain.len() > 190 || !domain.bytes().all(host) || domain.contains("..") {
            bail!("domain: {domain:?} is no host name in lower case");
        }
        let head = Head {
            at: here(eval),
            epoch: whole("epoch", epoch)?,
            domain: domain.trim_matches('.').to_string(),
            overlap_ms: whole("overlap_ms", overlap_ms)?.min(3_600_000),
            skip: skip_tiers,
            instead_of: instead_of.into_option().map(|n| whole("instead_of", n)).transpose()?,
        };
        once(|s| &mut s.head, head, "hierarchy")
    }

    /// The root: holds everything.
    fn archive(
        name: &str,
        #[starlark(require = named, default = NoneOr::None)] address: NoneOr<&str>,
        eval: &mut Evaluator,
    ) -> anyhow::Result<NoneType> {
        let proposed = Proposed { name: name.to_string(), kind: Kind::Archive, parents: vec![] };
        node(eval, proposed, Place { address: addressed("address", address)?, fills_per_s: 0.0 })
    }

    /// A hub, and whom it asks, in this order.
    fn hub(
        name: &str,
        #[starlark(require = named)] parents: UnpackList<String>,
        #[starlark(require = named, default = NoneOr::None)] address: NoneOr<&str>,
        #[starlark(require = named, default = 0i64)] fills_per_s: i64,
        eval: &mut Evaluator,
    ) -> anyhow::Result<NoneType> {
        let proposed = Proposed { name: name.to_string(), kind: Kind::Hub, parents: parents.items };
        let fills_per_s = whole("fills_per_s", fills_per_s)? as f64;
        node(eval, proposed, Place { address: addressed("address", address)?, fills_per_s })
    }

    /// A location, and the hubs that serve it, in this order.
    fn location(
        name: &str,
        #[starlark(require = named)] parents: UnpackList<String>,
        eval: &mut Evaluator,
    ) -> anyhow::Result<NoneType> {
        let proposed = Proposed { name: name.to_string(), kind: Kind::Location, parents: parents.items };
        node(eval, proposed, Place { address: None, fills_per_s: 0.0 })
    }

    /// What a hub that started lately may be given.
    fn cold_start(
        #[starlark(require = named)] from_percent: UnpackFloat,
        #[starlark(require = named)] over_ms: i64,
        #[starlark(require = named)] breaks_at: UnpackFloat,
        #[starlark(require = named)] window_ms: i64,
        #[starlark(require = named, default = UnpackFloat(60.0))] use_percent: UnpackFloat,
    ) -> anyhow::Result<NoneType> {
        let rule = Rule {
            from: within("from_percent", from_percent.0, 0.1, 100.0)? / 100.0,
            over: within("over_ms", over_ms as f64, 1.0, 3_600_000.0)? as u64 * 1_000,
            breaks_at: within("breaks_at", breaks_at.0, 0.1, 1_000.0)?,
            window: within("window_ms", window_ms as f64, 1.0, 600_000.0)? as u64 * 1_000,
            safety: within("use_percent", use_percent.0, 1.0, 100.0)? / 100.0,
        };
        once(|s| &mut s.cold, rule, "cold_start")
    }

    /// The bounds of our own hubs.
    fn relay(
        #[starlark(require = named, default = 64i64)] memory_mb: i64,
        #[starlark(require = named, default = 512i64)] connections: i64,
        #[starlark(require = named, default = 256i64)] fetches: i64,
        #[starlark(require = named, default = 4_096i64)] waits: i64,
        #[starlark(require = named, default = 500i64)] lease_ms: i64,
        #[starlark(require = named, default = 4i64)] attempts: i64,
        #[starlark(require = named, default = 5_000i64)] wait_ms: i64,
        #[starlark(require = named, default = UnpackList::default())] writes: UnpackList<String>,
        #[starlark(require = named, default = NoneOr::None)] journal: NoneOr<&str>,
    ) -> anyhow::Result<NoneType> {
        let relay = valid(Relay {
            memory_mb: whole("memory_mb", memory_mb)?,
            connections: whole("connections", connections)?,
            fetches: whole("fetches", fetches)?,
            waits: whole("waits", waits)?,
            lease_ms: whole("lease_ms", lease_ms)?,
            attempts: whole("attempts", attempts)?,
            wait_ms: whole("wait_ms", wait_ms)?,
            writes: writes.items,
            journal: addressed("journal", journal)?,
        })?;
        once(|s| &mut s.operator.relay, relay, "relay")
    }

    /// DNS request routing: on where it is called.
    fn dns(
        #[starlark(require = named)] zone: &str,
        #[starlark(require = named, default = NoneOr::None)] udp: NoneOr<&str>,
        #[starlark(require = named, default = NoneOr::None)] tcp: NoneOr<&str>,
        #[starlark(require = named, default = NoneOr::None)] tls: NoneOr<&str>,
        #[starlark(require = named, default = "")] svid: &str,
        #[starlark(require = named, default = "")] key: &str,
        #[starlark(require = named, default = "")] bundle: &str,
        #[starlark(require = named, default = UnpackList::default())] allowed: UnpackList<String>,
        #[starlark(require = named, default = UnpackList::default())] notify: UnpackList<String>,
        #[starlark(require = named, default = 2_000i64)] lease_ms: i64,
        #[starlark(require = named, default = 500i64)] patience_ms: i64,
    ) -> anyhow::Result<NoneType> {
        let tls = addressed("tls", tls)?.map(|listen| Tls {
            listen,
            svid: svid.to_string(),
            key: key.to_string(),
            bundle: bundle.to_string(),
            allowed: allowed.items,
        });
        let notify = notify.items.iter().map(|text| address("notify", text)).collect::<Result<_, _>>()?;
        let dns = valid(Dns {
            zone: zone.to_string(),
            udp: addressed("udp", udp)?,
            tcp: addressed("tcp", tcp)?,
            tls,
            notify,
            lease_ms: whole("lease_ms", lease_ms)?,
            patience_ms: whole("patience_ms", patience_ms)?,
        })?;
        dns.listens().map_err(|why| anyhow!("{why}"))?;
        once(|s| &mut s.operator.dns, dns, "dns")
    }

    /// The external processor: on where it is called.
    fn ext_proc(
        #[starlark(require = named)] listen: &str,
        #[starlark(require = named, default = "")] svid: &str,
        #[starlark(require = named, default = "")] key: &str,
        #[starlark(require = named, default = "")] bundle: &str,
        #[starlark(require = named, default = UnpackList::default())] allowed: UnpackList<String>,
        #[starlark(require = named, default = "foldmux")] name: &str,
        #[starlark(require = named, default = 64i64)] connections: i64,
        #[starlark(require = named, default = 2_048i64)] streams: i64,
        #[starlark(require = named, default = 2i64)] threads: i64,
        #[starlark(require = named, default = 500i64)] patience_ms: i64,
        #[starlark(require = named, default = 200i64)] message_timeout_ms: i64,
        #[starlark(require = named, default = 200i64)] good_for_ms: i64,
        #[starlark(require = named, default = 300_000i64)] idle_ms: i64,
        #[starlark(require = named, default = 60_000i64)] overlap_ms: i64,
        #[starlark(require = named, default = true)] again: bool,
        #[starlark(require = named, default = false)] strict: bool,
        eval: &mut Evaluator,
    ) -> anyhow::Result<NoneType> {
        let listen = address("listen", listen)?;
        let (svid, key, bundle) = (svid.to_string(), key.to_string(), bundle.to_string());
        let secured = [&svid, &key, &bundle].iter().any(|file| !file.is_empty()) || !allowed.items.is_empty();
        let tls = secured.then_some(Tls { listen, svid, key, bundle, allowed: allowed.items });
        let own = ExtProc {
            listen,
            tls,
            name: name.to_string(),
            connections: whole("connections", connections)?,
            streams: whole("streams", streams)?,
            threads: whole("threads", threads)?,
            patience_ms: whole("patience_ms", patience_ms)?,
            message_timeout_ms: whole("message_timeout_ms", message_timeout_ms)?,
            good_for_ms: whole("good_for_ms", good_for_ms)?,
            idle_ms: whole("idle_ms", idle_ms)?,
            overlap_ms: whole("overlap_ms", overlap_ms)?,
            again,
            strict,
            asks: Vec::new(),
            keys: Vec::new(),
            ledger: None,
        };
        let at = here(eval);
        once(|s| &mut s.ext_proc, (at, own), "ext_proc")
    }

    /// Limits of a class, or of all where none is named.
    fn limits<'v>(
        #[starlark(require = pos, default = NoneOr::None)] class: NoneOr<&str>,
        #[starlark(kwargs)] set: SmallMap<String, Value<'v>>,
        eval: &mut Evaluator<'v, '_, '_>,
    ) -> anyhow::Result<NoneType> {
        let (at, layer) = (here(eval), layer(&set)?);
        limited(|limits| match class.into_option() {
            Some(class) => {
                bounded(limits.classes.len(), "limits")?;
                limits.classes.push(Said { at, value: (class.to_string(), layer) });
                Ok(())
            }
            None => match limits.defaults.replace(Said { at, value: layer }) {
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
        let matching = Match { zone: own(zone), caller: own(caller), front: own(front) };
        let (at, layer) = (here(eval), layer(&set)?);
        let route = Route { name: name.to_string(), class: of.to_string(), matching, layer };
        limited(|limits| {
            bounded(limits.routes.len(), "routes")?;
            limits.routes.push(Said { at, value: route });
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
        let budget =
            Budget { name: name.to_string(), percent: percent.0, burst: whole("burst", burst)?, parent };
        let at = here(eval);
        limited(|limits| {
            bounded(limits.budgets.len(), "budgets")?;
            limits.budgets.push(Said { at, value: budget });
            Ok(())
        })
    }

    /// Which requests of the external processor's callers ask for a class.
    fn ask(
        class: &str,
        #[starlark(require = named)] path: &str,
        #[starlark(require = named, default = "GET")] method: &str,
        #[starlark(require = named, default = NoneOr::None)] key: NoneOr<&str>,
        #[starlark(require = named, default = false)] rewrite: bool,
    ) -> anyhow::Result<NoneType> {
        let rule = valid(AskRule {
            class: class.to_string(),
            method: method.to_string(),
            path: path.to_string(),
            key: key.into_option().map(str::to_ascii_lowercase),
            rewrite,
        })?;
        few(|s| &mut s.asks, rule, "asks")
    }

    /// A key that signs the tokens of attempts; the last one signs, those before it are believed for a while.
    fn token_key(
        #[starlark(require = named)] number: i64,
        #[starlark(require = named)] secret: &str,
    ) -> anyhow::Result<NoneType> {
        let number = u8::try_from(number).map_err(|_| anyhow!("number: {number} is not within 0 to 255"))?;
        few(|s| &mut s.keys, valid(TokenKey { number, secret: secret.to_string() })?, "token keys")
    }

    /// Where the external processor keeps what it knows of keyed attempts.
    fn ledger(
        file: &str,
        #[starlark(require = named, default = 100_000i64)] entries: i64,
        #[starlark(require = named, default = "group")] durable: &str,
        #[starlark(require = named, default = 60_000i64)] remember_ms: i64,
    ) -> anyhow::Result<NoneType> {
        let durable = match durable {
            "group" => Durable::Group,
            "each" => Durable::Each,
            "behind" => Durable::Behind,
            other => bail!("durable: {other:?} is none of group, each and behind"),
        };
        let own = valid(LedgerFile {
            file: file.to_string(),
            entries: whole("entries", entries)?,
            durable,
            remember_ms: whole("remember_ms", remember_ms)?,
        })?;
        once(|s| &mut s.ledger, own, "ledger")
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const TREE: &str = r#"
hierarchy(epoch = 4, domain = "fill.example")
archive("archive", address = "127.0.0.1:7100")
hub("south", parents = ["archive"], address = "127.0.0.1:7101", fills_per_s = 200)
hub("east", parents = ["south", "archive"], address = "127.0.0.1:7102")
for office in ["porvoo", "kotka"]:
    location(office, parents = ["east", "south"])
"#;

    fn faults(text: &str) -> Vec<String> {
        evaluate("a.star", text.to_string()).expect_err(text)
    }

    #[test]
    fn a_sound_file_is_evaluated_into_values() {
        let more = "relay(memory_mb = 8, writes = [\"mix-record\"])\ndns(zone = \"r.example.\", udp = \"127.0.0.1:0\")";
        let operator = evaluate("a.star", format!("{TREE}{more}")).unwrap();
        let hierarchy = operator.hierarchy.unwrap();
        assert_eq!((hierarchy.tree.epoch(), hierarchy.names(Kind::Location).len()), (4, 2));
        assert_eq!(hierarchy.nodes["south"].fills_per_s, 200.0);
        let relay = operator.relay.unwrap();
        assert_eq!((relay.memory_mb, relay.lease_ms, relay.writes), (8, 500, vec!["mix-record".to_string()]));
        assert_eq!(operator.dns.unwrap().lease_ms, 2_000);
        let empty = evaluate("a.star", "x = 1".into()).unwrap();
        assert!(empty.hierarchy.is_none() && empty.relay.is_none() && empty.dns.is_none());
    }

    #[test]
    fn what_is_wrong_is_told_with_file_line_and_reason() {
        let of = |text: &str| faults(&format!("{TREE}{text}"));
        for (text, told) in [
            (
                "hub(\"west\", parents = [\"north\"])",
                "a.star:8: west names the parent north, which is no node",
            ),
            ("location(\"porvoo\", parents = [\"east\"])", "a.star:8: porvoo is there twice"),
            ("hierarchy(epoch = 5, domain = \"fill.example\")", "a.star:8: hierarchy is set twice"),
            ("relay(lease_ms = 0)", "a.star:8: lease_ms: lower than 10"),
            ("relay(memory = 3)", "a.star:8: "),
            (
                "hub(\"west\", parents = [\"archive\"], address = \"west\")",
                "a.star:8: address: \"west\" is no address",
            ),
            ("dns(zone = \"r.example.\")", "a.star:8: none of udp, tcp and tls is set"),
            (
                "dns(zone = \"r.\", udp = \"127.0.0.1:0\", lease_ms = -1)",
                "a.star:8: lease_ms: -1 is negative",
            ),
            (
                "ext_proc(listen = \"10.0.0.1:9\")\nask(\"a\", path = \"/{object}\")",
                "a.star:8: 10.0.0.1:9 is no loopback address",
            ),
            ("ext_proc(listen = \"127.0.0.1:9\")", "a.star:8: asks: length is lower than 1"),
            ("ask(\"a\", path = \"x\")", "a.star:8: path: "),
            ("ask(\"a\", path = \"/x\")", "a.star: ask, token_key and ledger need an ext_proc"),
            ("ledger(\"l\", durable = \"no\")", "a.star:8: durable: \"no\" is none of"),
            ("token_key(number = 1, secret = \"short\")", "a.star:8: secret: "),
            (
                "ext_proc(listen = \"127.0.0.1:9\", good_for_ms = 300)\nask(\"a\", path = \"/x\")",
                "a.star:8: good_for_ms: ",
            ),
            (
                "ext_proc(listen = \"127.0.0.1:9\")\nask(\"a\", path = \"/x\")\nledger(\"l\")",
                "a.star:8: a ledger without a token_key",
            ),
            ("open(\"/etc/passwd\")", "a.star:8: "),
            ("load(\"b.star\", \"b\")", "a.star:8: "),
            ("x = 1 +", "a.star:8: "),
        ] {
            let faults = of(text);
            assert!(faults[0].starts_with(told), "{text}: {faults:?}");
            assert!(faults.iter().all(|f| !f.contains('\n')));
        }
        let circle = TREE.replace(
            "[\"archive\"], address = \"127.0.0.1:7101\"",
            "[\"east\"], address = \"127.0.0.1:7101\"",
        );
        assert!(faults(&circle)[0].contains("in a circle"), "{:?}", faults(&circle));
        assert_eq!(faults("hub(\"a\", parents = [])"), ["a.star:1: a is in no hierarchy: call hierarchy(…)"]);
        assert_eq!(faults("\nrelay()"), ["a.star: a relay needs a hierarchy"]);
        let unplaced = TREE.replace(", address = \"127.0.0.1:7102\"", "") + "relay()";
        assert_eq!(faults(&unplaced), ["a.star:5: east has no address, and relays must reach it"]);
    }

    #[test]
    fn a_script_is_bounded_in_steps_memory_and_depth() {
        let told = faults("for i in range(1000000000):\n    pass");
        assert!(told[0].contains("tick"), "{told:?}");
        let told = faults("x = []\nfor i in range(1000000):\n    x.append('ab' * 1000)");
        assert!(told[0].contains("Heap memory"), "{told:?}");
        let told = faults("def f():\n    f()\nf()");
        assert!(told[0].contains("stack"), "{told:?}");
    }
}
