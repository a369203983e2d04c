//! The leader's lease: how long a leader may be sure that no other one leads. Counted from when the heartbeats that
//! renewed it were *sent*, and shorter than the time for which their receivers listen to nobody else.

use std::collections::BTreeMap;

/// Milliseconds of one machine's steady clock. Never compared with those of another machine.
pub type Time = u64;

/// How sure a leader is.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Lease {
    length: Time,
    /// Heartbeats on their way: number, term, and when they were sent.
    sent: BTreeMap<u64, (u64, Time)>,
    numbers: u64,
    /// The term and the end.
    until: Option<(u64, Time)>,
    /// The term in which the lease was given up for good.
    barred: Option<u64>,
}

impl Lease {
    /// Heartbeats that may be on their way; older ones are forgotten and renew nothing.
    const MOST: usize = 64;

    /// For receivers that listen to nobody else for `quiet` milliseconds of their own clock, where any clock runs
    /// at most `drift` (a part, such as 0.01) too fast or too slow. Ours may be slow by that and theirs fast.
    pub fn new(quiet: Time, drift: f64) -> Lease {
        let length = (quiet as f64 * (1.0 - drift) / (1.0 + drift)) as Time;
        Lease { length, ..Lease::default() }
    }

    /// Its length from the moment of sending.
    pub fn length(&self) -> Time {
        self.length
    }

    /// Heartbeats leave now; the number comes back with the word that a quorum has answered them.
    pub fn send(&mut self, term: u64, now: Time) -> u64 {
        self.numbers += 1;
        self.sent.insert(self.numbers, (term, now));
        while self.sent.len() > Lease::MOST {
            self.sent.pop_first();
        }
        self.numbers
    }

    /// A quorum has answered.
    pub fn renew(&mut self, term: u64, number: u64) {
        let Some((of, at)) = self.sent.get(&number).copied() else { return };
        self.sent.retain(|&other, _| other > number);
        if of == term && self.barred != Some(term) {
            let end = at + self.length;
            // Guards against an answer that overtook a later one: a lease never becomes shorter by being renewed.
            let held = self.until.filter(|&(held, _)| held == term).map_or(0, |(_, until)| until);
            self.until = Some((term, end.max(held)));
        }
    }

    /// Gives it up for the rest of a term. Guards against a hand-over that is under way: its message may arrive late,
    /// even after it was called off, and lets the receiver be elected while the others still listen to us.
    pub fn bar(&mut self, term: u64) {
        self.barred = Some(term);
        self.until = None;
    }

    /// We lead no more.
    pub fn end(&mut self) {
        self.until = None;
        self.sent.clear();
    }

    /// Until when it holds in a term; 0 where it does not.
    pub fn until(&self, term: u64) -> Time {
        self.until.filter(|&(of, _)| of == term).map_or(0, |(_, until)| until)
    }

    /// Whether it holds.
    pub fn holds(&self, term: u64, now: Time) -> bool {
        now < self.until(term)
    }
}
