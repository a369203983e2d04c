//! Counts over the logs of a fleet, a file for each marshal: what is harmless in one of them and not in hundreds. Reads the
//! program's own lines, with `RUST_LOG=debug` also the platform's. A line may begin with its second, as some hosts write it;
//! else its own time counts, from the earliest on.

use jiff::Timestamp;
use serde_json::{json, Value};
use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;

/// The counters of a marshal's regular line that add up, by the words before them.
const SUMS: [&str; 10] = [
    "taken",
    "served",
    "refused",
    "failed",
    "gone",
    "attempts",
    "connections",
    "malformed",
    "accepted",
    "defects",
];

/// What happened in some second.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
enum Kind {
    Start,
    Answered,
    Refused,
    DiscoveryFailed,
    PlatformFailed,
}

impl Kind {
    fn name(self) -> &'static str {
        match self {
            Kind::Start => "starts",
            Kind::Answered => "votes that counted",
            Kind::Refused => "votes turned away",
            Kind::DiscoveryFailed => "failed calls to discovery",
            Kind::PlatformFailed => "lost connections to the platform",
        }
    }
}

/// What all marshals together did.
#[derive(Default)]
pub struct Count {
    files: usize,
    unread: usize,
    kinds: BTreeMap<Kind, BTreeMap<i64, u64>>,
    /// Who stood for sending a build back and for what reason, and when.
    backs: BTreeMap<(u64, String), Vec<f64>>,
    /// By reason, the platform's refusals.
    reasons: BTreeMap<String, u64>,
    sums: BTreeMap<&'static str, u64>,
}

/// A line's time in seconds and its text; nothing where it has neither form.
fn parts(line: &str) -> Option<(f64, &str)> {
    let (before, rest) = line.split_once('[')?;
    let (stamp, text) = rest.split_once(']')?;
    let at = match before.trim() {
        "" => stamp.split_whitespace().next()?.parse::<Timestamp>().ok()?.as_millisecond() as f64 / 1000.0,
        told => told.parse().ok()?,
    };
    Some((at, text.trim()))
}

/// The counters of a regular line.
fn counters(text: &str) -> Option<BTreeMap<&'static str, u64>> {
    let words: Vec<&str> = text.split([' ', ';', ',']).collect();
    let of = |name: &'static str| {
        let at = words.iter().position(|word| *word == name)?;
        Some((name, words.get(at + 1)?.parse().ok()?))
    };
    SUMS.into_iter().map(of).collect()
}

impl Count {
    /// Of all files in a folder that end in `.log`. Errors: the folder or a file can't be read, or there is none.
    pub fn of(folder: &Path) -> Result<Count, String> {
        let problem = |problem: std::io::Error| format!("{}: {problem}", folder.display());
        let mut count = Count::default();
        let mut files = Vec::new();
        for entry in std::fs::read_dir(folder).map_err(problem)? {
            let path = entry.map_err(problem)?.path();
            if path.extension().is_some_and(|end| end == "log") {
                let bytes =
                    std::fs::read(&path).map_err(|problem| format!("{}: {problem}", path.display()))?;
                files.push(String::from_utf8_lossy(&bytes).into_owned());
            }
        }
        if files.is_empty() {
            return Err(format!("{}: no file ends in .log", folder.display()));
        }
        let first = files.iter().flat_map(|text| text.lines().find_map(parts)).map(|(at, _)| at);
        let zero = first.fold(f64::MAX, f64::min);
        // Seconds that the host wrote begin at its own zero.
        let zero = if zero > 1e8 { zero } else { 0.0 };
        files.iter().for_each(|text| count.file(text, zero));
        Ok(count)
    }

    fn happened(&mut self, kind: Kind, at: f64) {
        *self.kinds.entry(kind).or_default().entry(at as i64).or_default() += 1;
    }

    /// One marshal, which may have started more than once; its counters begin anew each time.
    fn file(&mut self, text: &str, zero: f64) {
        self.files += 1;
        let mut life = BTreeMap::new();
        let mut stood = BTreeSet::new();
        for line in text.lines() {
            let Some((at, text)) = parts(line) else {
                self.unread += 1;
                continue;
            };
            let at = at - zero;
            if text.contains(" listens at ") {
                self.happened(Kind::Start, at);
                self.add(std::mem::take(&mut life));
                stood.clear();
            } else if let Some(counters) = counters(text) {
                life = counters;
            } else if let Some(rest) = text.strip_prefix("back: build ") {
                let (build, how) = rest.split_once(' ').unwrap_or((rest, ""));
                let how = how.split(',').next().unwrap_or("").to_string();
                let key = (build.parse().unwrap_or(0), how);
                if stood.insert(key.clone()) {
                    self.backs.entry(key).or_default().push(at);
                }
            } else if let Some(reason) = text.strip_prefix("told ERR ") {
                self.happened(Kind::Refused, at);
                *self.reasons.entry(reason.to_string()).or_default() += 1;
            } else if text.starts_with("told OK ") {
                self.happened(Kind::Answered, at);
            } else if text.starts_with("discovery: ") && line.contains(" WARN ") {
                self.happened(Kind::DiscoveryFailed, at);
            } else if text.starts_with("platform: ") && line.contains(" WARN ") {
                self.happened(Kind::PlatformFailed, at);
            }
        }
        self.add(life);
    }

    fn add(&mut self, life: BTreeMap<&'static str, u64>) {
        for (name, value) in life {
            *self.sums.entry(name).or_default() += value;
        }
    }

    /// As JSON: seconds are from the beginning.
    pub fn json(&self) -> Value {
        let kind = |(kind, seconds): (&Kind, &BTreeMap<i64, u64>)| {
            let most = seconds.iter().max_by_key(|(_, count)| **count).unwrap_or((&0, &0));
            let all: u64 = seconds.values().sum();
            (kind.name().to_string(), json!({"all": all, "most_in_a_second": most.1, "in_second": most.0}))
        };
        let back = |((build, how), times): (&(u64, String), &Vec<f64>)| {
            let mut times = times.clone();
            times.sort_by(f64::total_cmp);
            let (first, last) = (times[0], times[times.len() - 1]);
            json!({"build": build, "how": how, "marshals": times.len(), "first": first,
                "median": times[times.len() / 2], "last": last})
        };
        json!({
            "marshals": self.files,
            "lines_not_understood": self.unread,
            "happened": self.kinds.iter().map(kind).collect::<serde_json::Map<_, _>>(),
            "turned_away_as": self.reasons,
            "back": self.backs.iter().map(back).collect::<Vec<_>>(),
            "counters": self.sums,
        })
    }
}

impl std::fmt::Display for Count {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let seen = self.json();
        writeln!(f, "marshals: {}, lines not understood: {}", self.files, self.unread)?;
        for (name, of) in seen["happened"].as_object().into_iter().flatten() {
            let (all, most, second) = (&of["all"], &of["most_in_a_second"], &of["in_second"]);
            writeln!(f, "{name}: {all}, at most {most} in a second (second {second})")?;
        }
        for (reason, count) in &self.reasons {
            writeln!(f, "turned away as {reason}: {count}")?;
        }
        for of in seen["back"].as_array().into_iter().flatten() {
            let (build, how) = (&of["build"], of["how"].as_str().unwrap_or(""));
            let (marshals, first, median, last) = (&of["marshals"], &of["first"], &of["median"], &of["last"]);
            writeln!(
                f,
                "for sending back build {build} {how}: {marshals}; first {first} s, median {median}, last {last}"
            )?;
        }
        let sums: Vec<String> = self.sums.iter().map(|(name, sum)| format!("{name} {sum}")).collect();
        write!(f, "counters: {}", sums.join(", "))
    }
}
