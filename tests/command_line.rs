//! Output and exit codes of the command-line tool against a real node.

mod nodes;

use std::path::{Path, PathBuf};
use std::process::Command;

use nodes::standin::StandIn;
use nodes::{TOKEN_FILE, find_owner, start_ready, until};

/// Runs the tool and returns its exit code and what it printed on either stream.
fn run(address: &str, token: &str, args: &[&str]) -> (i32, String) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_crossweir"));
    command
        .args(["--address", address, "--token-file", token])
        .args(args);
    let output = command.output().expect("the tool runs");
    let text = [output.stdout, output.stderr].concat();
    (
        output.status.code().unwrap_or(-1),
        String::from_utf8_lossy(&text).into_owned(),
    )
}

/// A temporary folder for the files that are passed to the tool.
struct Files {
    folder: tempfile::TempDir,
}

impl Files {
    /// Writes a file and returns its path.
    fn write(&self, name: &str, text: &str) -> String {
        let path: PathBuf = self.folder.path().join(name);
        std::fs::write(&path, text).expect("a file");
        path.display().to_string()
    }
}

/// Returns the path of a file of the repository.
fn repository_file(name: &str) -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join(name);
    path.display().to_string()
}

#[tokio::test(flavor = "multi_thread")]
async fn commands_say_what_happened_and_end_by_kind_of_failure() {
    // Arrange.
    let platform = StandIn::start(2).await;
    let nodes = start_ready(&platform, &["n1"]).await;
    until("the node owns the cell", || async {
        find_owner(&nodes).await.is_some()
    })
    .await;
    let address = nodes[0].api.to_string();
    let files = Files {
        folder: tempfile::tempdir().expect("a folder"),
    };
    let job = files.write("job.json", r#"{"text": "20", "steps": [{"tasks": 2}]}"#);
    let misspelt = files.write("misspelt.json", r#"{"text": "20", "steps": [{"taks": 2}]}"#);
    let bad = files.write("bad.ini", "[node]\ncolour = red\n");
    let bad_policy = files.write("bad.rhai", "#{ priority: 1 }");
    let wrong = files.write("wrong", "another");
    let policy = repository_file("policies/telematics.rhai");
    let other = repository_file("policies/nilescore.rhai");
    let id = "00000000000000a1";

    // Act and assert.
    let cases: [(&[&str], i32, &str); 15] = [
        (&["submit", "plain", &job, "--id", id], 0, id),
        (&["submit", "plain", &job, "--id", id], 0, id),
        (&["submit", "plain", &job, "--id", "short"], 3, "bad_id"),
        (&["submit", "nobody", &job], 3, "no_queue"),
        (&["submit", "plain", &misspelt], 3, "`job.steps.0.taks`"),
        (&["job", id], 0, id),
        (&["explain", id], 0, "step 0.0"),
        (&["job", "00000000000000ff"], 3, "no_such_job"),
        (&["status"], 0, "advised"),
        (&["policy"], 0, "\"version\": 0"),
        (&["set-policy", &policy, "0"], 0, "is in force"),
        (&["set-policy", &other, "0"], 6, "version_conflict"),
        (&["set-policy", &bad_policy, "0"], 3, "`spread`"),
        (&["check", &bad], 2, "[node] colour: no such key"),
        (
            &["check", &repository_file("examples/n0.ini")],
            0,
            "no faults",
        ),
    ];
    for (args, code, text) in cases {
        let (ended, printed) = run(&address, TOKEN_FILE, args);
        assert_eq!(ended, code, "{args:?}: {printed}");
        assert!(printed.contains(text), "{args:?}: {printed}");
    }
    let (ended, _) = run("127.0.0.1:1", TOKEN_FILE, &["job", id]);
    assert_eq!(ended, 5, "nobody listens there");
    let (ended, printed) = run(&address, &wrong, &["policy"]);
    assert_eq!(
        (ended, printed.contains("not_operator")),
        (3, true),
        "{printed}"
    );
}
