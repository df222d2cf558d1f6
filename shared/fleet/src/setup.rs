//! What a fleet is made of, and its start and end.

use crate::driver::Driver;
use crate::port::{Job, Port, Sink, State};
use crate::thread::{Body, Place};
use crate::views::{Alive, Views};
use crossbeam_channel::{bounded, Receiver, Sender};
use foldmux_peers::{Bounds, Config, Links};
use foldmux_replicas::{Peer, StateMachine};
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::AtomicU64;
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

const STACK: usize = 1024 * 1024;

pub struct Setup {
    pub name: Peer,
    pub listen: SocketAddr,
    /// All of the fleet; oneself among them is passed over.
    pub peers: Vec<(Peer, SocketAddr)>,
    pub key: [u8; 32],
    pub seed: u64,
    /// Asks that wait for the thread.
    pub queue: usize,
    pub bounds: Bounds,
}

/// A part was taken out of service: its byte, and why.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    pub part: u8,
    pub why: String,
}

/// Frames that no part could read, and parts that were taken out of service.
#[derive(Debug, Default)]
pub struct Counts {
    pub unreadable: AtomicU64,
    pub faults: AtomicU64,
}

pub struct Builder {
    setup: Setup,
    places: Vec<Place>,
    alive: Alive,
    jobs: Sender<Job>,
    waiting: Receiver<Job>,
}

impl Builder {
    pub fn new(setup: Setup) -> Builder {
        let (jobs, waiting) = bounded(setup.queue);
        let others = setup
            .peers
            .iter()
            .map(|(peer, _)| peer.clone())
            .filter(|peer| *peer != setup.name);
        Builder {
            places: Vec::new(),
            alive: Alive::new(others),
            jobs,
            waiting,
            setup,
        }
    }

    /// Adds a part, by the byte that its frames begin with.
    pub fn add<P>(
        &mut self,
        byte: u8,
        part: P,
        sink: impl Sink<P::Event> + 'static,
    ) -> Port<P::Command>
    where
        P: StateMachine + Send + 'static,
        P::Message: Send,
        P::Command: 'static,
        P::Event: Send,
    {
        let state = Arc::new(State::default());
        let driver = Driver::new(self.setup.name.clone(), part, Box::new(sink));
        self.places.push(Place {
            byte,
            part: Some(Box::new(driver)),
            state: state.clone(),
        });
        Port {
            part: byte,
            jobs: self.jobs.clone(),
            state,
            kind: std::marker::PhantomData,
        }
    }

    /// Where the sink of the part for members says who is alive.
    pub fn views(&self) -> Views {
        self.alive.views.clone()
    }

    pub fn start(self, faults: impl Sink<Fault> + 'static) -> io::Result<Fleet> {
        let Builder {
            setup,
            places,
            alive,
            jobs,
            waiting,
        } = self;
        let Setup {
            name,
            listen,
            peers,
            key,
            seed,
            bounds,
            ..
        } = setup;
        // Each link has its window of frames that wait here, and no other link's.
        let (sender, incoming) = bounded(bounds.window * (2 * peers.len()).max(1));
        let links = Arc::new(Links::start(
            Config {
                name,
                listen,
                peers,
                key,
                seed,
                bounds,
            },
            sender,
        )?);
        let counts = Arc::new(Counts::default());
        let began = Instant::now();
        let (linked, counted) = (links.clone(), counts.clone());
        let body = Body {
            places,
            alive,
            links: linked,
            counts: counted,
            faults: Box::new(faults),
            began,
        };
        let thread = thread::Builder::new()
            .name("fleet".to_string())
            .stack_size(STACK);
        let thread = Some(thread.spawn(move || body.run(&waiting, incoming))?);
        Ok(Fleet {
            jobs,
            thread,
            links,
            counts,
            began,
        })
    }
}

/// The fleet in service. Dropped, it ends: what the parts sent before is given to the sockets first, for a while.
pub struct Fleet {
    jobs: Sender<Job>,
    thread: Option<JoinHandle<()>>,
    links: Arc<Links>,
    counts: Arc<Counts>,
    began: Instant,
}

impl Fleet {
    /// When the parts' time was 0: whoever looks at a lease of theirs goes by the same clock.
    pub fn began(&self) -> Instant {
        self.began
    }

    pub fn links(&self) -> &Links {
        &self.links
    }

    pub fn counts(&self) -> &Counts {
        &self.counts
    }

    /// Carries out all that was asked before, gives the sockets what was sent, and ends.
    pub fn end(mut self, within: Duration) {
        self.finish(within);
    }

    fn finish(&mut self, within: Duration) {
        let Some(thread) = self.thread.take() else {
            return;
        };
        // A queue that stays full for so long is given up: the thread ends with the last handle.
        if self.jobs.send_timeout(Job::End, within).is_ok() {
            let _ = thread.join();
        }
        self.links.drain(Instant::now() + within);
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.finish(Duration::from_millis(100));
    }
}
