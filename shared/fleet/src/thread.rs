//! The thread: frames, asks and ticks to the parts, one at a time, and their frames to the links.

use crate::driver::{Driven, Frames, Unreadable};
use crate::port::{Job, Sink, State};
use crate::setup::{Counts, Fault};
use crate::views::Alive;
use crossbeam_channel::{never, select, Receiver};
use foldmux_peers::{Incoming, Links, Session};
use foldmux_replicas::{Peer, Time};
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Jobs and frames that are taken before timers are looked at again.
const BATCH: usize = 128;
/// Longest sleep where nothing is due.
const LONGEST: Duration = Duration::from_secs(60);

pub(crate) struct Place {
    pub byte: u8,
    /// None once it is out of service.
    pub part: Option<Box<dyn Driven>>,
    pub state: Arc<State>,
}

pub(crate) struct Body {
    pub places: Vec<Place>,
    pub alive: Alive,
    pub links: Arc<Links>,
    pub counts: Arc<Counts>,
    pub faults: Box<dyn Sink<Fault>>,
    pub began: Instant,
}

impl Body {
    fn now(&self) -> Time {
        self.began.elapsed().as_micros() as Time
    }

    pub fn run(mut self, jobs: &Receiver<Job>, mut incoming: Receiver<Incoming>) {
        while self.take(jobs, &mut incoming) {
            let now = self.now();
            for at in 0..self.places.len() {
                if self.places[at]
                    .part
                    .as_ref()
                    .and_then(|part| part.due())
                    .is_some_and(|due| due <= now)
                {
                    self.drive(at, |part, out| part.tick(now, out));
                }
            }
            self.tell_views();
        }
        for place in &self.places {
            place.state.gone.store(true, Ordering::Release);
            place.part.iter().for_each(|part| part.gone());
        }
    }

    /// Waits for jobs and frames until something is due, and deals with some; not once it is to end.
    fn take(&mut self, jobs: &Receiver<Job>, incoming: &mut Receiver<Incoming>) -> bool {
        let mut wait = self.wait();
        for _ in 0..BATCH {
            select! {
                recv(jobs) -> job => match job {
                    Ok(Job::Ask { part, ask }) => self.ask(part, ask),
                    Ok(Job::End) | Err(_) => return false,
                },
                recv(incoming) -> heard => match heard {
                    Ok(heard) => self.incoming(heard),
                    // The links ended by a fault: what is asked here is still answered.
                    Err(_) => *incoming = never(),
                },
                default(wait) => break,
            }
            wait = Duration::ZERO;
        }
        true
    }

    fn wait(&self) -> Duration {
        let due = self
            .places
            .iter()
            .filter_map(|place| place.part.as_ref()?.due())
            .min();
        due.map_or(LONGEST, |due| {
            Duration::from_micros(due.saturating_sub(self.now())).min(LONGEST)
        })
    }

    fn ask(&mut self, byte: u8, ask: Box<dyn std::any::Any + Send>) {
        let now = self.now();
        if let Some(at) = self.places.iter().position(|place| place.byte == byte) {
            self.drive(at, |part, out| part.ask(now, ask, out));
        }
        self.tell_views();
    }

    fn incoming(&mut self, incoming: Incoming) {
        match incoming {
            Incoming::Up { peer, .. } => self.alive.linked(&peer, true),
            Incoming::Down { peer, .. } => self.alive.linked(&peer, false),
            Incoming::Frame {
                from,
                session,
                part: byte,
                bytes,
                held,
            } => {
                let now = self.now();
                let mut read = Err(Unreadable);
                if let Some(at) = self.places.iter().position(|place| place.byte == byte) {
                    let asker = Some((&from, session));
                    self.drive_for(at, asker, |part, out| {
                        read = part.heard(now, &from, &bytes, out)
                    });
                }
                if read.is_err() {
                    self.counts.unreadable.fetch_add(1, Ordering::Relaxed);
                }
                drop(held);
            }
        }
        self.tell_views();
    }

    fn tell_views(&mut self) {
        let now = self.now();
        for (peer, alive) in self.alive.news() {
            (0..self.places.len())
                .for_each(|at| self.drive(at, |part, out| part.peer(now, &peer, alive, out)));
        }
    }

    fn drive(&mut self, at: usize, step: impl FnOnce(&mut dyn Driven, &mut Frames)) {
        self.drive_for(at, None, step);
    }

    /// One step of one part. Guards against its fault being everybody's. What it says to the asker goes to the process
    /// that asked, where there are two of one name.
    fn drive_for(
        &mut self,
        at: usize,
        asker: Option<(&Peer, Session)>,
        step: impl FnOnce(&mut dyn Driven, &mut Frames),
    ) {
        let Place {
            byte,
            part: place,
            state,
        } = &mut self.places[at];
        let Some(part) = place else { return };
        let mut out = Vec::new();
        let stepped = catch_unwind(AssertUnwindSafe(|| step(&mut **part, &mut out)));
        for (to, bytes) in out {
            match asker.filter(|(peer, _)| **peer == to) {
                Some((peer, session)) => self.links.answer(peer, session, *byte, bytes),
                None => self.links.send(&to, *byte, bytes),
            };
        }
        let Err(panic) = stepped else { return };
        state.gone.store(true, Ordering::Release);
        self.counts.faults.fetch_add(1, Ordering::Relaxed);
        let text = panic.downcast_ref::<&str>().map(|text| text.to_string());
        let why = text
            .or_else(|| panic.downcast_ref::<String>().cloned())
            .unwrap_or_default();
        self.faults.told(Fault { part: *byte, why });
        let part = place.take();
        let _ = catch_unwind(AssertUnwindSafe(|| {
            part.iter().for_each(|part| part.gone());
            drop(part);
        }));
    }
}
