//! Which marshals of a version on trial bear its part of the traffic.
//!
//! A small part spread over all of them would load none, and a fault that only shows under load would show when everything runs
//! there. So as few bear the part as can do so with a load that any marshal of the service may come to have.

use crate::marshal::Marshal;

/// The part of its capacity that a canary should work on: above what most marshals work on in usual times, and short of what makes
/// requests wait.
const CANARY_LOAD: f64 = 0.5;

/// The marshals of a version on trial that are open and warm, and how many of them bear its traffic.
#[derive(Debug, Default)]
pub struct Canaries {
    order: Vec<u64>,
    count: usize,
}

impl Canaries {
    /// Of the marshals of one service. `part`: of the service's requests, those that may go to the new version. `load`: the part of
    /// its capacity that a marshal of the service works on, on average.
    pub fn choose<'a>(
        marshals: impl Iterator<Item = (&'a u64, &'a Marshal)>,
        part: f64,
        load: f64,
    ) -> Canaries {
        let (mut capacity, mut candidates) = (0.0, Vec::new());
        for (key, marshal) in marshals.filter(|(_, marshal)| marshal.open && marshal.part.is_none()) {
            capacity += marshal.capacity;
            if marshal.new {
                candidates.push((marshal, *key));
            }
        }
        // All edges that know the same marshals choose the same ones.
        candidates.sort_unstable_by(|(one, _), (other, _)| one.id.cmp(&other.id));
        let each = candidates.iter().map(|(marshal, _)| marshal.capacity).sum::<f64>()
            / (candidates.len() as f64).max(1.0);
        let by_load = part * load * capacity / (CANARY_LOAD * each.max(1.0));
        // With so many, each bears what it will bear when everything runs there.
        let by_part = part * candidates.len() as f64;
        let count = by_load.min(by_part).ceil().max(1.0) as usize;
        Canaries { order: candidates.into_iter().map(|(_, key)| key).collect(), count }
    }

    /// The first of them that a request may go to.
    pub fn of(&self, may: impl Fn(u64) -> bool) -> Vec<u64> {
        self.order.iter().copied().filter(|key| may(*key)).take(self.count).collect()
    }
}
