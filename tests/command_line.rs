//! The command-line tool against a real instance: what it prints and how it ends.

mod common;

use common::{Cell, Size};
use std::path::PathBuf;
use std::process::Command;

const SIZE: Size = Size {
    halls: "north",
    workers: 8,
    targets: 2,
    instances: 1,
};

/// Runs the tool and returns its exit code and what it printed on either stream.
fn run(address: &str, token: &std::path::Path, args: &[&str]) -> (i32, String) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_crossweir"));
    command
        .args(["--address", address, "--token-file"])
        .arg(token)
        .args(args);
    let output = command.output().expect("the tool runs");
    let text = [output.stdout, output.stderr].concat();
    (
        output.status.code().unwrap_or(-1),
        String::from_utf8_lossy(&text).into_owned(),
    )
}

#[tokio::test]
async fn commands_say_what_happened_and_end_by_kind_of_failure() {
    // Arrange.
    let cell = Cell::start(&SIZE).await;
    let address = cell.instance(0).address.clone();
    let folder = std::env::temp_dir().join(format!("crossweir-cli-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let file = |name: &str, text: &str| -> PathBuf {
        let path = folder.join(name);
        std::fs::write(&path, text).expect("a file");
        path
    };
    let token = file("token", common::TOKEN);
    let job = file(
        "job.json",
        &common::job("report", "batch", 4, 1_000, 20).to_string(),
    );
    let bundle = file("bundle.json", "{\"default_quota\": 0.5}");
    let bad = file("bad.ini", "[instance]\ncolour = red\n");
    let (job, bundle, bad) = (
        job.display().to_string(),
        bundle.display().to_string(),
        bad.display().to_string(),
    );

    // Act and assert.
    let cases: [(&[&str], i32, &str); 12] = [
        (&["submit", &job], 0, "accepted as test.report"),
        (&["submit", &job], 3, "job_exists"),
        (&["job", "test.report"], 0, "Batch job"),
        (&["explain", "test.report"], 0, "test.report"),
        (&["job", "nobody.nothing"], 3, "no_such_job"),
        (
            &[
                "request", "echo", "hello", "--once", "k", "--class", "urgent",
            ],
            0,
            "hello",
        ),
        (
            &["request", "echo", "first", "--stream", "s", "--place", "1"],
            0,
            "first",
        ),
        (
            &["request", "echo", "first", "--stream", "s", "--place", "1"],
            3,
            "order_passed",
        ),
        (&["configure", &bundle, "0"], 0, "version 1 is in force"),
        (&["configure", &bundle, "0"], 6, "version_conflict"),
        (&["status"], 0, "rack:north:r0"),
        (&["check", &bad], 2, "[instance] colour: no such key"),
    ];
    for (args, code, text) in cases {
        let (ended, printed) = run(&address, &token, args);
        assert_eq!(ended, code, "{args:?}: {printed}");
        assert!(printed.contains(text), "{args:?}: {printed}");
    }
    let (ended, _) = run("127.0.0.1:1", &token, &["job", "a.b"]);
    assert_eq!(ended, 5, "nobody listens there");
    let wrong = file("wrong", "another");
    let (ended, printed) = run(&address, &wrong, &["status"]);
    assert_eq!(
        (ended, printed.contains("not_operator")),
        (3, true),
        "{printed}"
    );
    let _ = std::fs::remove_dir_all(folder);
}
