//! The requests that a cold node receives (rule 4).

use super::*;

const HEADROOM: f64 = 1.25; // a machine is assumed to bear this multiple of its peak answer rate,
const MIN_BORNE: f64 = 0.25; // but at least this part of requests

impl Marshal {
    /// The fraction of its capacity that a node is certain to have.
    pub(super) fn warmth(&self, node: &Node) -> f64 {
        let Some(started) = node.entry.started else { return 1.0 };
        let age = (self.now - started).max(Ms(0.0)) / self.settings.warmup.max(Ms(1.0));
        (self.settings.cold_start_capacity + (1.0 - self.settings.cold_start_capacity) * age).min(1.0)
    }

    /// Rule 4: the token bucket of a cold node. It fills with the node's share of requests times its warmth,
    /// without what overload and invalid requests add to the highest answer rate so far. It starts at a
    /// random level, since a whole request from each of hundreds of marshals would be a burst.
    pub(super) fn has_cold_budget(&mut self, id: &NodeId) -> bool {
        let warmth = self.warmth(&self.nodes[id]);
        if warmth >= 1.0 {
            return true;
        }
        let requests = self.traffic.recent.trim(self.now - WINDOW) as f64 / self.warm[1].max(1.0);
        let borne = requests.min((self.traffic.peak_answers * HEADROOM).max(requests * MIN_BORNE)) / WINDOW.0;
        let rate = borne * warmth * self.settings.overload_multiple * 0.4;
        let (now, Some(node)) = (self.now, self.nodes.get_mut(id)) else { return false };
        node.tokens = (node.tokens + rate * (now - node.filled).0).min(1.0 + rate * 300.0);
        node.filled = now;
        node.tokens >= 1.0
    }
}
