//! The modules of the router, the relay and the soak need each other in one direction
//! only.
//!
//! A circle of modules can be understood, tested and changed as a whole alone.
//! This reads the sources of a crate and follows every path that starts with `crate`,
//! `super` or `self`, in a `use` or elsewhere.

use std::collections::{BTreeMap, BTreeSet};
use std::fs;
use std::path::Path;

/// Most modules that may all need each other; 1 is no circle.
const MOST: usize = 1;
/// Fewest modules and needs that a reading of the sources has to find: with
/// fewer, it is the reading that is broken.
const MODULES: usize = 18;
const NEEDS: usize = 30;

/// What each module needs.
type Graph = BTreeMap<String, BTreeSet<String>>;

#[test]
fn routers_modules_form_no_circle() {
    no_circle("router");
}

#[test]
fn relays_modules_form_no_circle() {
    no_circle("relay");
}

#[test]
fn soaks_modules_form_no_circle() {
    no_circle("soak");
}

fn no_circle(of: &str) {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join(format!("crates/{of}/src"));
    let mut sources = BTreeMap::new();
    read(&root, "", &mut sources);
    let graph = graph(&sources);
    let needs: usize = graph.values().map(BTreeSet::len).sum();
    assert!(graph.len() >= MODULES, "only {} modules", graph.len());
    assert!(needs >= NEEDS, "only {needs} needs");
    assert_eq!(circles(&graph), Vec::<Vec<String>>::new(), "by file");
    let folders = folders(&graph);
    assert_eq!(circles(&folders), Vec::<Vec<String>>::new(), "by folder");
}

#[test]
fn a_circle_of_modules_is_found() {
    let sources = [
        ("a", "use crate::b::{self, Thing};"),
        ("b", "use crate::{\n    d,\n    c::{One, Two},\n};"),
        ("c", "fn f() { crate::a::f(); } // crate::nothing"),
        ("d", ""),
        ("e", "mod f;"),
        ("e::f", "use super::g::Thing;"),
        ("e::g", "use super::f;\nuse crate::a;"),
    ];
    let sources = sources.map(|(name, text)| (name.to_string(), text.to_string()));
    let graph = graph(&sources.into());
    assert_eq!(circles(&graph), [vec!["a", "b", "c"], vec!["e::f", "e::g"]]);
    assert_eq!(circles(&folders(&graph)), [vec!["a", "b", "c"]]);
}

/// Reads all modules below `folder`; the crate's root and its programs are none.
fn read(folder: &Path, prefix: &str, sources: &mut BTreeMap<String, String>) {
    for entry in fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        let name = path.file_stem().unwrap().to_str().unwrap().to_string();
        let module = match name.as_str() {
            "mod" => prefix.trim_end_matches("::").to_string(),
            _ => format!("{prefix}{name}"),
        };
        match module.as_str() {
            "lib" | "bin" => {}
            _ if path.is_dir() => read(&path, &format!("{module}::"), sources),
            _ => drop(sources.insert(module, fs::read_to_string(&path).unwrap())),
        }
    }
}

fn graph(sources: &BTreeMap<String, String>) -> Graph {
    let mut graph = Graph::new();
    for (module, text) in sources {
        let needs = graph.entry(module.clone()).or_default();
        for path in paths(module, text) {
            let need = resolve(sources, &path);
            // A name that the crate's root hands on would hide a need.
            let need = need.unwrap_or_else(|| panic!("{module}: {path} is in no module"));
            if need != *module {
                needs.insert(need);
            }
        }
    }
    graph
}

/// All paths into this crate in a module's text, from the crate's root.
fn paths(module: &str, text: &str) -> Vec<String> {
    let lines = text.lines().map(|line| line.split("//").next().unwrap());
    let text = lines.collect::<Vec<_>>().join("\n");
    let above = module.rsplit_once("::").map_or("", |(above, _)| above);
    let starts = [("crate::", ""), ("super::", above), ("self::", module)];
    let mut found = Vec::new();
    for (start, base) in starts {
        for (at, _) in text.match_indices(start) {
            let before = text[..at].chars().next_back();
            if before.is_some_and(|c| c.is_alphanumeric() || c == '_' || c == ':') {
                continue;
            }
            let base = match base {
                "" => String::new(),
                _ => format!("{base}::"),
            };
            tree(&text[at + start.len()..], &base, &mut found);
        }
    }
    found
}

/// Takes apart the tree of paths at the start of `text`; returns its length.
fn tree(text: &str, base: &str, found: &mut Vec<String>) -> usize {
    let inside = |c: char| c.is_alphanumeric() || c == '_' || c == ':';
    let length = text.find(|c| !inside(c)).unwrap_or(text.len());
    let path = format!("{base}{}", &text[..length]);
    if !text[length..].starts_with('{') {
        found.push(path);
        return length;
    }
    let mut at = length + 1;
    while let Some(next) = text[at..].find(|c: char| !c.is_whitespace() && c != ',') {
        at += next;
        if text[at..].starts_with('}') {
            return at + 1;
        }
        at += tree(&text[at..], &path, found).max(1);
    }
    at
}

/// The module that a path leads into: the longest one that it starts with.
fn resolve(sources: &BTreeMap<String, String>, path: &str) -> Option<String> {
    let mut path = path.trim_end_matches("::");
    loop {
        if sources.contains_key(path) {
            return Some(path.to_string());
        }
        path = path.rsplit_once("::")?.0;
    }
}

/// The same graph with each folder of modules taken as one.
fn folders(graph: &Graph) -> Graph {
    let top = |module: &String| module.split("::").next().unwrap().to_string();
    let mut folded = Graph::new();
    for (module, needs) in graph {
        let module = top(module);
        let needs: Vec<_> = needs.iter().map(top).filter(|n| *n != module).collect();
        folded.entry(module).or_default().extend(needs);
    }
    folded
}

/// The sets of more than [`MOST`] modules that all need each other.
fn circles(graph: &Graph) -> Vec<Vec<String>> {
    let reached: BTreeMap<_, _> = graph.keys().map(|m| (m, reach(graph, m))).collect();
    let together = |module: &String| -> Vec<String> {
        let others = reached[module].iter();
        let others = others.filter(|other| reached[other].contains(module));
        others.cloned().collect()
    };
    let found: BTreeSet<_> = graph.keys().map(together).collect();
    found.into_iter().filter(|set| set.len() > MOST).collect()
}

/// All modules that one needs, directly or through others.
fn reach(graph: &Graph, from: &str) -> BTreeSet<String> {
    let mut reached = BTreeSet::new();
    let mut next = vec![from.to_string()];
    while let Some(module) = next.pop() {
        let needs = graph[&module].iter();
        next.extend(needs.filter(|need| !reached.contains(*need)).cloned());
        reached.extend(graph[&module].iter().cloned());
    }
    reached
}
