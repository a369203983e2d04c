//! Sums over units of evidence, and the test on them. Source: the CUPED paper's covariate-adjusted t-test (equations 4 and
//! 7); the weighting of classes by their share of requests is ours.

use serde::{Deserialize, Serialize};
use statrs::distribution::{ContinuousCDF, StudentsT};

/// Sums over units of a score `y` and a covariate `x`.
#[derive(Clone, Copy, Default, Debug, PartialEq, Serialize, Deserialize)]
pub struct Sums {
    /// Count.
    pub n: f64,
    /// Sum of scores.
    pub y: f64,
    /// Sum of covariates.
    pub x: f64,
    /// Sum of squared scores.
    pub yy: f64,
    /// Sum of squared covariates.
    pub xx: f64,
    /// Sum of products.
    pub xy: f64,
}

impl Sums {
    /// Adds a unit.
    pub fn add(&mut self, y: f64, x: f64) {
        *self = self.plus(&Sums { n: 1.0, y, x, yy: y * y, xx: x * x, xy: x * y });
    }
    /// Takes back a unit that was added.
    pub fn remove(&mut self, y: f64, x: f64) {
        *self = self.plus(&Sums { n: -1.0, y: -y, x: -x, yy: -y * y, xx: -x * x, xy: -x * y });
    }
    /// Turns the score of a unit at the mean covariate from 0 to 1, if one is left.
    pub fn fail_one(&mut self) {
        if self.y < self.n {
            self.xy += self.x / self.n;
            self.y += 1.0;
            self.yy += 1.0;
        }
    }
    /// Both together.
    pub fn plus(&self, o: &Sums) -> Sums {
        Sums {
            n: self.n + o.n,
            y: self.y + o.y,
            x: self.x + o.x,
            yy: self.yy + o.yy,
            xx: self.xx + o.xx,
            xy: self.xy + o.xy,
        }
    }
    /// All sums times a factor.
    pub fn scale(&mut self, factor: f64) {
        for sum in [&mut self.n, &mut self.y, &mut self.x, &mut self.yy, &mut self.xx, &mut self.xy] {
            *sum *= factor;
        }
    }
    /// Centred sums of squares and products: of covariates, of scores, of both.
    pub fn centred(&self) -> (f64, f64, f64) {
        let n = self.n.max(1e-12);
        (self.xx - self.x * self.x / n, self.yy - self.y * self.y / n, self.xy - self.x * self.y / n)
    }
    /// Variance of score minus theta times covariate; 0 for fewer than two units.
    pub fn variance(&self, theta: f64) -> f64 {
        let (xx, yy, xy) = self.centred();
        if self.n < 2.0 {
            return 0.0;
        }
        ((yy - 2.0 * theta * xy + theta * theta * xx) / (self.n - 1.0)).max(0.0)
    }
}

/// The adjusted test (page; the paper's equations 4 and 7): each class holds the sums of the earlier build
/// and of the build on trial. Gives the adjusted delta, its error, the statistic and the one-sided p.
pub fn adjusted_test(classes: &[[Sums; 2]], shares: &[f64]) -> (f64, f64, f64, f64) {
    let total = |arm: usize| classes.iter().fold(Sums::default(), |sum, class| sum.plus(&class[arm]));
    let (old, new) = (total(0), total(1));
    let all = old.plus(&new);
    let (spread, _, shared) = all.centred();
    let theta = if spread > 1e-9 { shared / spread } else { 0.0 };
    let both = |c: &[Sums; 2]| c[0].n > 0.0 && c[1].n > 0.0;
    let weight: f64 = classes.iter().zip(shares).filter(|(c, _)| both(c)).map(|(_, share)| share).sum();
    let mean = |s: &Sums| (s.y - theta * s.x) / s.n;
    let delta: f64 = (classes.iter().zip(shares))
        .filter(|(c, _)| both(c))
        .map(|(c, share)| share / weight * (mean(&c[1]) - mean(&c[0])))
        .sum();
    let parts = [&old, &new].map(|s| if s.n > 0.0 { s.variance(theta) / s.n } else { 0.0 });
    let error = (parts[0] + parts[1]).sqrt();
    if error <= 1e-12 || weight <= 0.0 {
        return (delta, error, 0.0, 0.5);
    }
    let t = delta / error;
    let below = |part: f64, n: f64| if n > 1.0 { part * part / (n - 1.0) } else { 0.0 };
    let freedom = (error.powi(4) / (below(parts[0], old.n) + below(parts[1], new.n))).max(1.0);
    let p = StudentsT::new(0.0, 1.0, freedom).map_or(0.5, |law| 1.0 - law.cdf(t));
    (delta, error, t, p)
}
