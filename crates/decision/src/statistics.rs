//! Generic containers, free of any decision: what chance would make of sums of pairs, a sliding count
//! told its span by the caller, and seeded dice.

use crate::interface::Ms;
pub use milletwing_sequential_test::Sums;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use statrs::distribution::{Binomial, DiscreteCDF};
use std::collections::VecDeque;

/// What the second of two sides scores beyond the first, over units that are alike: those of a class, or of a period.
#[derive(Clone, Copy, Default, Debug, PartialEq)]
pub struct Excess {
    /// The second side's score.
    pub score: f64,
    /// Its units.
    pub units: f64,
    /// Its score beyond what the first side's share would give it.
    pub surplus: f64,
    /// Its part of all scores by its part of the units, and all scores.
    due: f64,
    total: f64,
}

impl Excess {
    /// Of counts of both sides, by class.
    pub fn of(classes: &[[Sums; 2]]) -> Excess {
        let one = |[old, new]: &[Sums; 2]| Excess {
            score: new.y,
            units: new.n,
            surplus: new.y - old.y * new.n / old.n.max(1.0),
            due: (old.y + new.y) * new.n / (old.n + new.n).max(1.0),
            total: old.y + new.y,
        };
        classes.iter().map(one).fold(Excess::default(), Excess::plus)
    }
    /// Both together.
    pub fn plus(self, o: Excess) -> Excess {
        Excess {
            score: self.score + o.score,
            units: self.units + o.units,
            surplus: self.surplus + o.surplus,
            due: self.due + o.due,
            total: self.total + o.total,
        }
    }
    /// One-sided p that chance alone would give the second side as much of all scores (binomial).
    pub fn p(&self) -> f64 {
        let law = Binomial::new(self.due / self.total, self.total as u64);
        law.map_or(1.0, |law| law.sf((self.score - 1.0) as u64))
    }
}

/// Counts of two sides by class, told by period. Each period is compared by itself: the second side's part of the units
/// grows while what both suffer comes and goes.
#[derive(Default, Debug)]
pub struct Periods {
    end: Ms,
    last: Vec<[Sums; 2]>,
    before: Excess,
}

impl Periods {
    /// None yet.
    pub fn new(classes: usize) -> Periods {
        Periods { last: vec![Default::default(); classes], ..Periods::default() }
    }
    /// Takes the count of a class and side in the period that ended then.
    pub fn count(&mut self, end: Ms, class: usize, side: usize, (units, score): (f64, f64)) {
        if (end - self.end).0.abs() > 1.0 {
            self.before = self.before.plus(Excess::of(&self.last));
            self.last.fill_with(Default::default);
            self.end = end;
        }
        let sums = &mut self.last[class][side];
        *sums = sums.plus(&Sums { n: units, y: score, yy: score, ..Sums::default() });
    }
    /// Over all periods.
    pub fn excess(&self) -> Excess {
        self.before.plus(Excess::of(&self.last))
    }
}

/// A running mean: of all at first, later with a least weight for each new value.
#[derive(Clone, Copy, Default, Debug, PartialEq)]
pub struct Mean {
    /// Values taken.
    pub n: f64,
    /// The mean.
    pub value: f64,
}

impl Mean {
    /// Takes a value at the weight of one among all, or the least weight if that is more.
    pub fn add(&mut self, value: f64, least: f64) {
        self.n += 1.0;
        self.value += (1.0 / self.n).max(least) * (value - self.value);
    }
}

/// Moments in time, oldest first.
#[derive(Clone, Debug, Default)]
pub struct Times(VecDeque<Ms>);

impl Times {
    /// Adds one.
    pub fn push(&mut self, at: Ms) {
        self.0.push_back(at);
    }
    /// Drops what is older than `from`; gives the count of the rest.
    pub fn trim(&mut self, from: Ms) -> usize {
        while self.0.front().is_some_and(|&at| at < from) {
            self.0.pop_front();
        }
        self.0.len()
    }
    /// The count since a moment, nothing dropped.
    pub fn since(&self, from: Ms) -> usize {
        self.0.iter().rev().take_while(|&&at| at >= from).count()
    }
}

/// A portable source of chance: the same seed, the same rolls.
#[derive(Debug)]
pub struct Dice(Pcg64Mcg);

impl Default for Dice {
    fn default() -> Dice {
        Dice::new(0)
    }
}

impl Dice {
    /// Dice of a seed.
    pub fn new(seed: u64) -> Dice {
        Dice(Pcg64Mcg::seed_from_u64(seed))
    }
    /// From 0 to below 1.
    pub fn part(&mut self) -> f64 {
        self.0.random()
    }
    /// A whole number below `count`; none if that is 0.
    pub fn below(&mut self, count: usize) -> Option<usize> {
        (count > 0).then(|| self.0.random_range(0..count))
    }
}
