//! What a cold node is sent (rule 4; how it is counted is ours).

use super::*;

/// What a machine bears, over the most it ever answered; least part of our requests that it is held to bear.
const MORE: f64 = 1.25;
const MET_PART: f64 = 0.25;

impl Marshal {
    /// The part of its capacity that a node is sure to have.
    pub(super) fn warmth(&self, node: &Node) -> f64 {
        let Some(started) = node.entry.started else { return 1.0 };
        let age = (self.now - started).max(Ms(0.0)) / self.set.warmup.max(Ms(1.0));
        (self.set.cold_start_capacity + (1.0 - self.set.cold_start_capacity) * age).min(1.0)
    }

    /// Rule 4: a cold node gets its share by warmth of our requests, but not of what overload and worthless
    /// ones add to the most ever answered; from a random part on, since hundreds of whole ones are a burst.
    pub(super) fn cold_room(&mut self, id: &NodeId) -> bool {
        let warmth = self.warmth(&self.nodes[id]);
        if warmth >= 1.0 {
            return true;
        }
        let taken = self.flow.recent.trim(self.now - RATE_SPAN) as f64 / self.warm[1].max(1.0);
        let borne = taken.min((self.flow.best * MORE).max(taken * MET_PART)) / RATE_SPAN.0;
        let rate = borne * warmth * self.set.overload_multiple * 0.4;
        let (now, Some(node)) = (self.now, self.nodes.get_mut(id)) else { return false };
        node.tokens = (node.tokens + rate * (now - node.counted).0).min(1.0 + rate * 300.0);
        node.counted = now;
        node.tokens >= 1.0
    }
}
