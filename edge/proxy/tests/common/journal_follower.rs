//! The journal client and its event loop in this process: a real journal service's socket at one end, the members at the other.
#![allow(dead_code)]

use crate::common;
use crate::fake_journal::PATIENCE;
use foldmux::interface::MemberState;
use foldmux::Router;
use foldmux_core::clock::Clock;
use foldmux_core::event_loop::EventLoop;
use foldmux_core::servers::{cache_id, ServerList};
use foldmux_proxy::backoff::Backoff;
use foldmux_proxy::journal::{EventBatch, JournalClient, JournalService, ZoneAndKindNames};
use foldmux_upstream::pool::Pool;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

pub struct JournalFollower {
    pub members: Arc<ServerList>,
    pub service: Arc<JournalService>,
    /// A whole list is in.
    pub listed: Arc<AtomicBool>,
    /// The names of members whose start took no more work, in the order in which it ended.
    ended: Arc<Mutex<Vec<String>>>,
}

impl JournalFollower {
    /// With these events known, it follows the journal service at this address.
    pub fn start(address: SocketAddr, known: &str) -> JournalFollower {
        let decoded = foldmux_settings::parse(common::SETTINGS).unwrap();
        let (clock, members) = (Clock::default(), Arc::new(ServerList::default()));
        let (mut desk, handle) = EventLoop::new(
            Router::new(decoded.settings, 1),
            clock.clone(),
            members.clone(),
        );
        let ended: Arc<Mutex<Vec<String>>> = Arc::default();
        let heard = ended.clone();
        desk.on_incarnation_ended(move |former| {
            heard.lock().unwrap().push(former.name.to_string())
        });
        std::thread::spawn(move || desk.run());
        let names = ZoneAndKindNames {
            zones: decoded.zones,
            kinds: decoded.kinds,
        };
        let pool = Pool::new(8, Duration::from_secs(10));
        let listed = Arc::new(AtomicBool::new(false));
        let mut journal = JournalClient::new(names, clock, handle, pool, listed.clone());
        let known: EventBatch =
            simd_json::serde::from_slice(&mut known.as_bytes().to_vec()).unwrap();
        assert!(journal.apply(&known));
        let service = Arc::new(JournalService::new(Some(address)));
        let followed = service.clone();
        std::thread::spawn(move || journal.follow(&followed, Backoff::new(1)));
        JournalFollower {
            members,
            service,
            listed,
            ended,
        }
    }

    pub fn is_listed(&self) -> bool {
        self.listed.load(Ordering::SeqCst)
    }

    /// What the list says of a member, or that it has none of this name.
    pub fn state(&self, id: u32) -> Option<MemberState> {
        self.members
            .get(cache_id(&format!("s-{id:08x}")))
            .map(|listed| listed.member.state)
    }

    /// Returns once the event loop has applied a list with this member, and so all that was told before it.
    pub fn knows(&self, id: u32) {
        let until = Instant::now() + PATIENCE;
        while self.state(id).is_none() {
            assert!(Instant::now() < until, "s-{id:08x} is never listed");
            std::thread::yield_now();
        }
    }

    pub fn ended(&self) -> Vec<String> {
        self.ended.lock().unwrap().clone()
    }
}
