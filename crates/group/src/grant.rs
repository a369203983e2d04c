//! Grants: an instance may expose builds on trial only under a grant of the leader's, which has a life of its own.
//! Whoever hears nothing more exposes nothing new once it has run out; a grant never rises by itself.

use crate::lease::Time;
use crate::record::{Record, Standing};
use milletwing_decision::interface::{Build, Phase};
use serde::{Deserialize, Serialize};

/// What passes between a member and the leader beside the log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerNote {
    /// A member asks for a grant; the number is its own.
    Ask(u64),
    /// The leader of a term grants so much of a build for so many milliseconds from when it was asked.
    Grant {
        /// The number of the ask.
        ask: u64,
        /// The leader's term.
        term: u64,
        /// The build.
        build: Build,
        /// The most to be exposed, as a part.
        cap: f64,
        /// Its life in milliseconds.
        life: Time,
    },
}

/// What a leader may grant now, by what is committed: the platform's cap, but nothing of a build that goes back.
pub fn grantable(record: &Record) -> Option<(Build, f64)> {
    let Standing { build, phase, cap, .. } = record.standing.clone()?;
    let on = phase == Phase::Trial && !record.sent_back(build);
    Some((build, if on { cap } else { 0.0 }))
}

/// What a member holds.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Held {
    /// The ask that is out, and when it left.
    asked: Option<(u64, Time)>,
    numbers: u64,
    /// Build, cap and end.
    grant: Option<(Build, f64, Time)>,
    /// The highest term that a grant came from.
    term: u64,
}

impl Held {
    /// Asks anew; an ask that went unanswered is given up.
    pub fn ask(&mut self, now: Time) -> u64 {
        self.numbers += 1;
        self.asked = Some((self.numbers, now));
        self.numbers
    }

    /// When the last ask left.
    pub fn asked(&self) -> Option<Time> {
        self.asked.map(|(_, at)| at)
    }

    /// Takes a grant. Its life counts from when we asked, so that a late one is shorter, never longer. Gives what holds
    /// from now on. Guards against a deposed leader: a lower term than one heard of grants nothing.
    pub fn take(&mut self, note: &PeerNote, term: u64, now: Time) -> Option<(Build, f64)> {
        let PeerNote::Grant { ask, term: of, build, cap, life } = note else { return None };
        let (number, at) = self.asked?;
        if *ask != number || *of < term.max(self.term) || now >= at + life {
            return None;
        }
        self.term = *of;
        self.grant = Some((*build, *cap, at + life));
        Some((*build, *cap))
    }

    /// What holds; once a grant has run out, nothing of its build, told once.
    pub fn lapse(&mut self, now: Time) -> Option<(Build, f64)> {
        let (build, _, until) = self.grant?;
        if now < until {
            return None;
        }
        self.grant = None;
        Some((build, 0.0))
    }

    /// The grant in force.
    pub fn now(&self, now: Time) -> Option<(Build, f64)> {
        self.grant.filter(|(_, _, until)| now < *until).map(|(build, cap, _)| (build, cap))
    }
}
