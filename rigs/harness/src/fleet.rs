//! A fleet of real processes with everything that they talk to, each link through a line.

use crate::archive::Archive;
use crate::customer::Customer;
use crate::line::Line;
use crate::news::News;
use crate::plan::Plan;
use crate::pools::Pools;
use crate::process::{free, program, Process, Spec};
use crate::record::{Event, Record};
use crate::settings::{self, BOXES};
use crate::who::Who;
use foldmux_fakes::journal::Host;
use nix::sys::signal::Signal;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitStatus;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// How long a process may take to start, be well or end.
pub const SOON: Duration = Duration::from_secs(20);

pub struct Fleet {
    // In this order they end: the processes first.
    running: Vec<Mutex<Option<Process>>>,
    specs: Vec<Spec>,
    /// By who dials, then by who is dialled.
    pub(crate) peers: Vec<Vec<Line>>,
    pub(crate) caches: Vec<Line>,
    pub(crate) news: Vec<Line>,
    journal: News,
    /// Where each process serves the journal, where the plan's lines say so.
    pub(crate) serves: Vec<SocketAddr>,
    pub(crate) hosts: Vec<Host>,
    pub(crate) sites: usize,
    archive: Archive,
    record: Record,
    who: Who,
    folder: PathBuf,
}

/// A new folder for the files of one fleet.
fn new_folder() -> Result<PathBuf, String> {
    static NUMBER: AtomicU64 = AtomicU64::new(0);
    let number = NUMBER.fetch_add(1, Ordering::Relaxed);
    let folder = std::env::temp_dir().join(format!("foldmux-rig-{}-{number}", std::process::id()));
    std::fs::create_dir_all(&folder).map_err(|e| format!("{}: {e}", folder.display()))?;
    Ok(folder)
}

/// Where the processes of a fleet listen, and what they share.
struct Place<'a> {
    plan: &'a Plan,
    folder: &'a Path,
    key_file: &'a Path,
    /// The fleet address of each process.
    own: &'a [SocketAddr],
    /// Where each process serves the relayed stream.
    serves: &'a [SocketAddr],
    /// By process: its lines to each other one.
    peers: &'a [Vec<Line>],
}

impl Place<'_> {
    fn spec(&self, process: usize, program: PathBuf, source: SocketAddr, known: &str) -> Spec {
        let Place { plan, own, .. } = *self;
        let listen = free();
        let addresses = |lines: &Vec<Line>| -> Vec<SocketAddr> {
            let address =
                |(n, line): (usize, &Line)| if n == process { own[n] } else { line.address };
            lines.iter().enumerate().map(address).collect()
        };
        let key_file = self.key_file.display().to_string();
        let operator = self.peers.get(process).map(addresses).map(|to| {
            settings::operator(plan, [own[process], self.serves[process]], &to, &key_file)
        });
        Spec {
            program,
            number: process,
            name: settings::name(process),
            config: settings::config(plan, process, listen, source, known),
            operator,
            listen,
            folder: self.folder.join(settings::name(process)),
        }
    }
}

impl Fleet {
    /// Starts everything; each process is well.
    pub fn start(plan: &Plan) -> Result<Fleet, String> {
        let folder = new_folder()?;
        let (record, who, program) = (Record::default(), Who::default(), program()?);
        record.add(Event::Planned {
            seed: plan.seed,
            processes: plan.processes,
            sites: plan.sites,
        });
        let pools = settings::pools(&plan.operator);
        let cap = |(pool, slots): &(String, u64)| Event::Cap {
            pool: pool.clone(),
            slots: *slots,
        };
        pools.iter().for_each(|pool| record.add(cap(pool)));
        let archive = Archive::start(
            plan.archive,
            &record,
            &who,
            Pools::new(pools, plan.sites),
            plan.direct,
        );
        let line = |n: usize| Line::to(&format!("cache {n}"), archive.address(n), &who);
        let caches: Vec<Line> = (0..plan.sites * BOXES + 2).map(line).collect();
        let journal = News::start(plan.sites, &record, &who);
        let news = |n: usize| Line::by(Some(n), "journal", journal.address(), &who);
        let news: Vec<Line> = (0..plan.processes).map(news).collect();
        let at = |n: usize| {
            if plan.direct {
                archive.address(n)
            } else {
                caches[n].address
            }
        };
        let hosts = settings::hosts(plan, at);
        journal.hosts(true, &hosts);
        let serves: Vec<SocketAddr> = (0..plan.processes).map(|_| free()).collect();
        let own: Vec<SocketAddr> = (0..plan.processes).map(|_| free()).collect();
        let count = if plan.fleet { plan.processes } else { 0 };
        let peer = |from: usize, to: usize| {
            Line::by(Some(from), &format!("n{from} to n{to}"), own[to], &who)
        };
        let peers: Vec<Vec<Line>> = (0..count)
            .map(|i| (0..count).map(|j| peer(i, j)).collect())
            .collect();
        let key_file = folder.join("fleet.key");
        std::fs::write(&key_file, "0123456789abcdef".repeat(4)).map_err(|e| e.to_string())?;
        let place = Place {
            plan,
            folder: &folder,
            key_file: &key_file,
            own: &own,
            serves: &serves,
            peers: &peers,
        };
        let spec = |process: usize| {
            let source = if plan.direct {
                journal.address()
            } else {
                news[process].address
            };
            place.spec(process, program.clone(), source, &journal.known())
        };
        let specs: Vec<Spec> = (0..plan.processes).map(spec).collect();
        let running = (0..plan.processes).map(|_| Mutex::default()).collect();
        let sites = plan.sites;
        let fleet = Fleet {
            running,
            specs,
            peers,
            caches,
            news,
            journal,
            serves,
            hosts,
            sites,
            archive,
            record,
            who,
            folder,
        };
        (0..plan.processes).try_for_each(|n| fleet.restart(n))?;
        (0..plan.processes).try_for_each(|n| fleet.well(n))?;
        Ok(fleet)
    }

    fn slot(&self, process: usize) -> MutexGuard<'_, Option<Process>> {
        self.running[process]
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    pub fn size(&self) -> usize {
        self.specs.len()
    }

    /// Starts a process that is down, under the same name and at the same address; it may not be well yet.
    pub fn restart(&self, process: usize) -> Result<(), String> {
        let mut slot = self.slot(process);
        if slot.is_none() {
            *slot = Some(Process::start(&self.specs[process], &self.who, SOON)?);
            self.record.add(Event::Started { process });
            self.reads(process, true);
        }
        Ok(())
    }

    pub fn well(&self, process: usize) -> Result<(), String> {
        self.slot(process)
            .as_ref()
            .map_or(Ok(()), |running| running.well(SOON))
    }

    pub fn kill(&self, process: usize) {
        if let Some(running) = self.slot(process).take() {
            // Written down first, so that nothing that follows from it comes before it.
            self.record.add(Event::Killed { process });
            running.kill();
            self.reads(process, false);
        }
    }

    fn signal(&self, process: usize, signal: Signal, event: Event) -> Result<(), String> {
        let slot = self.slot(process);
        let running = slot.as_ref().ok_or_else(|| format!("n{process} is down"))?;
        self.record.add(event);
        running.signal(signal)
    }

    pub fn pause(&self, process: usize) -> Result<(), String> {
        self.signal(process, Signal::SIGSTOP, Event::Paused { process })
    }

    pub fn wake(&self, process: usize) -> Result<(), String> {
        self.signal(process, Signal::SIGCONT, Event::Woken { process })
    }

    /// Has it read the operator's file again, with these lines in place of the plan's.
    pub fn reread(&self, plan: &Plan, process: usize, lines: &str) -> Result<(), String> {
        let slot = self.slot(process);
        let running = slot.as_ref().ok_or_else(|| format!("n{process} is down"))?;
        let old = self.specs[process].operator.as_deref().unwrap_or_default();
        let new = old.strip_suffix(&*plan.operator).unwrap_or(old).to_string() + lines;
        std::fs::write(running.folder().join("foldmux.star"), new).map_err(|e| e.to_string())?;
        running.signal(Signal::SIGHUP)
    }

    /// Has it read its files again, with a configuration that `change` makes of its first one.
    pub fn reconfigure(
        &self,
        process: usize,
        change: impl FnOnce(&str) -> String,
    ) -> Result<(), String> {
        let slot = self.slot(process);
        let running = slot.as_ref().ok_or_else(|| format!("n{process} is down"))?;
        let config = change(&self.specs[process].config);
        let file = running.folder().join("config.json");
        std::fs::write(file, config).map_err(|error| error.to_string())?;
        running.signal(Signal::SIGHUP)
    }

    /// Tells it to leave and waits until it has.
    pub fn leave(&self, process: usize) -> Result<ExitStatus, String> {
        self.signal(process, Signal::SIGTERM, Event::Left { process })?;
        let leaving = self.slot(process).take().ok_or("it is down")?;
        let ended = leaving.ended(SOON);
        self.record.add(Event::Ended { process });
        self.reads(process, false);
        ended
    }

    /// Another version beside it, on the same address under the same name; then the old one leaves.
    pub fn upgrade(&self, process: usize) -> Result<ExitStatus, String> {
        let mut slot = self.slot(process);
        let next = Process::start(&self.specs[process], &self.who, SOON)?;
        self.record.add(Event::Started { process });
        let old = slot.replace(next);
        drop(slot);
        let old = old.ok_or_else(|| format!("n{process} was down"))?;
        self.record.add(Event::Left { process });
        old.signal(Signal::SIGTERM)?;
        let ended = old.ended(SOON);
        self.record.add(Event::Ended { process });
        ended
    }

    pub fn caches(&self) -> &[Line] {
        &self.caches
    }

    pub fn archive(&self) -> &Archive {
        &self.archive
    }

    pub fn journal(&self) -> &News {
        &self.journal
    }

    pub fn record(&self) -> &Record {
        &self.record
    }

    pub fn address(&self, process: usize) -> SocketAddr {
        self.specs[process].listen
    }

    pub fn customer(&self, patience: Duration) -> Customer {
        Customer::new(
            self.specs.iter().map(|spec| spec.listen).collect(),
            &self.record,
            patience,
        )
    }

    pub fn id(&self, process: usize) -> Option<u32> {
        self.slot(process).as_ref().map(Process::id)
    }

    /// What a process's log says; none while it is down.
    pub fn log(&self, process: usize) -> Vec<String> {
        self.slot(process)
            .as_ref()
            .map(|running| running.log.all())
            .unwrap_or_default()
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.running
            .iter()
            .for_each(|slot| drop(slot.lock().unwrap_or_else(PoisonError::into_inner).take()));
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}
