//! Which parts of the fleet the program has on, by what it says at its start: what is not on has no figure.

use crate::check::Verdict;
use crate::fleet::Fleet;
use std::fmt;
use std::time::Duration;

/// The operator's lines of a rig's fleet, behind its peers and seats. `keep`: as long as its clients come again; a seat with
/// no memory is silent for longer than that.
pub fn lines(keep: Duration) -> String {
    format!(
        "cover(\"mix-record\", uncovered = \"refuse\", unclaimed = \"finish\", keep_ms = {}, terms = True)\n\
         stream(\"journal\", slow = \"all\")\n\
         pool(\"archive\", slots = 64, by = \"tenant\")\n",
        keep.as_millis()
    )
}

/// What a part's line in the log has in it.
const WORDS: [(&str, &str); 4] = [
    ("members and links", "fleet: one of "),
    ("cover", "fleet: covers "),
    ("streams", "fleet: relays "),
    ("pools", "fleet: shares "),
];

#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Wired {
    pub members: bool,
    pub cover: bool,
    pub streams: bool,
    pub pools: bool,
}

impl Wired {
    pub fn none() -> Wired {
        Wired::default()
    }

    /// As any process that is up says.
    pub fn of(fleet: &Fleet) -> Wired {
        let logs: Vec<String> = (0..fleet.size()).flat_map(|n| fleet.log(n)).collect();
        let says = |n: usize| logs.iter().any(|line| line.contains(WORDS[n].1));
        Wired {
            members: says(0),
            cover: says(1),
            streams: says(2),
            pools: says(3),
        }
    }

    pub fn all(&self) -> bool {
        self.members && self.cover && self.streams && self.pools
    }
}

impl Wired {
    /// What was kept, by the part that must keep it; one that is not on keeps nothing.
    pub fn judge(&self, verdict: &Verdict) -> String {
        let on = [
            self.cover,
            self.cover,
            self.cover,
            self.cover,
            self.streams,
            self.streams,
            self.pools,
        ];
        let row = |((name, count), on): ((&str, u64), bool)| {
            let word = match (on, count) {
                (false, _) => "not wired",
                (true, 0) => "kept",
                (true, _) => "BROKEN",
            };
            format!("{word:<10} {name:<30} {count:>9}\n")
        };
        let rows = verdict.breaks().into_iter().zip(on).map(row);
        rows.chain(verdict.told.iter().map(|line| format!("{line}\n")))
            .collect()
    }
}

impl fmt::Display for Wired {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let on = [self.members, self.cover, self.streams, self.pools];
        WORDS.iter().zip(on).try_for_each(|((name, _), on)| {
            writeln!(f, "{name:<36} {:>9}", if on { "on" } else { "not wired" })
        })
    }
}
