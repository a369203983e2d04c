//! The settings as the users word them, turned into the decision module's own. The simulator's first message
//! and a marshal's configuration hold the same object; both are read here.

use milletwing_decision::interface::{
    Class, DedupScope, Ms, RetrySafety, Settings, StageControl, Tenant, ZoneId,
};
use serde::Deserialize;

/// The names by which an instance's events refer to its settings.
#[derive(Clone, Debug, Default)]
pub struct Names {
    /// Classes, in order.
    pub classes: Vec<String>,
    /// Tenants, in order.
    pub tenants: Vec<String>,
    /// Zones, in order; zones met later are added.
    pub zones: Vec<String>,
    /// Machine kinds, in order; kinds met later are added.
    pub machine_kinds: Vec<String>,
}

/// What the settings say of connections and answers: for whoever carries the decisions out.
#[derive(Clone, Copy, Debug)]
pub struct TransportSettings {
    /// A connection that is not up by then never comes up.
    pub connect_timeout: Ms,
    /// Idle connections are closed after this.
    pub idle_timeout: Ms,
    /// After a client's deadline, a final answer still counts for this long.
    pub late_answer_grace: Ms,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct Profile {
    balancers: u32,
    me: u32,
    classes: Vec<ClassText>,
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
struct ClassText {
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

fn class(text: &ClassText) -> Result<Class, String> {
    let retry_safety = match text.effect.as_str() {
        "idempotent" => RetrySafety::Idempotent,
        "deduplicated" => RetrySafety::Deduplicated,
        "at_most_once" => RetrySafety::AtMostOnce,
        other => return Err(format!("classes[].effect `{other}` is unknown")),
    };
    let dedup_scope = match text.key_scope.as_str() {
        "all" => DedupScope::All,
        "zone" => DedupScope::Zone,
        "cell" => DedupScope::Cell,
        _ if retry_safety != RetrySafety::Deduplicated => DedupScope::All,
        other => return Err(format!("classes[].key-scope `{other}` is unknown")),
    };
    Ok(Class {
        latency_target: Ms(text.aim_ms),
        latency_target_per_work: text.aim_stretch,
        client_timeout: Ms(text.give_up_ms),
        retry_safety,
        dedup_scope,
        dedup_window: Ms(text.memory_span_ms),
        late_value: text.late_worth,
        value: text.worth,
        streamed: text.streamed,
    })
}

/// Reads the settings of one instance.
pub fn parse_settings(text: &str) -> Result<(Settings, Names, TransportSettings), String> {
    let p: Profile = serde_json::from_str(text).map_err(|problem| problem.to_string())?;
    let control = match p.domain.decided_by.as_str() {
        "single" | "majority" => StageControl::Votes,
        "clocked" => StageControl::Timed,
        other => return Err(format!("domain.decided-by `{other}` is unknown")),
    };
    let transport = TransportSettings {
        connect_timeout: Ms(p.permissions.connect_timeout_ms),
        idle_timeout: Ms(p.permissions.keepalive_ms),
        late_answer_grace: Ms(p.rules.grace_to_answer_ms),
    };
    let settings = Settings {
        marshals: p.balancers,
        marshal_index: p.me,
        zone: p.locality.as_ref().and_then(|zone| index_of(&p.zones, zone)).map(ZoneId),
        tick: Ms(p.tick_ms),
        classes: p.classes.iter().map(class).collect::<Result<_, _>>()?,
        tenants: p.projects.iter().map(|t| Tenant { share: t.share, quota_per_s: t.quota_per_s }).collect(),
        over_share_value: p.over_share_worth,
        subscribe_to_discovery: match p.discovery.as_str() {
            "pushed" => false,
            "on_request" => true,
            other => return Err(format!("discovery `{other}` is unknown")),
        },
        control,
        hold_votes: p.domain.hold_votes,
        advance_votes: p.domain.to_advance,
        revert_votes: p.domain.votes_to_revert,
        vote_ttl: Ms(p.domain.ballot_ttl_ms),
        vote_answer_timeout: Ms(p.domain.answer_wait_ms),
        platform_calls_per_s: p.domain.calls_per_s,
        min_stage_duration: Ms(p.domain.soak_ms),
        auto_advance_after: Ms(p.domain.auto_after_ms),
        metrics_period: Ms(p.domain.metrics_period_ms),
        stage_report_period: Ms(p.domain.news_period_ms),
        sampled_share: p.domain.counted_share,
        reported_wrong_share: p.domain.found_share,
        harm_cost: p.domain.harm_fee,
        lag_cost: p.domain.lag_fee,
        exposure_allowance: p.domain.allowance,
        exposure_window: Ms(p.domain.exposure_window_ms),
        exposure_per_class: match p.domain.per.as_str() {
            "all" => false,
            "per_lane" => true,
            other => return Err(format!("domain.per `{other}` is unknown")),
        },
        stage_cap: p.domain.stage_cap,
        stage_share: p.domain.stage_share,
        idempotent_only_stages: p.domain.safe_only_stages,
        sticky_keys: p.domain.keys_stay,
        side_by_side: match p.domain.style.as_str() {
            "side_by_side" => true,
            "rolling" => false,
            other => return Err(format!("domain.style `{other}` is unknown")),
        },
        warm_keys: p.domain.warm_keys,
        hedging: p.permissions.second_copies,
        may_cancel: p.permissions.may_cancel,
        probes: p.permissions.probes,
        peers: p.permissions.peers,
        retry_after: p.permissions.retry_after,
        max_retry_after: Ms(p.permissions.max_retry_after_ms),
        max_attempts: p.permissions.try_limit,
        cross_zone_cost: p.prices.cross_zone,
        wasted_work_cost: p.prices.waste,
        late_failure_cost: p.prices.late_fail,
        cold_start_capacity: p.rules.cold_from,
        warmup: Ms(p.rules.cold_ms),
        overload_multiple: p.rules.fall_multiple,
        overload_duration: Ms(p.rules.tip_after_ms),
        drain_grace: Ms(p.rules.drain_grace_ms),
        discovery_deadline: Ms(p.rules.ask_within_ms),
        group_decisions: false,
        require_permits: false,
    };
    let names = Names {
        classes: p.classes.into_iter().map(|c| c.name).collect(),
        tenants: p.projects.into_iter().map(|t| t.name).collect(),
        zones: p.zones,
        machine_kinds: p.flavors,
    };
    Ok((settings, names, transport))
}

/// A name's place in a list.
pub fn index_of(list: &[String], name: &str) -> Option<u32> {
    list.iter().position(|entry| entry == name).and_then(|at| u32::try_from(at).ok())
}
