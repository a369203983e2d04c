//! The operator's file: JSON5 with names, every field checked, errors naming the field and its line.

use jiff::civil::DateTime;
use jiff::tz::TimeZone;
use milletwing_admin::field_line_number;
use milletwing_releases::calendar::{
    resolve_local_time, Exemption, Freeze, FreezeMode, FreezePeriod, FreezeScope,
};
use milletwing_releases::model::{Budgets, Dependency, DependencyScope, Edition, EditionSpec, Model};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::path::PathBuf;

/// What an instance is told of releases.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The service whose builds this instance routes.
    pub service: usize,
    /// Where the journal is kept.
    pub journal: PathBuf,
    /// Where operators' calls are taken: loopback only.
    pub admin: SocketAddr,
    /// Milliseconds for which a table permits what is on its way.
    pub table_life_ms: u64,
    /// Seconds between one level of a withdrawal and the next.
    pub grace_s: i64,
    /// The model.
    pub model: Model,
    /// The time zone of the file's times.
    pub zone: TimeZone,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Text {
    service: String,
    journal: String,
    admin: String,
    #[serde(default = "life")]
    table_life_ms: u64,
    #[serde(default = "grace")]
    grace_s: i64,
    time_zone: String,
    tranche_minutes: f64,
    #[serde(default)]
    one_by_one: bool,
    buildings: Vec<String>,
    /// Customers, and the buildings that serve them; none: all.
    customers: BTreeMap<String, Vec<String>>,
    tranches: Vec<Vec<String>>,
    budgets: BudgetsText,
    services: BTreeMap<String, BTreeMap<String, EditionText>>,
    #[serde(default)]
    freezes: Vec<FreezeSettings>,
    #[serde(default)]
    exemptions: Vec<ExemptionSettings>,
}

fn life() -> u64 {
    5000
}
fn grace() -> i64 {
    1
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct BudgetsText {
    overall: usize,
    building: usize,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct EditionText {
    #[serde(default)]
    released: bool,
    #[serde(default)]
    needs: Vec<NeedText>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct NeedText {
    service: String,
    from: u32,
    to: Option<u32>,
    #[serde(default, rename = "where")]
    reach: ReachText,
}

#[derive(Default, Deserialize)]
#[serde(rename_all = "snake_case")]
enum ReachText {
    #[default]
    Building,
    Everywhere,
}

/// A freeze as the file and operators word it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FreezeSettings {
    /// Its name.
    pub name: String,
    /// Services; none: all.
    #[serde(default)]
    pub services: Vec<String>,
    /// Buildings; none: all.
    #[serde(default)]
    pub buildings: Vec<String>,
    /// Customers; none: all.
    #[serde(default)]
    pub customers: Vec<String>,
    /// `2026-12-01 18:00`, or yearly `12-01 18:00`.
    pub from: String,
    /// Its end, worded in the same way.
    pub to: String,
    /// `hold`, `settle` or `finish`.
    pub mode: String,
}

/// An exemption as the file and operators word it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ExemptionSettings {
    /// Its name.
    pub name: String,
    /// Why.
    pub reason: String,
    /// The freeze.
    pub freeze: String,
    /// The service.
    pub service: String,
    /// The build.
    pub build: u32,
    /// Until when.
    pub until: String,
}

fn at<T: AsRef<str>>(list: &[T], name: &str) -> Option<usize> {
    list.iter().position(|other| other.as_ref() == name)
}

fn known(what: &str, list: &[String], names: &[String]) -> Result<BTreeSet<usize>, String> {
    names
        .iter()
        .map(|name| at(list, name).ok_or_else(|| format!("there is no {what} `{}`", name.escape_debug())))
        .collect()
}

fn local(text: &str) -> Option<DateTime> {
    let text = text.trim().replace(' ', "T");
    let text = if text.contains('T') { text } else { format!("{text}T00:00") };
    text.parse().ok()
}

/// Month, day, hour and minute of `12-01 18:00` or `12-01`.
fn yearly(text: &str) -> Option<[i8; 4]> {
    let (day, time) = text.trim().split_once(' ').unwrap_or((text.trim(), "00:00"));
    let ((month, day), (hour, minute)) = (day.split_once('-')?, time.split_once(':')?);
    let number = |word: &str| word.parse::<i8>().ok();
    Some([number(month)?, number(day)?, number(hour)?, number(minute)?])
}

/// A freeze from its words.
pub fn parse_freeze(model: &Model, zone: &TimeZone, text: &FreezeSettings) -> Result<Freeze, String> {
    let named = |why: String| format!("{}: {why}", text.name);
    let scope = FreezeScope {
        services: known("service", &model.services, &text.services).map_err(named)?,
        buildings: known("building", &model.buildings, &text.buildings).map_err(named)?,
        customers: known("customer", &model.customers, &text.customers).map_err(named)?,
    };
    let period = match (local(&text.from), local(&text.to), yearly(&text.from), yearly(&text.to)) {
        (Some(from), Some(to), ..) => FreezePeriod::Once(from, to),
        (None, None, Some(from), Some(to)) => FreezePeriod::Yearly(from, to),
        _ => return Err(named(format!("`{}` to `{}` are no two times of one kind", text.from, text.to))),
    };
    let mode = match text.mode.as_str() {
        "hold" => FreezeMode::Hold,
        "settle" => FreezeMode::Rollback,
        "finish" => FreezeMode::Finish,
        other => return Err(named(format!("`{}` is no mode: hold, settle or finish", other.escape_debug()))),
    };
    let freeze = Freeze { name: text.name.clone(), scope, period, mode, zone: zone.clone() };
    freeze.validate().map_err(named)?;
    Ok(freeze)
}

/// An exemption from its words.
pub fn parse_exemption(
    model: &Model,
    zone: &TimeZone,
    text: &ExemptionSettings,
) -> Result<Exemption, String> {
    let named = |why: String| format!("{}: {why}", text.name);
    let service = at(&model.services, &text.service)
        .ok_or_else(|| named(format!("there is no service {}", text.service)))?;
    let edition = Edition { service, build: text.build };
    if !model.editions.contains_key(&edition) {
        return Err(named(format!("there is no edition {}", model.edition_name(edition))));
    }
    if text.reason.trim().is_empty() {
        return Err(named("a reason is wanted".into()));
    }
    if !model.freezes.iter().any(|freeze| freeze.name == text.freeze) {
        return Err(named(format!("there is no freeze {}", text.freeze)));
    }
    let until = local(&text.until).and_then(|until| resolve_local_time(zone, until, false));
    let until = until.ok_or_else(|| named(format!("until: `{}` is no time", text.until.escape_debug())))?;
    Ok(Exemption {
        name: text.name.clone(),
        reason: text.reason.clone(),
        freeze: text.freeze.clone(),
        edition,
        until,
    })
}

impl Settings {
    /// Reads a file; relative paths count from its folder.
    pub fn from_file(path: &str) -> Result<Settings, String> {
        let text = std::fs::read_to_string(path).map_err(|problem| format!("{path}: {problem}"))?;
        let folder = std::path::Path::new(path).parent().map(PathBuf::from).unwrap_or_default();
        let mut settings = Settings::parse(&text).map_err(|problem| format!("{path}: {problem}"))?;
        settings.journal = folder.join(&settings.journal);
        Ok(settings)
    }

    /// Reads the text.
    pub fn parse(text: &str) -> Result<Settings, String> {
        let raw: Text = json5::from_str(text).map_err(|problem| problem.to_string().replace('\n', " "))?;
        let wrong =
            |field: &str, why: String| format!("line {}: {field}: {why}", field_line_number(text, field));
        let zone = TimeZone::get(&raw.time_zone)
            .map_err(|_| wrong("time_zone", format!("`{}` is no time zone", raw.time_zone.escape_debug())))?;
        let admin: SocketAddr = raw
            .admin
            .parse()
            .map_err(|_| wrong("admin", format!("`{}` is no address and port", raw.admin)))?;
        if !admin.ip().is_loopback() {
            return Err(wrong("admin", format!("{admin} is no loopback address")));
        }
        if !(100..=3_600_000).contains(&raw.table_life_ms) {
            return Err(wrong("table_life_ms", format!("{} is not from 100 to 3600000", raw.table_life_ms)));
        }
        if !(0..=3600).contains(&raw.grace_s) {
            return Err(wrong("grace_s", format!("{} is not from 0 to 3600", raw.grace_s)));
        }
        let services: Vec<String> = raw.services.keys().cloned().collect();
        let customers: Vec<String> = raw.customers.keys().cloned().collect();
        let service = at(&services, &raw.service).ok_or_else(|| {
            wrong("service", format!("there is no service `{}`", raw.service.escape_debug()))
        })?;
        let customer_buildings = raw.customers.values().map(|customer_buildings| {
            let customer_buildings = known("building", &raw.buildings, customer_buildings)
                .map_err(|why| wrong("customers", why))?;
            Ok(customer_buildings.into_iter().collect())
        });
        let customer_buildings = customer_buildings.collect::<Result<Vec<Vec<usize>>, String>>()?;
        let tranches = raw.tranches.iter().map(|names| {
            let of: Result<Vec<usize>, String> = names
                .iter()
                .map(|name| {
                    at(&customers, name)
                        .ok_or_else(|| wrong("tranches", format!("there is no customer `{name}`")))
                })
                .collect();
            of
        });
        let tranches = tranches.collect::<Result<Vec<_>, String>>()?;
        let mut editions = BTreeMap::new();
        for (service, builds) in raw.services.values().enumerate() {
            for (build, plan) in builds {
                let number = build.parse().map_err(|_| {
                    wrong(
                        "services",
                        format!("`{}` of {} is no build", build.escape_debug(), services[service]),
                    )
                })?;
                let dependencies = plan.needs.iter().map(|need| {
                    let of = at(&services, &need.service)
                        .ok_or_else(|| wrong("needs", format!("there is no service `{}`", need.service)))?;
                    let scope = match need.reach {
                        ReachText::Building => DependencyScope::Building,
                        ReachText::Everywhere => DependencyScope::Everywhere,
                    };
                    Ok(Dependency {
                        service: of,
                        min_build: need.from,
                        max_build: need.to.unwrap_or(u32::MAX),
                        scope,
                    })
                });
                let dependencies = dependencies.collect::<Result<Vec<_>, String>>()?;
                editions.insert(
                    Edition { service, build: number },
                    EditionSpec { dependencies, released: plan.released },
                );
            }
        }
        let mut model = Model {
            services,
            buildings: raw.buildings,
            customers,
            tranches,
            customer_buildings,
            min_tranche_s: (raw.tranche_minutes * 60.0) as i64,
            one_by_one: raw.one_by_one,
            editions,
            budgets: Budgets { overall: raw.budgets.overall, building: raw.budgets.building },
            freezes: Vec::new(),
            exemptions: Vec::new(),
        };
        for text in &raw.freezes {
            let freeze = parse_freeze(&model, &zone, text).map_err(|why| wrong("freezes", why))?;
            model.freezes.push(freeze);
        }
        for text in &raw.exemptions {
            let exemption = parse_exemption(&model, &zone, text).map_err(|why| wrong("exemptions", why))?;
            model.exemptions.push(exemption);
        }
        model.validate().map_err(|(field, why)| wrong(&field, why))?;
        let (journal, table_life_ms, grace_s) = (raw.journal.into(), raw.table_life_ms, raw.grace_s);
        Ok(Settings { service, journal, admin, table_life_ms, grace_s, model, zone })
    }

    /// What an instance would do with it, for people.
    pub fn summary(&self) -> String {
        let m = &self.model;
        let open = m.editions.values().filter(|plan| !plan.released).count();
        format!(
            "gates service {} by {} services, {} editions ({open} to go out), {} buildings, {} customers in {} tranches, \
             {} freezes, {} exemptions; its journal is {}",
            m.services[self.service],
            m.services.len(),
            m.editions.len(),
            m.buildings.len(),
            m.customers.len(),
            m.tranches.len(),
            m.freezes.len(),
            m.exemptions.len(),
            self.journal.display()
        )
    }
}
