//! The names and formats that the site uses on its sockets. Another site's names would change only this file.

use milletwing_decision::interface::{Ms, NodeState, Outcome, Phase, StageReport, Vote};
use std::time::Duration;

/// Header with the id of a request.
pub const REQUEST_ID_HEADER: &str = "X-Txn";
/// Header with its class.
pub const CLASS_HEADER: &str = "X-Lane";
/// Header with its tenant.
pub const TENANT_HEADER: &str = "X-Org";
/// The cookie with the key that the request is about.
pub const KEY_COOKIE: &str = "user";
/// Header with the time that its sender still waits.
pub const REMAINING_HEADER: &str = "X-Remaining";
/// Header that marks a client's retry.
pub const RETRY_HEADER: &str = "X-Resent";
/// Header with further labels.
pub const LABELS_HEADER: &str = "X-Labels";
/// The label with the expected processing time, named as in the simulator's protocol.
pub const WORK_HINT_LABEL: &str = "size-hint-ms";
/// Header with which a node states that it rejected the request without running it.
pub const TURNED_AWAY_HEADER: &str = "X-Turned-Away";
/// Path of the readiness check.
pub const READINESS_PATH: &str = "/up";
/// Path of discovery's node list.
pub const NODE_LIST_PATH: &str = "/discovery/hosts";
/// The query parameters of a watch: the version held, and the waiting time in milliseconds.
pub const WATCH_PARAMETERS: [&str; 2] = ["index", "wait"];

/// Parses the value of `X-Remaining`.
pub fn parse_remaining(text: &str) -> Option<Duration> {
    let (number, unit) = text.trim().split_at_checked(text.trim().len().checked_sub(1)?)?;
    let per_ms = match unit {
        "m" => 1.0,
        "u" => 1000.0,
        _ => return None,
    };
    if !number.bytes().all(|b| b.is_ascii_digit() || b == b'.') {
        return None;
    }
    let ms = number.parse::<f64>().ok()? / per_ms;
    (ms.is_finite() && ms <= 86_400_000.0).then(|| Duration::from_secs_f64(ms / 1000.0))
}

/// The header line with the remaining time, for a node.
pub fn remaining_header_line(left: Duration) -> String {
    format!("{REMAINING_HEADER}: {}u\r\n", left.as_micros())
}

/// The value of a cookie.
pub fn cookie<'a>(header: &'a str, name: &str) -> Option<&'a str> {
    header.split(';').find_map(|pair| pair.trim().strip_prefix(name)?.strip_prefix('='))
}

/// The numeric value of a label.
pub fn label(header: &str, name: &str) -> Option<f64> {
    let pair = header.split(',').find_map(|pair| pair.trim().strip_prefix(name)?.strip_prefix('='));
    pair?.parse::<f64>().ok().filter(|value| value.is_finite())
}

/// The `Retry-After` header line.
pub fn retry_after(wait: Ms) -> String {
    format!("Retry-After: {:.3}\r\n", wait.0.max(0.0) / 1000.0)
}

/// Parses discovery's name of a node's state.
pub fn node_state(word: &str) -> Option<NodeState> {
    match word {
        "active" => Some(NodeState::InService),
        "leaving" => Some(NodeState::Terminating),
        "left" => Some(NodeState::Terminated),
        _ => None,
    }
}

/// Parses the platform's name of a phase.
pub fn phase(word: &str) -> Option<Phase> {
    match word {
        "testing" => Some(Phase::Trial),
        "recalling" => Some(Phase::Reverting),
        "live" => Some(Phase::Released),
        "recalled" => Some(Phase::Withdrawn),
        _ => None,
    }
}

/// The command that subscribes to the platform's notifications.
pub const SUBSCRIBE_COMMAND: &str = "SUB\r\n";

/// The command that casts a vote.
pub fn vote_command(build: u32, stage: u32, vote: Vote) -> String {
    let word = match vote {
        Vote::None => "abstain",
        Vote::Advance => "promote",
        Vote::Hold => "pause",
        Vote::Revert => "abort",
    };
    format!("SAY {build} {stage} {word}\r\n")
}

/// A line received from the platform.
#[derive(Debug, PartialEq)]
pub enum PlatformLine {
    /// A keep-alive.
    KeepAlive,
    /// `OK`, optionally followed by the stage.
    Ok(Option<[f64; 4]>, Option<Phase>),
    /// `ERR`, as the outcome of the vote.
    Refused(Outcome),
    /// `* stage`: build, stage, cap and age, and the phase.
    Stage([f64; 4], Phase),
    /// `* tally`: build, class, and attempts, failures, mean latency and age.
    Tally(u32, String, [f64; 4]),
    /// `* flag`: node, class and age.
    WrongAnswer(String, String, f64),
    /// A line that begins with `*` and a word that this version does not know.
    UnknownNotification,
    /// Anything else.
    Malformed,
}

fn numbers<const N: usize>(words: &[&str]) -> Option<[f64; N]> {
    let mut out = [0.0; N];
    for (slot, word) in out.iter_mut().zip(words) {
        *slot = word.parse::<f64>().ok().filter(|value| value.is_finite() && *value >= 0.0)?;
    }
    (words.len() >= N).then_some(out)
}

fn parse_stage(words: &[&str]) -> Option<([f64; 4], Phase)> {
    let [build, stage, word, cap, age] = words else { return None };
    Some((numbers::<4>(&[build, stage, cap, age])?, phase(word)?))
}

fn parse_words(words: &[&str]) -> Option<PlatformLine> {
    Some(match words {
        ["*"] => PlatformLine::KeepAlive,
        ["OK"] => PlatformLine::Ok(None, None),
        ["OK", rest @ ..] => {
            let (state, phase) = parse_stage(rest)?;
            PlatformLine::Ok(Some(state), Some(phase))
        }
        ["ERR", word, ..] => PlatformLine::Refused(match *word {
            "BUSY" => Outcome::Rejected,
            "STALE" => Outcome::NotSent,
            "FAILED" => Outcome::Error,
            "SYNTAX" => Outcome::NotSent,
            _ => return None,
        }),
        ["*", "stage", rest @ ..] => {
            let (state, phase) = parse_stage(rest)?;
            PlatformLine::Stage(state, phase)
        }
        ["*", "tally", build, class, rest @ ..] => {
            let [build] = numbers::<1>(&[build])?;
            PlatformLine::Tally(build as u32, (*class).to_string(), numbers::<4>(rest)?)
        }
        ["*", "flag", node, class, age] => {
            let [age] = numbers::<1>(&[age])?;
            PlatformLine::WrongAnswer((*node).to_string(), (*class).to_string(), age)
        }
        // A word that this version knows with fields that cannot be parsed, or no valid word: malformed.
        ["*", "tally" | "flag", ..] => return None,
        ["*", word, ..] if word.bytes().all(|b| b.is_ascii_lowercase()) => PlatformLine::UnknownNotification,
        _ => return None,
    })
}

/// Parses a line from the platform, without its line end.
pub fn parse_platform_line(text: &str) -> PlatformLine {
    let words: Vec<&str> = text.split(' ').filter(|word| !word.is_empty()).collect();
    parse_words(&words).unwrap_or(PlatformLine::Malformed)
}

/// Converts the platform's stage of the newest build to the module's report.
pub fn stage_report([build, stage, cap, age]: [f64; 4], phase: Phase, answers_vote: bool) -> StageReport {
    use milletwing_decision::interface::Build;
    let (build, stage) = (Build(build as u32), stage as u32);
    StageReport { answers_vote, outcome: Outcome::Ok, build, stage, phase, cap, age: Ms(age) }
}
