//! The demonstration of the daemon's flag `--embedded`: a whole cell in one process.

use std::process::Command;

#[test]
fn the_demonstration_serves_one_of_each_kind_of_work() {
    let output = Command::new(env!("CARGO_BIN_EXE_crossweird"))
        .arg("--embedded")
        .output()
        .expect("the daemon runs");
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    assert!(output.status.success(), "{text}");
    for line in [
        "A service, 3 tasks: all running.",
        "A batch job, 44 tasks: succeeded.",
        "A gang, 8 tasks: succeeded.",
        "An urgent job, 1 tasks: succeeded.",
    ] {
        assert!(text.contains(line), "{line} is missing in: {text}");
    }
}
