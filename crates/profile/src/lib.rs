//! Parses the JSON settings of an instance into the settings of the decision module. The simulator's first
//! message and a marshal's configuration hold the same object; both are parsed here.

use milletwing_decision::interface::{
    Class, DedupScope, Ms, RetrySafety, Settings, StageControl, Tenant, ZoneId,
};
use serde::Deserialize;

/// The names in an instance's events, by index: a name's position is its id in the decision module.
#[derive(Clone, Debug, Default)]
pub struct Names {
    /// Classes, in order.
    pub classes: Vec<String>,
    /// Tenants, in order.
    pub tenants: Vec<String>,
    /// Zones, in order; unknown zones are appended when they first appear.
    pub zones: Vec<String>,
    /// Machine kinds, in order; unknown kinds are appended when they first appear.
    pub machine_kinds: Vec<String>,
}

/// Settings for connections and answers, used by the host that carries out the decisions.
#[derive(Clone, Copy, Debug)]
pub struct TransportSettings {
    /// Time after which an attempt to connect counts as failed.
    pub connect_timeout: Ms,
    /// Time after which an idle connection is closed.
    pub idle_timeout: Ms,
    /// How long a final answer still counts after the client's deadline.
    pub late_answer_grace: Ms,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct Profile {
    balancers: u32,
    me: u32,
    classes: Vec<ClassProfile>,
    discovery: String,
    domain: Domain,
    #[serde(default)]
    flavors: Vec<String>,
    #[serde(default)]
    locality: Option<String>,
    #[serde(default = "one")]
    over_share_worth: f64,
    permissions: Permissions,
    #[serde(default)]
    prices: Prices,
    #[serde(default)]
    projects: Vec<Project>,
    rules: Rules,
    tick_ms: f64,
    #[serde(default)]
    zones: Vec<String>,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct ClassProfile {
    name: String,
    aim_ms: f64,
    #[serde(default)]
    aim_stretch: f64,
    give_up_ms: f64,
    effect: String,
    #[serde(default)]
    key_scope: String,
    #[serde(default)]
    memory_span_ms: f64,
    #[serde(default)]
    late_worth: f64,
    worth: f64,
    #[serde(default)]
    streamed: bool,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct Project {
    name: String,
    share: f64,
    quota_per_s: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct Domain {
    allowance: f64,
    answer_wait_ms: f64,
    #[serde(default)]
    auto_after_ms: f64,
    ballot_ttl_ms: f64,
    calls_per_s: f64,
    #[serde(default)]
    counted_share: f64,
    decided_by: String,
    exposure_window_ms: f64,
    #[serde(default)]
    found_share: f64,
    #[serde(default)]
    harm_fee: f64,
    #[serde(default)]
    hold_votes: u32,
    #[serde(default)]
    keys_stay: bool,
    #[serde(default)]
    lag_fee: f64,
    #[serde(default)]
    metrics_period_ms: f64,
    news_period_ms: f64,
    per: String,
    #[serde(default)]
    safe_only_stages: u32,
    soak_ms: f64,
    stage_cap: Vec<f64>,
    stage_share: Vec<f64>,
    style: String,
    #[serde(default)]
    to_advance: u32,
    votes_to_revert: u32,
    #[serde(default)]
    warm_keys: bool,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct Permissions {
    may_cancel: bool,
    peers: bool,
    probes: bool,
    retry_after: bool,
    second_copies: bool,
    try_limit: u32,
    max_retry_after_ms: f64,
    #[serde(default = "connect_timeout")]
    connect_timeout_ms: f64,
    #[serde(default = "keepalive")]
    keepalive_ms: f64,
}

#[derive(Default, Deserialize)]
#[serde(rename_all = "kebab-case", default)]
struct Prices {
    cross_zone: f64,
    waste: f64,
    late_fail: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct Rules {
    #[serde(default)]
    grace_to_answer_ms: f64,
    ask_within_ms: f64,
    cold_from: f64,
    cold_ms: f64,
    drain_grace_ms: f64,
    fall_multiple: f64,
    tip_after_ms: f64,
}

fn one() -> f64 {
    1.0
}

fn connect_timeout() -> f64 {
    250.0
}

fn keepalive() -> f64 {
    30_000.0
}

fn parse_class(class: &ClassProfile) -> Result<Class, String> {
    let retry_safety = match class.effect.as_str() {
        "idempotent" => RetrySafety::Idempotent,
        "deduplicated" => RetrySafety::Deduplicated,
        "at_most_once" => RetrySafety::AtMostOnce,
        other => return Err(format!("classes[].effect `{other}` is unknown")),
    };
    let dedup_scope = match class.key_scope.as_str() {
        "all" => DedupScope::All,
        "zone" => DedupScope::Zone,
        "cell" => DedupScope::Cell,
        _ if retry_safety != RetrySafety::Deduplicated => DedupScope::All,
        other => return Err(format!("classes[].key-scope `{other}` is unknown")),
    };
    Ok(Class {
        latency_target: Ms(class.aim_ms),
        target_per_work: class.aim_stretch,
        client_timeout: Ms(class.give_up_ms),
        retry_safety,
        dedup_scope,
        dedup_window: Ms(class.memory_span_ms),
        late_value: class.late_worth,
        value: class.worth,
        streamed: class.streamed,
    })
}

/// Parses the JSON settings of one instance.
pub fn parse_settings(json: &str) -> Result<(Settings, Names, TransportSettings), String> {
    let profile: Profile = serde_json::from_str(json).map_err(|error| error.to_string())?;
    let control = match profile.domain.decided_by.as_str() {
        "single" | "majority" => StageControl::Votes,
        "clocked" => StageControl::Timed,
        other => return Err(format!("domain.decided-by `{other}` is unknown")),
    };
    let transport = TransportSettings {
        connect_timeout: Ms(profile.permissions.connect_timeout_ms),
        idle_timeout: Ms(profile.permissions.keepalive_ms),
        late_answer_grace: Ms(profile.rules.grace_to_answer_ms),
    };
    let settings = Settings {
        marshals: profile.balancers,
        marshal_index: profile.me,
        zone: profile.locality.as_ref().and_then(|zone| index_of(&profile.zones, zone)).map(ZoneId),
        tick: Ms(profile.tick_ms),
        classes: profile.classes.iter().map(parse_class).collect::<Result<_, _>>()?,
        tenants: profile
            .projects
            .iter()
            .map(|tenant| Tenant { share: tenant.share, quota_per_s: tenant.quota_per_s })
            .collect(),
        over_share_value: profile.over_share_worth,
        subscribe_to_discovery: match profile.discovery.as_str() {
            "pushed" => false,
            "on_request" => true,
            other => return Err(format!("discovery `{other}` is unknown")),
        },
        control,
        hold_votes: profile.domain.hold_votes,
        advance_votes: profile.domain.to_advance,
        revert_votes: profile.domain.votes_to_revert,
        vote_ttl: Ms(profile.domain.ballot_ttl_ms),
        vote_answer_timeout: Ms(profile.domain.answer_wait_ms),
        votes_per_s: profile.domain.calls_per_s,
        min_stage_duration: Ms(profile.domain.soak_ms),
        auto_advance_after: Ms(profile.domain.auto_after_ms),
        metrics_period: Ms(profile.domain.metrics_period_ms),
        stage_report_period: Ms(profile.domain.news_period_ms),
        sampled_share: profile.domain.counted_share,
        reported_wrong_share: profile.domain.found_share,
        harm_cost: profile.domain.harm_fee,
        lag_cost: profile.domain.lag_fee,
        exposure_allowance: profile.domain.allowance,
        exposure_window: Ms(profile.domain.exposure_window_ms),
        exposure_per_class: match profile.domain.per.as_str() {
            "all" => false,
            "per_lane" => true,
            other => return Err(format!("domain.per `{other}` is unknown")),
        },
        stage_cap: profile.domain.stage_cap,
        stage_share: profile.domain.stage_share,
        idempotent_only_stages: profile.domain.safe_only_stages,
        sticky_keys: profile.domain.keys_stay,
        side_by_side: match profile.domain.style.as_str() {
            "side_by_side" => true,
            "rolling" => false,
            other => return Err(format!("domain.style `{other}` is unknown")),
        },
        warm_keys: profile.domain.warm_keys,
        hedging: profile.permissions.second_copies,
        may_cancel: profile.permissions.may_cancel,
        probes: profile.permissions.probes,
        peers: profile.permissions.peers,
        retry_after: profile.permissions.retry_after,
        max_retry_after: Ms(profile.permissions.max_retry_after_ms),
        max_attempts: profile.permissions.try_limit,
        cross_zone_cost: profile.prices.cross_zone,
        wasted_work_cost: profile.prices.waste,
        late_failure_cost: profile.prices.late_fail,
        cold_start_capacity: profile.rules.cold_from,
        warmup: Ms(profile.rules.cold_ms),
        overload_multiple: profile.rules.fall_multiple,
        overload_duration: Ms(profile.rules.tip_after_ms),
        drain_grace: Ms(profile.rules.drain_grace_ms),
        discovery_deadline: Ms(profile.rules.ask_within_ms),
        group_decisions: false,
        require_permits: false,
    };
    let names = Names {
        classes: profile.classes.into_iter().map(|class| class.name).collect(),
        tenants: profile.projects.into_iter().map(|tenant| tenant.name).collect(),
        zones: profile.zones,
        machine_kinds: profile.flavors,
    };
    Ok((settings, names, transport))
}

/// The index of a name in a list.
pub fn index_of(list: &[String], name: &str) -> Option<u32> {
    list.iter().position(|entry| entry == name).and_then(|index| u32::try_from(index).ok())
}
