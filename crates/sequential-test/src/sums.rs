//! Sums over outcomes and the statistical test on them. The test is the covariate-adjusted t-test
//! of the CUPED paper (equations 4 and 7); classes are weighted by their share of the requests,
//! which goes beyond the paper.

use serde::{Deserialize, Serialize};
use statrs::distribution::{ContinuousCDF, StudentsT};

/// Sums over outcomes with a score `y` and a covariate `x`.
#[derive(Clone, Copy, Default, Debug, PartialEq, Serialize, Deserialize)]
pub struct Sums {
    /// Number of outcomes.
    pub n: f64,
    /// Sum of scores.
    pub y: f64,
    /// Sum of covariates.
    pub x: f64,
    /// Sum of squared scores.
    pub yy: f64,
    /// Sum of squared covariates.
    pub xx: f64,
    /// Sum of products of score and covariate.
    pub xy: f64,
}

impl Sums {
    /// Adds an outcome.
    pub fn add(&mut self, y: f64, x: f64) {
        *self = self.plus(&Sums { n: 1.0, y, x, yy: y * y, xx: x * x, xy: x * y });
    }

    /// Removes an outcome that was added before.
    pub fn remove(&mut self, y: f64, x: f64) {
        *self = self.plus(&Sums { n: -1.0, y: -y, x: -x, yy: -y * y, xx: -x * x, xy: -x * y });
    }

    /// Changes the score of one outcome with the mean covariate from 0 to 1, if there is one left
    /// with score 0.
    pub fn fail_one(&mut self) {
        if self.y < self.n {
            self.xy += self.x / self.n;
            self.y += 1.0;
            self.yy += 1.0;
        }
    }

    /// The sums over both sets of outcomes.
    pub fn plus(&self, other: &Sums) -> Sums {
        Sums {
            n: self.n + other.n,
            y: self.y + other.y,
            x: self.x + other.x,
            yy: self.yy + other.yy,
            xx: self.xx + other.xx,
            xy: self.xy + other.xy,
        }
    }

    /// Multiplies all sums by a factor.
    pub fn scale(&mut self, factor: f64) {
        for sum in [&mut self.n, &mut self.y, &mut self.x, &mut self.yy, &mut self.xx, &mut self.xy] {
            *sum *= factor;
        }
    }

    /// Centred sums: of squared covariates, of squared scores, and of their products.
    pub fn centred(&self) -> (f64, f64, f64) {
        let n = self.n.max(1e-12);
        (self.xx - self.x * self.x / n, self.yy - self.y * self.y / n, self.xy - self.x * self.y / n)
    }

    /// Variance of `score - theta * covariate`; 0 for fewer than two outcomes.
    pub fn variance(&self, theta: f64) -> f64 {
        let (xx, yy, xy) = self.centred();
        if self.n < 2.0 {
            return 0.0;
        }
        ((yy - 2.0 * theta * xy + theta * theta * xx) / (self.n - 1.0)).max(0.0)
    }
}

/// The covariate-adjusted test (equations 4 and 7 of the CUPED paper). Each class holds the sums of
/// the earlier version and of the version on trial. Returns the adjusted difference, its standard
/// error, the test statistic and the one-sided p-value.
pub fn adjusted_test(classes: &[[Sums; 2]], shares: &[f64]) -> (f64, f64, f64, f64) {
    let total = |arm: usize| classes.iter().fold(Sums::default(), |sum, class| sum.plus(&class[arm]));
    let (old, new) = (total(0), total(1));
    let all = old.plus(&new);
    let (covariate_variation, _, covariation) = all.centred();
    let theta = if covariate_variation > 1e-9 { covariation / covariate_variation } else { 0.0 };
    let has_both = |class: &[Sums; 2]| class[0].n > 0.0 && class[1].n > 0.0;
    let total_share: f64 =
        classes.iter().zip(shares).filter(|(class, _)| has_both(class)).map(|(_, share)| share).sum();
    let mean = |sums: &Sums| (sums.y - theta * sums.x) / sums.n;
    let delta: f64 = (classes.iter().zip(shares))
        .filter(|(class, _)| has_both(class))
        .map(|(class, share)| share / total_share * (mean(&class[1]) - mean(&class[0])))
        .sum();
    let variances = [&old, &new].map(|sums| if sums.n > 0.0 { sums.variance(theta) / sums.n } else { 0.0 });
    let standard_error = (variances[0] + variances[1]).sqrt();
    if standard_error <= 1e-12 || total_share <= 0.0 {
        return (delta, standard_error, 0.0, 0.5);
    }
    let t = delta / standard_error;
    let welch_term = |variance: f64, n: f64| if n > 1.0 { variance * variance / (n - 1.0) } else { 0.0 };
    let degrees_of_freedom = (standard_error.powi(4)
        / (welch_term(variances[0], old.n) + welch_term(variances[1], new.n)))
    .max(1.0);
    let p =
        StudentsT::new(0.0, 1.0, degrees_of_freedom).map_or(0.5, |distribution| 1.0 - distribution.cdf(t));
    (delta, standard_error, t, p)
}
