//! Keyed requests: run once, answered once, and how soon a dead owner's work went on.

use super::Verdict;
use crate::record::{Event, Line, Outcome, Time};
use std::collections::{HashMap, HashSet};

#[derive(Default)]
struct Key {
    covered: bool,
    asked: bool,
    runs: u64,
    /// What its clients were told at last.
    result: Option<(Outcome, String)>,
    two: bool,
    given_up: Option<Time>,
    /// It was in somebody's hand: cut off, or seen by the archive.
    begun: bool,
    /// Who has it in hand, as far as the record shows.
    hand: Option<usize>,
    /// Since when that one is gone, and whether it left on purpose.
    gone: Option<(Time, bool)>,
}

#[derive(Default)]
pub(super) struct Keys {
    keys: HashMap<String, Key>,
    /// Processes that are down, stopped or leaving, and how many cuts last.
    down: HashSet<usize>,
    cuts: usize,
    /// The last moment at which something else than one process was broken.
    several: Option<Time>,
}

impl Keys {
    pub fn take(&mut self, line: &Line, verdict: &mut Verdict) {
        let at = line.at;
        self.state(line);
        match &line.event {
            Event::Asked {
                key,
                process,
                covered,
                again,
            } => {
                let key = self.keys.entry(key.clone()).or_default();
                verdict.again += *again as u64;
                if !key.asked {
                    verdict.keys += 1;
                    verdict.covered += *covered as u64;
                    (key.asked, key.covered) = (true, *covered);
                }
                key.hand.get_or_insert(*process);
            }
            Event::CutOff { key, .. } => {
                verdict.cut_off += 1;
                self.keys.entry(key.clone()).or_default().begun = true;
            }
            Event::Refused { key, process, .. } => {
                verdict.refused += 1;
                // It never had it, unless something under the key was sent.
                let key = self.keys.entry(key.clone()).or_default();
                if key.runs == 0 && key.hand == Some(*process) {
                    (key.hand, key.gone) = (None, None);
                }
            }
            Event::Answered {
                key,
                outcome,
                result,
                ..
            } => self.answered(at, key, *outcome, result, verdict),
            Event::GaveUp { key } => {
                self.keys.entry(key.clone()).or_default().given_up = Some(at);
            }
            Event::Reached { key, by, .. } => {
                let key = self.keys.entry(key.clone()).or_default();
                if let (Some((gone, left)), true) = (key.gone.take(), key.covered) {
                    let times = if left {
                        &mut verdict.after_leave
                    } else {
                        &mut verdict.after_kill
                    };
                    times.push(at - gone);
                    if !left && self.several.is_none_or(|last| last < gone) {
                        verdict.after_kill_alone.push(at - gone);
                    }
                }
                key.hand = by.or(key.hand);
                key.begun = true;
            }
            Event::Ran {
                key: name,
                by,
                term,
            } => {
                let key = self.keys.entry(name.clone()).or_default();
                key.runs += 1;
                if key.runs > 1 {
                    let count = if key.covered {
                        &mut verdict.run_twice
                    } else {
                        &mut verdict.run_twice_uncovered
                    };
                    *count += 1;
                    let run = key.runs;
                    verdict.tell(at, || {
                        format!("run {run} of {name}, by {by:?}, term {term:?}")
                    });
                }
            }
            Event::Dropped { .. } => verdict.repeats += 1,
            Event::Stale { .. } => verdict.stale += 1,
            Event::Killed { process } => {
                verdict.kills += 1;
                self.gone(at, *process, false);
            }
            Event::Left { process } => {
                verdict.leaves += 1;
                self.gone(at, *process, true);
            }
            Event::Paused { .. } => verdict.pauses += 1,
            Event::Cut { .. } => verdict.cuts += 1,
            _ => {}
        }
    }

    /// What is broken at this moment.
    fn state(&mut self, line: &Line) {
        match &line.event {
            Event::Killed { process } | Event::Paused { process } | Event::Left { process } => {
                self.down.insert(*process);
            }
            Event::Started { process } | Event::Woken { process } => {
                self.down.remove(process);
            }
            Event::Cut { .. } => self.cuts += 1,
            Event::Healed { .. } => self.cuts = self.cuts.saturating_sub(1),
            _ => {}
        }
        if self.down.len() + self.cuts > 1 {
            self.several = Some(line.at);
        }
    }

    /// All that a process has in hand is another's from here on.
    fn gone(&mut self, at: Time, process: usize, left: bool) {
        let open = self
            .keys
            .values_mut()
            .filter(|key| key.hand == Some(process) && key.result.is_none());
        open.for_each(|key| key.gone = Some((at, left)));
    }

    fn answered(
        &mut self,
        at: Time,
        name: &str,
        outcome: Outcome,
        result: &str,
        verdict: &mut Verdict,
    ) {
        let key = self.keys.entry(name.to_string()).or_default();
        match outcome {
            Outcome::Served => verdict.served += 1,
            Outcome::Failed => verdict.failed += 1,
        }
        if outcome == Outcome::Served && key.runs == 0 {
            verdict.invented += 1;
            verdict.tell(at, || format!("{name} was served, and never ran"));
        }
        let now = (outcome, result.to_string());
        let same = |held: &(Outcome, String)| {
            // Failures are one answer, whatever their words.
            held.0 == outcome && (outcome == Outcome::Failed || held.1 == now.1)
        };
        if key.result.as_ref().is_some_and(|held| !same(held)) && !key.two {
            key.two = true;
            verdict.two_answers += 1;
            let held = key.result.clone();
            verdict.tell(at, || format!("{name}: {held:?}, then {now:?}"));
        }
        key.gone = None;
        key.result = Some(now);
    }

    /// Who got no answer, now that nothing more comes.
    pub fn end(self, verdict: &mut Verdict) {
        let mut lost: Vec<(String, Key)> = self
            .keys
            .into_iter()
            .filter(|(_, key)| key.asked && key.result.is_none())
            .collect();
        lost.sort_by_key(|(_, key)| key.given_up);
        for (name, key) in lost {
            // Refused each time, and never sent: its client knows that nothing was done.
            if !key.begun && key.given_up.is_some() {
                verdict.turned_away += 1;
                continue;
            }
            let count = if key.covered {
                &mut verdict.lost
            } else {
                &mut verdict.lost_uncovered
            };
            *count += 1;
            let runs = key.runs;
            verdict.tell(key.given_up.unwrap_or(0), || {
                format!("{name} has no answer; it ran {runs} times")
            });
        }
    }
}
