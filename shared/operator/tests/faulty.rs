//! Faulty files, one fault each: every one is refused with its own reason and line. Those named `together-…` have parts
//! that are each valid alone.

use foldmux_limits::check::{check, Check};
use foldmux_limits::Account;
use foldmux_operator::load;
use std::collections::BTreeSet;
use std::path::{Path, PathBuf};

fn files() -> Vec<PathBuf> {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../pure/limits/tests/faulty");
    let mut files: Vec<PathBuf> = std::fs::read_dir(folder)
        .unwrap()
        .map(|entry| entry.unwrap().path())
        .collect();
    files.sort();
    files
}

/// What is told of a file, without the folder that it is in.
fn told(file: &Path) -> Vec<String> {
    let faults = match load(file) {
        Err(faults) => faults,
        Ok(operator) => {
            let draft = operator.limits.unwrap_or_default();
            check(&Account::default(), &draft)
                .iter()
                .map(ToString::to_string)
                .collect()
        }
    };
    let folder = format!("{}/", file.parent().unwrap().display());
    faults
        .into_iter()
        .map(|fault| fault.replace(&folder, ""))
        .collect()
}

#[test]
fn every_faulty_file_is_refused_with_one_reason_and_its_line() {
    let (mut all, mut alone, mut together) = (String::new(), 0, 0);
    let mut wrong = Vec::new();
    for file in files() {
        let name = file.file_name().unwrap().to_string_lossy().into_owned();
        let faults = told(&file);
        let placed = faults
            .first()
            .is_some_and(|fault| fault.starts_with(&format!("{name}:")));
        if faults.len() != 1 || !placed {
            wrong.push(format!("{name}: {faults:#?}"));
            continue;
        }
        match name.starts_with("together-") {
            true => together += 1,
            false => alone += 1,
        }
        all += &format!("{}\n", faults[0]);
    }
    assert!(wrong.is_empty(), "{}", wrong.join("\n"));
    assert!(alone >= 60 && together >= 15, "{alone} {together}");
    insta::assert_snapshot!(all);
}

#[test]
fn the_lines_of_files_that_are_unsafe_together_are_valid_alone() {
    for file in files() {
        let name = file.file_name().unwrap().to_string_lossy().into_owned();
        if !name.starts_with("together-") {
            continue;
        }
        // Each setting of a call by itself, with the budgets that it names.
        let operator = load(&file).unwrap();
        let whole = operator.limits.unwrap();
        for said in &whole.classes {
            let mut one = foldmux_limits::Draft {
                budgets: whole.budgets.clone(),
                ..Default::default()
            };
            let layer = said.value.1.clone();
            let alone = foldmux_limits::Layer {
                attempts: layer.attempts,
                deadline_ms: layer.deadline_ms,
                ..Default::default()
            };
            one.classes.push(foldmux_limits::table::Said {
                at: said.at.clone(),
                value: (said.value.0.clone(), alone),
            });
            let faults = check(&Account::default(), &one);
            let of_the_budgets = |check| matches!(check, Check::BurstsTogether);
            assert!(
                faults.iter().all(|fault| of_the_budgets(fault.check)),
                "{name}: {faults:#?}"
            );
        }
        let singles = [
            Check::BurstsTogether,
            Check::Storm,
            Check::BudgetStarves,
            Check::ParentStarves,
        ]
        .into_iter()
        .chain([
            Check::PlacesTogether,
            Check::WaitStarves,
            Check::WindowsDiffer,
            Check::StaleAndWait,
        ])
        .chain([Check::TriesPastAnswer, Check::RunsTwice]);
        let singles: BTreeSet<Check> = singles.collect();
        let faults = check(&Account::default(), &whole);
        assert!(
            faults.iter().all(|fault| singles.contains(&fault.check)),
            "{name}: {faults:#?}"
        );
    }
}

#[test]
fn every_check_is_brought_about_by_some_file() {
    let told: String = files().iter().flat_map(|file| told(file)).collect();
    // These need an account of another kind, or more lines than a file should have here.
    let elsewhere = [
        Check::TooManyRoutes,
        Check::RepeatedOnce,
        Check::GroupTooWide,
    ];
    for check in Check::ALL.iter().filter(|check| !elsewhere.contains(check)) {
        assert!(
            told.contains(&format!("[{}]", check.name())),
            "no file for {}",
            check.name()
        );
    }
}
