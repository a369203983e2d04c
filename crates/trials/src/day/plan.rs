//! The plan of a day: its deployment, its traffic and what happens when.

use serde::Deserialize;
use std::collections::BTreeSet;

/// A day.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// Seconds from the start of the plan to its end.
    pub length_s: f64,
    /// Core machines.
    #[serde(default = "default_core")]
    pub core: u32,
    /// Edges.
    #[serde(default = "default_edges")]
    pub edges: u32,
    /// Services with their marshals.
    pub services: Vec<ServicePlan>,
    /// Classes of requests; each has a route of its own.
    pub classes: Vec<ClassPlan>,
    /// What happens.
    pub plan: Vec<Event>,
}

fn default_core() -> u32 {
    3
}

fn default_edges() -> u32 {
    4
}

/// A service.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServicePlan {
    /// Its name.
    pub name: String,
    /// Number of its marshals, of each version.
    pub marshals: u32,
}

/// A class of requests, with a route.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClassPlan {
    /// Name of the class, of its route and of its path.
    pub name: String,
    /// Traffic class of the route, as in the configuration.
    #[serde(default = "default_kind")]
    pub kind: String,
    /// The service that its route leads to at the start.
    pub service: String,
    /// Requests per second.
    pub per_s: f64,
}

fn default_kind() -> String {
    "idempotent".into()
}

/// What an event does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EventKind {
    /// A roll-out of a sound version of `service`, due within `for_s`.
    RolloutGood,
    /// A roll-out of a version of which `share` of the answers is bad.
    RolloutBad,
    /// The route of `class` is distributed anew, by `to`.
    ConfigChange,
    /// The zone is evacuated for `for_s`.
    Evacuate,
    /// A core machine or an edge is killed, and started again.
    NodeKill,
    /// A core machine or an edge stands still for `for_s`.
    NodeFreeze,
}

/// In which way a version is bad.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HowBad {
    /// Its answers fail.
    #[default]
    Errors,
    /// Its answers take much longer.
    Slow,
    /// Its answers fail while it works on several requests.
    UnderLoad,
    /// Its answers to requests of `class` fail.
    OneClass,
    /// Its answers fail from `gap_s` after the order.
    Late,
}

/// A service's share of a route's requests.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouteShare {
    /// The service.
    pub service: String,
    /// Its share.
    pub share: f64,
}

/// An event of the plan.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Event {
    /// Seconds from the start of the plan.
    pub at: f64,
    /// What happens.
    pub kind: EventKind,
    /// The way in which a version is bad.
    #[serde(default)]
    pub how: HowBad,
    /// Duration in seconds; of a roll-out, its period.
    #[serde(default)]
    pub for_s: f64,
    /// Share of a bad version's answers that are bad.
    #[serde(default = "default_share")]
    pub share: f64,
    /// Seconds after the order from which a version of the kind `late` is bad.
    #[serde(default)]
    pub gap_s: f64,
    /// Service that is rolled out.
    #[serde(default)]
    pub service: String,
    /// Class whose route changes, or for which a version is bad.
    #[serde(default)]
    pub class: String,
    /// Distribution of the route from now on.
    #[serde(default)]
    pub to: Vec<RouteShare>,
    /// `core`, `leader` or `edge`.
    #[serde(default)]
    pub on: String,
    /// Zone that is evacuated.
    #[serde(default)]
    pub zone: String,
}

fn default_share() -> f64 {
    0.5
}

impl Plan {
    /// Reads a plan. Errors: it is no valid plan.
    pub fn from_toml(text: &str) -> Result<Plan, String> {
        let plan: Plan = toml::from_str(text).map_err(|problem| problem.to_string())?;
        plan.check()?;
        Ok(plan)
    }

    fn check(&self) -> Result<(), String> {
        let services: BTreeSet<&str> = self.services.iter().map(|service| service.name.as_str()).collect();
        let classes: BTreeSet<&str> = self.classes.iter().map(|class| class.name.as_str()).collect();
        let require = |known: &BTreeSet<&str>, name: &str, what: &str| {
            known.contains(name).then_some(()).ok_or_else(|| format!("there is no {what} {name:?}"))
        };
        if !(1..=9).contains(&self.core) || !(1..=100).contains(&self.edges) {
            return Err("1 to 9 core machines and 1 to 100 edges".into());
        }
        if !(1.0..=600.0).contains(&self.length_s) {
            return Err("a day lasts 1 to 600 seconds".into());
        }
        self.classes.iter().try_for_each(|class| require(&services, &class.service, "service"))?;
        for event in &self.plan {
            match event.kind {
                EventKind::RolloutGood | EventKind::RolloutBad => {
                    require(&services, &event.service, "service")?;
                    if event.how == HowBad::OneClass {
                        require(&classes, &event.class, "class")?;
                    }
                }
                EventKind::ConfigChange => {
                    require(&classes, &event.class, "class")?;
                    event.to.iter().try_for_each(|share| require(&services, &share.service, "service"))?;
                }
                EventKind::Evacuate | EventKind::NodeKill | EventKind::NodeFreeze => {}
            }
        }
        Ok(())
    }
}
