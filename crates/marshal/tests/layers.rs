//! The imports between the source files of every package form no cycle. Guards against shared types that are defined in
//! one of the files that use them.

use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;

/// The names after `crate::` in lines of code.
fn imports(text: &str) -> BTreeSet<String> {
    let code = text.lines().filter(|line| !line.trim_start().starts_with("//"));
    let names = code.flat_map(|line| line.split("crate::").skip(1));
    names.map(|rest| rest.chars().take_while(|c| c.is_alphanumeric() || *c == '_').collect()).collect()
}

/// Removes files without imports among the remaining ones, until none is left or the rest forms a cycle.
fn find_cycle(mut files: BTreeMap<String, BTreeSet<String>>) -> Vec<String> {
    while let Some(leaf) = files
        .iter()
        .find(|(_, imported)| !imported.iter().any(|need| files.contains_key(need)))
        .map(|(name, _)| name.clone())
    {
        files.remove(&leaf);
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
        let imported = imports(&std::fs::read_to_string(path).unwrap());
        (name.clone(), imported.into_iter().filter(|need| *need != name).collect())
    })
    .collect()
}

#[test]
fn no_file_is_in_an_import_cycle() {
    let crates = Path::new(env!("CARGO_MANIFEST_DIR")).join("..");
    let (mut seen, mut cycles) = (0, Vec::new());
    for package in std::fs::read_dir(crates).unwrap() {
        let folder = package.unwrap().path().join("src");
        let files = files(&folder);
        seen += files.len();
        cycles.extend(Some(find_cycle(files)).filter(|cycle| !cycle.is_empty()).map(|cycle| (folder, cycle)));
    }
    assert_eq!(cycles, Vec::new());
    assert!(seen > 60, "{seen} files");
    // The check detects a cycle: a former circular import, put back.
    let mut with_cycle = files(&Path::new(env!("CARGO_MANIFEST_DIR")).join("src"));
    with_cycle.get_mut("ports").unwrap().insert("route".into());
    assert!(find_cycle(with_cycle).contains(&"route".to_string()));
}
