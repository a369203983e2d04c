//! Lines of the wire: taking them apart, and writing actions.

use milletwing_decision::interface::{Action, Ms, Outcome, Vote};
use std::fmt::{self, Write};

/// What is wrong with the input, and where.
#[derive(Debug, PartialEq)]
pub struct Problem {
    /// The batch's number; `None` before the first.
    pub batch: Option<String>,
    /// The line within the batch, from 1.
    pub line: usize,
    /// The field, or what stands in its place.
    pub field: String,
    /// What is wrong with it.
    pub what: String,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let batch = self.batch.as_deref().unwrap_or("none");
        write!(f, "batch {batch} line {} field {}: {}", self.line, self.field, self.what)
    }
}

/// A field's trouble, before its place is known.
#[derive(Debug, PartialEq)]
pub struct Bad {
    /// The field.
    pub field: String,
    /// What is wrong.
    pub what: String,
}

/// Makes a `Bad`.
pub fn bad<T>(field: &str, what: impl Into<String>) -> Result<T, Bad> {
    Err(Bad { field: field.to_string(), what: what.into() })
}

/// One line, by name and fields.
#[derive(Clone, Copy, Debug)]
pub struct Line<'a> {
    /// The message's name.
    pub name: &'a str,
    rest: &'a str,
}

impl<'a> Line<'a> {
    /// Takes a line apart.
    pub fn new(text: &'a str) -> Line<'a> {
        let (name, rest) = text.split_once('\t').unwrap_or((text, ""));
        Line { name, rest }
    }
    /// A field's value, if it is there.
    pub fn get(&self, field: &str) -> Option<&'a str> {
        self.rest.split('\t').find_map(|part| part.strip_prefix(field)?.strip_prefix('='))
    }
    /// A field whose text runs to the end of the line.
    pub fn tail(&self, field: &str) -> Result<&'a str, Bad> {
        let mut rest = self.rest;
        loop {
            if let Some(value) = rest.strip_prefix(field).and_then(|r| r.strip_prefix('=')) {
                return Ok(value);
            }
            match rest.split_once('\t') {
                Some((_, next)) => rest = next,
                None => return bad(field, "missing"),
            }
        }
    }
    /// A needed text.
    pub fn text(&self, field: &str) -> Result<&'a str, Bad> {
        match self.get(field) {
            Some("") => bad(field, "empty"),
            Some(value) => Ok(value),
            None => bad(field, "missing"),
        }
    }
    /// A needed number.
    pub fn number(&self, field: &str) -> Result<f64, Bad> {
        self.number_if(field)?.map_or_else(|| bad(field, "missing"), Ok)
    }
    /// A number, if it is there.
    pub fn number_if(&self, field: &str) -> Result<Option<f64>, Bad> {
        match self.get(field) {
            None => Ok(None),
            Some(value) => match value.parse::<f64>() {
                Ok(number) if number.is_finite() => Ok(Some(number)),
                _ => bad(field, "not a number"),
            },
        }
    }
    /// A needed time.
    pub fn ms(&self, field: &str) -> Result<Ms, Bad> {
        self.number(field).map(Ms)
    }
    /// A needed whole number.
    pub fn whole(&self, field: &str) -> Result<u64, Bad> {
        match self.text(field)?.parse::<u64>() {
            Ok(number) => Ok(number),
            Err(_) => bad(field, "not a whole number"),
        }
    }
    /// A needed whole number below 2^32.
    pub fn small(&self, field: &str) -> Result<u32, Bad> {
        u32::try_from(self.whole(field)?).or_else(|_| bad(field, "too large"))
    }
    /// A truth value; absent is false.
    pub fn flag(&self, field: &str) -> Result<bool, Bad> {
        match self.get(field) {
            None | Some("0") => Ok(false),
            Some("1") => Ok(true),
            Some(_) => bad(field, "neither 0 nor 1"),
        }
    }
    /// A needed outcome.
    pub fn verdict(&self, field: &str) -> Result<Outcome, Bad> {
        Ok(match self.whole(field)? {
            0 => Outcome::Ok,
            13 => Outcome::Error,
            8 => Outcome::Rejected,
            4 => Outcome::Timeout,
            14 => Outcome::ConnectFailed,
            10 => Outcome::Reset,
            1 => Outcome::Cancelled,
            9 => Outcome::NotSent,
            _ => return bad(field, "no such outcome"),
        })
    }
}

/// Writes one action as a line.
pub fn write_action(out: &mut String, action: &Action) {
    use base64::{engine::general_purpose::STANDARD, Engine};
    let done = match action {
        Action::Attempt { id, node, timeout: None } => {
            writeln!(out, "ATTEMPT\ttxn={}\tnode={}", id.0, node.0)
        }
        Action::Attempt { id, node, timeout: Some(Ms(ms)) } => {
            writeln!(out, "ATTEMPT\ttxn={}\tgive-up-after-ms={ms}\tnode={}", id.0, node.0)
        }
        Action::Refuse(id, None) => writeln!(out, "OVERLOAD_REPLY\ttxn={}", id.0),
        Action::Refuse(id, Some(Ms(ms))) => writeln!(out, "OVERLOAD_REPLY\ttxn={}\tretry-in-ms={ms}", id.0),
        Action::Fail(id) => writeln!(out, "ABORT\ttxn={}", id.0),
        Action::Cancel(id, copy) => writeln!(out, "RECALL\ttxn={}\tcopy={copy}", id.0),
        Action::CastVote { build, stage, vote } => {
            let mark = match vote {
                Vote::None => 0,
                Vote::Advance => 1,
                Vote::Hold => 2,
                Vote::Revert => 3,
            };
            writeln!(out, "VERDICT\tstage={stage}\tmark={mark}\tbuild-no={}", build.0)
        }
        Action::Subscribe => writeln!(out, "TAIL\tactive=1"),
        Action::FetchFleet => writeln!(out, "QUERY_ALL"),
        Action::Probe(node) => writeln!(out, "POLL\tnode={}", node.0),
        Action::BroadcastToPeers(bytes) => {
            let data = if bytes.is_empty() { "-".to_string() } else { STANDARD.encode(bytes) };
            writeln!(out, "MEMO_TO\ttarget=all\tdata={data}")
        }
        // Instances on the simulator's wire judge alone.
        Action::ShareEvidence(_) | Action::ProposeDecision { .. } => Ok(()),
        Action::SetTimer(key, Ms(ms)) => writeln!(out, "SET_ALARM\tkey-back={key}\tinstant-ms={ms}"),
        Action::Log(text) => writeln!(out, "RECORD\tnote-text={}", text.replace(['\n', '\t'], " ")),
    };
    done.unwrap_or_default();
}
