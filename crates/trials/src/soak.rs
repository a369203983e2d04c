//! The real programs of the system on loopback, in series of overlapping signals, restarts and changes that a seed draws, while
//! clients keep using their open connections until the process at the other end is gone. What clients, marshals and
//! operators saw is judged when all is calm again.

mod calls;
mod clients;
mod ledger;
mod marshals;
mod operator;
mod orders;
mod processes;
mod schedule;

pub(crate) use calls::{call, call_patiently};
pub(crate) use ledger::Ledger;
pub use ledger::{Broken, Outcome, Record, Run, Times, Totals, REMAINING};
pub(crate) use processes::{Site, CONTROL, INGRESS};

use crate::measure;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use serde::Serialize;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

/// What to play.
#[derive(Clone, Debug)]
pub struct Options {
    /// The program of the system.
    pub program: PathBuf,
    /// Draws everything.
    pub seed: u64,
    /// Machines of the core.
    pub core: u32,
    /// Edges.
    pub edges: u32,
    /// Marshals that are stood in for.
    pub marshals: u32,
    /// Connections that clients keep at once.
    pub clients: u32,
    /// Things that happen before all is left alone.
    pub events: u32,
}

/// What became of it.
#[derive(Debug, Serialize)]
pub struct Report {
    /// The seed, to play it again.
    pub seed: u64,
    /// Sums.
    #[serde(flatten)]
    pub totals: Totals,
    /// What happened, by its name.
    pub events: std::collections::BTreeMap<String, u64>,
    /// Processes started.
    pub starts: u64,
    /// Resident memory of all processes together at their end, in megabytes.
    pub resident_mb: u64,
    /// What must hold and did not; nothing where all held.
    pub broken: Vec<Broken>,
    /// Where logs were left, where something is broken.
    pub logs: Option<PathBuf>,
}

/// How long the calm system may take until it serves by the newest configuration everywhere.
const CALM: Duration = Duration::from_secs(60);

/// Plays one seed. Errors: the place could not be set up.
pub fn run(options: &Options) -> Result<Report, String> {
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build();
    let runtime = runtime.map_err(|problem| problem.to_string())?;
    runtime.block_on(play(options))
}

async fn play(options: &Options) -> Result<Report, String> {
    let mut dice = Pcg64Mcg::seed_from_u64(options.seed);
    let ledger = Arc::new(Ledger::default());
    let site = Arc::new(Site::new(options, Arc::clone(&ledger))?);
    site.start_all()?;
    let tending = tokio::spawn(schedule::tend(Arc::clone(&site)));
    let marshals = marshals::Fleet::start(&site, &ledger, options.marshals, &mut dice).await?;
    let operator = operator::Operator::start(&site, &ledger, options.seed).await?;
    site.serving(options.edges, CALM).await?;
    let clients = clients::start(&site, &ledger, options);
    let operators = orders::Operators::start(&site, &ledger, options.seed);
    let events = schedule::play(&site, &ledger, &marshals, options, &mut dice).await;
    site.calm();
    let newest = operator.finish().await;
    site.all_at(newest, CALM).await;
    operators.finish(&ledger).await;
    clients.stop().await;
    marshals.stop().await;
    let resident_mb = site.resident_mb();
    tending.abort();
    let broken = ledger.judge();
    let logs = site.end(broken.is_empty());
    Ok(Report {
        seed: options.seed,
        totals: ledger.totals(),
        events,
        starts: site.starts(),
        resident_mb,
        broken,
        logs,
    })
}

/// Half of the machine's memory in megabytes: what all processes together may take.
pub fn memory_bound_mb() -> u64 {
    measure::total_memory_mb() / 2
}
