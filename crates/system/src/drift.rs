//! Operators' calls on drift: which edges route by something else than what was agreed, and what is done about it.

use crate::calls::follow;
use clap::ArgMatches;
use serde_json::Value;

/// Makes a call and prints its answer, in words or as it is. Errors are for operators.
pub async fn call(given: &ArgMatches) -> Result<(), String> {
    let Some((name, given)) = given.subcommand() else {
        return Err("list, show or explain is wanted".into());
    };
    let word = |name: &str| given.get_one::<String>(name).map_or("", String::as_str);
    let core = word("core");
    if name == "explain" {
        return explain(core, word("attempt"), given.get_flag("json")).await;
    }
    let mut known = read(core, "/milletwing/drift").await?;
    if name == "show" {
        let edge = word("edge");
        for list in ["edges", "repairs"] {
            if let Some(list) = known.get_mut(list).and_then(Value::as_array_mut) {
                list.retain(|it| it.get("edge").and_then(Value::as_str) == Some(edge));
            }
        }
        if known["edges"].as_array().is_none_or(Vec::is_empty)
            && known["repairs"].as_array().is_none_or(Vec::is_empty)
        {
            return Err(format!("{core}: there is no edge {edge}"));
        }
    }
    if given.get_flag("json") {
        println!("{known:#}");
        return Ok(());
    }
    if known["allInDoubt"] == Value::Bool(true) {
        println!(
            "most edges seem to have drifted: the core's own view is in doubt, and nothing is done to any"
        );
    }
    for edge in known["edges"].as_array().into_iter().flatten() {
        let since = edge["driftedMs"].as_u64().map_or(String::new(), |ms| format!(", for {ms} ms"));
        let step = edge["step"].as_str().map_or(String::new(), |step| format!(", step {step}"));
        println!("{} in {}: {}{since}{step}", text(&edge["edge"]), text(&edge["zone"]), text(&edge["state"]));
    }
    for repair in known["repairs"].as_array().into_iter().flatten() {
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
            known["digestsChecked"], known["digestsThatDiffered"], known["decisionsChecked"], known["decisionsThatDiffered"]
        );
    }
    Ok(())
}

/// Prints who is taken out, or found gone, by whom.
pub async fn suspects(given: &ArgMatches) -> Result<(), String> {
    let Some((name, given)) = given.subcommand() else { return Err("list or show is wanted".into()) };
    let word = |name: &str| given.get_one::<String>(name).map_or("", String::as_str);
    let mut known = read(word("core"), "/milletwing/suspects").await?;
    let mut hosts = known["suspects"].as_array_mut().map(std::mem::take).unwrap_or_default();
    if name == "show" {
        hosts.retain(|it| it["marshal"].as_str() == Some(word("marshal")));
        if hosts.is_empty() {
            return Err(format!("{}: nobody suspects {}", word("core"), word("marshal")));
        }
    }
    if given.get_flag("json") {
        println!("{:#}", Value::from(hosts));
        return Ok(());
    }
    for it in hosts {
        let list =
            |name: &str| it[name].as_array().into_iter().flatten().map(text).collect::<Vec<_>>().join(" ");
        let out = if it["out"] == Value::Bool(true) { "taken out" } else { "in rotation" };
        let answered = it["answeredMs"].as_u64().map_or("never".into(), |ms| format!("{ms} ms ago"));
        println!(
            "{} of {} in {}: {out}; found gone by: {}; looked at by: {}; answered anyone: {answered}",
            text(&it["marshal"]),
            text(&it["service"]),
            text(&it["zone"]),
            list("foundGoneBy"),
            list("lookedAtBy")
        );
    }
    Ok(())
}

fn text(value: &Value) -> &str {
    value.as_str().unwrap_or("?")
}

async fn read(core: &str, path: &str) -> Result<Value, String> {
    let text = follow(core, "GET", path, None, Vec::new()).await?;
    serde_json::from_str(&text).map_err(|problem| format!("{core}: {problem}"))
}

/// Asks every machine of the core: each knows what its own edges told it.
async fn explain(core: &str, attempt: &str, json: bool) -> Result<(), String> {
    let members = read(core, "/milletwing/members").await?;
    let port = core.rsplit_once(':').map_or("8544", |(_, port)| port);
    let path = format!("/milletwing/decisions/{attempt}");
    let mut found = Vec::new();
    for member in members["members"].as_array().into_iter().flatten() {
        // One that is down has nothing to tell now; the others may.
        if let Ok(mut told) = read(&format!("{}:{port}", text(member)), &path).await {
            found.extend(told["decisions"].as_array_mut().map(std::mem::take).unwrap_or_default());
        }
    }
    if found.is_empty() {
        return Err(format!("{core}: {attempt} was not sampled, or too long ago"));
    }
    for it in found {
        if json {
            println!("{it}");
        } else {
            println!(
                "{} ms ago {} sent {}{} by route {} to {} of {}: {}",
                it["agoMs"],
                text(&it["edge"]),
                text(&it["host"]),
                text(&it["path"]),
                text(&it["route"]),
                text(&it["marshal"]),
                text(&it["service"]),
                text(&it["found"])
            );
        }
    }
    Ok(())
}
