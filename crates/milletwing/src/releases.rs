//! Operators' calls to the gate of releases. What only reads a plan works from the file alone too.

use argh::FromArgs;
use milletwing_admin as admin;
use milletwing_releases::engine::{Engine, State};
use milletwing_releases::planner::Planner;
use milletwing_releases_server::settings::{ExemptionSettings, FreezeSettings, Settings};
use milletwing_releases_server::{chart, host, AdminRequest};
use serde_json::Value;

/// Staged releases with dependencies and freezes; each call takes the operator's file.
#[derive(FromArgs)]
#[argh(subcommand, name = "releases")]
pub struct Releases {
    #[argh(subcommand)]
    call: What,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum What {
    Check(Check),
    Plan(Plan),
    Explain(Explain),
    Status(Status),
    Freeze(Freeze),
    Exempt(Exempt),
    Say(Say),
}

/// Reads the file and tells what an instance would do with it.
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
struct Check {
    /// the operator's file
    #[argh(option, default = "default()")]
    releases: String,
}

/// Plans what is to go out: of the running instance, or from the file where none runs.
#[derive(FromArgs)]
#[argh(subcommand, name = "plan")]
struct Plan {
    /// the operator's file
    #[argh(option, default = "default()")]
    releases: String,
    /// as if nothing of it were out and nobody ran
    #[argh(switch)]
    fresh: bool,
    /// draw it into this file, as SVG (as if nothing of it were out)
    #[argh(option)]
    chart: Option<String>,
    /// as JSON, for scripts
    #[argh(switch)]
    json: bool,
}

/// Tells why an edition waits, and whether it carries a customer's traffic.
#[derive(FromArgs)]
#[argh(subcommand, name = "explain")]
struct Explain {
    /// the operator's file
    #[argh(option, default = "default()")]
    releases: String,
    /// in one building
    #[argh(option)]
    building: Option<String>,
    /// for one customer
    #[argh(option)]
    customer: Option<String>,
    /// as JSON, for scripts
    #[argh(switch)]
    json: bool,
    /// the service
    #[argh(positional)]
    service: String,
    /// the build
    #[argh(positional)]
    build: u32,
}

/// Tells how all editions stand.
#[derive(FromArgs)]
#[argh(subcommand, name = "status")]
struct Status {
    /// the operator's file
    #[argh(option, default = "default()")]
    releases: String,
    /// as JSON, for scripts
    #[argh(switch)]
    json: bool,
}

/// Adds a freeze, which lasts over restarts.
#[derive(FromArgs)]
#[argh(subcommand, name = "freeze")]
struct Freeze {
    /// the operator's file
    #[argh(option, default = "default()")]
    releases: String,
    /// its name
    #[argh(positional)]
    name: String,
    /// from when: '2026-12-01 18:00', or each year '12-01 18:00'
    #[argh(option)]
    from: String,
    /// until when
    #[argh(option)]
    to: String,
    /// hold, settle or finish
    #[argh(option)]
    mode: String,
    /// a service (as often as wanted; none: all)
    #[argh(option)]
    service: Vec<String>,
    /// a building (as often as wanted; none: all)
    #[argh(option)]
    building: Vec<String>,
    /// a customer (as often as wanted; none: all)
    #[argh(option)]
    customer: Vec<String>,
}

/// Exempts an edition from a freeze until a time; it lasts over restarts.
#[derive(FromArgs)]
#[argh(subcommand, name = "exempt")]
struct Exempt {
    /// the operator's file
    #[argh(option, default = "default()")]
    releases: String,
    /// its name
    #[argh(positional)]
    name: String,
    /// the freeze
    #[argh(option)]
    freeze: String,
    /// the service
    #[argh(option)]
    service: String,
    /// the build
    #[argh(option)]
    build: u32,
    /// until when: '2026-12-01 18:00'
    #[argh(option)]
    until: String,
    /// why
    #[argh(option)]
    reason: String,
}

/// Says of an edition, of another service for one, that it may go on or goes back.
#[derive(FromArgs)]
#[argh(subcommand, name = "say")]
struct Say {
    /// the operator's file
    #[argh(option, default = "default()")]
    releases: String,
    /// the service
    #[argh(positional)]
    service: String,
    /// the build
    #[argh(positional)]
    build: u32,
    /// on or back
    #[argh(positional)]
    verdict: String,
}

fn default() -> String {
    "deploy/releases.json5".into()
}

fn ask(file: &str, call: &AdminRequest) -> Result<Value, String> {
    admin::call(Settings::from_file(file)?.admin, call)
}

fn now() -> i64 {
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    now.map_or(0, |time| time.as_secs() as i64)
}

/// Carries a call out.
pub fn run(releases: Releases) -> Result<(), String> {
    match releases.call {
        What::Check(Check { releases }) => println!("{}", Settings::from_file(&releases)?.summary()),
        What::Plan(Plan { releases, fresh, chart: to, json }) => {
            let settings = Settings::from_file(&releases)?;
            let engine = Engine::new(
                settings.model.clone(),
                State::default(),
                settings.table_life_ms,
                settings.grace_s,
            );
            if let Some(to) = to {
                let schedule = Planner::new(&settings.model, engine.state(), now())?.schedule();
                let text = chart::render_svg(&settings.model, &schedule, now())?;
                std::fs::write(&to, text).map_err(|problem| format!("{to}: {problem}"))?;
            }
            let running = if fresh { None } else { admin::call(settings.admin, &AdminRequest::Plan).ok() };
            let plan = running.map_or_else(|| host::plan(&engine, now()), Ok)?;
            print(&plan, json, |plan| plan_lines(plan, &settings));
        }
        What::Explain(Explain { releases, building, customer, json, service, build }) => {
            let told = ask(&releases, &AdminRequest::Explain { service, build, building, customer })?;
            print(&told, json, |told| rows(&told["buildings"], &told["edition"]));
        }
        What::Status(Status { releases, json }) => {
            let told = ask(&releases, &AdminRequest::Status)?;
            print(&told, json, |told| {
                format!("table {}\n{}", told["table"], rows(&told["editions"], &Value::Null))
            });
        }
        What::Freeze(Freeze { releases, name, from, to, mode, service, building, customer }) => {
            let text = FreezeSettings {
                name,
                services: service,
                buildings: building,
                customers: customer,
                from,
                to,
                mode,
            };
            println!("in force: {}", ask(&releases, &AdminRequest::Freeze(text))?);
        }
        What::Exempt(Exempt { releases, name, freeze, service, build, until, reason }) => {
            let text = ExemptionSettings { name, reason, freeze, service, build, until };
            println!("in force: {}", ask(&releases, &AdminRequest::Exempt(text))?);
        }
        What::Say(Say { releases, service, build, verdict }) => {
            println!(
                "said of {}",
                ask(&releases, &AdminRequest::SetVerdict { service, build, verdict })?["edition"]
            );
        }
    }
    Ok(())
}

fn print(value: &Value, json: bool, lines: impl Fn(&Value) -> String) {
    if json {
        println!("{value}");
    } else {
        print!("{}", lines(value));
    }
}

fn text(value: &Value) -> String {
    value.as_str().map_or_else(|| value.to_string(), str::to_string)
}

/// Why something waits, in words.
fn why(wait: &Value) -> String {
    match wait["why"].as_str().unwrap_or("") {
        "sent_back" => "it was sent back".into(),
        "freeze" => format!("freeze {} until {}", text(&wait["name"]), wait["until"]),
        "need" => format!("needs {}, out in {} of {}", text(&wait["what"]), wait["out"], wait["of"]),
        "order" => format!("{} goes first", text(&wait["before"])),
        "building" => format!("building {} goes first", text(&wait["before"])),
        "budget" => {
            let held: Vec<String> = wait["held_by"].as_array().into_iter().flatten().map(text).collect();
            format!("the budget of {} is held by {}", text(&wait["of"]), held.join(", "))
        }
        _ => "the decision module has not stood for it yet".into(),
    }
}

fn rows(list: &Value, edition: &Value) -> String {
    let mut out = String::new();
    for row in list.as_array().into_iter().flatten() {
        let name = if row["edition"].is_null() { edition } else { &row["edition"] };
        let waits: Vec<String> = row["waits"].as_array().into_iter().flatten().map(why).collect();
        let carries = match row["carries_the_customer"].as_bool() {
            Some(true) => "; carries the customer",
            Some(false) => "; does not carry the customer",
            None => "",
        };
        out += &format!(
            "{:20} {:12} {:10} {} out{carries}{}{}\n",
            text(name),
            text(&row["building"]),
            text(&row["phase"]),
            row["tranches_out"],
            if waits.is_empty() { "" } else { "; waits: " },
            waits.join("; ")
        );
    }
    out
}

fn plan_lines(plan: &Value, settings: &Settings) -> String {
    let local = |time: &Value| {
        let stamp =
            jiff::Timestamp::from_second(time.as_i64().unwrap_or(0)).unwrap_or(jiff::Timestamp::UNIX_EPOCH);
        settings.zone.to_datetime(stamp).strftime("%F %H:%M").to_string()
    };
    let mut out = String::new();
    for step in plan["steps"].as_array().into_iter().flatten() {
        out += &format!(
            "{}  {}  {:20} {:12} tranche {}\n",
            local(&step["start"]),
            local(&step["end"]),
            text(&step["edition"]),
            text(&step["building"]),
            step["tranche"]
        );
    }
    for stuck in plan["stuck"].as_array().into_iter().flatten() {
        out += &format!("never: {}: {}\n", text(&stuck["edition"]), text(&stuck["why"]));
    }
    let best = if plan["best"] == true { "no plan is sooner" } else { "a sooner plan may exist" };
    out + &format!(
        "all out {}; none before {}; {best}\n",
        local(&plan["finish"]),
        local(&plan["no_plan_before"])
    )
}
