//! What the scripts share: a fleet's processes and the files that name them.

use std::fs;
use std::path::{Path, PathBuf};
use std::process::Command;

/// An empty folder for one test.
fn folder(name: &str) -> PathBuf {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    let _ = fs::remove_dir_all(&folder);
    fs::create_dir_all(&folder).unwrap();
    folder
}

/// Runs lines of shell with the scripts' functions and a folder `$state`.
fn shell(state: &Path, lines: &str) -> bool {
    let script = format!(". scripts/lib.sh\nstate=$1\n{lines}");
    let status = Command::new("bash")
        .current_dir(env!("CARGO_MANIFEST_DIR"))
        .args(["-c", &script, "bash"])
        .arg(state)
        .status()
        .unwrap();
    status.success()
}

#[test]
fn a_process_that_was_started_runs_until_it_is_finished() {
    let state = folder("scripts-runs");
    assert!(shell(
        &state,
        "start $state one sleep 60; any_runs $state && runs $state one && finish_all $state && ! any_runs $state"
    ));
    assert!(!state.join("one.pid").exists());
}

/// A demo whose shell is killed leaves its files behind; the next one is not
/// to take them for a fleet that is up.
#[test]
fn a_file_that_a_killed_shell_left_is_no_fleet() {
    let state = folder("scripts-left");
    assert!(shell(
        &state,
        "start $state one sleep 60; any_runs $state && kill -9 $(pid_of $state one)"
    ));
    assert!(state.join("one.pid").exists());
    assert!(shell(&state, "wait_for 5 eval '! any_runs $state'"));
}

/// An id that belongs to another process by now is neither taken for the
/// fleet's nor ended.
#[test]
fn another_process_with_the_same_id_is_left_alone() {
    let state = folder("scripts-other");
    let mut other = Command::new("sleep").arg("60").spawn().unwrap();
    fs::write(state.join("one.pid"), format!("{} 1\n", other.id())).unwrap();
    assert!(shell(&state, "! any_runs $state && finish_all $state"));
    assert!(other.try_wait().unwrap().is_none());
    other.kill().unwrap();
    other.wait().unwrap();
}
