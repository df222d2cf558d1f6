//! A process of the demo, ended with its handle.

use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

/// A process of ours, ended with its handle.
pub struct Process(Child);

impl Process {
    /// Starts a program with these arguments and environment variables; its log goes to a file.
    pub fn start(
        program: &Path,
        arguments: &[&str],
        variables: &[(&str, &str)],
        log: &Path,
    ) -> Result<Process, String> {
        let log = std::fs::File::create(log).map_err(|e| format!("{}: {e}", log.display()))?;
        let mut command = Command::new(program);
        command
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log);
        command.envs(variables.iter().copied());
        command
            .spawn()
            .map(Process)
            .map_err(|e| format!("{}: {e}", program.display()))
    }

    /// Sends a signal, by its name as `kill` takes it.
    pub fn signal(&self, name: &str) {
        let _ = Command::new("kill")
            .args([name, &self.0.id().to_string()])
            .status();
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.signal("-TERM");
        let until = Instant::now() + Duration::from_secs(8);
        while Instant::now() < until {
            if matches!(self.0.try_wait(), Ok(Some(_))) {
                return;
            }
            thread::sleep(Duration::from_millis(20));
        }
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}
