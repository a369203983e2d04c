//! Imports among the files of every package run one way. Guards against types that live with one of their users.

use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;

/// Names behind `crate::`, wherever they stand in a line of code.
fn imports(text: &str) -> BTreeSet<String> {
    let code = text.lines().filter(|line| !line.trim_start().starts_with("//"));
    let names = code.flat_map(|line| line.split("crate::").skip(1));
    names.map(|rest| rest.chars().take_while(|c| c.is_alphanumeric() || *c == '_').collect()).collect()
}

/// Takes away files that import nothing which is left, until none is or the rest is a circle.
fn circle(mut files: BTreeMap<String, BTreeSet<String>>) -> Vec<String> {
    while let Some(free) = files
        .iter()
        .find(|(_, needs)| !needs.iter().any(|need| files.contains_key(need)))
        .map(|(name, _)| name.clone())
    {
        files.remove(&free);
    }
    files.into_keys().collect()
}

fn files(folder: &Path) -> BTreeMap<String, BTreeSet<String>> {
    let found = std::fs::read_dir(folder).into_iter().flatten().map(|entry| entry.unwrap().path());
    let code = found.filter(|path| {
        path.extension().is_some_and(|end| end == "rs")
            && !path.ends_with("lib.rs")
            && !path.ends_with("main.rs")
    });
    code.map(|path| {
        let name = path.file_stem().unwrap().to_string_lossy().into_owned();
        let needs = imports(&std::fs::read_to_string(path).unwrap());
        (name.clone(), needs.into_iter().filter(|need| *need != name).collect())
    })
    .collect()
}

#[test]
fn no_file_is_in_a_circle_of_imports() {
    let crates = Path::new(env!("CARGO_MANIFEST_DIR")).join("..");
    let (mut seen, mut circles) = (0, Vec::new());
    for package in std::fs::read_dir(crates).unwrap() {
        let folder = package.unwrap().path().join("src");
        let files = files(&folder);
        seen += files.len();
        circles
            .extend(Some(circle(files)).filter(|circle| !circle.is_empty()).map(|circle| (folder, circle)));
    }
    assert_eq!(circles, Vec::new());
    assert!(seen > 60, "{seen} files");
    // The check can fail: what it guards against, put back.
    let mut old = files(&Path::new(env!("CARGO_MANIFEST_DIR")).join("src"));
    old.get_mut("ports").unwrap().insert("route".into());
    assert!(circle(old).contains(&"route".to_string()));
}
