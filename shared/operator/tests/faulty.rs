//! Faulty files, one fault each: every one is refused with its own reason and line. Those named `together-…` have parts
//! that are each valid alone.

use foldmux_limits::resolve::ClassOverrides;
use foldmux_limits::validation::{validate, Rule};
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
            validate(&Account::default(), &draft)
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
            let mut one = foldmux_limits::LimitsFile {
                budgets: whole.budgets.clone(),
                ..Default::default()
            };
            let overrides = said.value.overrides.clone();
            let alone = foldmux_limits::LimitOverrides {
                max_attempts: overrides.max_attempts,
                deadline_ms: overrides.deadline_ms,
                ..Default::default()
            };
            one.classes.push(foldmux_limits::resolve::Located {
                at: said.at.clone(),
                value: ClassOverrides {
                    class: said.value.class.clone(),
                    overrides: alone,
                },
            });
            let faults = validate(&Account::default(), &one);
            let of_the_budgets = |rule| matches!(rule, Rule::TotalBurstTooLarge);
            assert!(
                faults
                    .iter()
                    .all(|violation| of_the_budgets(violation.rule)),
                "{name}: {faults:#?}"
            );
        }
        let singles = [
            Rule::TotalBurstTooLarge,
            Rule::RetryStorm,
            Rule::BudgetStarved,
            Rule::ParentStarved,
        ]
        .into_iter()
        .chain([
            Rule::TotalCapacityExceeded,
            Rule::NoTimeAfterQueue,
            Rule::WindowsDiffer,
            Rule::StaleAfterQueue,
        ])
        .chain([Rule::AttemptsPastDeadline, Rule::DuplicateRun]);
        let singles: BTreeSet<Rule> = singles.collect();
        let faults = validate(&Account::default(), &whole);
        assert!(
            faults
                .iter()
                .all(|violation| singles.contains(&violation.rule)),
            "{name}: {faults:#?}"
        );
    }
}

#[test]
fn every_rule_is_broken_by_some_file() {
    let told: String = files().iter().flat_map(|file| told(file)).collect();
    // These need an account of another kind, or more lines than a file should have here.
    let elsewhere = [Rule::TooManyRoutes, Rule::NotIdempotent, Rule::ScopeTooWide];
    for rule in Rule::ALL.iter().filter(|rule| !elsewhere.contains(rule)) {
        assert!(
            told.contains(&format!("[{}]", rule.name())),
            "no file for {}",
            rule.name()
        );
    }
}
