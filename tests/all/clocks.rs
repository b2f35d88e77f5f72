//! The product's processes measure ages and deadlines by the clock that counts the
//! time for which their machine was suspended.

use std::fs;
use std::path::{Path, PathBuf};

/// Crates of the processes that run on a box. The stand-ins, the load and the soak
/// are no such processes: they are what measures them.
const CRATES: [&str; 11] = [
    "claims",
    "core",
    "h1",
    "http",
    "membership",
    "placement",
    "process",
    "relay",
    "router",
    "steward",
    "store",
];
/// Ways to the clock that stands still, by which nothing is to be measured.
const STEADY: [&str; 2] = ["std::time::Instant", "Timer::at("];

fn sources(folder: &Path, found: &mut Vec<PathBuf>) {
    for entry in fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            sources(&path, found);
        } else if path.extension().is_some_and(|end| end == "rs") {
            found.push(path);
        }
    }
}

/// Whether a source names the steady clock's moment, by its path or by an import.
fn names_it(text: &str) -> bool {
    let imports = text.split("use std::time::{").skip(1);
    let mut imported = imports.filter_map(|rest| rest.split('}').next());
    imported.any(|names| names.split(',').any(|name| name.trim() == "Instant"))
        || STEADY.iter().any(|way| text.contains(way))
}

#[test]
fn no_process_of_a_box_measures_by_the_steady_clock() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let mut found = Vec::new();
    for name in CRATES {
        sources(&root.join("crates").join(name).join("src"), &mut found);
    }
    sources(&root.join("platform/src"), &mut found);
    assert!(found.len() > 100, "only {} sources", found.len());
    let texts = found
        .iter()
        .map(|path| (path, fs::read_to_string(path).unwrap()));
    let named: Vec<_> = texts
        .filter(|(_, text)| names_it(text))
        .map(|(path, _)| path)
        .collect();
    assert!(named.is_empty(), "{named:?}");
}

#[test]
fn the_steady_clock_is_found() {
    assert!(names_it("use std::time::{Duration, Instant};"));
    assert!(names_it("let at = std::time::Instant::now();"));
    assert!(names_it("Timer::at(deadline).await"));
    assert!(!names_it(
        "use std::time::Duration;\nuse tidepier_clock::Instant;"
    ));
}
