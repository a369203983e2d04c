//! The users' names and forms on the sockets. Another site's names would change this file alone.

use milletwing_decision::interface::{Ms, NodeState, Outcome, Phase, StageReport, Vote};
use std::time::Duration;

/// A request's id.
pub const REQUEST_ID_HEADER: &str = "X-Txn";
/// Its class.
pub const CLASS_HEADER: &str = "X-Lane";
/// Its tenant.
pub const TENANT_HEADER: &str = "X-Org";
/// The cookie that tells what it is about.
pub const KEY_COOKIE: &str = "user";
/// How long its sender waits.
pub const REMAINING_HEADER: &str = "X-Remaining";
/// Marks a client's repetition.
pub const RETRY_HEADER: &str = "X-Resent";
/// Further figures.
pub const LABELS_HEADER: &str = "X-Labels";
/// Among them: the anticipated work, named as on the simulator's wire.
pub const WORK_HINT_LABEL: &str = "size-hint-ms";
/// A node's word that the request was turned away unseen.
pub const TURNED_AWAY_HEADER: &str = "X-Turned-Away";
/// Where the front asks whether we serve.
pub const READINESS_PATH: &str = "/up";
/// Discovery's list.
pub const NODE_LIST_PATH: &str = "/discovery/hosts";
/// The query of a watch: the version held, and the wait in milliseconds.
pub const WATCH_PARAMETERS: [&str; 2] = ["index", "wait"];

/// A time as `X-Remaining` words it.
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

/// The line that tells a node how long we wait.
pub fn remaining_header_line(left: Duration) -> String {
    format!("{REMAINING_HEADER}: {}u\r\n", left.as_micros())
}

/// A cookie's value.
pub fn cookie<'a>(header: &'a str, name: &str) -> Option<&'a str> {
    header.split(';').find_map(|pair| pair.trim().strip_prefix(name)?.strip_prefix('='))
}

/// A label's value.
pub fn label(header: &str, name: &str) -> Option<f64> {
    let pair = header.split(',').find_map(|pair| pair.trim().strip_prefix(name)?.strip_prefix('='));
    pair?.parse::<f64>().ok().filter(|value| value.is_finite())
}

/// How a time to come back is told.
pub fn retry_after(wait: Ms) -> String {
    format!("Retry-After: {:.3}\r\n", wait.0.max(0.0) / 1000.0)
}

/// Discovery's word for a state.
pub fn node_state(word: &str) -> Option<NodeState> {
    match word {
        "active" => Some(NodeState::InService),
        "leaving" => Some(NodeState::Terminating),
        "left" => Some(NodeState::Terminated),
        _ => None,
    }
}

/// The platform's word for a phase.
pub fn phase(word: &str) -> Option<Phase> {
    match word {
        "testing" => Some(Phase::Trial),
        "recalling" => Some(Phase::Reverting),
        "live" => Some(Phase::Released),
        "recalled" => Some(Phase::Withdrawn),
        _ => None,
    }
}

/// The call that asks the platform to tell.
pub const SUBSCRIBE_COMMAND: &str = "SUB\r\n";

/// The call that casts a vote.
pub fn vote_command(build: u32, stage: u32, vote: Vote) -> String {
    let word = match vote {
        Vote::None => "abstain",
        Vote::Advance => "promote",
        Vote::Hold => "pause",
        Vote::Revert => "abort",
    };
    format!("SAY {build} {stage} {word}\r\n")
}

/// A line of the platform.
#[derive(Debug, PartialEq)]
pub enum PlatformLine {
    /// A sign of life.
    KeepAlive,
    /// `OK`, perhaps with the state that follows it.
    Ok(Option<[f64; 4]>, Option<Phase>),
    /// `ERR` and what it means for a vote.
    Refused(Outcome),
    /// `* stage`.
    Stage([f64; 4], Phase),
    /// `* tally`: build, class, attempts, failed, mean time, age.
    Tally(u32, String, [f64; 4]),
    /// `* flag`: node, class, age.
    WrongAnswer(String, String, f64),
    /// A line that begins with `*` and goes on with a word that this version doesn't know.
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
        // Words that this version knows, with fields that can't be read, or no words at all: spoilt.
        ["*", "tally" | "flag", ..] => return None,
        ["*", word, ..] if word.bytes().all(|b| b.is_ascii_lowercase()) => PlatformLine::UnknownNotification,
        _ => return None,
    })
}

/// Reads a line of the platform, without its end.
pub fn parse_platform_line(text: &str) -> PlatformLine {
    let words: Vec<&str> = text.split(' ').filter(|word| !word.is_empty()).collect();
    parse_words(&words).unwrap_or(PlatformLine::Malformed)
}

/// The platform's state of the newest build as the module takes it.
pub fn stage_report([build, stage, cap, age]: [f64; 4], phase: Phase, answers_vote: bool) -> StageReport {
    use milletwing_decision::interface::Build;
    let (build, stage) = (Build(build as u32), stage as u32);
    StageReport { answers_vote, outcome: Outcome::Ok, build, stage, phase, cap, age: Ms(age) }
}
