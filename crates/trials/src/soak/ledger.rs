//! What clients, marshals and operators saw, and what must follow from it.

use super::processes::{EVACUATION_S, GRACE_S};
use serde::Serialize;
use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::atomic::{AtomicU64, Ordering::SeqCst};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::sync::Notify;

/// A life of an edge: its host, and which start of it.
pub type Life = (u32, u64);

/// A rule that did not hold.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Broken {
    /// Its name, as the users' page has it.
    pub rule: &'static str,
    /// What was seen, with the ids to follow it by.
    pub what: String,
}

/// A run of a request at a marshal.
#[derive(Clone, Debug)]
pub struct Run {
    /// The marshal's life.
    pub marshal: String,
    /// Where it is.
    pub region: &'static str,
    /// Its zone.
    pub zone: &'static str,
    /// When it began, from the soak's start; set by the ledger.
    pub at: Duration,
    /// Whose request it was told that it is.
    pub subscriber: Option<String>,
    /// It was handed the client's key.
    pub key: bool,
    /// The marshal ended before it had answered.
    pub cut: bool,
}

/// What a client got.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// A whole answer: its status, the seal if there was one, and whether the body is what that marshal gives.
    Answered(u16, Option<String>, bool),
    /// The connection ended before a whole answer.
    Closed,
    /// The connection had ended before a byte of it was sent.
    Unsent,
    /// No answer long after the time that the client had given.
    Silent,
}

/// When a request was under way, from the soak's start; and when its edge was told to end, if it was.
#[derive(Clone, Copy, Debug, Default)]
pub struct Times {
    /// Its client began to send it.
    pub sent: Duration,
    /// Its client had its answer, or its connection's end.
    pub ended: Duration,
    /// Its edge got SIGTERM.
    pub term: Option<Duration>,
}

/// A request.
#[derive(Clone, Debug)]
pub struct Record {
    /// It must not run twice.
    pub order: bool,
    /// Whose key it bears.
    pub tenant: Option<&'static str>,
    /// Regions in which it may run.
    pub homes: &'static [&'static str],
    /// Where it was sent.
    pub edge: Life,
    /// Its runs.
    pub runs: Vec<Run>,
    /// How it ended; nothing yet.
    pub outcome: Option<Outcome>,
    /// When.
    pub times: Times,
}

/// Sums for the report.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Totals {
    /// Requests sent.
    pub requests: u64,
    /// Served.
    pub served: u64,
    /// Refused with the promise that they have not run.
    pub refused: u64,
    /// Connections that ended under them.
    pub closed: u64,
    /// Configurations acknowledged.
    pub configurations: u64,
    /// Invalid ones refused.
    pub invalid: u64,
}

#[derive(Default)]
struct Seen {
    records: HashMap<String, Record>,
    /// Lives of edges that were killed or stood still.
    harmed: HashSet<Life>,
    /// When lives of edges were told to end.
    terms: HashMap<Life, Duration>,
    broken: Vec<Broken>,
    totals: Totals,
    /// The newest configuration that each life of an edge said it routes by.
    revisions: BTreeMap<Life, u64>,
    /// Numbers of configurations that were refused for good.
    refused: HashSet<u64>,
    evacuations: Vec<Evacuation>,
    disturbances: Vec<Disturbance>,
}

/// An evacuation, from its acknowledgement until its end was first ordered.
struct Evacuation {
    zone: &'static str,
    since: Duration,
    until: Option<Duration>,
}

/// A process was started, ended, killed, stopped or let go on.
struct Disturbance {
    host: u32,
    core: bool,
    at: Duration,
}

/// All that was seen.
pub struct Ledger {
    began: Instant,
    seen: Mutex<Seen>,
    answers: AtomicU64,
    progress: Notify,
}

/// Statuses that promise that a request has not run and never will.
const PROMISES: [u16; 4] = [408, 421, 429, 503];
/// How long a client says that it waits, and how close to that an edge may call a request's time over.
pub const REMAINING: Duration = Duration::from_secs(3);
const CLOSE_TO_THE_END: Duration = Duration::from_millis(100);
/// A request that is sent within so long of its edge's SIGTERM may be broken off in the last sixth of the edge's time to leave; not an
/// order, which can't be sent again: an edge that leaves takes it only where it outlasts the client's time.
const EXCUSED_SENT: Duration = Duration::from_secs(3);
const EXCUSED_FROM: Duration = Duration::from_millis(GRACE_S * 1_000 * 5 / 6);
/// An edge is in touch when neither it nor the core was disturbed for so long.
pub const CONTACT: Duration = Duration::from_secs(5);
/// From the acknowledgement of an evacuation until edges in touch send nothing more into the zone.
pub const EVACUATION: Duration = Duration::from_secs(EVACUATION_S);
/// Things told of one rule at most.
const MOST_TOLD: usize = 5;

impl Default for Ledger {
    fn default() -> Ledger {
        Ledger {
            began: Instant::now(),
            seen: Mutex::default(),
            answers: AtomicU64::default(),
            progress: Notify::default(),
        }
    }
}

impl Ledger {
    fn seen(&self) -> MutexGuard<'_, Seen> {
        self.seen.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// A request is sent now.
    pub fn sent(&self, id: &str, mut record: Record) {
        record.times.sent = self.began.elapsed();
        let seen = &mut *self.seen();
        seen.totals.requests += 1;
        seen.records.insert(id.into(), record);
    }

    /// A marshal begins to run a request.
    pub fn ran(&self, id: &str, mut run: Run) {
        run.at = self.began.elapsed();
        let seen = &mut *self.seen();
        match seen.records.get_mut(id) {
            Some(record) => record.runs.push(run),
            None => seen.broken.push(Broken { rule: "UNASKED", what: format!("{id} at {}", run.marshal) }),
        }
    }

    /// A marshal's life is over: what it was at work on has no answer.
    pub fn cut(&self, marshal: &str, ids: &[String]) {
        let seen = &mut *self.seen();
        for id in ids {
            let runs = seen.records.get_mut(id).into_iter().flat_map(|record| &mut record.runs);
            runs.filter(|run| run.marshal == marshal).for_each(|run| run.cut = true);
        }
    }

    /// A request has ended for its client.
    pub fn ended(&self, id: &str, outcome: Outcome) {
        {
            let seen = &mut *self.seen();
            match &outcome {
                Outcome::Answered(200, ..) => seen.totals.served += 1,
                Outcome::Answered(status, ..) if PROMISES.contains(status) => seen.totals.refused += 1,
                Outcome::Closed => seen.totals.closed += 1,
                _ => {}
            }
            if let Some(record) = seen.records.get_mut(id) {
                record.outcome = Some(outcome);
                record.times.ended = self.began.elapsed();
            }
        }
        self.answers.fetch_add(1, SeqCst);
        self.progress.notify_waiters();
    }

    /// Requests that have ended.
    pub fn answers(&self) -> u64 {
        self.answers.load(SeqCst)
    }

    /// Waits until so many requests have ended.
    pub async fn until(&self, answers: u64) {
        loop {
            let more = self.progress.notified();
            if self.answers() >= answers {
                return;
            }
            more.await;
        }
    }

    /// A life of an edge was killed, or stood still: nothing is asked of it.
    pub fn harmed(&self, life: Life) {
        self.seen().harmed.insert(life);
    }

    /// A life of an edge is told to end.
    pub fn told_to_end(&self, life: Life) {
        let now = self.began.elapsed();
        self.seen().terms.entry(life).or_insert(now);
    }

    /// An evacuation was acknowledged.
    pub fn evacuated(&self, zone: &'static str) {
        let since = self.began.elapsed();
        self.seen().evacuations.push(Evacuation { zone, since, until: None });
    }

    /// The end of a zone's evacuation is about to be ordered.
    pub fn taken_back(&self, zone: &'static str) {
        let now = self.began.elapsed();
        let seen = &mut *self.seen();
        let standing = seen.evacuations.iter_mut().filter(|it| it.zone == zone && it.until.is_none());
        standing.for_each(|it| it.until = Some(now));
    }

    /// Something was done to a process.
    pub fn disturbed(&self, host: u32, core: bool) {
        let at = self.began.elapsed();
        self.seen().disturbances.push(Disturbance { host, core, at });
    }

    /// Something that must hold did not.
    pub fn broken(&self, rule: &'static str, what: String) {
        self.seen().broken.push(Broken { rule, what });
    }

    /// A configuration was acknowledged.
    pub fn acknowledged(&self) {
        self.seen().totals.configurations += 1;
    }

    /// An invalid configuration was refused.
    pub fn refused(&self, revision: u64) {
        let seen = &mut *self.seen();
        seen.totals.invalid += 1;
        seen.refused.insert(revision);
    }

    /// An edge says which configuration it routes by: never an older one within a life, and never one that was refused.
    pub fn routes_by(&self, life: Life, revision: u64) {
        let seen = &mut *self.seen();
        let newest = seen.revisions.entry(life).or_default();
        let what = if revision < *newest {
            Some(format!("edge {life:?} went back from {newest} to {revision}"))
        } else if seen.refused.contains(&revision) {
            Some(format!("edge {life:?} routes by {revision}, which was refused"))
        } else {
            None
        };
        *newest = (*newest).max(revision);
        seen.broken.extend(what.map(|what| Broken { rule: "CONFIG", what }));
    }

    /// Sums so far.
    pub fn totals(&self) -> Totals {
        self.seen().totals
    }

    /// What did not hold, a few of each rule.
    pub fn judge(&self) -> Vec<Broken> {
        let seen = &mut *self.seen();
        let mut broken = std::mem::take(&mut seen.broken);
        for (id, record) in &mut seen.records {
            record.times.term = seen.terms.get(&record.edge).copied();
            let found = record.broken(seen.harmed.contains(&record.edge));
            broken.extend(found.map(|rule| Broken { rule, what: format!("{id}: {record:?}") }));
        }
        let late: Vec<Broken> = seen.runs_in_evacuated_zones().collect();
        broken.extend(late);
        let mut told: BTreeMap<&str, usize> = BTreeMap::new();
        broken.retain(|it| {
            let count = told.entry(it.rule).or_default();
            *count += 1;
            *count <= MOST_TOLD
        });
        broken
    }
}

impl Seen {
    /// Runs that an edge in touch sent into a zone after the bound of its evacuation.
    fn runs_in_evacuated_zones(&self) -> impl Iterator<Item = Broken> + '_ {
        let runs =
            self.records.iter().flat_map(|(id, record)| record.runs.iter().map(move |run| (id, record, run)));
        runs.filter_map(|(id, record, run)| {
            let evacuation = self.evacuations.iter().find(|it| it.covers(run))?;
            let (host, _) = record.edge;
            self.in_touch(host, run.at).then(|| Broken {
                rule: "EVAC",
                what: format!("{id}: {run:?}, evacuated since {:?}", evacuation.since),
            })
        })
    }

    fn in_touch(&self, edge: u32, at: Duration) -> bool {
        let near = |it: &Disturbance| it.at <= at && at < it.at + CONTACT;
        !self.disturbances.iter().any(|it| (it.core || it.host == edge) && near(it))
    }
}

impl Evacuation {
    /// Whether the bound of this evacuation forbids the run.
    fn covers(&self, run: &Run) -> bool {
        self.zone == run.zone
            && run.at > self.since + EVACUATION
            && self.until.is_none_or(|until| run.at < until)
    }
}

impl Record {
    /// The rule that this request's history breaks. `harmed`: its edge was killed or stood still.
    pub fn broken(&self, harmed: bool) -> Option<&'static str> {
        if self.order && self.runs.len() > 1 {
            return Some("TWICE");
        }
        if self.runs.iter().any(|run| run.subscriber.as_deref() != self.tenant || run.key) {
            return Some("UNASKED");
        }
        if self.runs.iter().any(|run| !self.homes.contains(&run.region)) {
            return Some("HOME");
        }
        let ran = !self.runs.is_empty();
        match self.outcome.as_ref()? {
            // The edge's own answer, though its marshal was at work and the time was not over.
            Outcome::Answered(500 | 502 | 504, None, _) if ran && !harmed && self.must_be_answered() => {
                Some("LOST")
            }
            Outcome::Answered(status, seal, whole) => self.broken_answer(*status, seal.as_deref(), *whole),
            // Its marshal was at work, and its edge was neither killed nor stood still.
            Outcome::Closed => (ran && !harmed && self.must_be_answered()).then_some("LOST"),
            Outcome::Unsent => ran.then_some("UNASKED"),
            Outcome::Silent => (!harmed).then_some("LATE"),
        }
    }

    /// Whether its marshal would have answered it: the marshal went on, the client's time was not over, and its edge had not come to the
    /// end of its time to leave with a request that came early in it.
    fn must_be_answered(&self) -> bool {
        let Times { sent, ended, term } = self.times;
        let in_time = ended < sent + REMAINING - CLOSE_TO_THE_END;
        let excused = !self.order
            && term.is_some_and(|term| sent <= term + EXCUSED_SENT && ended >= term + EXCUSED_FROM);
        in_time && !excused && !self.runs.iter().any(|run| run.cut)
    }

    fn broken_answer(&self, status: u16, seal: Option<&str>, whole: bool) -> Option<&'static str> {
        if PROMISES.contains(&status) {
            return (!self.runs.is_empty()).then_some("REFUSED");
        }
        match status {
            200 => {
                let own = self.runs.iter().any(|run| seal == Some(run.marshal.as_str()));
                (!own || !whole).then_some("MIXED")
            }
            300..=499 => Some("DENIED"),
            _ => None,
        }
    }
}
