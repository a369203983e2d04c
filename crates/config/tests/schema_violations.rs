//! Sets each field of the API schema to values that the schema rules out. All of them must be refused, also in parts of the
//! configuration that are not in use. A field that is added to the schema is tested automatically.

use milletwing_config::Configuration;
use serde_json::{json, Value};

const SCHEMA: &str = include_str!("../../../api/control.json");

/// A valid configuration that contains each field of the schema.
fn complete_configuration() -> Value {
    json!({"revision": 7,
        "routing": {"r": {"domain": "h.example", "pathPrefix": "/a/", "trafficClass": "idempotent", "guardS": 5, "targetS": 0.8,
            "priority": 1, "target": "s", "distribution": [{"target": "s", "share": 90}, {"target": "t", "share": 10}], "maxTries": 2,
            "servingRegions": ["north"], "keyless": true}},
        "targets": {"s": {"probePath": "/health", "maxSessions": 110, "warmupS": 3, "warmupPerS": 2.6}, "t": {}},
        "thresholds": {"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerGuardS": 3, "idleGuardS": 15},
        "subscribers": {"n": {"credentials": ["key"], "priority": 1, "servingRegions": ["north"]}}})
}

/// Follows the reference of a schema, if it is one.
fn resolve_reference<'a>(schemas: &'a Value, schema: &'a Value) -> &'a Value {
    let name = schema["$ref"].as_str().and_then(|name| name.rsplit('/').next());
    name.map_or(schema, |name| &schemas[name])
}

/// Collects the JSON pointers of all fields below a schema, each with its schema. `complete` gives the names of map entries.
fn fields(schemas: &Value, schema: &Value, complete: &Value, pointer: &str, out: &mut Vec<(String, Value)>) {
    let schema = resolve_reference(schemas, schema);
    out.push((pointer.into(), schema.clone()));
    if let Some(properties) = schema["properties"].as_object() {
        for (name, property) in properties {
            assert!(!complete[name].is_null(), "{pointer}/{name} is missing from the complete configuration");
            fields(schemas, property, &complete[name], &format!("{pointer}/{name}"), out);
        }
    }
    if schema["additionalProperties"].is_object() {
        let (name, entry) = complete.as_object().unwrap().iter().next().unwrap();
        fields(schemas, &schema["additionalProperties"], entry, &format!("{pointer}/{name}"), out);
    }
    if schema["items"].is_object() {
        fields(schemas, &schema["items"], &complete[0], &format!("{pointer}/0"), out);
    }
}

/// Returns values that are invalid for a field of this schema.
fn invalid_values(pointer: &str, schema: &Value) -> Vec<Value> {
    let candidates = [json!("text"), json!(1.5), json!(true), json!([]), json!([1]), json!({"a": 1})];
    let matches_type = |value: &Value| match schema["type"].as_str().unwrap() {
        "string" => value.is_string(),
        "number" => value.is_number(),
        "integer" => value.is_i64(),
        "boolean" => value.is_boolean(),
        "array" => value.is_array(),
        _ => value.is_object(),
    };
    let mut out: Vec<Value> = candidates.into_iter().filter(|value| !matches_type(value)).collect();
    if let Some(minimum) = schema["minimum"].as_f64() {
        out.push(if schema["type"] == "integer" { json!(minimum as i64 - 1) } else { json!(minimum - 0.5) });
    }
    if let Some(maximum) = schema["maximum"].as_f64() {
        out.push(json!(maximum + 0.5));
    }
    if schema["enum"].is_array() || pointer.ends_with("/target") {
        out.push(json!("nobody"));
    }
    out
}

#[test]
fn invalid_values_and_duplicates_of_each_field_are_refused() {
    let document: Value = serde_json::from_str(SCHEMA).unwrap();
    let (schemas, complete) = (&document["components"]["schemas"], complete_configuration());
    let parse = |configuration: &Value| Configuration::parse(configuration.to_string().as_bytes());
    assert!(parse(&complete).is_ok(), "{:?}", parse(&complete));
    let mut found = Vec::new();
    fields(schemas, &schemas["Configuration"], &complete, "", &mut found);
    let (mut accepted, mut tested) = (Vec::new(), 0);
    for (pointer, schema) in &found {
        for value in invalid_values(pointer, schema) {
            let mut configuration = complete.clone();
            *configuration.pointer_mut(pointer).unwrap() = value.clone();
            tested += 1;
            if parse(&configuration).is_ok() {
                accepted.push(format!("{pointer} = {value}"));
            }
        }
        // The field is duplicated.
        if let Some((_, name)) = pointer.rsplit_once('/').filter(|(_, name)| name.parse::<usize>().is_err()) {
            let marked = {
                let mut configuration = complete.clone();
                let value = configuration.pointer_mut(pointer).unwrap();
                let original = value.take();
                *value = json!("MARK");
                (configuration.to_string(), original)
            };
            let twice = format!("{},\"{name}\":{}", marked.1, marked.1);
            tested += 1;
            if Configuration::parse(marked.0.replace("\"MARK\"", &twice).as_bytes()).is_ok() {
                accepted.push(format!("{pointer} twice"));
            }
        }
    }
    assert!(tested > 100, "{tested}");
    assert!(accepted.is_empty(), "accepted: {accepted:#?}");
}

/// A configuration that an earlier version accepted can be decoded although it would be refused today: only new ones are
/// validated.
#[test]
fn a_configuration_accepted_earlier_can_still_be_decoded() {
    let mut configuration = complete_configuration();
    configuration["thresholds"] = json!([16384, 1, 3, 15]);
    configuration["targets"]["t"]["warmupS"] = json!(-1);
    let text = configuration.to_string();
    assert!(Configuration::parse(text.as_bytes()).is_err());
    let decoded = Configuration::decode(text.as_bytes()).unwrap();
    assert_eq!(decoded.thresholds.unwrap().max_body_bytes, 1);
}
