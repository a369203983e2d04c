//! A budget over a sliding window: this edge's share of what all edges together may do, such as
//! retries. The share depends only on this edge's own requests, so it holds whatever the other
//! edges do.

use crate::Time;
use std::collections::VecDeque;

/// Number of slots that the window is divided into.
const SLOTS: u64 = 20;

/// Counts requests and the extra actions taken on their account over a sliding window.
#[derive(Debug)]
pub struct Budget {
    window: Time,
    /// For each slot: its start, the requests, and the budgeted actions taken.
    slots: VecDeque<(Time, f64, f64)>,
}

impl Budget {
    /// Creates a budget over a window of `window` milliseconds.
    pub fn new(window: Time) -> Budget {
        Budget { window: window.max(SLOTS), slots: VecDeque::new() }
    }

    fn slot(&mut self, now: Time) -> &mut (Time, f64, f64) {
        let slot_length = self.window / SLOTS;
        let slot_start = now - now % slot_length;
        // Keeps one slot more than the window, so that every span of the window's length is
        // covered.
        while self.slots.front().is_some_and(|(start, ..)| start + self.window + slot_length <= slot_start) {
            self.slots.pop_front();
        }
        if self.slots.back().is_none_or(|(start, ..)| *start < slot_start) {
            self.slots.push_back((slot_start, 0.0, 0.0));
        }
        let last = self.slots.len() - 1;
        &mut self.slots[last]
    }

    /// Counts a request.
    pub fn record_request(&mut self, now: Time) {
        self.slot(now).1 += 1.0;
    }

    /// Whether one more action stays within `ratio` of the requests plus `slack`; counts the action
    /// if so.
    pub fn try_take(&mut self, now: Time, ratio: f64, slack: f64) -> bool {
        self.slot(now);
        let requests: f64 = self.slots.iter().map(|slot| slot.1).sum();
        let taken: f64 = self.slots.iter().map(|slot| slot.2).sum();
        let within = taken + 1.0 <= ratio * requests + slack;
        if within {
            self.slot(now).2 += 1.0;
        }
        within
    }
}
