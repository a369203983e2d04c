//! Checks a deploy file by the rules that the platform reads it with.

use milletwing_metrics::Endpoint;
use serde::Deserialize;
use std::collections::{BTreeMap, BTreeSet};

#[derive(Deserialize)]
struct Deploy {
    /// The build command.
    build: String,
    roles: BTreeMap<String, Role>,
    /// System packages that a clean build needs.
    #[serde(default)]
    packages: Vec<String>,
}

#[derive(Deserialize)]
struct Role {
    /// The command that the role's machines run.
    run: String,
    /// The kind of machine that the role runs on.
    on: String,
    /// Fraction of these machines that run the role. Either this or `count` is set.
    share: Option<f64>,
    /// Number of these machines that run the role.
    count: Option<u32>,
    /// The planes that the role serves: edge, control, directory.
    #[serde(default)]
    serves: Vec<String>,
    metrics: Option<String>,
}

/// Returns a summary with a line for each role, or a message that names the invalid part of the
/// file.
pub fn check(text: &str) -> Result<String, String> {
    let deploy: Deploy = toml::from_str(text).map_err(|error| error.to_string())?;
    if deploy.build.trim().is_empty() || deploy.roles.is_empty() {
        return Err("build and at least one role are required".into());
    }
    if let Some(package) = deploy.packages.iter().find(|name| name.trim().is_empty()) {
        return Err(format!("packages: {package:?} is a blank name"));
    }
    let mut served = BTreeSet::new();
    let mut summary = Vec::new();
    for (name, role) in &deploy.roles {
        let invalid = |reason: &str| Err(format!("roles.{name}: {reason}"));
        if role.run.split_whitespace().next().is_none() {
            return invalid("run names no program");
        }
        match (role.share, role.count) {
            (Some(share), None) if share > 0.0 && share <= 1.0 => {}
            (None, Some(1..)) => {}
            _ => return invalid("either share (more than 0, at most 1) or count (1 or more) is required"),
        }
        if let Some(error) = role.metrics.as_ref().and_then(|text| text.parse::<Endpoint>().err()) {
            return invalid(&format!("metrics: {error}"));
        }
        for plane in &role.serves {
            if !["edge", "control", "directory"].contains(&plane.as_str()) {
                return invalid(&format!("serves {plane}, which is none of edge, control, directory"));
            }
            if !served.insert((role.on.clone(), plane.clone())) {
                return invalid(&format!("another role already serves {plane} on {}", role.on));
            }
        }
        summary.push(format!(
            "{name}: {} on {} machines, serves {}",
            role.run,
            role.on,
            role.serves.join(", ")
        ));
    }
    for plane in ["edge", "control", "directory"] {
        if !served.iter().any(|(_, served_plane)| served_plane == plane) {
            return Err(format!("no role serves {plane}"));
        }
    }
    Ok(summary.join("\n"))
}
