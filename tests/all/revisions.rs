//! Revisions of a store are compared with their eras: what is only a number says nothing
//! beside that of another era.

use std::fs;
use std::path::{Path, PathBuf};

/// Where numbers alone are compared, and how often: the order of revisions itself, what
/// the numbers of two eras tell of a copy, an entry that the store goes back to together
/// with what it names, and boxes that know no eras.
const ALLOWED: [(&str, usize); 4] = [
    ("crates/core/src/era.rs", 1),
    ("crates/relay/src/era_state.rs", 3),
    ("crates/relay/src/rollout/mod.rs", 1),
    ("crates/relay/src/follow/boxes.rs", 1),
];
const COMPARISONS: [&str; 6] = ["==", "!=", "<=", ">=", "<", ">"];

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

/// Whether a line compares the number of a revision.
fn compares(line: &str) -> bool {
    let line = line.replace("=>", "").replace("->", "");
    let spaced = |sign: &str| line.contains(&format!(" {sign} "));
    line.contains("number") && !line.trim_start().starts_with("//") && {
        let is_call = line.contains(".number()") || line.contains("self.number ");
        is_call && COMPARISONS.iter().any(|sign| spaced(sign))
    }
}

#[test]
fn no_numbers_of_revisions_are_compared() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let mut found = Vec::new();
    for entry in fs::read_dir(root.join("crates")).unwrap() {
        sources(&entry.unwrap().path().join("src"), &mut found);
    }
    sources(&root.join("platform/src"), &mut found);
    assert!(found.len() > 100, "only {} sources", found.len());
    for path in found {
        let name = path
            .strip_prefix(root)
            .unwrap()
            .to_str()
            .unwrap()
            .to_owned();
        let text = fs::read_to_string(&path).unwrap();
        let lines: Vec<&str> = text.lines().filter(|line| compares(line)).collect();
        let allowed = ALLOWED.iter().find(|(file, _)| *file == name);
        let allowed = allowed.map_or(0, |(_, count)| *count);
        assert!(lines.len() <= allowed, "{name}: {lines:#?}");
    }
}

#[test]
fn a_comparison_of_numbers_is_found() {
    for line in [
        "if known.number() < told.number() {",
        "    .filter(|row| row.revision().number() >= seen)",
        "self.number == 0",
    ] {
        assert!(compares(line), "{line}");
    }
    for line in [
        "Some(at) => at.number(),",
        "// whose .number() < 3",
        "fn number(self) -> u64 {",
    ] {
        assert!(!compares(line), "{line}");
    }
}
