//! Checks a deploy file as the platform reads it.

use milletwing_metrics::Endpoint;
use serde::Deserialize;
use std::collections::{BTreeMap, BTreeSet};

#[derive(Deserialize)]
struct Deploy {
    build: String,
    roles: BTreeMap<String, Role>,
    /// System packages that a clean build needs.
    #[serde(default)]
    packages: Vec<String>,
}

#[derive(Deserialize)]
struct Role {
    run: String,
    on: String,
    share: Option<f64>,
    count: Option<u32>,
    #[serde(default)]
    serves: Vec<String>,
    metrics: Option<String>,
}

/// Says what the file starts where, or which line is wrong.
pub fn check(text: &str) -> Result<String, String> {
    let deploy: Deploy = toml::from_str(text).map_err(|problem| problem.to_string())?;
    if deploy.build.trim().is_empty() || deploy.roles.is_empty() {
        return Err("build and at least one role are wanted".into());
    }
    if let Some(package) = deploy.packages.iter().find(|name| name.trim().is_empty()) {
        return Err(format!("packages: {package:?} names none"));
    }
    let mut served = BTreeSet::new();
    let mut said = Vec::new();
    for (name, role) in &deploy.roles {
        let wrong = |what: &str| Err(format!("roles.{name}: {what}"));
        if role.run.split_whitespace().next().is_none() {
            return wrong("run names no program");
        }
        match (role.share, role.count) {
            (Some(share), None) if share > 0.0 && share <= 1.0 => {}
            (None, Some(1..)) => {}
            _ => return wrong("either share (more than 0, at most 1) or count (1 or more) is wanted"),
        }
        if let Some(problem) = role.metrics.as_ref().and_then(|text| text.parse::<Endpoint>().err()) {
            return wrong(&format!("metrics: {problem}"));
        }
        for plane in &role.serves {
            if !["edge", "control", "directory"].contains(&plane.as_str()) {
                return wrong(&format!("serves {plane}, which is none of edge, control, directory"));
            }
            if !served.insert((role.on.clone(), plane.clone())) {
                return wrong(&format!("another role serves {plane} on {} as well", role.on));
            }
        }
        said.push(format!("{name}: {} on {} machines, serves {}", role.run, role.on, role.serves.join(", ")));
    }
    for plane in ["edge", "control", "directory"] {
        if !served.iter().any(|(_, it)| it == plane) {
            return Err(format!("no role serves {plane}"));
        }
    }
    Ok(said.join("\n"))
}
