//! The API's file and the code name the same calls.

use milletwing_control_plane::ROUTES;
use std::collections::BTreeSet;

#[test]
fn the_file_and_the_code_name_the_same_calls() {
    let text =
        std::fs::read_to_string(concat!(env!("CARGO_MANIFEST_DIR"), "/../../api/control.json")).unwrap();
    let file: serde_json::Value = serde_json::from_str(&text).unwrap();
    assert_eq!(file["openapi"].as_str().map(|version| version.starts_with("3.")), Some(true));
    let mut told = BTreeSet::new();
    for (path, calls) in file["paths"].as_object().unwrap() {
        for (method, call) in calls.as_object().unwrap() {
            told.insert((method.to_uppercase(), path.clone()));
            let parameters = call["parameters"].as_array().cloned().unwrap_or_default();
            for name in path.split('/').filter_map(|part| part.strip_prefix('{')?.strip_suffix('}')) {
                let named = |it: &serde_json::Value| it["name"] == name && it["in"] == "path";
                assert!(parameters.iter().any(named), "{method} {path} does not describe {name}");
            }
            assert!(call["responses"]["200"].is_object(), "{method} {path}");
        }
    }
    let known: BTreeSet<_> =
        ROUTES.iter().map(|(method, path)| (method.to_string(), path.to_string())).collect();
    assert_eq!(told, known);
}
