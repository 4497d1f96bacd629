//! The reference pages match the code.

use std::collections::BTreeSet;
use std::path::{Path, PathBuf};

use crossweir::cell::job::JobState;
use crossweir::cell::spec::JobId;
use crossweir::cell::view::JobView;
use crossweir::cli::show;
use crossweir::node::setting_keys;
use crossweir::node::settings::Settings;
use crossweir::policy::Program;

fn page(name: &str) -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join(name);
    std::fs::read_to_string(&path).unwrap_or_else(|err| panic!("{name}: {err}"))
}

/// Every source file below a folder.
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

/// The words that the code passes to calls that begin so.
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
        assert!(!words.is_empty(), "{call} is looked for in vain");
        let missing: Vec<String> = words
            .into_iter()
            .filter(|word| !described.contains(&format!("`{word}`")))
            .collect();
        assert_eq!(missing, Vec::<String>::new(), "{call}");
    }
}

#[test]
fn a_job_of_which_only_the_state_is_known_is_not_said_to_wait_for_nothing() {
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
