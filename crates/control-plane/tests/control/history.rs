//! What callers saw, and what must follow from it. The configuration is a register that is changed by compare-and-set, with calls
//! whose outcome is not known; its history must be one that a single copy could have given.

use std::collections::BTreeMap;
use tokio::time::Instant;

/// A configuration as it is known: its number and what tells two of the same number apart.
pub type Version = (u64, u64);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Acknowledged,
    Refused,
    Unknown,
}

/// One order of an operator, with all calls that were made for it.
#[derive(Clone, Debug)]
pub struct Change {
    pub version: Version,
    /// What it builds on.
    pub expected: u64,
    pub begun: Instant,
    pub ended: Instant,
    pub outcome: Outcome,
}

#[derive(Clone, Copy, Debug)]
pub struct Read {
    pub version: Option<Version>,
    pub begun: Instant,
    pub ended: Instant,
}

#[derive(Default)]
pub struct History {
    pub changes: Vec<Change>,
    pub reads: Vec<Read>,
}

impl History {
    /// Judges the register. `taken`: whether the state holds that this version was taken.
    pub fn assert_linearizable(&self, taken: impl Fn(&Version) -> bool) {
        let chain = self.chain(&taken);
        for change in &self.changes {
            let there = chain.contains_key(&change.version.0) && taken(&change.version);
            match change.outcome {
                Outcome::Acknowledged => assert!(there, "acknowledged, and not taken: {change:?}"),
                Outcome::Refused => {
                    assert!(!there, "refused, and taken: {change:?}");
                    self.justified(change, &chain);
                }
                Outcome::Unknown => {}
            }
        }
        self.reads_follow(&chain);
    }

    /// The versions that were taken, in order: each on top of the one before.
    fn chain(&self, taken: &impl Fn(&Version) -> bool) -> BTreeMap<u64, &Change> {
        let mut chain = BTreeMap::new();
        for change in self.changes.iter().filter(|change| taken(&change.version)) {
            let other = chain.insert(change.version.0, change);
            assert!(other.is_none(), "two configurations under one number: {change:?} and {other:?}");
        }
        let mut before = 0;
        for change in chain.values() {
            assert_eq!(change.expected, before, "not on top of the one before: {change:?}");
            before = change.version.0;
        }
        chain
    }

    /// A refusal says that another version was current at some moment of the call.
    fn justified(&self, refused: &Change, chain: &BTreeMap<u64, &Change>) {
        let expected = refused.expected;
        let in_force = expected == 0
            || chain
                .get(&expected)
                .is_some_and(|it| it.outcome == Outcome::Acknowledged && it.ended < refused.begun);
        let next = chain.range(expected + 1..).next().map(|(_, change)| change.begun);
        let replaced = next.is_some_and(|begun| begun < refused.ended);
        assert!(!in_force || replaced, "refused on top of the version in force: {refused:?}");
    }

    fn reads_follow(&self, chain: &BTreeMap<u64, &Change>) {
        let place = |read: &Read| read.version.map_or(0, |version| version.0);
        for read in &self.reads {
            let acknowledged = chain
                .values()
                .filter(|it| it.outcome == Outcome::Acknowledged && it.ended < read.begun)
                .map(|it| it.version.0);
            let least = acknowledged.max().unwrap_or(0);
            assert!(place(read) >= least, "a read of {read:?} after {least} was acknowledged");
            if let Some(version) = read.version {
                let known = chain.get(&version.0).filter(|it| it.version == version);
                assert!(
                    known.is_some_and(|it| it.begun < read.ended),
                    "a read of what is not taken: {read:?}"
                );
            }
            let earlier = self.reads.iter().filter(|it| it.ended < read.begun).map(place).max();
            assert!(place(read) >= earlier.unwrap_or(0), "a read goes back: {read:?}");
        }
    }
}
