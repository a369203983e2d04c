//! Generic statistics and containers without decision logic: a binomial comparison of two sides, running
//! means, event counts over a sliding window, and a seeded random number generator.

use crate::interface::Ms;
pub use milletwing_sequential_test::Sums;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use statrs::distribution::{Binomial, DiscreteCDF};
use std::collections::VecDeque;

/// Failures of the second of two sides in excess of the first side's failure rate, compared within groups of
/// similar units: those of one class, or of one period.
#[derive(Clone, Copy, Default, Debug, PartialEq)]
pub struct FailureExcess {
    /// Failures of the second side.
    pub failures: f64,
    /// Units of the second side.
    pub units: f64,
    /// Failures of the second side beyond those that the first side's failure rate predicts.
    pub surplus: f64,
    /// The second side's share of all failures if they were spread evenly over the units, and all failures.
    expected: f64,
    total: f64,
}

impl FailureExcess {
    /// Compares the counts of both sides within each class.
    pub fn of(classes: &[[Sums; 2]]) -> FailureExcess {
        let compare = |[old, new]: &[Sums; 2]| FailureExcess {
            failures: new.y,
            units: new.n,
            surplus: new.y - old.y * new.n / old.n.max(1.0),
            expected: (old.y + new.y) * new.n / (old.n + new.n).max(1.0),
            total: old.y + new.y,
        };
        classes.iter().map(compare).fold(FailureExcess::default(), FailureExcess::plus)
    }
    /// The sum of two comparisons.
    pub fn plus(self, other: FailureExcess) -> FailureExcess {
        FailureExcess {
            failures: self.failures + other.failures,
            units: self.units + other.units,
            surplus: self.surplus + other.surplus,
            expected: self.expected + other.expected,
            total: self.total + other.total,
        }
    }
    /// One-sided binomial p-value: the probability that the second side has at least this many of all
    /// failures by chance alone.
    pub fn p_value(&self) -> f64 {
        let distribution = Binomial::new(self.expected / self.total, self.total as u64);
        distribution.map_or(1.0, |distribution| distribution.sf((self.failures - 1.0) as u64))
    }
}

/// Failure counts of two sides by class, reported period by period. Each period is compared separately,
/// because the second side's share of the units grows over time while failures common to both come and go.
#[derive(Default, Debug)]
pub struct PeriodCounts {
    end: Ms,
    current: Vec<[Sums; 2]>,
    earlier: FailureExcess,
}

impl PeriodCounts {
    /// Empty counts for a number of classes.
    pub fn new(classes: usize) -> PeriodCounts {
        PeriodCounts { current: vec![Default::default(); classes], ..PeriodCounts::default() }
    }
    /// Adds the count of a class and side in the period that ended at `end`.
    pub fn record(&mut self, end: Ms, class: usize, side: usize, (units, failures): (f64, f64)) {
        if (end - self.end).0.abs() > 1.0 {
            self.earlier = self.earlier.plus(FailureExcess::of(&self.current));
            self.current.fill_with(Default::default);
            self.end = end;
        }
        let sums = &mut self.current[class][side];
        *sums = sums.plus(&Sums { n: units, y: failures, yy: failures, ..Sums::default() });
    }
    /// The excess over all periods.
    pub fn excess(&self) -> FailureExcess {
        self.earlier.plus(FailureExcess::of(&self.current))
    }
}

/// A running mean: the plain mean at first, later an exponential one with a minimum weight for new values.
#[derive(Clone, Copy, Default, Debug, PartialEq)]
pub struct RunningMean {
    /// Number of values.
    pub n: f64,
    /// The mean.
    pub value: f64,
}

impl RunningMean {
    /// Adds a value with weight 1/n, or with the minimum weight if that is larger.
    pub fn add(&mut self, value: f64, min_weight: f64) {
        self.n += 1.0;
        self.value += (1.0 / self.n).max(min_weight) * (value - self.value);
    }
}

/// Times of events, oldest first.
#[derive(Clone, Debug, Default)]
pub struct EventTimes(VecDeque<Ms>);

impl EventTimes {
    /// Adds an event, not older than the ones before.
    pub fn push(&mut self, at: Ms) {
        self.0.push_back(at);
    }
    /// Drops the events before `from` and returns the number of those left.
    pub fn trim(&mut self, from: Ms) -> usize {
        while self.0.front().is_some_and(|&at| at < from) {
            self.0.pop_front();
        }
        self.0.len()
    }
    /// The number of events since `from`; drops none.
    pub fn count_since(&self, from: Ms) -> usize {
        self.0.iter().rev().take_while(|&&at| at >= from).count()
    }
}

/// A portable random number generator: the same seed gives the same numbers on every platform.
#[derive(Debug)]
pub struct SeededRng(Pcg64Mcg);

impl Default for SeededRng {
    fn default() -> SeededRng {
        SeededRng::new(0)
    }
}

impl SeededRng {
    /// A generator with a seed.
    pub fn new(seed: u64) -> SeededRng {
        SeededRng(Pcg64Mcg::seed_from_u64(seed))
    }
    /// A number in [0, 1).
    pub fn fraction(&mut self) -> f64 {
        self.0.random()
    }
    /// An integer below `count`; `None` if that is 0.
    pub fn index_below(&mut self, count: usize) -> Option<usize> {
        (count > 0).then(|| self.0.random_range(0..count))
    }
}
