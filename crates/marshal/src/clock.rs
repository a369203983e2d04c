//! The clock: steady, but anchored once to Unix time, since discovery tells starts in it.

use milletwing_decision::interface::Ms;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// A steady clock that shows Unix time.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
    unix: Duration,
}

impl Default for Clock {
    fn default() -> Clock {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { start: Instant::now(), unix }
    }
}

impl Clock {
    /// A moment, in milliseconds of Unix time.
    pub fn ms(&self, at: Instant) -> Ms {
        let past = at.saturating_duration_since(self.start);
        Ms((self.unix + past).as_secs_f64() * 1000.0)
    }
    /// The moment of a time in milliseconds of Unix time; one before the start is the start.
    pub fn instant(&self, at: Ms) -> Instant {
        let past = at.0 / 1000.0 - self.unix.as_secs_f64();
        self.start + span(Ms(past * 1000.0))
    }
}

/// A span as the standard library's own; a negative one is zero, one beyond a day a day.
pub fn span(ms: Ms) -> Duration {
    Duration::from_secs_f64((ms.0 / 1000.0).clamp(0.0, 86_400.0))
}
