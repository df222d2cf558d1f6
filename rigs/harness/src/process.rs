//! One run of the real program: started, signalled and ended here, and by nobody else.

use crate::who::Who;
use foldmux_fakes::rpc::Terminal;
use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;
use std::collections::VecDeque;
use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// Lines of a log that are kept, the latest.
const LINES: usize = 4_000;
/// Between two looks at whether it is well: the program tells nobody by itself.
const LOOK: Duration = Duration::from_millis(5);

/// What a process is started with; a restart takes the same.
#[derive(Clone)]
pub struct Spec {
    pub program: PathBuf,
    pub number: usize,
    pub name: String,
    pub config: String,
    pub operator: Option<String>,
    pub listen: SocketAddr,
    /// Of its own: configuration, operator's file, and what it keeps.
    pub folder: PathBuf,
}

#[derive(Default)]
struct Lines {
    kept: VecDeque<String>,
    over: bool,
}

#[derive(Default)]
pub struct Log {
    lines: Mutex<Lines>,
    more: Condvar,
}

impl Log {
    fn lines(&self) -> MutexGuard<'_, Lines> {
        self.lines.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn add(&self, line: Option<String>) {
        let mut lines = self.lines();
        match line {
            Some(line) => lines.kept.push_back(line),
            None => lines.over = true,
        }
        if lines.kept.len() > LINES {
            lines.kept.pop_front();
        }
        self.more.notify_all();
    }

    /// The first line with these words, waited for; none if the log ended or the time did.
    pub fn wait(&self, words: &str, within: Duration) -> Option<String> {
        let find = |lines: &Lines| lines.kept.iter().find(|line| line.contains(words)).cloned();
        let none = |lines: &mut Lines| !lines.over && find(lines).is_none();
        let waited = self.more.wait_timeout_while(self.lines(), within, none);
        find(&waited.unwrap_or_else(PoisonError::into_inner).0)
    }

    /// Waits until the program has closed its log, as it does with its end.
    fn closed(&self, within: Duration) -> bool {
        let waited = self
            .more
            .wait_timeout_while(self.lines(), within, |lines| !lines.over);
        !waited.unwrap_or_else(PoisonError::into_inner).1.timed_out()
    }

    pub fn all(&self) -> Vec<String> {
        self.lines().kept.iter().cloned().collect()
    }
}

pub struct Process {
    child: Child,
    who: Who,
    pub log: Arc<Log>,
    pub spec: Spec,
}

/// Where the program is: `FOLDMUX` names it, else it lies beside this one, or above its folder.
pub fn program() -> Result<PathBuf, String> {
    if let Some(named) = std::env::var_os("FOLDMUX") {
        return Ok(named.into());
    }
    let own = std::env::current_exe().map_err(|e| e.to_string())?;
    let at = own
        .ancestors()
        .skip(1)
        .take(2)
        .map(|folder| folder.join("foldmux"))
        .find(|file| file.is_file());
    at.ok_or_else(|| {
        "the program is not built: cargo build -p foldmux-proxy, or name it in FOLDMUX".to_string()
    })
}

/// A port that is free now, below those that the kernel gives out by itself: nobody else is given it between here and
/// the start, nor while a process is down.
pub fn free() -> SocketAddr {
    static NEXT: AtomicU64 = AtomicU64::new(0);
    let from = std::process::id() as u64 * 131;
    let next = || {
        let port = 10_000 + (from + NEXT.fetch_add(1, Ordering::Relaxed)) % 20_000;
        SocketAddr::from(([127, 0, 0, 1], port as u16))
    };
    let free = |at: &SocketAddr| TcpListener::bind(at).is_ok();
    std::iter::repeat_with(next)
        .take(20_000)
        .find(free)
        .expect("a port")
}

impl Process {
    /// Starts it; it serves, though it may not be well yet.
    pub fn start(spec: &Spec, who: &Who, within: Duration) -> Result<Process, String> {
        let told = |e: std::io::Error| format!("{}: {e}", spec.name);
        std::fs::create_dir_all(&spec.folder).map_err(told)?;
        let file = |name: &str| spec.folder.join(name);
        std::fs::write(file("config.json"), &spec.config).map_err(told)?;
        let mut command = Command::new(&spec.program);
        command.arg("serve").env("GW_CONFIG", file("config.json"));
        if let Some(operator) = &spec.operator {
            std::fs::write(file("foldmux.star"), operator).map_err(told)?;
            command.arg("--operator").arg(file("foldmux.star"));
        }
        command
            .env("GW_NAME", &spec.name)
            .env("GW_LISTEN", spec.listen.to_string());
        command
            .env("TMPDIR", &spec.folder)
            .env_remove("GW_OPERATOR");
        command
            .env_remove("FOLDMUX_OPERATOR")
            .env_remove("FOLDMUX_LOG");
        let mut child = command
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::piped())
            .spawn()
            .map_err(|e| format!("{}: {e}", spec.program.display()))?;
        let stderr = child.stderr.take().ok_or("no log")?;
        who.started(child.id(), spec.number);
        let log = Arc::new(Log::default());
        let own = log.clone();
        let read = move || {
            BufReader::new(stderr)
                .lines()
                .map_while(Result::ok)
                .for_each(|line| own.add(Some(line)));
            own.add(None);
        };
        let reader = thread::Builder::new().stack_size(128 * 1024).spawn(read);
        // From here on its end is this value's.
        let process = Process {
            child,
            who: who.clone(),
            log,
            spec: spec.clone(),
        };
        reader.map_err(told)?;
        match process.log.wait(" is listening on ", within) {
            Some(_) => Ok(process),
            None => Err(format!(
                "{} did not serve; it said:\n{}",
                spec.name,
                process.log.all().join("\n")
            )),
        }
    }

    /// Waits until it says that it is well.
    pub fn well(&self, within: Duration) -> Result<(), String> {
        let until = Instant::now() + within;
        loop {
            let asked = Terminal::connect(self.spec.listen, Duration::from_secs(1))
                .and_then(|mut t| t.well());
            if matches!(asked, Ok(true)) {
                return Ok(());
            }
            if Instant::now() > until {
                return Err(format!("{} never was well; {asked:?}", self.spec.name));
            }
            thread::sleep(LOOK);
        }
    }

    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// The child is not waited for yet while this value lives, so that its id is still its own.
    pub fn signal(&self, signal: Signal) -> Result<(), String> {
        kill(Pid::from_raw(self.id() as i32), signal)
            .map_err(|e| format!("{}: {signal}: {e}", self.spec.name))
    }

    /// Ends it as a power cut does, also where it is paused.
    pub fn kill(mut self) {
        self.end();
    }

    /// Waits for its own end.
    pub fn ended(mut self, within: Duration) -> Result<ExitStatus, String> {
        match self.log.closed(within) {
            true => self.child.wait().map_err(|e| e.to_string()),
            false => Err(format!("{} did not end", self.spec.name)),
        }
    }

    fn end(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        self.who.ended(self.child.id());
    }

    pub fn folder(&self) -> &Path {
        &self.spec.folder
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.end();
    }
}
