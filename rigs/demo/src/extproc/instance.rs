//! One instance of the program, and the files that it reads.

use super::files::{script, settings};
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::Duration;

/// How long an instance may take until it serves.
const START: Duration = Duration::from_secs(20);

/// One instance of the program, with its files.
pub(crate) struct Instance {
    program: PathBuf,
    folder: PathBuf,
    number: usize,
    child: Child,
    /// Of the platform's front, and of the external processor.
    pub(crate) listen: SocketAddr,
    pub(crate) address: SocketAddr,
}

impl Instance {
    /// Starts an instance over these caches.
    pub(super) fn start(
        program: &Path,
        folder: &Path,
        number: usize,
        caches: &[SocketAddr],
    ) -> Result<Instance, String> {
        let ledger = folder.join(format!("{number}.ledger"));
        Instance::with(program, folder, number, &settings(caches), &script(&ledger))
    }

    /// Starts an instance with these files.
    pub(crate) fn with(
        program: &Path,
        folder: &Path,
        number: usize,
        config: &str,
        operator: &str,
    ) -> Result<Instance, String> {
        let told = |e: std::io::Error| e.to_string();
        std::fs::write(folder.join(format!("{number}.json")), config).map_err(told)?;
        std::fs::write(folder.join(format!("{number}.star")), operator).map_err(told)?;
        let (child, [listen, address]) = spawn(program, folder, number)?;
        let (program, folder) = (program.to_path_buf(), folder.to_path_buf());
        Ok(Instance {
            program,
            folder,
            number,
            child,
            listen,
            address,
        })
    }

    /// Resident memory (KB), as the kernel tells it.
    pub(crate) fn memory_kb(&self) -> Option<u64> {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).ok()?;
        let line = status
            .lines()
            .find_map(|line| line.strip_prefix("VmRSS:"))?;
        line.split_whitespace().next()?.parse().ok()
    }

    /// Ends it as a power cut does, and starts it over the files that it left.
    pub(super) fn kill(&mut self) -> Result<(), String> {
        self.child.kill().map_err(|e| e.to_string())?;
        self.child.wait().map_err(|e| e.to_string())?;
        (self.child, [self.listen, self.address]) =
            spawn(&self.program, &self.folder, self.number)?;
        Ok(())
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn spawn(program: &Path, folder: &Path, number: usize) -> Result<(Child, [SocketAddr; 2]), String> {
    let mut command = Command::new(program);
    command
        .arg("serve")
        .arg("--operator")
        .arg(folder.join(format!("{number}.star")));
    command
        .env("GW_CONFIG", folder.join(format!("{number}.json")))
        .env_remove("GW_LISTEN")
        .env_remove("GW_NAME");
    command
        .env_remove("FOLDMUX_LOG")
        .env_remove("FOLDMUX_OPERATOR");
    command
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .stderr(Stdio::piped());
    let mut child = command
        .spawn()
        .map_err(|e| format!("{}: {e}", program.display()))?;
    let log = child.stderr.take().ok_or("no log")?;
    let (told, heard) = std::sync::mpsc::channel();
    thread::spawn(move || {
        let mut lines = BufReader::new(log).lines().map_while(Result::ok);
        let (mut at, mut serves) = (None, None);
        for line in lines.by_ref() {
            at = at.or_else(|| {
                line.split_once("external processor on ")
                    .and_then(|(_, a)| a.trim().parse().ok())
            });
            serves = line
                .split_once(" is listening on ")
                .and_then(|(_, a)| a.trim().parse().ok());
            if serves.is_some() {
                break;
            }
        }
        let _ = told.send(serves.zip(at));
        // Read on: a full pipe would hold nobody up, but the lines would be lost to none.
        lines.for_each(drop);
    });
    match heard.recv_timeout(START) {
        Ok(Some((listen, address))) => Ok((child, [listen, address])),
        _ => {
            let _ = child.kill();
            let _ = child.wait();
            Err(format!("instance {number} did not serve"))
        }
    }
}
