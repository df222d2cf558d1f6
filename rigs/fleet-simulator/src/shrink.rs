//! Makes a list of faults that breaks something short: halves of it are left out, then quarters, and so on to single ones
//! (as ddmin does: Zeller, Hildebrandt, 2002), as long as the same thing breaks.

use crate::plan::{Breaks, Fault, Plan};
use crate::run;

/// What is left, and how many runs it took; at most `most`.
pub fn shrink(plan: &Plan, fired: &[Fault], broken: &str, most: usize) -> (Plan, usize) {
    let with = |list: &[Fault]| Plan {
        breaks: Breaks::Listed(list.to_vec()),
        ..plan.clone()
    };
    let (mut list, mut runs) = (fired.to_vec(), 0);
    let mut piece = list.len().div_ceil(2).max(1);
    while runs < most && !list.is_empty() {
        let mut shorter = false;
        let mut from = 0;
        while from < list.len() && runs < most {
            let end = (from + piece).min(list.len());
            let rest: Vec<Fault> = list[..from].iter().chain(&list[end..]).copied().collect();
            runs += 1;
            if run(&with(&rest)).broken() == Some(broken) {
                (list, shorter) = (rest, true);
            } else {
                from = end;
            }
        }
        if piece == 1 && !shorter {
            break;
        }
        if !shorter || piece > list.len() {
            piece = (piece / 2).max(1);
        }
    }
    (with(&list), runs)
}
