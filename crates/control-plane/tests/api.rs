//! The API description and the code list the same calls.

use milletwing_control_plane::ROUTES;
use std::collections::BTreeSet;

#[test]
fn the_description_and_the_code_list_the_same_calls() {
    let text =
        std::fs::read_to_string(concat!(env!("CARGO_MANIFEST_DIR"), "/../../api/control.json")).unwrap();
    let description: serde_json::Value = serde_json::from_str(&text).unwrap();
    assert_eq!(description["openapi"].as_str().map(|version| version.starts_with("3.")), Some(true));
    let mut described = BTreeSet::new();
    for (path, calls) in description["paths"].as_object().unwrap() {
        for (method, call) in calls.as_object().unwrap() {
            described.insert((method.to_uppercase(), path.clone()));
            let parameters = call["parameters"].as_array().cloned().unwrap_or_default();
            for name in path.split('/').filter_map(|part| part.strip_prefix('{')?.strip_suffix('}')) {
                let is_described =
                    |parameter: &serde_json::Value| parameter["name"] == name && parameter["in"] == "path";
                assert!(parameters.iter().any(is_described), "{method} {path} does not describe {name}");
            }
            assert!(call["responses"]["200"].is_object(), "{method} {path}");
        }
    }
    let implemented: BTreeSet<_> =
        ROUTES.iter().map(|(method, path)| (method.to_string(), path.to_string())).collect();
    assert_eq!(described, implemented);
}
