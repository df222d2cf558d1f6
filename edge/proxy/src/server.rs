//! Puts the parts together and runs them: the desk, the core, the journal, the fronts, and the end.

use crate::admin::{self, MaintenanceRegistry, Sources};
use crate::backoff::Backoff;
use crate::config::Config;
use crate::drain::{until_killed, Leaving, ANSWERS_READ, LONGEST};
use crate::fleet::{self, parts::Own};
use crate::hierarchy::{ActiveHierarchy, Zones};
use crate::journal::{JournalClient, Names, Service};
use crate::reload::{
    processed, rekey, relimit, reload, reweigh, rewire, routed, rules, served, tell,
};
use crate::retry_after::refusal_wait;
use crate::signals::{Signal, Signals};
use crate::startup_settings::StartupSettings;
use crate::{limits, load_reports};
use foldmux::interface::Repeat;
use foldmux::Router;
use foldmux_core::buffers::Buffers;
use foldmux_core::clock::{span, Clock};
use foldmux_core::limits::Limiter;
use foldmux_core::members::Members;
use foldmux_core::orders::Notice;
use foldmux_core::throttle::Throttle;
use foldmux_core::{Core, Desk};
use foldmux_extproc::serve::Bound as Processor;
use foldmux_fronts::dns::server::Bound;
use foldmux_fronts::listen::{accept_until, named, shared, READER_STACK};
use foldmux_fronts::msgpack::Front;
use foldmux_fronts::places::Places;
use foldmux_operations::retune::Classes;
use foldmux_operator::Operator;
use foldmux_upstream::{pool::Pool, Upstream};
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, OnceLock, RwLock};
use std::thread;
use std::time::{Duration, Instant};

/// Stack of the thread that decides.
const DESK_STACK: usize = 512 * 1024;
/// The exit code where the desk has ended.
const DESK_ENDED: i32 = 3;
const TALLY_EVERY: Duration = Duration::from_secs(5);

/// The desk ends only by a fault: then nothing can be decided any more, and the platform must see it.
fn run_desk(desk: Desk) {
    let _ = catch_unwind(AssertUnwindSafe(|| desk.run()));
    eprintln!("the desk ended: no decisions can be made");
    std::process::exit(DESK_ENDED);
}

/// Runs until a signal ends it; an error is one plain line. `file` is where the configuration came from.
/// `operator`: the operator's file and what it holds.
#[expect(
    clippy::too_many_lines,
    reason = "puts all parts together, in their order; to be split by phase"
)]
pub fn run(config: Config, file: &Path, operator: Option<(&Path, Operator)>) -> Result<(), String> {
    let signals = Signals::new().map_err(|e| format!("signals: {e}"))?;
    let bounds = config.bounds;
    let started = StartupSettings::of(&config);
    let decoded = config.decoded;
    let (own_file, operator) =
        operator.map_or((None, Operator::default()), |(file, o)| (Some(file), o));
    let mut tune =
        Classes::new(rules(&decoded)).map_err(|refused| format!("configuration: {refused}"))?;
    let dns = operator.dns.map(Bound::new).transpose()?;
    let processor = operator
        .ext_proc
        .map(|setup| Processor::new(setup, processed(&tune)))
        .transpose()?;
    let zones = Zones {
        names: decoded.zones.clone(),
        own: decoded.settings.zone,
        hub_of: decoded.settings.hub_of.clone(),
    };
    let clock = Clock::default();
    let members = Arc::new(Members::default());
    let pool = Pool::new(bounds.upstream, span(decoded.keep_alive));
    let (shed_wait, cold_for) = (
        refusal_wait(&decoded.settings),
        decoded.settings.longest_cold(),
    );
    let classes: Vec<Arc<str>> = decoded.classes.iter().map(|c| c.as_str().into()).collect();
    let taken = served(&tune);
    let own = Own {
        name: &config.name,
        decoded: &decoded,
        classes: taken
            .iter()
            .map(|class| (&class.name, &class.place))
            .collect(),
        members: &members,
        open: bounds.open,
        memory_mb: config.limits[1],
        seed: config.seed,
    };
    let own_fleet = operator
        .fleet
        .as_ref()
        .map(|said| fleet::Fleet::new(said, &own));
    let own_fleet = own_fleet.transpose()?.flatten();
    let attempts = decoded.settings.max_attempts;
    let account = limits::account(&decoded, config.limits[0], config.limits[1]);
    let limited = operator
        .limits
        .as_ref()
        .map(|draft| limits::table(&account, draft).map_err(|faults| faults.join("\nfoldmux: ")));
    let limited = limited.transpose()?;
    let repeats: Vec<Repeat> = decoded
        .settings
        .classes
        .iter()
        .map(|class| class.repeat)
        .collect();
    let own_zone = decoded
        .zones
        .get(decoded.settings.zone)
        .cloned()
        .unwrap_or_default();
    let (told, reported) = (decoded.settings.clone(), decoded.reports);
    let router = Router::new(decoded.settings, config.seed);
    let (mut desk, handle) = Desk::new(router, clock.clone(), members.clone());
    let connections = pool.clone();
    desk.when_ended(move |former| connections.discard(former.member.cache));
    let upstream = Upstream {
        members: members.clone(),
        pool: pool.clone(),
        clock: clock.clone(),
        dial_time_out: span(decoded.dial_time_out),
    };
    let buffers = Buffers::new(bounds.buffers);
    let tries = load_reports::start(reported, &told, &mut desk, &handle, upstream)?;
    let most = bounds.open;
    let core = Core::new(
        handle.clone(),
        clock.clone(),
        buffers,
        members,
        tries,
        shed_wait,
        cold_for,
        most,
    );
    // Limits go by the places of the start's classes: no other class may take one.
    let _limited_places = limited.is_some().then(|| taken.clone());
    if let Some(table) = limited {
        let _ = core
            .limits
            .set(Limiter::new(table, clock.clone(), own_zone, repeats));
    }
    if let Some(mut dns) = dns {
        let serial = dns.notify(&mut desk)?;
        dns.serve(core.clone(), routed(&tune), serial, bounds.dns)?;
    }
    named("desk", DESK_STACK, move || run_desk(desk))?;

    let listed = Arc::new(AtomicBool::new(false));
    let names = Names {
        zones: decoded.zones,
        kinds: decoded.kinds,
    };
    // The wiring comes before the list: no fill goes another way first.
    let tree = operator.hierarchy.as_ref();
    let mut live = tree
        .map(|h| ActiveHierarchy::start(h, zones, clock.clone(), handle.clone()))
        .transpose()?;
    let listener =
        shared(config.listen).map_err(|e| format!("listening on {}: {e}", config.listen))?;
    let on = listener.local_addr().map_err(|e| e.to_string())?;
    let mut journal =
        JournalClient::new(names, clock, handle.clone(), pool.clone(), listed.clone());
    // Kept where the platform gives this place a folder of its own, which a new version beside this one shares.
    let kept = std::env::var_os("TMPDIR").map(PathBuf::from);
    let kept = kept.map(|dir| dir.join(format!("foldmux-maintenance-{}", on.port())));
    let hand = Arc::new(MaintenanceRegistry::new(handle, kept));
    journal.hand = Some(hand.clone());
    classes.iter().for_each(|class| core.tally.know(class));
    own_fleet.iter().for_each(|fleet| fleet.share(&mut journal));
    // What is known at the start comes before anything else.
    if !journal.take(&config.known) {
        return Err("configuration: known has a gap in its events".to_string());
    }
    let service = Arc::new(Service::new(config.journal));
    if config.journal.is_none() {
        tracing::warn!("no journal service: the list stays as configured");
    }
    let relayed = own_fleet.is_some().then(|| journal.clone());
    let followed = service.clone();
    let backoff = Backoff::new(config.seed);
    named("journal", 512 * 1024, move || {
        journal.follow(&followed, backoff)
    })?;

    let mut processor = match processor {
        Some(processor) => {
            let on = processor.address()?;
            let serving = processor.serve(core.clone(), attempts, listed.clone())?;
            tracing::info!("external processor on {on}");
            Some(serving)
        }
        None => None,
    };
    let listed_too = listed.clone();
    let leave_by = Arc::new(OnceLock::new());
    let front = Arc::new(Front {
        leave_by: leave_by.clone(),
        core: core.clone(),
        classes: RwLock::new(Arc::new(taken)),
        listed,
        nobody: "".into(),
        connections: AtomicU64::new(1),
        end_lines: Throttle::new(Instant::now()),
    });
    let retuned = front.clone();
    let serve = move |place| front.serve(place);
    let places = Places::new(bounds.clients);
    let closing = Arc::new(AtomicBool::new(false));
    let (close, connections) = (closing.clone(), places.clone());
    let acceptor = named("accept", READER_STACK, move || {
        accept_until(&listener, &places, READER_STACK, Arc::new(serve), &close);
        tracing::info!("no more connections are taken");
    })?;
    let own_fleet = own_fleet
        .zip(relayed)
        .map(|(fleet, journal)| fleet.start(&core, journal));
    let own_fleet = own_fleet.transpose()?;
    tracing::info!("{} serves on {on}", config.name);
    let sources = Arc::new(Sources {
        core: core.clone(),
        hand,
        listed: listed_too,
        leave_by: leave_by.clone(),
        conf_loaded: AtomicU64::new(0),
        conf_invalid: AtomicU64::new(0),
    });
    if let Some(address) = config.operator {
        let on = admin::serve(address, sources.clone(), bounds.operator)?;
        tracing::info!("operator line on {on}");
    }

    let told = core.clone();
    named("tally", READER_STACK, move || loop {
        thread::sleep(TALLY_EVERY);
        pool.sweep(); // also where there is no journal service
        told.tally
            .line()
            .iter()
            .for_each(|line| tracing::info!("{line}; {} open", told.open()));
        told.tally
            .reasons_line()
            .iter()
            .for_each(|line| tracing::info!("not served: {line}"));
        let withheld = told.unserved_lines.take_withheld();
        if withheld > 0 {
            tracing::info!("{withheld} lines of requests that were not served are left out");
        }
    })?;
    while signals.wait() == Signal::Reload {
        let reloaded = reload(file, &service, (&started, &mut tune), &retuned);
        let count = if reloaded.is_ok() {
            &sources.conf_loaded
        } else {
            &sources.conf_invalid
        };
        count.fetch_add(1, Ordering::Relaxed);
        tell("reload", reloaded);
        if let (Some(live), Some(own_file)) = (&mut live, own_file) {
            tell("rewire", rewire(own_file, live));
        }
        if let (Some(limiter), Some(own_file)) = (core.limits.get(), own_file) {
            tell("limits", relimit(own_file, &account, limiter));
        }
        if let (Some(fleet), Some(own_file)) = (&own_fleet, own_file) {
            reweigh(own_file, file, fleet)
                .into_iter()
                .for_each(|came| tell("weights", came));
        }
        if let (Some(serving), Some(own_file)) = (&processor, own_file) {
            // What was placed and refused is told either way.
            let counted = |text: String| format!("{text}; {}", serving.line());
            tell(
                "token keys",
                rekey(own_file, serving).map(counted).map_err(counted),
            );
        }
    }
    // By the classes of now: a reload may have brought other deadlines.
    let longest = retuned
        .classes()
        .iter()
        .map(|class| class.longest)
        .max()
        .unwrap_or(0);
    let by = Instant::now() + until_killed(longest);
    let _ = leave_by.set(by);
    core.desk.tell(Notice::Closing {
        by: core.clock.at(by - ANSWERS_READ),
    });
    own_fleet.iter().for_each(fleet::Running::leave);
    // Beside the clients' end: streams that do not end must not hold that up.
    let processor = processor.take().map(|mut serving| {
        named("processor", 512 * 1024, move || {
            let ended = serving.leave(LONGEST);
            tracing::info!(
                "external processor: {}; all streams ended: {ended}",
                serving.line()
            );
        })
    });
    Leaving {
        core,
        connections,
        closing,
        acceptor,
        by,
    }
    .leave();
    if let Some(Ok(processor)) = processor {
        let _ = processor.join();
    }
    own_fleet.into_iter().for_each(fleet::Running::end);
    Ok(())
}
