//! Settings are checked as a whole, and every fault names its place and its rule.

use crossweir::Error;
use crossweir::config::Config;
use yare::parameterized;

const GOOD: &str = "[instance]\nname = e0\nhall = north\nhttp = 127.0.0.1:1\nrpc = 127.0.0.1:2\n[platform]\nurl = http://127.0.0.1:3\n";

fn faults(source: &str) -> Vec<String> {
    match Config::parse("test.ini", source) {
        Ok(_) => Vec::new(),
        Err(Error::Settings { faults }) => faults.iter().map(ToString::to_string).collect(),
        Err(err) => panic!("another error: {err}"),
    }
}

#[test]
fn good_settings_are_taken_with_their_defaults() {
    let cfg = Config::parse("test.ini", GOOD).expect("no faults");
    assert_eq!(
        (cfg.name.as_str(), cfg.number("leases", "lease_ms")),
        ("e0", 10_000)
    );
}

#[parameterized(
    unknown_key = { "[leases]\ncolour = red", "test.ini: [leases] colour: no such key" },
    unknown_section = { "[lease]\nwindow_ms = 1", "test.ini: [lease] : no such section" },
    wrong_type = { "[leases]\nlease_ms = long", "test.ini: [leases] lease_ms: `long` is not a whole number" },
    out_of_bounds = { "[leases]\nlease_ms = 1", "test.ini: [leases] lease_ms: 1 is not within 1000 to 300000 ms" },
    contradiction = { "[leases]\nstart_ms = 20000", "test.ini: [leases] start_ms: must not exceed [leases] lease_ms" },
    bad_peer = { "[peers]\ne1 = here", "test.ini: [peers] e1: `here` is not an IP number and port" },
)]
fn a_fault_names_file_section_key_and_rule(added: &str, fault: &str) {
    assert_eq!(faults(&format!("{GOOD}{added}\n")), [fault]);
}

#[test]
fn all_faults_are_named_at_once() {
    let found = faults("[instance]\nname = a b\n[leases]\nlease_ms = x\n");
    assert_eq!(found.len(), 6, "{found:#?}");
}
