//! The observations of callers, and what must hold for them. The configuration is a register that is
//! changed by compare-and-set, with calls whose outcome may be unknown; its history must be linearizable.

use std::collections::BTreeMap;
use tokio::time::Instant;

/// A version of the configuration: its revision, and a number that tells two versions of the same revision
/// apart.
pub type Version = (u64, u64);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Acknowledged,
    Refused,
    Unknown,
}

/// One change requested by an operator, with all calls that were made for it.
#[derive(Clone, Debug)]
pub struct Change {
    pub version: Version,
    /// The revision that the change builds on.
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
    /// Asserts that the history of the register is linearizable. `is_accepted` tells whether the final state
    /// remembers a version as accepted.
    pub fn assert_linearizable(&self, is_accepted: impl Fn(&Version) -> bool) {
        let accepted = self.accepted_versions(&is_accepted);
        for change in &self.changes {
            let was_accepted = accepted.contains_key(&change.version.0) && is_accepted(&change.version);
            match change.outcome {
                Outcome::Acknowledged => assert!(was_accepted, "acknowledged but not accepted: {change:?}"),
                Outcome::Refused => {
                    assert!(!was_accepted, "refused but accepted: {change:?}");
                    self.assert_refusal_justified(change, &accepted);
                }
                Outcome::Unknown => {}
            }
        }
        self.assert_reads_follow(&accepted);
    }

    /// Returns the accepted versions in order, and asserts that each builds on the one before.
    fn accepted_versions(&self, is_accepted: &impl Fn(&Version) -> bool) -> BTreeMap<u64, &Change> {
        let mut accepted = BTreeMap::new();
        for change in self.changes.iter().filter(|change| is_accepted(&change.version)) {
            let other = accepted.insert(change.version.0, change);
            assert!(other.is_none(), "two configurations with the same revision: {change:?} and {other:?}");
        }
        let mut previous = 0;
        for change in accepted.values() {
            assert_eq!(change.expected, previous, "does not build on the previous version: {change:?}");
            previous = change.version.0;
        }
        accepted
    }

    /// Asserts that a refusal was justified: another version was in force at some moment of the call.
    fn assert_refusal_justified(&self, refused: &Change, accepted: &BTreeMap<u64, &Change>) {
        let expected = refused.expected;
        let in_force = expected == 0
            || accepted
                .get(&expected)
                .is_some_and(|it| it.outcome == Outcome::Acknowledged && it.ended < refused.begun);
        let next = accepted.range(expected + 1..).next().map(|(_, change)| change.begun);
        let replaced = next.is_some_and(|begun| begun < refused.ended);
        assert!(!in_force || replaced, "refused although it builds on the version in force: {refused:?}");
    }

    /// Asserts that each read returned an accepted version, at least as new as all versions that were
    /// acknowledged or read before it.
    fn assert_reads_follow(&self, accepted: &BTreeMap<u64, &Change>) {
        let revision = |read: &Read| read.version.map_or(0, |version| version.0);
        for read in &self.reads {
            let acknowledged = accepted
                .values()
                .filter(|it| it.outcome == Outcome::Acknowledged && it.ended < read.begun)
                .map(|it| it.version.0);
            let minimum = acknowledged.max().unwrap_or(0);
            assert!(revision(read) >= minimum, "read {read:?} after {minimum} was acknowledged");
            if let Some(version) = read.version {
                let known = accepted.get(&version.0).filter(|it| it.version == version);
                assert!(
                    known.is_some_and(|it| it.begun < read.ended),
                    "read a version that was not accepted: {read:?}"
                );
            }
            let earlier = self.reads.iter().filter(|it| it.ended < read.begun).map(revision).max();
            assert!(
                revision(read) >= earlier.unwrap_or(0),
                "a read returned an older version than an earlier read: {read:?}"
            );
        }
    }
}
