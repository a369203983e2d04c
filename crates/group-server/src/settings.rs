//! The operator's file: JSON5, every field checked, errors naming the field and its line.

use milletwing_admin::field_line_number;
use milletwing_group::MemberId;
use serde::Deserialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Where the group's record is kept.
#[derive(Clone, Debug, PartialEq)]
pub enum Keep {
    /// In a file that lasts.
    File(PathBuf),
    /// In memory: at each start this instance is a new one, and must be added under a new number.
    Memory,
}

/// What an instance of a group is told.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The group's name; peers of another one are turned away.
    pub group: String,
    /// This instance's number.
    pub member: MemberId,
    /// Where peers connect.
    pub listen: SocketAddr,
    /// Where operators' calls are taken: loopback only.
    pub admin: SocketAddr,
    /// The group's secret.
    pub secret: Vec<u8>,
    /// Where the record is kept.
    pub store: Keep,
    /// Members known from the start: those that found the group, and whom a newcomer answers.
    pub members: BTreeMap<MemberId, String>,
    /// Addresses that stand in for members' own, as seen from here.
    pub routes: BTreeMap<MemberId, String>,
    /// Milliseconds of a tick.
    pub tick_ms: u64,
    /// Ticks without a leader before an election, at least.
    pub election_ticks: usize,
    /// Ticks between heartbeats.
    pub heartbeat_ticks: usize,
    /// How much any member's clock may run too fast or too slow, as a part.
    pub clock_drift: f64,
    /// Life of a grant.
    pub grant_ms: u64,
    /// Time between reports of evidence.
    pub report_ms: u64,
    /// Entries after which a snapshot is taken.
    pub snapshot_every: u64,
    /// Frames that may wait for one peer.
    pub queue: usize,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Text {
    group: String,
    member: MemberId,
    listen: String,
    admin: String,
    secret_file: String,
    store: String,
    members: BTreeMap<String, String>,
    #[serde(default)]
    routes: BTreeMap<String, String>,
    #[serde(default = "tick")]
    tick_ms: u64,
    #[serde(default = "election")]
    election_ticks: usize,
    #[serde(default = "heartbeat")]
    heartbeat_ticks: usize,
    #[serde(default = "drift")]
    clock_drift: f64,
    #[serde(default = "grant")]
    grant_ms: u64,
    #[serde(default = "report")]
    report_ms: u64,
    #[serde(default = "snapshots")]
    snapshot_every: u64,
    #[serde(default = "queue")]
    queue: usize,
}

fn tick() -> u64 {
    50
}
fn election() -> usize {
    10
}
fn heartbeat() -> usize {
    2
}
fn drift() -> f64 {
    0.01
}
fn grant() -> u64 {
    3000
}
fn report() -> u64 {
    250
}
fn snapshots() -> u64 {
    1024
}
fn queue() -> usize {
    256
}

impl Settings {
    /// Reads a file, and the secret that it names; relative paths count from the file's folder.
    pub fn from_file(path: &str) -> Result<Settings, String> {
        let text = std::fs::read_to_string(path).map_err(|problem| format!("{path}: {problem}"))?;
        let folder = std::path::Path::new(path).parent().map(PathBuf::from).unwrap_or_default();
        let read = |file: &str| std::fs::read(folder.join(file)).map_err(|problem| problem.to_string());
        let mut settings = Settings::read(&text, read).map_err(|problem| format!("{path}: {problem}"))?;
        if let Keep::File(file) = &mut settings.store {
            *file = folder.join(&*file);
        }
        Ok(settings)
    }

    /// Reads the text; `secret` reads the file that it names.
    pub fn read(text: &str, secret: impl Fn(&str) -> Result<Vec<u8>, String>) -> Result<Settings, String> {
        let raw: Text = json5::from_str(text).map_err(|problem| problem.to_string().replace('\n', " "))?;
        let wrong =
            |field: &str, why: String| format!("line {}: {field}: {why}", field_line_number(text, field));
        let address = |field: &str, word: &str| -> Result<SocketAddr, String> {
            word.parse()
                .map_err(|_| wrong(field, format!("`{}` is no address and port", word.escape_debug())))
        };
        let numbered = |field: &str,
                        list: &BTreeMap<String, String>|
         -> Result<BTreeMap<MemberId, String>, String> {
            let mut out = BTreeMap::new();
            for (number, word) in list {
                let number: MemberId = number.parse().ok().filter(|number| *number > 0).ok_or_else(|| {
                    wrong(field, format!("`{}` is no member's number", number.escape_debug()))
                })?;
                address(field, word)?;
                out.insert(number, word.clone());
            }
            Ok(out)
        };
        let within = |field: &str, value: f64, least: f64, most: f64| {
            let fits = (least..=most).contains(&value);
            fits.then_some(()).ok_or_else(|| wrong(field, format!("{value} is not from {least} to {most}")))
        };
        if raw.group.is_empty() || raw.group.len() > 64 {
            return Err(wrong("group", "a name of 1 to 64 characters is wanted".into()));
        }
        if raw.member == 0 {
            return Err(wrong("member", "numbers begin at 1".into()));
        }
        let admin = address("admin", &raw.admin)?;
        if !admin.ip().is_loopback() {
            return Err(wrong("admin", format!("{admin} is no loopback address")));
        }
        let key = secret(&raw.secret_file).map_err(|why| wrong("secret_file", why))?;
        let key = key.trim_ascii().to_vec();
        if key.len() < 16 {
            return Err(wrong("secret_file", "the secret is shorter than 16 bytes".into()));
        }
        let members = numbered("members", &raw.members)?;
        if members.is_empty() {
            return Err(wrong("members", "at least one is wanted".into()));
        }
        within("tick_ms", raw.tick_ms as f64, 5.0, 5000.0)?;
        within("heartbeat_ticks", raw.heartbeat_ticks as f64, 1.0, 100.0)?;
        within("election_ticks", raw.election_ticks as f64, (raw.heartbeat_ticks * 3) as f64, 1000.0)?;
        within("clock_drift", raw.clock_drift, 0.0, 0.2)?;
        let election = raw.tick_ms * raw.election_ticks as u64;
        within("grant_ms", raw.grant_ms as f64, (election * 2) as f64, 600_000.0)?;
        within("report_ms", raw.report_ms as f64, 20.0, 60_000.0)?;
        within("snapshot_every", raw.snapshot_every as f64, 16.0, 1e6)?;
        within("queue", raw.queue as f64, 16.0, 65_536.0)?;
        Ok(Settings {
            listen: address("listen", &raw.listen)?,
            admin,
            secret: key,
            store: if raw.store == "memory" { Keep::Memory } else { Keep::File(raw.store.into()) },
            routes: numbered("routes", &raw.routes)?,
            members,
            group: raw.group,
            member: raw.member,
            tick_ms: raw.tick_ms,
            election_ticks: raw.election_ticks,
            heartbeat_ticks: raw.heartbeat_ticks,
            clock_drift: raw.clock_drift,
            grant_ms: raw.grant_ms,
            report_ms: raw.report_ms,
            snapshot_every: raw.snapshot_every,
            queue: raw.queue,
        })
    }

    /// What an instance would do with it, for people.
    pub fn summary(&self) -> String {
        let store = match &self.store {
            Keep::File(path) => format!("keeps its record in {}", path.display()),
            Keep::Memory => "keeps its record in memory, and is a new member after each start".into(),
        };
        let election = self.tick_ms * self.election_ticks as u64;
        format!(
            "member {} of group {} would listen for peers at {} and for operators at {}; {store}; {} members known; \
             elections after {election} to {} ms without a leader; grants live {} ms",
            self.member,
            self.group,
            self.listen,
            self.admin,
            self.members.len(),
            2 * election,
            self.grant_ms
        )
    }
}
