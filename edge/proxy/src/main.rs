//! The program `foldmux`: reads the command line and runs its command.

use cli::{Command, CommandLine, UsageError, USAGE};
use foldmux_proxy::check_config::{check, config_path};
use foldmux_proxy::config::ConfigFiles;
use foldmux_proxy::operator_file::{load, load_hierarchy};
use foldmux_proxy::{config, limits, log, plan, server};
use std::error::Error;
use std::process::ExitCode;

mod cli;

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("foldmux: {}", error.to_string().trim_end());
            ExitCode::FAILURE
        }
    }
}

fn run() -> Result<(), Box<dyn Error>> {
    let line = CommandLine::parse()?;
    match line.command {
        Command::Help => println!("{USAGE}"),
        Command::Version => println!("foldmux {}", env!("CARGO_PKG_VERSION")),
        Command::CheckConfig => check(line.config, line.operator)?,
        Command::Plan => print_plan(&line)?,
        Command::ExtProcCheck => check_processor(&line)?,
        Command::Limits => {
            let (operator, route) = (line.operator.as_deref(), line.route.as_deref());
            print!(
                "{}",
                limits::run_command(&line.limits_arguments, operator, route)?
            );
        }
        Command::Serve => serve(line)?,
        Command::Hub => serve_hub(line)?,
    }
    Ok(())
}

fn print_plan(line: &CommandLine) -> Result<(), Box<dyn Error>> {
    let [old, new] = &line.operands[..] else {
        let missing = UsageError::Missing("plan needs two files; see foldmux help");
        return Err(missing.into());
    };
    plan::print_plan(&load_hierarchy(old)?, &load_hierarchy(new)?)?;
    Ok(())
}

fn check_processor(line: &CommandLine) -> Result<(), Box<dyn Error>> {
    let [address] = &line.operands[..] else {
        let missing = UsageError::Missing("extproc-check needs an address; see foldmux help");
        return Err(missing.into());
    };
    let request = &line.request;
    let decision = foldmux_extproc::check::check(
        &address.to_string_lossy(),
        &request.method,
        &request.path,
        &request.headers,
    )?;
    print!("{decision}");
    Ok(())
}

fn serve(line: CommandLine) -> Result<(), Box<dyn Error>> {
    let config_file = config_path(line.config)?;
    let config = config::read(&config_file)?;
    let operator_file = line.operator.as_deref();
    let operator = operator_file.map(load).transpose()?.unwrap_or_default();
    let files = ConfigFiles {
        config: &config_file,
        operator: operator_file,
    };
    let _log = log::start(line.log_format, line.log_level.as_deref())?;
    server::run(config, operator, files)?;
    Ok(())
}

fn serve_hub(line: CommandLine) -> Result<(), Box<dyn Error>> {
    let missing = UsageError::Missing;
    let file = line.operator.ok_or(missing("hub needs --operator FILE"))?;
    let name = line.name.ok_or(missing("hub needs --name NODE"))?;
    let _log = log::start(line.log_format, line.log_level.as_deref())?;
    foldmux_hub::run::run(&name, &file)?;
    Ok(())
}
