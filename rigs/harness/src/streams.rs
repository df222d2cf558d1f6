//! A fleet's streams: who reads by which relay, readers of what its processes serve, and what the source is told to say.

use crate::fleet::Fleet;
use crate::news::STREAM;
use crate::readers::{Begin, Readers};
use crate::record::Event;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// The operator's line that relays the journal, with a patience that a busy machine mostly keeps, served to each site; `{serve}` is each process's own address.
pub const RELAYED: &str =
    "stream(\"journal\", slow = \"all\", patience_ms = 300, readers = 4000, serve = \"{serve}\")\n";
/// Between two looks at what no one tells of.
const LOOK: Duration = Duration::from_millis(5);

impl Fleet {
    /// A process reads the journal as long as it runs: its site has a reader.
    pub(crate) fn reads(&self, process: usize, begins: bool) {
        let (stream, site, reader) = (STREAM.to_string(), self.site(process), process as u64);
        self.record().add(match begins {
            true => Event::Joined {
                stream,
                site,
                reader,
            },
            false => Event::Parted {
                stream,
                site,
                reader,
            },
        });
    }

    pub fn site(&self, process: usize) -> String {
        format!("site{}", process % self.sites)
    }

    pub fn of_site(&self, site: usize) -> Vec<usize> {
        (0..self.size())
            .filter(|process| process % self.sites == site)
            .collect()
    }

    pub fn serves(&self, process: usize) -> SocketAddr {
        self.serves[process]
    }

    /// Readers whose purges are timed from when the source told them.
    pub fn readers(&self, threads: usize) -> std::io::Result<Readers> {
        let told = self.journal().when();
        Readers::start(threads, self.record(), told)
    }

    /// A reader that begins at this process, and goes to others of its site.
    pub fn begin(&self, readers: &Readers, reader: u64, process: usize, wait: Duration) {
        let mut at: Vec<usize> = self.of_site(process % self.sites);
        let first = at.iter().position(|own| *own == process).unwrap_or(0);
        at.rotate_left(first);
        let addresses = at.into_iter().map(|process| self.serves(process)).collect();
        readers.begin(Begin {
            reader,
            site: self.site(process),
            addresses,
            wait,
        });
    }

    /// Waits until the source has so many streams open, and no other; who has them.
    pub fn streams(&self, count: usize, within: Duration) -> Result<Vec<usize>, Vec<usize>> {
        let until = Instant::now() + within;
        loop {
            let open = self.journal().open();
            if open.len() == count {
                return Ok(open);
            }
            if Instant::now() > until {
                return Err(open);
            }
            std::thread::sleep(LOOK);
        }
    }

    /// Who reads the source for a site, by what is open there.
    pub fn relay(&self, site: usize) -> Option<usize> {
        self.journal()
            .open()
            .into_iter()
            .find(|process| process % self.sites == site)
    }

    /// The source says that a cache drains.
    pub fn drain(&self, cache: usize) {
        let mut host = self.hosts[cache].clone();
        host.status = "draining";
        self.record().add(Event::Drained { cache });
        self.journal().hosts(false, &[host]);
    }

    /// The source starts again at 1, with the whole list.
    pub fn restart_source(&self) {
        self.journal().restart(&self.hosts);
    }
}
