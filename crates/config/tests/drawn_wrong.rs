//! Each field of a configuration, as the schema names them, wrong in each way that its schema rules out: all are refused, also in
//! parts that are not in use. A field that is added to the schema is drawn as well.

use milletwing_config::Configuration;
use serde_json::{json, Value};

const SCHEMA: &str = include_str!("../../../api/control.json");

/// A valid configuration in which each field of the schema stands.
fn whole() -> Value {
    json!({"revision": 7,
        "routing": {"r": {"domain": "h.example", "pathPrefix": "/a/", "trafficClass": "idempotent", "guardS": 5, "targetS": 0.8,
            "priority": 1, "target": "s", "distribution": [{"target": "s", "share": 90}, {"target": "t", "share": 10}], "maxTries": 2,
            "servingRegions": ["north"], "keyless": true}},
        "targets": {"s": {"probePath": "/health", "maxSessions": 110, "warmupS": 3, "warmupPerS": 2.6}, "t": {}},
        "thresholds": {"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerGuardS": 3, "idleGuardS": 15},
        "subscribers": {"n": {"credentials": ["key"], "priority": 1, "servingRegions": ["north"]}}})
}

fn resolved<'a>(schemas: &'a Value, schema: &'a Value) -> &'a Value {
    let name = schema["$ref"].as_str().and_then(|name| name.rsplit('/').next());
    name.map_or(schema, |name| &schemas[name])
}

/// The places of all fields below a schema, with the schema of each; entries of tables by the name that the whole one has.
fn fields(schemas: &Value, schema: &Value, whole: &Value, at: &str, out: &mut Vec<(String, Value)>) {
    let schema = resolved(schemas, schema);
    out.push((at.into(), schema.clone()));
    if let Some(properties) = schema["properties"].as_object() {
        for (name, property) in properties {
            assert!(!whole[name].is_null(), "{at}/{name} stands in the schema alone");
            fields(schemas, property, &whole[name], &format!("{at}/{name}"), out);
        }
    }
    if schema["additionalProperties"].is_object() {
        let (name, entry) = whole.as_object().unwrap().iter().next().unwrap();
        fields(schemas, &schema["additionalProperties"], entry, &format!("{at}/{name}"), out);
    }
    if schema["items"].is_object() {
        fields(schemas, &schema["items"], &whole[0], &format!("{at}/0"), out);
    }
}

/// What a field of this schema can't hold.
fn wrong(at: &str, schema: &Value) -> Vec<Value> {
    let all = [json!("text"), json!(1.5), json!(true), json!([]), json!([1]), json!({"a": 1})];
    let holds = |value: &Value| match schema["type"].as_str().unwrap() {
        "string" => value.is_string(),
        "number" => value.is_number(),
        "integer" => value.is_i64(),
        "boolean" => value.is_boolean(),
        "array" => value.is_array(),
        _ => value.is_object(),
    };
    let mut out: Vec<Value> = all.into_iter().filter(|value| !holds(value)).collect();
    if let Some(least) = schema["minimum"].as_f64() {
        out.push(if schema["type"] == "integer" { json!(least as i64 - 1) } else { json!(least - 0.5) });
    }
    if let Some(most) = schema["maximum"].as_f64() {
        out.push(json!(most + 0.5));
    }
    if schema["enum"].is_array() || at.ends_with("/target") {
        out.push(json!("nobody"));
    }
    out
}

#[test]
fn each_field_is_refused_in_each_way_in_which_it_is_wrong() {
    let document: Value = serde_json::from_str(SCHEMA).unwrap();
    let (schemas, whole) = (&document["components"]["schemas"], whole());
    let read = |configuration: &Value| Configuration::parse(configuration.to_string().as_bytes());
    assert!(read(&whole).is_ok(), "{:?}", read(&whole));
    let mut found = Vec::new();
    fields(schemas, &schemas["Configuration"], &whole, "", &mut found);
    let (mut taken, mut drawn) = (Vec::new(), 0);
    for (at, schema) in &found {
        for value in wrong(at, schema) {
            let mut configuration = whole.clone();
            *configuration.pointer_mut(at).unwrap() = value.clone();
            drawn += 1;
            if read(&configuration).is_ok() {
                taken.push(format!("{at} = {value}"));
            }
        }
        // The same field twice.
        if let Some((_, name)) = at.rsplit_once('/').filter(|(_, name)| name.parse::<usize>().is_err()) {
            let marked = {
                let mut configuration = whole.clone();
                let value = configuration.pointer_mut(at).unwrap();
                let before = value.take();
                *value = json!("MARK");
                (configuration.to_string(), before)
            };
            let twice = format!("{},\"{name}\":{}", marked.1, marked.1);
            drawn += 1;
            if Configuration::parse(marked.0.replace("\"MARK\"", &twice).as_bytes()).is_ok() {
                taken.push(format!("{at} twice"));
            }
        }
    }
    assert!(drawn > 100, "{drawn}");
    assert!(taken.is_empty(), "taken: {taken:#?}");
}

/// What an earlier version took holds, also where it is refused today: only what is to be taken is looked at so.
#[test]
fn what_was_agreed_earlier_can_still_be_read() {
    let mut configuration = whole();
    configuration["thresholds"] = json!([16384, 1, 3, 15]);
    configuration["targets"]["t"]["warmupS"] = json!(-1);
    let text = configuration.to_string();
    assert!(Configuration::parse(text.as_bytes()).is_err());
    let decoded = Configuration::decode(text.as_bytes()).unwrap();
    assert_eq!(decoded.thresholds.unwrap().max_body_bytes, 1);
}
