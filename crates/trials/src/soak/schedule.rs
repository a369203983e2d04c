//! What happens, as the seed draws it: one thing after the other, mostly before the one before is over.

use super::ledger::Ledger;
use super::marshals::Fleet;
use super::processes::{Role, Site};
use super::Options;
use rand::seq::SliceRandom;
use rand::Rng;
use rand_pcg::Pcg64Mcg;
use rustix::process::Signal;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// Something that happens.
#[derive(Clone, Copy, Debug)]
enum Event {
    TermEdges,
    KillEdges,
    StillEdges,
    HupEdges,
    TermCore,
    KillCore,
    KillWholeCore,
    KillMany,
    ThrottleSome,
    StillCore,
    PauseCore,
    GoOn,
    MarshalLeaves,
    MarshalCrashes,
    SettingsWithoutSignal,
}

const EVENTS: [(Event, u32); 15] = [
    (Event::TermEdges, 8),
    (Event::KillEdges, 3),
    (Event::StillEdges, 2),
    (Event::HupEdges, 4),
    (Event::TermCore, 2),
    (Event::KillCore, 2),
    (Event::KillWholeCore, 1),
    (Event::KillMany, 1),
    (Event::ThrottleSome, 3),
    (Event::StillCore, 2),
    (Event::PauseCore, 8),
    (Event::GoOn, 5),
    (Event::MarshalLeaves, 4),
    (Event::MarshalCrashes, 2),
    (Event::SettingsWithoutSignal, 1),
];

/// Requests that end between two things, for each client at most; and how long is waited for them.
const BETWEEN: u64 = 8;
const WAITS: Duration = Duration::from_millis(900);
/// One in so many things comes at once after the one before.
const AT_ONCE: f64 = 0.35;
/// Part of each role's processes that are killed at once, at most.
const MANY: f64 = 0.7;
/// A quota of a core, as schedulers of control groups have it: what a process runs of each period, and for how many.
const QUOTA: Duration = Duration::from_millis(30);
const QUOTA_PERIOD: Duration = Duration::from_millis(100);
const QUOTA_PERIODS: u32 = 20;
/// Milliseconds for which a core machine is paused: also longer than its callers wait, so that they give newer orders elsewhere.
const PAUSES_MS: std::ops::Range<u64> = 500..6_000;
/// Between two looks at processes that have ended.
const TEND: Duration = Duration::from_millis(25);

/// Plays all. Gives how often each thing happened.
pub async fn play(
    site: &Arc<Site>,
    ledger: &Arc<Ledger>,
    marshals: &Arc<Fleet>,
    options: &Options,
    dice: &mut Pcg64Mcg,
) -> BTreeMap<String, u64> {
    let looking = tokio::spawn(look(Arc::clone(site)));
    let mut counts = BTreeMap::new();
    for _ in 0..options.events {
        let event = draw(dice);
        if happen(event, site, marshals, dice) {
            *counts.entry(format!("{event:?}")).or_default() += 1;
        }
        if !dice.random_bool(AT_ONCE) {
            let answers = ledger.answers() + dice.random_range(1..BETWEEN * u64::from(options.clients));
            let _ = tokio::time::timeout(WAITS, ledger.until(answers)).await; // a system at rest holds nothing up
        }
    }
    looking.abort();
    counts
}

/// Starts again what has ended, for as long as the soak lasts.
pub async fn tend(site: Arc<Site>) {
    loop {
        site.tend();
        tokio::time::sleep(TEND).await;
    }
}

/// Looks again and again which configuration edges route by.
async fn look(site: Arc<Site>) {
    loop {
        for host in site.hosts(Role::Edge) {
            site.look(&[host]).await;
        }
        tokio::time::sleep(TEND).await;
    }
}

fn draw(dice: &mut Pcg64Mcg) -> Event {
    let whole: u32 = EVENTS.iter().map(|(_, weight)| weight).sum();
    let mut at = dice.random_range(0..whole);
    for (event, weight) in EVENTS {
        if at < weight {
            return event;
        }
        at -= weight;
    }
    Event::GoOn
}

/// Some hosts of a role: one at least, a part at most.
fn some(site: &Site, role: Role, part: f64, dice: &mut Pcg64Mcg) -> Vec<u32> {
    let mut hosts = site.hosts(role);
    hosts.shuffle(dice);
    let most = ((hosts.len() as f64 * part) as usize).max(1);
    hosts.truncate(dice.random_range(1..=most));
    hosts
}

/// Does it. Gives whether it could be done.
fn happen(event: Event, site: &Arc<Site>, marshals: &Arc<Fleet>, dice: &mut Pcg64Mcg) -> bool {
    let send = |hosts: Vec<u32>, signal: Signal| {
        hosts.into_iter().filter(|host| site.signal(*host, signal)).count() > 0
    };
    match event {
        Event::TermEdges => send(some(site, Role::Edge, 0.5, dice), Signal::TERM),
        Event::KillEdges => send(some(site, Role::Edge, 0.3, dice), Signal::KILL),
        Event::StillEdges => site.still().len() < 3 && send(some(site, Role::Edge, 0.2, dice), Signal::STOP),
        Event::HupEdges => {
            let hosts = some(site, Role::Edge, 0.5, dice);
            hosts.iter().all(|host| site.settle(Role::Edge, *host, false, dice.random_range(0..9)).is_ok())
                && send(hosts, Signal::HUP)
        }
        Event::TermCore => send(some(site, Role::Core, 0.34, dice), Signal::TERM),
        Event::KillCore => send(some(site, Role::Core, 0.34, dice), Signal::KILL),
        Event::KillWholeCore => send(site.hosts(Role::Core), Signal::KILL),
        Event::KillMany => {
            let mut hosts = some(site, Role::Edge, MANY, dice);
            hosts.extend(some(site, Role::Core, MANY, dice));
            send(hosts, Signal::KILL)
        }
        Event::ThrottleSome => {
            let role = if dice.random_bool(0.5) { Role::Edge } else { Role::Core };
            some(site, role, 0.4, dice).into_iter().filter(|host| throttle(site, *host)).count() > 0
        }
        Event::StillCore => {
            let core = site.hosts(Role::Core);
            let still = site.still().iter().filter(|host| core.contains(host)).count();
            still == 0 && send(some(site, Role::Core, 0.34, dice), Signal::STOP)
        }
        Event::PauseCore => {
            some(site, Role::Core, 0.34, dice)
                .into_iter()
                .filter(|host| pause(site, *host, dice.random_range(PAUSES_MS)))
                .count()
                > 0
        }
        Event::GoOn => {
            let still = site.still();
            !still.is_empty() && send(still, Signal::CONT)
        }
        Event::MarshalLeaves => anew(marshals, dice, true),
        Event::MarshalCrashes => anew(marshals, dice, false),
        Event::SettingsWithoutSignal => some(site, Role::Edge, 0.3, dice)
            .into_iter()
            .all(|host| site.settle(Role::Edge, host, false, dice.random_range(0..9)).is_ok()),
    }
}

/// A process stands still for a while: what it is sent meanwhile waits unread.
fn pause(site: &Arc<Site>, host: u32, time_ms: u64) -> bool {
    let Some(process) = site.running(host) else { return false };
    let site = Arc::clone(site);
    tokio::spawn(async move {
        if site.interrupt(&process, Signal::STOP) {
            tokio::time::sleep(Duration::from_millis(time_ms)).await;
            site.interrupt(&process, Signal::CONT);
        }
    });
    true
}

/// A process has a quota of its core for a while: it runs, then stands still for the rest of each period.
fn throttle(site: &Arc<Site>, host: u32) -> bool {
    let Some(process) = site.running(host) else { return false };
    let site = Arc::clone(site);
    tokio::spawn(async move {
        for _ in 0..QUOTA_PERIODS {
            if !site.interrupt(&process, Signal::STOP) {
                return;
            }
            tokio::time::sleep(QUOTA_PERIOD - QUOTA).await;
            site.interrupt(&process, Signal::CONT);
            tokio::time::sleep(QUOTA).await;
        }
    });
    true
}

/// A marshal leaves, or crashes, and another comes at its address.
fn anew(marshals: &Arc<Fleet>, dice: &mut Pcg64Mcg, in_order: bool) -> bool {
    let (fleet, at, seed) = (Arc::clone(marshals), dice.random_range(0..marshals.count()), dice.random());
    tokio::spawn(async move {
        if in_order {
            fleet.leave(at).await;
        } else {
            fleet.crash(at);
        }
        let _ = fleet.come(at, seed).await; // another may have come there meanwhile
    });
    true
}
