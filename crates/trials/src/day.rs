//! Plays a planned day with the real programs on loopback: roll-outs of good and bad versions, changes of
//! the configuration, evacuations, and processes that are killed or stopped. The judge looks only at what
//! callers, marshals and the operator saw.

mod callers;
mod draw;
mod events;
mod judge;
mod marshals;
mod observations;
mod plan;

pub use judge::{judge, Bounds, Violation, DUTY};
pub use observations::{Arrival, Disturbance, EvacuationRecord, Observations, RolloutEnd, RolloutRecord};
pub use plan::{ClassPlan, Event, EventKind, HowBad, Plan, RouteShare, ServicePlan};

use crate::soak::{Ledger, Options as SiteOptions, Site};
use observations::Recorder;
use serde::Serialize;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

/// How long the processes may take until all edges are ready.
const START_LIMIT: Duration = Duration::from_secs(60);
/// How long traffic flows before the plan's time begins.
const LEAD_TIME: Duration = Duration::from_secs(4);

/// What to play, and with which programs.
#[derive(Clone, Debug)]
pub struct Options {
    /// The program of the system.
    pub program: PathBuf,
    /// Seed of arrivals and of marshals' answers.
    pub seed: u64,
    /// The plan.
    pub plan: Plan,
    /// Keep the logs of the processes.
    pub keep_logs: bool,
}

/// How a roll-out went.
#[derive(Debug, Serialize)]
pub struct RolloutSummary {
    /// Its service.
    pub service: String,
    /// Whether its version is bad.
    pub bad: bool,
    /// Its end as the operator read it.
    pub end: RolloutEnd,
    /// Seconds from the order to that end.
    pub end_s: Option<f64>,
    /// Requests that reached the version by the term, from edges in touch.
    pub exposed: usize,
    /// Requests that reached the service by the term.
    pub requests: usize,
    /// Bad answers that the version gave in all.
    pub bad_answers: usize,
}

/// What was seen.
#[derive(Debug, Serialize)]
pub struct Report {
    /// The seed.
    pub seed: u64,
    /// Requests that callers sent.
    pub requests: usize,
    /// Requests that were answered with success.
    pub served: usize,
    /// Each roll-out.
    pub rollouts: Vec<RolloutSummary>,
    /// Rules that were broken and duties that were missed.
    pub violations: Vec<Violation>,
    /// Where the logs are, if they were kept.
    pub logs: Option<PathBuf>,
}

/// Plays a day. Errors: the processes could not be started.
pub fn run(options: &Options) -> Result<Report, String> {
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build();
    runtime.map_err(|problem| problem.to_string())?.block_on(play(options))
}

async fn play(options: &Options) -> Result<Report, String> {
    let plan = &options.plan;
    let site_options = SiteOptions {
        program: options.program.clone(),
        seed: options.seed,
        core: plan.core,
        edges: plan.edges,
        marshals: 0,
        clients: 0,
        events: 0,
    };
    let bounds = Bounds::default();
    let site = Site::new(&site_options, Arc::new(Ledger::default()))?.with_guarantees(bounds.settings());
    let site = Arc::new(site);
    site.start_all()?;
    let recorder = Arc::new(Recorder::default());
    let fleet = Arc::new(marshals::Fleet::new(Arc::clone(&site), Arc::clone(&recorder), plan, options.seed));
    fleet.start_all().await?;
    let operator = Arc::new(events::Operator::new(Arc::clone(&site), Arc::clone(&recorder), plan.clone()));
    operator.configure_first().await?;
    site.serving(plan.edges, START_LIMIT).await?;
    let callers = callers::start(&site, &recorder, plan, options.seed);
    tokio::time::sleep(LEAD_TIME).await;
    events::play(&site, &recorder, &fleet, &operator, plan).await;
    callers.stop().await;
    let observations = recorder.take();
    let logs = site.end(!options.keep_logs);
    Ok(summarize(options.seed, &observations, &bounds, logs))
}

fn summarize(seed: u64, observations: &Observations, bounds: &Bounds, logs: Option<PathBuf>) -> Report {
    let rollouts = observations.rollouts.iter().map(|rollout| {
        let exposure = judge::exposure_by_term(observations, rollout, bounds);
        RolloutSummary {
            service: rollout.service.clone(),
            bad: rollout.bad,
            end: rollout.end,
            end_s: rollout.ended_at.map(|at| (at - rollout.ordered_at).as_secs_f64()),
            exposed: exposure.exposed,
            requests: exposure.requests,
            bad_answers: observations.arrivals_of(rollout).filter(|arrival| arrival.bad).count(),
        }
    });
    Report {
        seed,
        requests: observations.requests,
        served: observations.served,
        rollouts: rollouts.collect(),
        violations: judge(observations, bounds),
        logs,
    }
}
