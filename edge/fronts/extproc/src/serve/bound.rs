//! What the operator's file sets, read and bound before anything serves.

use super::run;
use super::Serving;
use crate::keyed::Keeper;
use crate::life::{us, Class, Counts, Front};
use crate::mapping::Map;
use crate::parked::Parked;
use foldmux::interface::RetrySafety;
use foldmux_core::Core;
use foldmux_identity::{Files, Identity};
use foldmux_operator::{Durable, ExtProc};
use foldmux_store::{Commit, Opener};
use std::net::{SocketAddr, TcpListener as Listener};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize};
use std::sync::Arc;
use tokio::net::TcpListener;
use tokio::runtime::Builder;
use tokio::sync::oneshot;

/// Stack of a thread of the runtime.
const STACK: usize = 512 * 1024;

/// What the operator's file sets, bound and read: what is wrong shows before anything serves.
pub struct Bound {
    setup: ExtProc,
    listener: Listener,
    identity: Option<Identity>,
    map: Map,
    classes: Vec<Class>,
    keeper: Arc<Keeper>,
}

/// For how long after a key's last attempt its repeat may come (ms).
fn remember(setup: &ExtProc) -> u64 {
    setup
        .ledger
        .as_ref()
        .map_or(60_000, |ledger| ledger.remember_ms)
}

/// The store under the ledger, as the file sets it.
fn opener(setup: &ExtProc) -> Option<(Opener, Commit)> {
    let ledger = setup.ledger.as_ref()?;
    let commit = match ledger.durable {
        Durable::Each => Commit::Each,
        Durable::Group => Commit::Group,
        Durable::Behind => Commit::Behind,
    };
    Some((foldmux_store::file(Path::new(&ledger.file)), commit))
}

impl Bound {
    pub fn new(setup: ExtProc, classes: Vec<Class>) -> Result<Bound, String> {
        let store = opener(&setup);
        Bound::on(setup, classes, store)
    }

    /// With another store than the file's, for tests of a disk that fails.
    pub fn on(
        setup: ExtProc,
        classes: Vec<Class>,
        store: Option<(Opener, Commit)>,
    ) -> Result<Bound, String> {
        let told = |e: String| format!("external processor: {e}");
        let keyed = |class: &Class| matches!(class.repeat, RetrySafety::Keyed(_));
        let names: Vec<(&str, bool)> = classes.iter().map(|c| (&*c.name, keyed(c))).collect();
        let map = Map::new(&setup.asks, &names).map_err(told)?;
        let asked =
            |class: &&Class| keyed(class) && setup.asks.iter().any(|a| a.class == *class.name);
        if let Some(class) = classes.iter().find(asked).filter(|_| store.is_none()) {
            return Err(told(format!(
                "{} is keyed, and there is no ledger",
                class.name
            )));
        }
        let listener = Listener::bind(setup.listen)
            .map_err(|e| told(format!("listening on {}: {e}", setup.listen)))?;
        let identity = setup.tls.as_ref().map(|tls| {
            let [svid, key, bundle] = [&tls.svid, &tls.key, &tls.bundle].map(PathBuf::from);
            Identity::load(Files { svid, key, bundle }, tls.allowed.clone(), b"h2")
        });
        let identity = identity.transpose().map_err(told)?;
        let secrets: Vec<(u8, &[u8])> = setup
            .keys
            .iter()
            .map(|key| (key.number, key.secret.as_bytes()))
            .collect();
        let most = setup
            .ledger
            .as_ref()
            .map_or(0, |ledger| ledger.entries as usize);
        let remember = remember(&setup);
        let keeper = Keeper::start(store, most, &secrets, setup.overlap_ms, remember);
        let keeper = Arc::new(keeper.map_err(|e| told(format!("ledger: {e}")))?);
        Ok(Bound {
            setup,
            listener,
            identity,
            map,
            classes,
            keeper,
        })
    }

    pub fn address(&self) -> Result<SocketAddr, String> {
        self.listener.local_addr().map_err(|e| e.to_string())
    }

    /// Serves on a runtime of its own, until it is told to leave. `listed`: whether the members are known.
    pub fn serve(
        self,
        core: Arc<Core>,
        attempts: u32,
        listed: Arc<AtomicBool>,
    ) -> Result<Serving, String> {
        let Bound {
            setup,
            listener,
            identity,
            map,
            classes,
            keeper,
        } = self;
        let mut salt = [0; 8];
        getrandom::fill(&mut salt).map_err(|e| format!("external processor: {e}"))?;
        let streams = setup.streams as usize;
        let front = Arc::new(Front {
            core,
            classes,
            map,
            keeper,
            parked: Parked::new(streams),
            name: setup.name.clone(),
            patience: us(setup.patience_ms),
            slow_after: us(setup.message_timeout_ms / 2),
            good_for: us(setup.good_for_ms),
            idle: us(setup.idle_ms),
            again: setup.again,
            strict: setup.strict,
            remember: remember(&setup),
            attempts: attempts.max(1),
            streams,
            open: AtomicUsize::new(0),
            salt: u64::from_le_bytes(salt),
            serial: AtomicU64::new(0),
            counts: Counts::default(),
        });
        let runtime = Builder::new_multi_thread()
            .worker_threads(setup.threads as usize)
            .max_blocking_threads(1)
            .thread_stack_size(STACK)
            .thread_name("extproc")
            .enable_io()
            .enable_time()
            .build()
            .map_err(|e| format!("external processor: its threads: {e}"))?;
        let (leave, told) = oneshot::channel();
        let ended = {
            let _inside = runtime.enter();
            listener.set_nonblocking(true).map_err(|e| e.to_string())?;
            let listener = TcpListener::from_std(listener).map_err(|e| e.to_string())?;
            let front = front.clone();
            let connections = setup.connections as usize;
            runtime.spawn(run(front, listener, identity, connections, listed, told))
        };
        Ok(Serving {
            runtime: Some(runtime),
            leave: Some(leave),
            ended: Some(ended),
            front,
        })
    }
}
