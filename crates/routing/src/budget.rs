//! Further tries of one service, over a window that slides: this edge's part of what all edges may do together. The part
//! rests on this edge's own requests, so that it holds whatever the others do.

use crate::Time;
use std::collections::VecDeque;

/// Parts of the window that are counted one by one.
const PARTS: u64 = 20;

/// What is counted.
#[derive(Debug)]
pub struct Budget {
    window: Time,
    /// For each part of the window: when it began, requests, further tries.
    parts: VecDeque<(Time, f64, f64)>,
}

impl Budget {
    /// Over so many milliseconds.
    pub fn new(window: Time) -> Budget {
        Budget { window: window.max(PARTS), parts: VecDeque::new() }
    }

    fn part(&mut self, now: Time) -> &mut (Time, f64, f64) {
        let step = self.window / PARTS;
        let begin = now - now % step;
        // One part more than the window, so that every span of its length is covered.
        while self.parts.front().is_some_and(|(at, ..)| at + self.window + step <= begin) {
            self.parts.pop_front();
        }
        if self.parts.back().is_none_or(|(at, ..)| *at < begin) {
            self.parts.push_back((begin, 0.0, 0.0));
        }
        let last = self.parts.len() - 1;
        &mut self.parts[last]
    }

    /// A request came.
    pub fn request(&mut self, now: Time) {
        self.part(now).1 += 1.0;
    }

    /// Whether one more sending is within `ratio` of the requests and `slack`; counts it if so.
    pub fn take(&mut self, now: Time, ratio: f64, slack: f64) -> bool {
        self.part(now);
        let requests: f64 = self.parts.iter().map(|part| part.1).sum();
        let tries: f64 = self.parts.iter().map(|part| part.2).sum();
        let within = tries + 1.0 <= ratio * requests + slack;
        if within {
            self.part(now).2 += 1.0;
        }
        within
    }
}
