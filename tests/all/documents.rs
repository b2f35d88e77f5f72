//! Tests that the pages in `docs` and the examples agree with the code.

use std::fs;
use std::path::{Path, PathBuf};

use tidepier_config::{check, Document, Settings};
use tidepier_errors::Kind;

fn root() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR"))
}

fn read(path: &str) -> String {
    fs::read_to_string(root().join(path)).unwrap_or_else(|error| panic!("{path}: {error}"))
}

/// The table that `docs/ERRORS.md` has to contain.
fn errors_table() -> String {
    let mut table = String::from("| kind | status | ran | Retry-After | exit | meaning |\n");
    table.push_str("| --- | --- | --- | --- | --- | --- |\n");
    for kind in Kind::ALL {
        let answer = kind.answer();
        let retry = if answer.retry { "yes" } else { "no" };
        table.push_str(&format!(
            "| `{kind}` | {} | {} | {retry} | {} | {} |\n",
            answer.status, answer.ran, answer.exit, answer.meaning
        ));
    }
    table
}

#[test]
fn errors_page_matches_the_table() {
    let table = errors_table();
    assert!(
        read("docs/ERRORS.md").contains(&table),
        "docs/ERRORS.md has to hold:\n{table}"
    );
}

#[test]
fn kinds_are_parsed_from_their_names() {
    for kind in Kind::ALL {
        assert_eq!(kind.name().parse(), Ok(*kind));
    }
}

#[test]
fn committed_schemas_are_those_of_the_types() {
    let of = |schema: serde_json::Value| serde_json::to_string_pretty(&schema).unwrap() + "\n";
    let document = of(check::schema::<Document>());
    let settings = of(check::schema::<Settings>());
    assert!(
        read("docs/schema/document.json") == document,
        "run scripts/schemas"
    );
    assert!(
        read("docs/schema/settings.json") == settings,
        "run scripts/schemas"
    );
}

#[test]
fn examples_are_valid() {
    for name in ["safi", "camara"] {
        let text = read(&format!("examples/{name}.json"));
        check::parse::<Document>(&text).unwrap_or_else(|faults| panic!("{name}: {faults}"));
        let boxes = fs::read_dir(root().join("examples").join(name)).unwrap();
        for entry in boxes {
            let path = entry.unwrap().path();
            if path
                .file_name()
                .unwrap()
                .to_str()
                .unwrap()
                .starts_with("box-")
            {
                let text = fs::read_to_string(&path).unwrap();
                let parsed = check::parse::<Settings>(&text);
                parsed.unwrap_or_else(|faults| panic!("{}: {faults}", path.display()));
            }
        }
    }
}

/// The names in backquotes on the lines of `docs/PROMISES.md` that list tests.
fn promised_tests() -> Vec<String> {
    let page = read("docs/PROMISES.md");
    let tests = page.lines().filter_map(|line| line.strip_prefix("Tests: "));
    let names = tests.flat_map(|line| line.split('`').skip(1).step_by(2));
    names.map(str::to_string).collect()
}

#[test]
fn promised_tests_exist() {
    let mut code = String::new();
    for entry in fs::read_dir(root().join("tests/all")).unwrap() {
        let path = entry.unwrap().path();
        if path.extension().is_some_and(|extension| extension == "rs") {
            code.push_str(&fs::read_to_string(path).unwrap());
        }
    }
    let names = promised_tests();
    assert!(names.len() > 10, "PROMISES.md names its tests: {names:?}");
    for name in names {
        let exists = match name.strip_suffix(".scenario") {
            Some(_) => root().join("tests/scenarios").join(&name).exists(),
            None => code.contains(&format!("fn {name}(")),
        };
        assert!(exists, "PROMISES.md names {name}, which does not exist");
    }
}

/// Every relative link of the documents leads to a file.
#[test]
fn links_lead_somewhere() {
    let mut pages = vec![root().join("README.md"), root().join("RELEASES.md")];
    markdown(&root().join("docs"), &mut pages);
    for page in pages {
        let text = fs::read_to_string(&page).unwrap();
        for target in text
            .split("](")
            .skip(1)
            .filter_map(|rest| rest.split(')').next())
        {
            let target = target.split('#').next().unwrap_or_default();
            if target.is_empty() || target.contains("://") {
                continue;
            }
            let path = page.parent().unwrap().join(target);
            assert!(path.exists(), "{}: {target} does not exist", page.display());
        }
    }
}

fn markdown(folder: &Path, pages: &mut Vec<PathBuf>) {
    for entry in fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            markdown(&path, pages);
        } else if path.extension().is_some_and(|extension| extension == "md") {
            pages.push(path);
        }
    }
}
