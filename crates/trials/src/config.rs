//! Configurations of instances, made from the example's.

use milletwing_marshal::Config;
use serde_json::{json, Value};
use std::net::SocketAddr;

const EXAMPLE: &str = include_str!("../../../examples/marshal.json");

/// A marshal's configuration as text; `change` may alter the settings in it.
pub fn marshal(
    name: &str,
    discovery: SocketAddr,
    platform: SocketAddr,
    change: impl FnOnce(&mut Value),
) -> Result<String, String> {
    let mut value: Value = serde_json::from_str(EXAMPLE).map_err(|problem| problem.to_string())?;
    value["name"] = json!(name);
    value["listen"] = json!("127.0.0.1:0");
    value["discovery"] = json!(discovery.to_string());
    value["platform"]["address"] = json!(platform.to_string());
    change(&mut value);
    Ok(value.to_string())
}

/// Reads it as a marshal would, without the variables of whoever runs the trial.
pub fn read(text: &str) -> Result<Config, String> {
    Config::read(text, |_| None)
}
