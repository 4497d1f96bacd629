//! The reference pages match the code.

use std::collections::BTreeSet;
use std::path::Path;

use crossweir::cli::show;
use crossweir::config;
use crossweir::policy::Program;

fn page(name: &str) -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join(name);
    std::fs::read_to_string(&path).unwrap_or_else(|err| panic!("{name}: {err}"))
}

#[test]
fn the_settings_page_is_what_the_code_says() {
    assert_eq!(page("docs/SETTINGS.md"), config::reference());
}

#[test]
fn the_metrics_page_lists_every_refusal_with_its_remedy() {
    assert!(page("docs/METRICS.md").ends_with(&show::refusals()));
}

#[test]
fn the_metrics_page_names_every_retry_reason_of_the_code() {
    // Arrange.
    let described = page("docs/METRICS.md");
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("src/daemon");
    let files = std::fs::read_dir(folder).expect("the daemon's modules");

    // Act.
    let mut reasons = BTreeSet::new();
    for file in files {
        let source = std::fs::read_to_string(file.expect("an entry").path()).expect("a module");
        for call in source.split("metrics.retry(\"").skip(1) {
            reasons.insert(call.split('"').next().unwrap_or("").to_owned());
        }
    }

    // Assert.
    let missing: Vec<&String> = reasons
        .iter()
        .filter(|reason| !described.contains(&format!("`{reason}`")))
        .collect();
    assert_eq!(missing, Vec::<&String>::new());
}

#[test]
fn the_example_policies_are_accepted() {
    for name in ["policies/telematics.rhai", "policies/nilescore.rhai"] {
        assert!(Program::checked(&page(name)).is_ok(), "{name}");
    }
}
