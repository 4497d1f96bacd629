//! Checks that the reference pages and the example files match the code.

use std::collections::BTreeSet;
use std::path::{Path, PathBuf};

use crossweir::cell::job::JobState;
use crossweir::cell::spec::JobId;
use crossweir::cell::view::JobView;
use crossweir::cli::show;
use crossweir::node::setting_keys;
use crossweir::node::settings::Settings;
use crossweir::policy::Program;

/// Reads a file of the repository.
fn page(name: &str) -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join(name);
    std::fs::read_to_string(&path).unwrap_or_else(|err| panic!("{name}: {err}"))
}

/// Returns the paths of all Rust source files below a folder.
fn sources(folder: &Path) -> Vec<PathBuf> {
    let entries = std::fs::read_dir(folder).expect("a folder");
    let paths = entries.map(|entry| entry.expect("an entry").path());
    paths
        .flat_map(|path| {
            if path.is_dir() {
                sources(&path)
            } else {
                vec![path]
            }
        })
        .filter(|path| path.extension().is_some_and(|ending| ending == "rs"))
        .collect()
}

/// Returns the string literals that the code passes to calls whose text begins with `call`.
fn words_after(call: &str) -> BTreeSet<String> {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("src");
    let mut words = BTreeSet::new();
    for path in sources(&folder) {
        let source = std::fs::read_to_string(path).expect("a module");
        for rest in source.split(call).skip(1) {
            words.insert(rest.split('"').next().unwrap_or("").to_owned());
        }
    }
    words
}

#[test]
fn the_settings_page_is_what_the_code_says() {
    assert_eq!(page("docs/SETTINGS.md"), setting_keys::reference());
}

#[test]
fn the_metrics_page_lists_every_refusal_with_its_remedy() {
    assert!(page("docs/METRICS.md").ends_with(&show::refusals()));
}

#[test]
fn the_metrics_page_names_every_retry_and_event_of_the_code() {
    let described = page("docs/METRICS.md");
    for call in ["metrics.retry(\"", "metrics.event(\""] {
        let words = words_after(call);
        assert!(!words.is_empty(), "no `{call}` in the sources");
        let missing: Vec<String> = words
            .into_iter()
            .filter(|word| !described.contains(&format!("`{word}`")))
            .collect();
        assert_eq!(missing, Vec::<String>::new(), "{call}");
    }
}

#[test]
fn an_explanation_with_only_the_state_known_does_not_claim_that_nothing_waits() {
    let view = JobView::of_state(JobId(1), JobState::Queued);
    let text = show::explain(&view);
    assert!(text.contains("could not be asked"), "{text}");
    assert!(!text.contains("Nothing of it waits"), "{text}");
}

#[test]
fn the_example_policies_are_accepted() {
    for name in ["policies/telematics.rhai", "policies/nilescore.rhai"] {
        assert!(Program::parse_and_test(&page(name)).is_ok(), "{name}");
    }
}

#[test]
fn the_example_settings_are_accepted() {
    let text = page("examples/n0.ini");
    assert!(Settings::parse(&text, "examples/n0.ini").is_ok());
}
