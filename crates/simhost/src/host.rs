//! Hosting: batches in, replies out, one marshal per instance and nothing shared among them.

use crate::codec::{bad, write_action, Bad, Line, Problem};
use milletwing_decision::interface::{
    Build, ClassId, Event, FleetUpdateKind, Key, LoadReport, MachineKindId, Ms, NodeEntry, NodeId, NodeState,
    Outcome, Phase, RequestId, StageReport, TenantId, ZoneId,
};
use milletwing_decision::Marshal;
use milletwing_profile::{self as profile, index_of, Names};
use std::collections::BTreeMap;
use std::fmt::Write;
use std::sync::Arc;

/// A line of a `PAGE`, in the wire's own names.
#[derive(Clone, Debug)]
struct Row {
    node: String,
    zone: String,
    kind: String,
    cell: u32,
    state: NodeState,
    weight: f64,
    build: u32,
    started: f64,
}

struct Instance {
    marshal: Marshal,
    names: Names,
}

/// The wire's state between lines.
#[derive(Default)]
pub struct Host {
    instances: BTreeMap<u64, Instance>,
    pages: BTreeMap<u32, Vec<Row>>,
    round: Option<String>,
    open: bool,
    clock: Ms,
    line: usize,
    current: Option<u64>,
    rows_due: usize,
    page: u32,
    reply: String,
    reply_for: Option<u64>,
    actions: Vec<milletwing_decision::interface::Action>,
}

impl Host {
    /// The input has ended.
    pub fn end(&self) -> Result<(), Problem> {
        if self.open {
            return Err(
                self.problem(Bad { field: "COMMIT".into(), what: "input ends within the batch".into() })
            );
        }
        Ok(())
    }

    /// Takes one line; a batch's last line brings the reply.
    pub fn line(&mut self, raw: &[u8]) -> Result<Option<String>, Problem> {
        self.line += 1;
        let Some(raw) = raw.strip_suffix(b"\n") else {
            return Err(
                self.problem(Bad { field: "line end".into(), what: "input ends within a line".into() })
            );
        };
        let Ok(text) = std::str::from_utf8(raw.strip_suffix(b"\r").unwrap_or(raw)) else {
            return Err(self.problem(Bad { field: "text".into(), what: "not UTF-8".into() }));
        };
        self.take(Line::new(text)).map_err(|bad| self.problem(bad))
    }

    fn problem(&self, bad: Bad) -> Problem {
        Problem { batch: self.round.clone(), line: self.line, field: bad.field, what: bad.what }
    }

    fn take(&mut self, line: Line<'_>) -> Result<Option<String>, Bad> {
        if self.rows_due > 0 {
            return self.row(line).map(|()| None);
        }
        match line.name {
            "CLOCK" => {
                if self.open {
                    return bad("CLOCK", "a batch is open already");
                }
                self.line = 1;
                self.round = Some(line.text("round")?.to_string());
                self.clock = line.ms("clock-ms")?;
                self.open = true;
                self.current = None;
                self.reply_for = None;
                self.reply.clear();
            }
            "" if !self.open => {}
            _ if !self.open => return bad(line.name, "stands outside a batch"),
            "COMMIT" => {
                self.open = false;
                let round = self.round.as_deref().unwrap_or("");
                writeln!(self.reply, "EOR\tround={round}").unwrap_or_default();
                return Ok(Some(std::mem::take(&mut self.reply)));
            }
            "SWITCH_TO" => self.current = Some(line.whole("marshal-id")?),
            "PAGE" => {
                self.page = line.small("slot")?;
                self.rows_due = line.small("members")? as usize;
                self.pages.insert(self.page, Vec::new());
            }
            "ROW" => return bad("ROW", "stands outside a PAGE"),
            "SPAWN" => {
                let salt = line.whole("salt")?;
                let text = line.tail("profile-data")?;
                let (settings, names, _) = profile::parse_settings(text)
                    .or_else(|problem| bad("profile-data", problem.replace('\n', " ")))?;
                let current = self.named()?;
                let marshal = Marshal::new(settings, salt);
                self.instances.insert(current, Instance { marshal, names });
                self.deliver(current, Event::Start);
            }
            "KILLED" => {
                let current = self.named()?;
                self.instances.remove(&current);
            }
            "FLEET" | "INBOUND" | "CLIENT_GONE" | "CHECK_RESULT" | "STARTED" | "PROMOTION" | "SCORECARD"
            | "COMPLETED" | "REMINDER" | "COMPLAINT" | "WHISPER" => {
                let current = self.named()?;
                let Some(instance) = self.instances.get_mut(&current) else {
                    return bad("marshal-id", "no such instance is running");
                };
                let event = event(line, &mut instance.names, &self.pages)?;
                self.deliver(current, event);
            }
            _ => {}
        }
        Ok(None)
    }

    fn named(&self) -> Result<u64, Bad> {
        self.current.map_or_else(|| bad("marshal-id", "no SWITCH_TO before this event"), Ok)
    }

    fn row(&mut self, line: Line<'_>) -> Result<(), Bad> {
        if line.name != "ROW" {
            return bad("members", "fewer ROW lines than stated");
        }
        self.rows_due -= 1;
        let row = Row {
            node: line.text("node")?.to_string(),
            zone: line.text("hall")?.to_string(),
            kind: line.get("machine").unwrap_or("").to_string(),
            cell: line.number_if("cluster")?.unwrap_or(0.0) as u32,
            state: match line.text("state")? {
                "in_service" => NodeState::InService,
                "terminating" => NodeState::Terminating,
                "terminated" => NodeState::Terminated,
                _ => return bad("state", "no such state"),
            },
            weight: line.number_if("capacity-hint")?.unwrap_or(1.0),
            build: line.number("release")? as u32,
            started: line.number_if("last-start-ms")?.unwrap_or(0.0),
        };
        self.pages.entry(self.page).or_default().push(row);
        Ok(())
    }

    fn deliver(&mut self, to: u64, event: Event) {
        let Some(instance) = self.instances.get_mut(&to) else { return };
        instance.marshal.handle(self.clock, event, &mut self.actions);
        if !self.actions.is_empty() && self.reply_for != Some(to) {
            writeln!(self.reply, "INSTANCE\tmarshal-id={to}").unwrap_or_default();
            self.reply_for = Some(to);
        }
        for action in self.actions.drain(..) {
            write_action(&mut self.reply, &action);
        }
    }
}

fn add(list: &mut Vec<String>, name: &str) -> u32 {
    index_of(list, name).unwrap_or_else(|| {
        list.push(name.to_string());
        list.len() as u32 - 1
    })
}

fn load(line: Line<'_>) -> Option<LoadReport> {
    let mut report = LoadReport::default();
    for pair in line.get("metrics")?.split(',') {
        let Some((name, value)) = pair.split_once(':') else { continue };
        let value = value.parse::<f64>().ok().filter(|v| v.is_finite());
        match name {
            "busy_reqs" => report.inflight = value,
            "pending" => report.queued = value,
            "cpu_share" => report.cpu_utilization = value,
            _ => {}
        }
    }
    Some(report)
}

fn event(line: Line<'_>, names: &mut Names, pages: &BTreeMap<u32, Vec<Row>>) -> Result<Event, Bad> {
    let request = || line.text("txn").map(|id| RequestId(Arc::from(id)));
    let node = || line.text("node").map(|id| NodeId(Arc::from(id)));
    let class = |names: &Names| match index_of(&names.classes, line.text("service")?) {
        Some(at) => Ok(ClassId(at as usize)),
        None => bad("service", "no such class"),
    };
    Ok(match line.name {
        "FLEET" => {
            let form = match line.text("form")? {
                "update" => FleetUpdateKind::Update,
                "replace" => FleetUpdateKind::Replace,
                "restored" => FleetUpdateKind::Restored,
                "unavailable" => return Ok(Event::FleetUpdate(FleetUpdateKind::Unavailable, Vec::new())),
                _ => return bad("form", "no such form"),
            };
            let Some(rows) = pages.get(&line.small("slot")?) else { return bad("slot", "no such PAGE") };
            let entry = |row: &Row| NodeEntry {
                node: NodeId(Arc::from(row.node.as_str())),
                zone: ZoneId(add(&mut names.zones, &row.zone)),
                machine_kind: MachineKindId(add(&mut names.machine_kinds, &row.kind)),
                cell: row.cell,
                state: row.state,
                weight: row.weight,
                build: Build(row.build),
                started: (row.started > 0.0).then_some(Ms(row.started)),
            };
            Event::FleetUpdate(form, rows.iter().map(entry).collect())
        }
        "INBOUND" => Event::Request {
            id: request()?,
            class: class(names)?,
            key: line.get("entity").filter(|key| !key.is_empty()).map(|key| Key(Arc::from(key))),
            tenant: line
                .get("realm")
                .and_then(|name| index_of(&names.tenants, name))
                .map(|at| TenantId(at as usize)),
            expires_in: line.ms("expires-in-ms")?,
            work_hint: line.number_if("size-hint-ms")?.map(Ms),
            is_retry: line.flag("is-retry")?,
        },
        "CLIENT_GONE" => Event::ClientGone(request()?),
        "STARTED" => Event::StreamStarted(request()?, line.small("copy")?),
        "COMPLETED" => Event::Completed {
            id: request()?,
            attempt: line.small("copy")?,
            node: node()?,
            outcome: line.verdict("verdict")?,
            latency: line.ms("latency-ms")?,
            is_final: line.flag("settled")?,
            load: load(line),
        },
        "CHECK_RESULT" => {
            Event::ProbeCompleted(node()?, line.verdict("verdict")?, line.ms("latency-ms")?, load(line))
        }
        "PROMOTION" => {
            let verdict = line.verdict("verdict")?;
            // A vote that failed brings no state; its fields are not needed then.
            let needed = |field: &str| match line.number_if(field)? {
                None if verdict == Outcome::Ok => bad(field, "missing"),
                value => Ok(value.unwrap_or(0.0)),
            };
            Event::StageReport(StageReport {
                answers_vote: line.number_if("mark")? == Some(1.0),
                outcome: verdict,
                build: Build(needed("build-no")? as u32),
                stage: needed("stage")? as u32,
                phase: match needed("progress")? as u32 {
                    0 => Phase::Trial,
                    1 => Phase::Reverting,
                    2 => Phase::Released,
                    3 => Phase::Withdrawn,
                    _ => return bad("progress", "no such phase"),
                },
                cap: needed("limit-share")?,
                age: Ms(line.number_if("lateness-ms")?.unwrap_or(0.0)),
            })
        }
        "SCORECARD" => Event::Metrics {
            age: line.ms("lateness-ms")?,
            class: class(names)?,
            build: Build(line.small("build-no")?),
            attempts: line.number("attempts")?,
            failed: line.number("failed")?,
            latency: Ms(line.number_if("latency-ms")?.unwrap_or(0.0)),
        },
        "COMPLAINT" => Event::WrongAnswer {
            node: node()?,
            class: class(names)?,
            age: Ms(line.number_if("lateness-ms")?.unwrap_or(0.0)),
        },
        "WHISPER" => {
            use base64::{engine::general_purpose::STANDARD, Engine};
            let data = match line.text("data")? {
                "-" => Vec::new(),
                data => STANDARD.decode(data).or_else(|_| bad("data", "not base64"))?,
            };
            Event::PeerMessage(line.small("neighbour")?, data)
        }
        _ => Event::Timer(line.text("key-back")?.to_string()),
    })
}
