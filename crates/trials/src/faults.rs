//! Faults as a seed draws them: what happens next, and after how long.

use rand::Rng;
use rand_pcg::Pcg64Mcg;

/// What happens to the group.
#[derive(Clone, Debug, PartialEq, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Fault {
    /// Nothing reaches from the ones to the others, and back unless it is one-way.
    Partition {
        /// The ones.
        apart: Vec<usize>,
        /// Only what they send is cut.
        one_way: bool,
    },
    /// All links are whole.
    Heal,
    /// An instance stands still for so many milliseconds.
    Pause(usize, u64),
    /// An instance is killed, and started from its store so many milliseconds later.
    Kill(usize, u64),
    /// Whoever leads hands over.
    HandOver,
}

/// The next fault and the milliseconds before it. No more than a minority is down by kills and pauses at a time:
/// `down` tells how many are.
pub fn draw(dice: &mut Pcg64Mcg, instances: usize, down: usize) -> (u64, Fault) {
    let wait = dice.random_range(300..1800);
    let one = dice.random_range(0..instances);
    let room = down < (instances - 1) / 2;
    let fault = match dice.random_range(0..10) {
        0..=2 => {
            let size = dice.random_range(1..=instances / 2);
            let mut apart: Vec<usize> = (0..size).map(|at| (one + at) % instances).collect();
            apart.sort_unstable();
            Fault::Partition { apart, one_way: dice.random_bool(0.3) }
        }
        3..=4 => Fault::Heal,
        5 | 6 if room => Fault::Pause(one, dice.random_range(100..2500)),
        7 if room => Fault::Kill(one, dice.random_range(100..1500)),
        _ => Fault::HandOver,
    };
    (wait, fault)
}
