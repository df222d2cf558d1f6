//! The program with system calls that fail by a schedule.
#![allow(dead_code)]

use crate::common::command;
use crate::steps::Rig;
use std::io::Write;
use std::path::PathBuf;

/// The library that makes calls fail, as cargo leaves it beside the tests.
fn shim() -> PathBuf {
    let tests = std::env::current_exe().unwrap();
    let library = tests.parent().unwrap().join("libfoldmux_fault_shim.so");
    assert!(library.exists(), "{} is not built", library.display());
    library
}

/// Starts the program under this schedule of faults; see `foldmux_fault_shim::schedule` for its form.
pub fn start_under(schedule: &str) -> Rig {
    start_with(schedule, |config| config)
}

/// With another configuration, made from the usual one.
pub fn start_with(schedule: &str, change: impl FnOnce(String) -> String) -> Rig {
    // Refused here where it is no schedule, and not by a program that says nothing more.
    foldmux_fault_shim::schedule::parse(schedule).unwrap();
    let mut file = tempfile::NamedTempFile::new().unwrap();
    file.write_all(schedule.as_bytes()).unwrap();
    let mut program = command(&["serve"]);
    program.env("LD_PRELOAD", shim()).env("FOLDMUX_FAULTS", file.path());
    // The program has read the file once it serves.
    Rig::start_by(program, change)
}
