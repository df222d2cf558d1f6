//! What is known of each key's attempts. It says for a keyed request whether an attempt may be handed out, and where:
//! never while one may be running, never outside the key's group or its window once one may have run. When it is full
//! it refuses; it never forgets a key whose repeat could still come.

use crate::token::{Mark, Token};
use crate::Millis;
use std::collections::{BTreeSet, HashMap, HashSet};
use std::fmt;

/// What a class allows of its keyed requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rule {
    /// For so long after its first run the archive drops a repeat.
    pub window: Millis,
    /// Attempts of one key, all proxies together, as far as they are known here.
    pub attempts: u8,
    /// How long an attempt that was handed out may be sent, and how long it may run after that.
    pub good_for: Millis,
    pub runs_for: Millis,
    /// A key's repeat may come for so long after its last attempt.
    pub remember: Millis,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Grant {
    /// The first, or all before it are proved not to have run: anywhere.
    Anywhere { attempt: u8, first: Millis, expires: Millis },
    /// One may have run: only within its group.
    Within { attempt: u8, group: u32, first: Millis, expires: Millis },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// An attempt is out, or may still be running; come back then.
    Running {
        until: Millis,
    },
    /// Another request under this key is being placed this moment.
    Deciding,
    /// One may have run, and the archive no longer drops a repeat.
    WindowOver,
    TooMany,
    /// Attempts at two instances may have run, in two groups.
    Torn,
    /// What was written of this key can't be read: an attempt may have run, and nothing more is known of it.
    Unread,
    /// The token is of an attempt that another has followed.
    Replayed,
    /// The token is of another key.
    OtherKey,
    Full,
}

impl Refusal {
    /// Whether an attempt of this key may have run: the refusal must not tell the client that nothing did.
    pub fn may_have_run(self) -> bool {
        !matches!(self, Refusal::Full | Refusal::OtherKey | Refusal::Deciding)
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Refusal::Running { until } => write!(f, "an attempt may be running until {until}"),
            Refusal::Deciding => f.write_str("another request under this key is being placed"),
            Refusal::WindowOver => f.write_str("an attempt may have run, and a repeat would run again"),
            Refusal::TooMany => f.write_str("all attempts are used"),
            Refusal::Torn => f.write_str("attempts may have run in two groups"),
            Refusal::Unread => f.write_str("what was written of this key can't be read"),
            Refusal::Replayed => f.write_str("the token's attempt has been followed by another"),
            Refusal::OtherKey => f.write_str("the token is of another key"),
            Refusal::Full => f.write_str("the ledger of keyed attempts is full"),
        }
    }
}

/// How an attempt ended, as far as anyone can tell.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    NeverRan,
    MayHaveRun,
}

/// What is known of one key. Plain values, so that a store can keep them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Entry {
    /// The last attempt, and whether its end is known.
    pub attempt: u8,
    pub out: bool,
    /// No attempt is running after this, whatever became of it.
    pub quiet_at: Millis,
    /// The first attempt that may have run: when it was handed out, and its group.
    pub ran: Option<(Millis, u32)>,
    /// The request that the last attempt was of: unlike any other's, also at another instance.
    pub request: Mark,
    /// Where the attempt that is out was sent.
    pub group: u32,
    pub handed: Millis,
    pub forget_at: Millis,
}

/// Version and length of an entry as it is stored.
const STORED: u8 = 2;
pub const STORED_LENGTH: usize = 2 + 8 * 4 + 4 * 2 + 1 + 16;

impl Entry {
    pub fn to_bytes(&self) -> [u8; STORED_LENGTH] {
        let (ran, first, ran_group) = self.ran.map_or((0, 0, 0), |(at, group)| (2, at, group));
        let mut bytes = [0; STORED_LENGTH];
        let parts: [&[u8]; 8] = [
            &[STORED, self.attempt, self.out as u8 | ran],
            &self.quiet_at.to_be_bytes(),
            &first.to_be_bytes(),
            &ran_group.to_be_bytes(),
            &self.group.to_be_bytes(),
            &self.handed.to_be_bytes(),
            &self.forget_at.to_be_bytes(),
            &self.request.0,
        ];
        let mut at = 0;
        for part in parts {
            bytes[at..at + part.len()].copy_from_slice(part);
            at += part.len();
        }
        bytes
    }

    /// None where it is not what [`Entry::to_bytes`] made.
    pub fn from_bytes(bytes: &[u8]) -> Option<Entry> {
        let bytes: &[u8; STORED_LENGTH] = bytes.try_into().ok()?;
        let long = |at: usize| u64::from_be_bytes(bytes[at..at + 8].try_into().expect("8 bytes"));
        let short = |at: usize| u32::from_be_bytes(bytes[at..at + 4].try_into().expect("4 bytes"));
        let flags = bytes[2];
        if bytes[0] != STORED || flags > 3 {
            return None;
        }
        Some(Entry {
            attempt: bytes[1],
            out: flags & 1 != 0,
            quiet_at: long(3),
            ran: (flags & 2 != 0).then(|| (long(11), short(19))),
            group: short(23),
            handed: long(27),
            forget_at: long(35),
            request: Mark(bytes[43..59].try_into().expect("16 bytes")),
        })
    }
}

pub struct Ledger {
    most: usize,
    entries: HashMap<Mark, Entry>,
    /// Keys whose entries a store held and that can't be read: fenced off until their repeats can come no more.
    unread: HashSet<Mark>,
    /// When each is forgotten, soonest first.
    ends: BTreeSet<(Millis, Mark)>,
    /// Keys whose next attempt is being placed: asked about, and neither handed out nor let go yet.
    asked: HashSet<Mark>,
    /// Keys that were forgotten since somebody asked for them, for whoever keeps a store.
    forgotten: Vec<Mark>,
}

impl Ledger {
    pub fn new(most: usize) -> Ledger {
        Ledger {
            most,
            entries: HashMap::new(),
            unread: HashSet::new(),
            ends: BTreeSet::new(),
            asked: HashSet::new(),
            forgotten: Vec::new(),
        }
    }

    /// As a store kept it, after a crash: what was out may have run, and may be running for as long as it could.
    pub fn restored(most: usize, entries: impl IntoIterator<Item = (Mark, Entry)>) -> Ledger {
        let mut ledger = Ledger::new(most);
        entries.into_iter().for_each(|(key, entry)| ledger.put(key, entry));
        ledger
    }

    /// Fences off a key of which a store held something that can't be read. `until`: when its repeat can come no more.
    pub fn fence(&mut self, key: Mark, until: Millis) {
        self.unread.insert(key);
        self.ends.insert((until, key));
    }

    pub fn len(&self) -> usize {
        self.entries.len() + self.unread.len()
    }

    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// How many keys are being placed.
    pub fn asked(&self) -> usize {
        self.asked.len()
    }

    /// The keys that have been forgotten since the last call.
    pub fn forgotten(&mut self) -> Vec<Mark> {
        std::mem::take(&mut self.forgotten)
    }

    pub fn get(&self, key: Mark) -> Option<&Entry> {
        self.entries.get(&key)
    }

    fn put(&mut self, key: Mark, entry: Entry) {
        if let Some(former) = self.entries.insert(key, entry) {
            self.ends.remove(&(former.forget_at, key));
        }
        self.ends.insert((entry.forget_at, key));
    }

    /// Whether an attempt of a key may be handed out. Nothing is written yet: whoever was granted one owes
    /// [`Ledger::hand`], once it is known where the attempt goes, or [`Ledger::let_go`]. Until then the key is taken.
    pub fn ask(
        &mut self,
        now: Millis,
        key: Mark,
        rule: &Rule,
        shown: Option<&Token>,
    ) -> Result<Grant, Refusal> {
        while let Some(&(at, old)) = self.ends.first().filter(|(at, _)| *at <= now) {
            self.ends.remove(&(at, old));
            self.entries.remove(&old);
            self.unread.remove(&old);
            self.forgotten.push(old);
        }
        // Guards against two requests that ask at the same moment both being told to go.
        if self.asked.contains(&key) {
            return Err(Refusal::Deciding);
        }
        let grant = self.judge(now, key, rule, shown)?;
        self.asked.insert(key);
        Ok(grant)
    }

    /// The attempt that was granted is not made.
    pub fn let_go(&mut self, key: Mark) {
        self.asked.remove(&key);
    }

    /// Entries, and keys that are about to have one.
    fn full(&self) -> bool {
        let new = self.asked.iter().filter(|key| !self.entries.contains_key(key)).count();
        self.len() + new >= self.most
    }

    fn judge(&self, now: Millis, key: Mark, rule: &Rule, shown: Option<&Token>) -> Result<Grant, Refusal> {
        if shown.is_some_and(|token| token.key != key) {
            return Err(Refusal::OtherKey);
        }
        if self.unread.contains(&key) {
            return Err(Refusal::Unread);
        }
        let expires = now.saturating_add(rule.good_for);
        let entry = match (self.entries.get(&key), shown) {
            (Some(entry), Some(token)) if token.attempt < entry.attempt => return Err(Refusal::Replayed),
            // Another attempt than the one that is known here: by both.
            (Some(entry), Some(token)) if !is_of(entry, token) => merged(entry, token, rule)?,
            (Some(entry), _) => *entry,
            // Of another instance, or from before a store was lost: by what the token says, which may have run.
            (None, Some(token)) => of_token(token, rule),
            (None, None) if self.full() => return Err(Refusal::Full),
            (None, None) => return Ok(Grant::Anywhere { attempt: 0, first: now, expires }),
        };
        if !self.entries.contains_key(&key) && self.full() {
            return Err(Refusal::Full);
        }
        if entry.out && now < entry.quiet_at {
            return Err(Refusal::Running { until: entry.quiet_at });
        }
        let attempt = entry.attempt.checked_add(1).filter(|n| *n < rule.attempts).ok_or(Refusal::TooMany)?;
        // What was out and is heard of no more may have run.
        let ran = entry.ran.or(entry.out.then_some((entry.handed, entry.group)));
        let Some((first, group)) = ran else {
            return Ok(Grant::Anywhere { attempt, first: now, expires });
        };
        // The attempt must have arrived before the archive forgets the first run.
        let closes = first.saturating_add(rule.window);
        if now >= closes {
            return Err(Refusal::WindowOver);
        }
        Ok(Grant::Within { attempt, group, first, expires: expires.min(closes) })
    }

    /// The entry of an attempt that is handed out to a group, to be stored before it goes.
    pub fn hand(
        &mut self,
        now: Millis,
        key: Mark,
        rule: &Rule,
        grant: &Grant,
        group: u32,
        request: Mark,
    ) -> Entry {
        let (attempt, ran, expires) = match *grant {
            Grant::Anywhere { attempt, expires, .. } => (attempt, None, expires),
            Grant::Within { attempt, group, first, expires } => (attempt, Some((first, group)), expires),
        };
        let quiet_at = expires.saturating_add(rule.runs_for);
        let forget_at = quiet_at.saturating_add(rule.remember);
        let entry = Entry { attempt, out: true, quiet_at, ran, request, group, handed: now, forget_at };
        self.asked.remove(&key);
        self.put(key, entry);
        entry
    }

    /// How an attempt ended; word of any but the last changes nothing. The entry, if it changed.
    pub fn ended(&mut self, key: Mark, attempt: u8, end: End) -> Option<Entry> {
        let entry = self.entries.get(&key).filter(|e| e.out && e.attempt == attempt)?;
        let ran = match end {
            End::NeverRan => entry.ran,
            End::MayHaveRun => entry.ran.or(Some((entry.handed, entry.group))),
        };
        let entry = Entry { out: false, ran, ..*entry };
        self.put(key, entry);
        Some(entry)
    }
}

/// Whether an entry is of the attempt that a token is of. Guards against two attempts of one number: a caller that got no
/// answer at one instance asks another, which begins to count anew.
fn is_of(entry: &Entry, token: &Token) -> bool {
    (entry.attempt, entry.request) == (token.attempt, token.request)
}

/// What is known here and what a token tells of another attempt: both may have run, and both may be running. Where that
/// is in two groups, no repeat is safe.
fn merged(entry: &Entry, token: &Token, rule: &Rule) -> Result<Entry, Refusal> {
    let other = of_token(token, rule);
    let ran = entry.ran.or(entry.out.then_some((entry.handed, entry.group)));
    if ran.is_some_and(|(_, group)| group != token.group) {
        return Err(Refusal::Torn);
    }
    let first = ran.map_or(token.first, |(at, _)| at.min(token.first));
    let quiet_at = other.quiet_at.max(if entry.out { entry.quiet_at } else { 0 });
    let forget_at = other.forget_at.max(entry.forget_at);
    Ok(Entry { ran: Some((first, token.group)), quiet_at, forget_at, ..other })
}

/// What a token alone tells: its attempt was handed out, and nothing is known of its end.
fn of_token(token: &Token, rule: &Rule) -> Entry {
    Entry {
        attempt: token.attempt,
        out: true,
        quiet_at: token.expires.saturating_add(rule.runs_for),
        ran: Some((token.first, token.group)),
        request: token.request,
        group: token.group,
        handed: token.first,
        forget_at: token.expires.saturating_add(rule.runs_for).saturating_add(rule.remember),
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    const RULE: Rule = Rule { window: 2_000, attempts: 4, good_for: 200, runs_for: 300, remember: 10_000 };

    fn key(n: u8) -> Mark {
        Mark([n; 16])
    }

    fn go(ledger: &mut Ledger, now: Millis, shown: Option<&Token>) -> Result<Grant, Refusal> {
        let grant = ledger.ask(now, key(1), &RULE, shown)?;
        assert_eq!(ledger.ask(now, key(1), &RULE, shown), Err(Refusal::Deciding));
        ledger.hand(now, key(1), &RULE, &grant, 7, key(9));
        Ok(grant)
    }

    #[test]
    fn no_attempt_while_one_may_run_and_none_outside_group_or_window() {
        let mut ledger = Ledger::new(8);
        assert_eq!(go(&mut ledger, 0, None), Ok(Grant::Anywhere { attempt: 0, first: 0, expires: 200 }));
        assert_eq!(go(&mut ledger, 499, None), Err(Refusal::Running { until: 500 }));
        // Nothing was heard of it: it may have run, in group 7.
        let within = Grant::Within { attempt: 1, group: 7, first: 0, expires: 700 };
        assert_eq!(go(&mut ledger, 500, None), Ok(within));
        assert_eq!(ledger.ended(key(1), 0, End::NeverRan), None, "not the last attempt");
        assert!(ledger.ended(key(1), 1, End::MayHaveRun).is_some());
        // The last moment at which a repeat is dropped bounds how long an attempt is good.
        let last = Grant::Within { attempt: 2, group: 7, first: 0, expires: 2_000 };
        assert_eq!(go(&mut ledger, 1_900, None), Ok(last));
        ledger.ended(key(1), 2, End::NeverRan);
        assert_eq!(go(&mut ledger, 2_000, None), Err(Refusal::WindowOver));
    }

    #[test]
    fn what_is_proved_not_to_have_run_goes_anywhere_again() {
        let mut ledger = Ledger::new(8);
        go(&mut ledger, 0, None).unwrap();
        ledger.ended(key(1), 0, End::NeverRan);
        let again = Grant::Anywhere { attempt: 1, first: 5_000, expires: 5_200 };
        assert_eq!(go(&mut ledger, 5_000, None), Ok(again));
        for n in 1..4 {
            ledger.ended(key(1), n, End::NeverRan);
            let _ = go(&mut ledger, 5_001, None);
        }
        assert_eq!(go(&mut ledger, 5_002, None), Err(Refusal::TooMany));
    }

    #[test]
    fn a_key_whose_entry_can_t_be_read_is_refused_until_its_repeats_can_come_no_more() {
        let mut ledger = Ledger::new(8);
        ledger.fence(key(1), 10_000);
        let token =
            Token { request: key(9), key: key(1), attempt: 3, group: 3, first: 9_000, expires: 9_900 };
        assert_eq!(go(&mut ledger, 0, None), Err(Refusal::Unread));
        assert_eq!(
            go(&mut ledger, 9_999, Some(&token)),
            Err(Refusal::Unread),
            "a token tells of one attempt alone"
        );
        assert!(Refusal::Unread.may_have_run() && ledger.ask(9_999, key(2), &RULE, None).is_ok());
        assert!(go(&mut ledger, 10_000, None).is_ok());
        assert_eq!(ledger.forgotten(), vec![key(1)], "its store lets go of it as well");
    }

    #[test]
    fn a_full_ledger_refuses_and_forgets_nothing_that_could_come_back() {
        let mut ledger = Ledger::new(1);
        go(&mut ledger, 0, None).unwrap();
        assert_eq!(ledger.ask(1, key(2), &RULE, None), Err(Refusal::Full));
        assert_eq!(go(&mut ledger, 1, None), Err(Refusal::Running { until: 500 }));
        // Its time is over: the place is free.
        assert!(ledger.ask(10_500, key(2), &RULE, None).is_ok());
    }

    #[test]
    fn a_token_is_judged_by_what_is_known_and_else_by_what_it_says() {
        let token = |attempt, n| Token {
            request: key(9),
            key: key(n),
            attempt,
            group: 3,
            first: 1_000,
            expires: 1_200,
        };
        // Another instance handed it out; here nothing is known of it.
        let mut other = Ledger::new(8);
        assert_eq!(go(&mut other, 1_100, Some(&token(0, 1))), Err(Refusal::Running { until: 1_500 }));
        let within = Grant::Within { attempt: 1, group: 3, first: 1_000, expires: 1_700 };
        assert_eq!(go(&mut other, 1_500, Some(&token(0, 1))), Ok(within));
        assert_eq!(go(&mut other, 1_501, Some(&token(0, 1))), Err(Refusal::Replayed));
        assert_eq!(go(&mut other, 1_501, Some(&token(1, 2))), Err(Refusal::OtherKey));
        assert_eq!(go(&mut Ledger::new(8), 3_000, Some(&token(0, 1))), Err(Refusal::WindowOver));
    }

    #[test]
    fn a_key_that_is_being_placed_is_taken_and_counts_until_it_is_let_go() {
        let mut ledger = Ledger::new(1);
        assert!(ledger.ask(0, key(1), &RULE, None).is_ok());
        assert_eq!(ledger.ask(0, key(1), &RULE, None), Err(Refusal::Deciding));
        assert_eq!(ledger.ask(0, key(2), &RULE, None), Err(Refusal::Full));
        ledger.let_go(key(1));
        assert!(ledger.ask(0, key(2), &RULE, None).is_ok() && ledger.asked() == 1);
        // What is forgotten is told once, for the store.
        let grant = Grant::Anywhere { attempt: 0, first: 0, expires: 200 };
        ledger.hand(0, key(2), &RULE, &grant, 1, key(9));
        assert!(ledger.ask(20_000, key(3), &RULE, None).is_ok());
        assert_eq!((ledger.forgotten(), ledger.forgotten()), (vec![key(2)], vec![]));
    }

    proptest! {
        #[test]
        fn an_entry_comes_back_from_its_bytes_as_it_was(
            attempt: u8, out: bool, quiet_at: u64, ran: Option<(u64, u32)>, group: u32, handed: u64, forget_at: u64, mark: [u8; 16],
        ) {
            let request = Mark(mark);
            let entry = Entry { attempt, out, quiet_at, ran, request, group, handed, forget_at };
            let bytes = entry.to_bytes();
            prop_assert_eq!(Entry::from_bytes(&bytes), Some(entry));
            prop_assert_eq!(Entry::from_bytes(&bytes[1..]), None);
        }

        #[test]
        fn any_bytes_are_an_entry_or_none(bytes in proptest::collection::vec(any::<u8>(), 0..60)) {
            if let Some(entry) = Entry::from_bytes(&bytes) {
                prop_assert_eq!(entry.to_bytes().len(), bytes.len());
            }
        }
    }

    /// What a caller and the world do.
    #[derive(Clone, Copy, Debug)]
    enum Step {
        Wait(u16),
        /// Asks at an instance, with the last token or without.
        Ask {
            at: bool,
            token: bool,
        },
        /// The attempt that is out arrives, if its time is not over, and runs; or it is lost.
        Arrives(bool),
        /// Its end becomes known, truly or not at all.
        Known(bool),
        /// Asks at an instance without a token, and the answer never comes: it was dropped there, or lost on its way.
        Lost {
            at: bool,
            dropped: bool,
        },
        /// The first instance dies and comes back with its store.
        Crash,
    }

    fn steps() -> impl Strategy<Value = Vec<Step>> {
        let step = prop_oneof![
            3 => (1u16..900).prop_map(Step::Wait),
            4 => (any::<bool>(), any::<bool>()).prop_map(|(at, token)| Step::Ask { at, token }),
            3 => any::<bool>().prop_map(Step::Arrives),
            2 => any::<bool>().prop_map(Step::Known),
            2 => (any::<bool>(), any::<bool>()).prop_map(|(at, dropped)| Step::Lost { at, dropped }),
            1 => Just(Step::Crash),
        ];
        proptest::collection::vec(step, 1..80)
    }

    proptest! {
        #![proptest_config(ProptestConfig::with_cases(2_000))]

        /// An archive that drops repeats for the window after the first run never runs the key twice, and no two
        /// attempts are out at once, whatever is lost, and wherever the caller asks: at the second instance with the
        /// token of its last attempt.
        #[test]
        fn no_key_runs_twice(steps in steps()) {
            let mut instances = [Ledger::new(4), Ledger::new(4)];
            // What the first instance's store has: entries as they were before their attempts went.
            let mut stored: HashMap<Mark, Entry> = HashMap::new();
            let mut now = 1_000u64;
            // The attempt that is out: its token, when it arrived, and which instance handed it out.
            let mut out: Option<(Token, Option<Millis>, usize)> = None;
            let mut last: Option<(Token, usize)> = None;
            let (mut first_run, mut runs) = (None::<(Millis, u32)>, 0);
            for step in steps {
                match step {
                    Step::Wait(ms) => now += ms as u64,
                    Step::Ask { at, token } => {
                        let at = at as usize;
                        // Only the instance that handed the last attempt out knows of it without its token, and
                        // callers don't repeat for ever.
                        let shown = last.filter(|(_, from)| token || *from != at).map(|(token, _)| token);
                        let given_up = |(t, _): (Token, usize)| now >= t.expires + RULE.remember;
                        if last.is_some_and(given_up) {
                            continue;
                        }
                        let Ok(grant) = instances[at].ask(now, key(1), &RULE, shown.as_ref()) else { continue };
                        if let Some((token, arrived, _)) = out {
                            prop_assert!(now >= arrived.map_or(token.expires, |t| t + RULE.runs_for), "two at once");
                        }
                        let (attempt, group, first, expires) = match grant {
                            Grant::Anywhere { attempt, first, expires } => (attempt, 5 + attempt as u32, first, expires),
                            Grant::Within { attempt, group, first, expires } => (attempt, group, first, expires),
                        };
                        let entry = instances[at].hand(now, key(1), &RULE, &grant, group, key(9));
                        if at == 0 {
                            stored.insert(key(1), entry);
                        }
                        let token = Token { request: key(9), key: key(1), attempt, group, first, expires };
                        (out, last) = (Some((token, None, at)), Some((token, at)));
                    }
                    Step::Arrives(runs_now) => {
                        let Some((token, arrived, _)) = &mut out else { continue };
                        if now >= token.expires || arrived.is_some() || !runs_now {
                            continue;
                        }
                        *arrived = Some(now);
                        match first_run {
                            Some((at, group)) if now < at + RULE.window && group == token.group => {}
                            _ => {
                                runs += 1;
                                first_run = first_run.or(Some((now, token.group)));
                            }
                        }
                        prop_assert!(runs <= 1, "it ran twice");
                    }
                    Step::Known(told) => {
                        let Some((token, arrived, at)) = out.filter(|_| told) else { continue };
                        // That it never ran is known only if it never can.
                        let end = match arrived {
                            Some(_) => End::MayHaveRun,
                            None if now >= token.expires => End::NeverRan,
                            None => continue,
                        };
                        instances[at].ended(key(1), token.attempt, end);
                        out = None;
                    }
                    // Before its first token a caller has none to show.
                    Step::Lost { at, dropped } if last.is_none() => {
                        let at = at as usize;
                        let Ok(grant) = instances[at].ask(now, key(1), &RULE, None) else { continue };
                        let (attempt, group) = match grant {
                            Grant::Anywhere { attempt, .. } => (attempt, 5 + attempt as u32),
                            Grant::Within { attempt, group, .. } => (attempt, group),
                        };
                        let entry = instances[at].hand(now, key(1), &RULE, &grant, group, key(8));
                        let ended = if dropped { instances[at].ended(key(1), attempt, End::NeverRan) } else { None };
                        if at == 0 {
                            stored.insert(key(1), ended.unwrap_or(entry));
                        }
                    }
                    Step::Lost { .. } => {}
                    Step::Crash => {
                        instances[0] = Ledger::restored(4, stored.iter().map(|(k, e)| (*k, *e)));
                    }
                }
            }
        }
    }
}
