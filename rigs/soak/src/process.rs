//! The program under the shim: started, signalled, killed, its log kept.

use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;
use std::fs::File;
use std::io::{BufRead, BufReader, Write};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

/// How often it is looked whether the process has ended.
const LOOK_EVERY: Duration = Duration::from_millis(5);

/// One run of the program.
pub struct Process {
    child: Child,
    /// Where it serves clients.
    pub serves: SocketAddr,
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Process {
    /// Starts `program` under the schedule in `folder`, which also takes its log and the trace of faults. It has come up once
    /// this returns.
    pub fn start(program: &Path, shim: &Path, folder: &Path) -> Result<Process, String> {
        let mut child = Command::new(program)
            .arg("serve")
            .env("GW_CONFIG", folder.join("config.json"))
            .env("LD_PRELOAD", shim)
            .env("FOLDMUX_FAULTS", folder.join("faults"))
            .env("FOLDMUX_FAULT_TRACE", folder.join("trace"))
            .env_remove("TMPDIR")
            .stderr(Stdio::piped())
            .spawn()
            .map_err(|e| format!("{}: {e}", program.display()))?;
        let error = child.stderr.take().ok_or("no standard error")?;
        let mut log = File::create(folder.join("log")).map_err(|e| format!("log: {e}"))?;
        let mut lines = BufReader::new(error).lines().map_while(Result::ok);
        let serves = loop {
            let line = lines.next().ok_or_else(|| {
                let _ = child.wait();
                format!(
                    "the program ended before it served; its log is in {}",
                    folder.display()
                )
            })?;
            let _ = writeln!(log, "{line}");
            if let Some((_, at)) = line.split_once(" is listening on ") {
                break at.trim().parse().map_err(|e| format!("{line}: {e}"))?;
            }
        };
        std::thread::spawn(move || lines.for_each(|line| drop(writeln!(log, "{line}"))));
        Ok(Process { child, serves })
    }

    /// Sends a signal; one that has ended needs none.
    pub fn signal(&self, signal: Signal) {
        let _ = kill(Pid::from_raw(self.child.id() as i32), signal);
    }

    /// Waits for its end until then; how it ended.
    pub fn ended_by(&mut self, until: Instant) -> Option<ExitStatus> {
        loop {
            if let Ok(Some(status)) = self.child.try_wait() {
                return Some(status);
            }
            if Instant::now() >= until {
                return None;
            }
            std::thread::sleep(LOOK_EVERY);
        }
    }

    /// Whether it still runs.
    pub fn runs(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }
}

/// The library that makes calls fail, as cargo leaves it beside this program or its tests.
pub fn shim() -> Result<PathBuf, String> {
    let own = std::env::current_exe().map_err(|e| e.to_string())?;
    let folders = own
        .ancestors()
        .skip(1)
        .take(2)
        .flat_map(|folder| [folder.to_path_buf(), folder.join("deps")]);
    let found = folders
        .map(|folder| folder.join("libfoldmux_fault_shim.so"))
        .find(|path| path.exists());
    found.ok_or_else(|| format!("no libfoldmux_fault_shim.so beside {}", own.display()))
}
