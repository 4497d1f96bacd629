//! The stand-in as a program: it prints where it listens, and exits on SIGTERM.

use std::io::{BufRead, BufReader};
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

use serde_json::Value;

/// How long the test waits for the program to exit.
const EXIT_TIMEOUT: Duration = Duration::from_secs(20);

#[test]
fn the_stand_in_ends_when_it_is_told_to() {
    // Arrange.
    let mut child = Command::new(env!("CARGO_BIN_EXE_crossweir-standin"))
        .args(["--workers", "1"])
        .stdout(Stdio::piped())
        .spawn()
        .expect("the stand-in starts");
    let mut line = String::new();
    let out = child.stdout.take().expect("its output");
    BufReader::new(out).read_line(&mut line).expect("a line");
    let printed: Value = serde_json::from_str(&line).expect("JSON");

    // Act.
    let id = child.id().to_string();
    let status = Command::new("kill").args(["-TERM", &id]).status();
    assert!(status.expect("kill runs").success());
    let began = Instant::now();
    let mut ended = None;
    while ended.is_none() && began.elapsed() < EXIT_TIMEOUT {
        ended = child.try_wait().expect("a child of ours");
        std::thread::sleep(Duration::from_millis(10));
    }
    if ended.is_none() {
        child.kill().expect("a child of ours");
    }
    child.wait().expect("a child of ours");

    // Assert.
    assert!(printed["store"].is_string(), "{line}");
    assert!(ended.is_some_and(|status| status.success()), "{ended:?}");
}
