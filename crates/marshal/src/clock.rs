//! A monotonic clock that is anchored once to Unix time, since discovery reports start times in Unix time.

use milletwing_decision::interface::Ms;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// A monotonic clock that shows Unix time.
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
    /// An instant as milliseconds of Unix time.
    pub fn ms(&self, at: Instant) -> Ms {
        let elapsed = at.saturating_duration_since(self.start);
        Ms((self.unix + elapsed).as_secs_f64() * 1000.0)
    }
    /// The instant of a time in milliseconds of Unix time; a time before the clock's start gives the start.
    pub fn instant(&self, at: Ms) -> Instant {
        let elapsed = at.0 / 1000.0 - self.unix.as_secs_f64();
        self.start + to_duration(Ms(elapsed * 1000.0))
    }
}

/// Converts milliseconds to a `Duration`, clamped to between zero and one day.
pub fn to_duration(ms: Ms) -> Duration {
    Duration::from_secs_f64((ms.0 / 1000.0).clamp(0.0, 86_400.0))
}
