//! The operator's settings file: JSON5 in which things are referred to by name. All fields are checked, and errors state
//! the field and its line.

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

/// Settings of an instance's release gate.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The service whose builds this instance routes.
    pub service: usize,
    /// Path of the journal.
    pub journal: PathBuf,
    /// Address for operators' requests; must be a loopback address.
    pub admin: SocketAddr,
    /// Milliseconds for which a table permits editions in rollout.
    pub table_life_ms: u64,
    /// Seconds between the withdrawal of one dependency level and the next.
    pub grace_s: i64,
    /// What is to be released, without what operators add at run time.
    pub model: Model,
    /// Time zone of all times in the file.
    pub zone: TimeZone,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct SettingsFile {
    service: String,
    journal: String,
    admin: String,
    #[serde(default = "default_table_life_ms")]
    table_life_ms: u64,
    #[serde(default = "default_grace_s")]
    grace_s: i64,
    time_zone: String,
    tranche_minutes: f64,
    #[serde(default)]
    one_by_one: bool,
    buildings: Vec<String>,
    /// Customers with the buildings that serve them; an empty list means all buildings.
    customers: BTreeMap<String, Vec<String>>,
    tranches: Vec<Vec<String>>,
    budgets: BudgetsSettings,
    services: BTreeMap<String, BTreeMap<String, EditionSettings>>,
    #[serde(default)]
    freezes: Vec<FreezeSettings>,
    #[serde(default)]
    exemptions: Vec<ExemptionSettings>,
}

fn default_table_life_ms() -> u64 {
    5000
}
fn default_grace_s() -> i64 {
    1
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct BudgetsSettings {
    overall: usize,
    building: usize,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct EditionSettings {
    #[serde(default)]
    released: bool,
    #[serde(default)]
    needs: Vec<DependencySettings>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct DependencySettings {
    service: String,
    from: u32,
    to: Option<u32>,
    #[serde(default, rename = "where")]
    reach: ScopeSettings,
}

#[derive(Default, Deserialize)]
#[serde(rename_all = "snake_case")]
enum ScopeSettings {
    #[default]
    Building,
    Everywhere,
}

/// A freeze as it is written in the file and in requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FreezeSettings {
    /// Unique name.
    pub name: String,
    /// Services; an empty list means all.
    #[serde(default)]
    pub services: Vec<String>,
    /// Buildings; an empty list means all.
    #[serde(default)]
    pub buildings: Vec<String>,
    /// Customers; an empty list means all.
    #[serde(default)]
    pub customers: Vec<String>,
    /// Start: `2026-12-01 18:00`, or `12-01 18:00` for each year.
    pub from: String,
    /// End, in the same format.
    pub to: String,
    /// `hold`, `settle` (roll back) or `finish`.
    pub mode: String,
}

/// An exemption as it is written in the file and in requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ExemptionSettings {
    /// Name of the exemption.
    pub name: String,
    /// Why it was granted.
    pub reason: String,
    /// Name of the freeze.
    pub freeze: String,
    /// Service of the exempted edition.
    pub service: String,
    /// Build of the exempted edition.
    pub build: u32,
    /// When the exemption ends.
    pub until: String,
}

fn index_of<T: AsRef<str>>(list: &[T], name: &str) -> Option<usize> {
    list.iter().position(|other| other.as_ref() == name)
}

/// Resolves names to indices.
fn resolve_names(what: &str, list: &[String], names: &[String]) -> Result<BTreeSet<usize>, String> {
    names
        .iter()
        .map(|name| {
            index_of(list, name).ok_or_else(|| format!("there is no {what} `{}`", name.escape_debug()))
        })
        .collect()
}

/// Parses a local date and time, or a date.
fn parse_local_time(text: &str) -> Option<DateTime> {
    let text = text.trim().replace(' ', "T");
    let text = if text.contains('T') { text } else { format!("{text}T00:00") };
    text.parse().ok()
}

/// Parses month, day, hour and minute from `12-01 18:00` or `12-01`.
fn parse_yearly_time(text: &str) -> Option<[i8; 4]> {
    let (day, time) = text.trim().split_once(' ').unwrap_or((text.trim(), "00:00"));
    let ((month, day), (hour, minute)) = (day.split_once('-')?, time.split_once(':')?);
    let number = |word: &str| word.parse::<i8>().ok();
    Some([number(month)?, number(day)?, number(hour)?, number(minute)?])
}

/// Resolves the names and times of a freeze and checks it.
pub fn parse_freeze(model: &Model, zone: &TimeZone, text: &FreezeSettings) -> Result<Freeze, String> {
    let with_name = |why: String| format!("{}: {why}", text.name);
    let scope = FreezeScope {
        services: resolve_names("service", &model.services, &text.services).map_err(with_name)?,
        buildings: resolve_names("building", &model.buildings, &text.buildings).map_err(with_name)?,
        customers: resolve_names("customer", &model.customers, &text.customers).map_err(with_name)?,
    };
    let period = match (
        parse_local_time(&text.from),
        parse_local_time(&text.to),
        parse_yearly_time(&text.from),
        parse_yearly_time(&text.to),
    ) {
        (Some(from), Some(to), ..) => FreezePeriod::Once(from, to),
        (None, None, Some(from), Some(to)) => FreezePeriod::Yearly(from, to),
        _ => return Err(with_name(format!("`{}` to `{}` are no two times of one kind", text.from, text.to))),
    };
    let mode = match text.mode.as_str() {
        "hold" => FreezeMode::Hold,
        "settle" => FreezeMode::Rollback,
        "finish" => FreezeMode::Finish,
        other => {
            return Err(with_name(format!("`{}` is no mode: hold, settle or finish", other.escape_debug())))
        }
    };
    let freeze = Freeze { name: text.name.clone(), scope, period, mode, zone: zone.clone() };
    freeze.validate().map_err(with_name)?;
    Ok(freeze)
}

/// Resolves the names and times of an exemption and checks it.
pub fn parse_exemption(
    model: &Model,
    zone: &TimeZone,
    text: &ExemptionSettings,
) -> Result<Exemption, String> {
    let with_name = |why: String| format!("{}: {why}", text.name);
    let service = index_of(&model.services, &text.service)
        .ok_or_else(|| with_name(format!("there is no service {}", text.service)))?;
    let edition = Edition { service, build: text.build };
    if !model.editions.contains_key(&edition) {
        return Err(with_name(format!("there is no edition {}", model.edition_name(edition))));
    }
    if text.reason.trim().is_empty() {
        return Err(with_name("a reason is wanted".into()));
    }
    if !model.freezes.iter().any(|freeze| freeze.name == text.freeze) {
        return Err(with_name(format!("there is no freeze {}", text.freeze)));
    }
    let until = parse_local_time(&text.until).and_then(|until| resolve_local_time(zone, until, false));
    let until =
        until.ok_or_else(|| with_name(format!("until: `{}` is no time", text.until.escape_debug())))?;
    Ok(Exemption {
        name: text.name.clone(),
        reason: text.reason.clone(),
        freeze: text.freeze.clone(),
        edition,
        until,
    })
}

impl Settings {
    /// Reads a settings file. The path of the journal is relative to the file's directory.
    pub fn from_file(path: &str) -> Result<Settings, String> {
        let text = std::fs::read_to_string(path).map_err(|problem| format!("{path}: {problem}"))?;
        let folder = std::path::Path::new(path).parent().map(PathBuf::from).unwrap_or_default();
        let mut settings = Settings::parse(&text).map_err(|problem| format!("{path}: {problem}"))?;
        settings.journal = folder.join(&settings.journal);
        Ok(settings)
    }

    /// Parses and checks the text of a settings file.
    pub fn parse(text: &str) -> Result<Settings, String> {
        let file: SettingsFile =
            json5::from_str(text).map_err(|problem| problem.to_string().replace('\n', " "))?;
        let invalid =
            |field: &str, why: String| format!("line {}: {field}: {why}", field_line_number(text, field));
        let zone = TimeZone::get(&file.time_zone).map_err(|_| {
            invalid("time_zone", format!("`{}` is no time zone", file.time_zone.escape_debug()))
        })?;
        let admin: SocketAddr = file
            .admin
            .parse()
            .map_err(|_| invalid("admin", format!("`{}` is no address and port", file.admin)))?;
        if !admin.ip().is_loopback() {
            return Err(invalid("admin", format!("{admin} is no loopback address")));
        }
        if !(100..=3_600_000).contains(&file.table_life_ms) {
            return Err(invalid(
                "table_life_ms",
                format!("{} is not from 100 to 3600000", file.table_life_ms),
            ));
        }
        if !(0..=3600).contains(&file.grace_s) {
            return Err(invalid("grace_s", format!("{} is not from 0 to 3600", file.grace_s)));
        }
        let services: Vec<String> = file.services.keys().cloned().collect();
        let customers: Vec<String> = file.customers.keys().cloned().collect();
        let service = index_of(&services, &file.service).ok_or_else(|| {
            invalid("service", format!("there is no service `{}`", file.service.escape_debug()))
        })?;
        let customer_buildings = file.customers.values().map(|names| {
            let buildings =
                resolve_names("building", &file.buildings, names).map_err(|why| invalid("customers", why))?;
            Ok(buildings.into_iter().collect())
        });
        let customer_buildings = customer_buildings.collect::<Result<Vec<Vec<usize>>, String>>()?;
        let tranches = file.tranches.iter().map(|names| {
            let tranche: Result<Vec<usize>, String> = names
                .iter()
                .map(|name| {
                    index_of(&customers, name)
                        .ok_or_else(|| invalid("tranches", format!("there is no customer `{name}`")))
                })
                .collect();
            tranche
        });
        let tranches = tranches.collect::<Result<Vec<_>, String>>()?;
        let mut editions = BTreeMap::new();
        for (service, builds) in file.services.values().enumerate() {
            for (build, edition) in builds {
                let number = build.parse().map_err(|_| {
                    invalid(
                        "services",
                        format!("`{}` of {} is no build", build.escape_debug(), services[service]),
                    )
                })?;
                let dependencies = edition.needs.iter().map(|need| {
                    let depended_on = index_of(&services, &need.service)
                        .ok_or_else(|| invalid("needs", format!("there is no service `{}`", need.service)))?;
                    let scope = match need.reach {
                        ScopeSettings::Building => DependencyScope::Building,
                        ScopeSettings::Everywhere => DependencyScope::Everywhere,
                    };
                    Ok(Dependency {
                        service: depended_on,
                        min_build: need.from,
                        max_build: need.to.unwrap_or(u32::MAX),
                        scope,
                    })
                });
                let dependencies = dependencies.collect::<Result<Vec<_>, String>>()?;
                editions.insert(
                    Edition { service, build: number },
                    EditionSpec { dependencies, released: edition.released },
                );
            }
        }
        let mut model = Model {
            services,
            buildings: file.buildings,
            customers,
            tranches,
            customer_buildings,
            min_tranche_s: (file.tranche_minutes * 60.0) as i64,
            one_by_one: file.one_by_one,
            editions,
            budgets: Budgets { overall: file.budgets.overall, building: file.budgets.building },
            freezes: Vec::new(),
            exemptions: Vec::new(),
        };
        for text in &file.freezes {
            let freeze = parse_freeze(&model, &zone, text).map_err(|why| invalid("freezes", why))?;
            model.freezes.push(freeze);
        }
        for text in &file.exemptions {
            let exemption = parse_exemption(&model, &zone, text).map_err(|why| invalid("exemptions", why))?;
            model.exemptions.push(exemption);
        }
        model.validate().map_err(|(field, why)| invalid(&field, why))?;
        let (journal, table_life_ms, grace_s) = (file.journal.into(), file.table_life_ms, file.grace_s);
        Ok(Settings { service, journal, admin, table_life_ms, grace_s, model, zone })
    }

    /// One-line description for operators.
    pub fn summary(&self) -> String {
        let model = &self.model;
        let outstanding = model.editions.values().filter(|edition| !edition.released).count();
        format!(
            "gates service {} by {} services, {} editions ({outstanding} to go out), {} buildings, {} customers in {} tranches, \
             {} freezes, {} exemptions; its journal is {}",
            model.services[self.service],
            model.services.len(),
            model.editions.len(),
            model.buildings.len(),
            model.customers.len(),
            model.tranches.len(),
            model.freezes.len(),
            model.exemptions.len(),
            self.journal.display()
        )
    }
}
