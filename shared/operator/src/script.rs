//! The script: its bounds, and where in the file something is wrong. Its functions stand by what they set.

mod dns;
mod ext_proc;
mod finish;
mod fleet;
#[cfg(test)]
mod fleet_tests;
mod limits;
mod sets;
#[cfg(test)]
mod tests;
mod tree;

use crate::values::Operator;
use finish::finish;
use sets::SETS;
use starlark::environment::{Globals, GlobalsBuilder, LibraryExtension, Module};
use starlark::eval::Evaluator;
use starlark::syntax::{AstModule, Dialect, DialectTypes};

/// Calls and turns of loops; memory of the script's values, looked at every so many steps; calls within each other.
/// A single operation that makes one huge value is not caught: the file is the operator's own.
const STEPS: u64 = 500_000;
const MEMORY: usize = 64 * 1024 * 1024;
const DEPTH: usize = 64;
/// Most things that a file may set: far over any fleet, under what would fill the memory from outside the heap.
const CALLS_MOST: usize = 20_000;

/// Evaluates a script once. Errors are `FILE:LINE: REASON`, all that can be told at once.
pub fn evaluate(name: &str, text: String) -> Result<Operator, Vec<String>> {
    let dialect = Dialect {
        enable_load: false,
        enable_top_level_stmt: true,
        enable_f_strings: true,
        enable_types: DialectTypes::Disable,
        ..Dialect::Standard
    };
    SETS.take();
    let run = || -> starlark::Result<()> {
        let ast = AstModule::parse(name, text, &dialect)?;
        let globals: Globals = GlobalsBuilder::extended_by(&[LibraryExtension::Print])
            .with(tree::functions)
            .with(dns::functions)
            .with(ext_proc::functions)
            .with(limits::functions)
            .with(fleet::functions)
            .build();
        Module::with_temp_heap(|module| {
            let mut eval = Evaluator::new(&module);
            eval.set_max_tick_count(STEPS)?;
            eval.set_max_heap_size(MEMORY)?;
            eval.set_max_callstack_size(DEPTH)?;
            eval.eval_module(ast, &globals)?;
            Ok(())
        })
    };
    let ran = run().map_err(|error| vec![told(name, &error)]);
    let sets = SETS.take();
    ran?;
    finish(name, sets)
}

/// One line: where, and why.
fn told(name: &str, error: &starlark::Error) -> String {
    let at = match error.span() {
        Some(span) => format!("{name}:{}", span.resolve_span().begin.line + 1),
        None => name.to_string(),
    };
    let why = format!("{:#}", error.without_diagnostic());
    format!(
        "{at}: {}",
        why.split_whitespace().collect::<Vec<_>>().join(" ")
    )
}
