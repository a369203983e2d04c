//! Operators' calls about drift, that is, edges whose routing state differs from the state that the
//! core agreed on, with the repair steps; and about marshals that are taken out of rotation or that
//! edges find gone.

use crate::calls::request;
use clap::ArgMatches;
use serde_json::Value;

/// Makes one of the `drift` calls and prints the result, as text or as JSON. Errors are messages
/// for operators.
pub async fn drift(matches: &ArgMatches) -> Result<(), String> {
    let Some((name, matches)) = matches.subcommand() else {
        return Err("expected list, show or explain".into());
    };
    let argument = |name: &str| matches.get_one::<String>(name).map_or("", String::as_str);
    let core = argument("core");
    if name == "explain" {
        return explain(core, argument("attempt"), matches.get_flag("json")).await;
    }
    let mut report = get_json(core, "/milletwing/drift").await?;
    if name == "show" {
        let edge = argument("edge");
        for list in ["edges", "repairs"] {
            if let Some(list) = report.get_mut(list).and_then(Value::as_array_mut) {
                list.retain(|item| item.get("edge").and_then(Value::as_str) == Some(edge));
            }
        }
        if report["edges"].as_array().is_none_or(Vec::is_empty)
            && report["repairs"].as_array().is_none_or(Vec::is_empty)
        {
            return Err(format!("{core}: there is no edge {edge}"));
        }
    }
    if matches.get_flag("json") {
        println!("{report:#}");
        return Ok(());
    }
    if report["allInDoubt"] == Value::Bool(true) {
        println!(
            "most edges seem to have drifted: the core's own view is in doubt, and nothing is done to any"
        );
    }
    for edge in report["edges"].as_array().into_iter().flatten() {
        let since = edge["driftedMs"].as_u64().map_or(String::new(), |ms| format!(", for {ms} ms"));
        let step = edge["step"].as_str().map_or(String::new(), |step| format!(", step {step}"));
        println!("{} in {}: {}{since}{step}", text(&edge["edge"]), text(&edge["zone"]), text(&edge["state"]));
    }
    for repair in report["repairs"].as_array().into_iter().flatten() {
        println!(
            "entry {}: {}: {} ({})",
            repair["entry"],
            text(&repair["edge"]),
            text(&repair["step"]),
            text(&repair["why"])
        );
    }
    if name == "list" {
        println!(
            "digests: {} checked, {} differed; decisions: {} checked, {} differed (at the leader's own edges)",
            report["digestsChecked"], report["digestsThatDiffered"], report["decisionsChecked"], report["decisionsThatDiffered"]
        );
    }
    Ok(())
}

/// Makes one of the `suspects` calls: prints the marshals that are taken out of rotation or that
/// edges find gone, with the edges that found this.
pub async fn suspects(matches: &ArgMatches) -> Result<(), String> {
    let Some((name, matches)) = matches.subcommand() else { return Err("expected list or show".into()) };
    let argument = |name: &str| matches.get_one::<String>(name).map_or("", String::as_str);
    let mut report = get_json(argument("core"), "/milletwing/suspects").await?;
    let mut suspects = report["suspects"].as_array_mut().map(std::mem::take).unwrap_or_default();
    if name == "show" {
        suspects.retain(|suspect| suspect["marshal"].as_str() == Some(argument("marshal")));
        if suspects.is_empty() {
            return Err(format!("{}: nobody suspects {}", argument("core"), argument("marshal")));
        }
    }
    if matches.get_flag("json") {
        println!("{:#}", Value::from(suspects));
        return Ok(());
    }
    for suspect in suspects {
        let list = |name: &str| {
            suspect[name].as_array().into_iter().flatten().map(text).collect::<Vec<_>>().join(" ")
        };
        let rotation = if suspect["out"] == Value::Bool(true) { "taken out" } else { "in rotation" };
        let answered = suspect["answeredMs"].as_u64().map_or("never".into(), |ms| format!("{ms} ms ago"));
        println!(
            "{} of {} in {}: {rotation}; found gone by: {}; looked at by: {}; answered anyone: {answered}",
            text(&suspect["marshal"]),
            text(&suspect["service"]),
            text(&suspect["zone"]),
            list("foundGoneBy"),
            list("lookedAtBy")
        );
    }
    Ok(())
}

fn text(value: &Value) -> &str {
    value.as_str().unwrap_or("?")
}

async fn get_json(core: &str, path: &str) -> Result<Value, String> {
    let text = request(core, "GET", path, None, Vec::new()).await?;
    serde_json::from_str(&text).map_err(|error| format!("{core}: {error}"))
}

/// Prints the sampled decisions for one request. All machines of the core are asked, because each
/// holds only the samples that its own edges reported.
async fn explain(core: &str, attempt: &str, json: bool) -> Result<(), String> {
    let members = get_json(core, "/milletwing/members").await?;
    let port = core.rsplit_once(':').map_or("8544", |(_, port)| port);
    let path = format!("/milletwing/decisions/{attempt}");
    let mut decisions = Vec::new();
    for member in members["members"].as_array().into_iter().flatten() {
        // A machine that does not respond is skipped; the others may hold the samples.
        if let Ok(mut response) = get_json(&format!("{}:{port}", text(member)), &path).await {
            decisions.extend(response["decisions"].as_array_mut().map(std::mem::take).unwrap_or_default());
        }
    }
    if decisions.is_empty() {
        return Err(format!("{core}: {attempt} was not sampled, or too long ago"));
    }
    for decision in decisions {
        if json {
            println!("{decision}");
        } else {
            println!(
                "{} ms ago {} sent {}{} by route {} to {} of {}: {}",
                decision["agoMs"],
                text(&decision["edge"]),
                text(&decision["host"]),
                text(&decision["path"]),
                text(&decision["route"]),
                text(&decision["marshal"]),
                text(&decision["service"]),
                text(&decision["found"])
            );
        }
    }
    Ok(())
}
