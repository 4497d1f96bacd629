//! Checks of the settings: all faults are reported at once, each with its place and the rule that
//! it breaks.

use crossweir::Error;
use crossweir::cell::options::Options;
use crossweir::node::settings::Settings;
use yare::parameterized;

const VALID: &str = "[node]\nname = n0\nhall = north\n\
    [listen]\ncallers = 127.0.0.1:1\nready = 127.0.0.1:2\npeers = 127.0.0.1:3\nmetrics = 127.0.0.1:4\n\
    [store]\naddress = 127.0.0.1:5\n";

/// Returns the messages of all faults in these settings.
fn faults(source: &str) -> Vec<String> {
    match Settings::parse(source, "test.ini") {
        Ok(_) => Vec::new(),
        Err(Error::Settings { faults }) => faults.iter().map(ToString::to_string).collect(),
        Err(err) => panic!("another error: {err}"),
    }
}

#[test]
fn good_settings_are_taken_with_their_defaults() {
    let settings = Settings::parse(VALID, "test.ini").expect("no faults");
    assert_eq!(
        (settings.name.as_str(), settings.log.as_str(), settings.api),
        ("n0", "info", None)
    );
}

#[parameterized(
    unknown_key = { "[advice]\ncolour = red", "test.ini: [advice] colour: no such key" },
    unknown_section = { "[lease]\nwindow_ms = 1", "test.ini: [lease] window_ms: no such key" },
    wrong_type = { "[advice]\naddress = here", "test.ini: [advice] address: `here` is not an IP number and port" },

    section_twice = { "[node]\nlog = info", "test.ini: [node] : the section stands there twice" },
    not_a_flag = { "[scheduling]\nshares = true", "test.ini: [scheduling] shares: `true` is not `yes` or `no`" },
    no_multiple = { "[scheduling]\nreject_after = 0", "test.ini: [scheduling] reject_after: `0` is not a whole number from 1 to 100" },
    bad_seed = { "[peers]\nseeds = 127.0.0.1:9,there", "test.ini: [peers] seeds: `there` is not an IP number and port" },
)]
fn a_fault_names_file_section_key_and_rule(added: &str, fault: &str) {
    assert_eq!(faults(&format!("{VALID}{added}\n")), [fault]);
}

#[parameterized(
    absent = { "", None },
    given = { "127.0.0.1:9", Some("127.0.0.1:9") },
)]
fn the_address_for_other_nodes_is_read(text: &str, wanted: Option<&str>) {
    let line = if text.is_empty() {
        String::new()
    } else {
        format!("advertise = {text}\n")
    };
    let source = VALID.replace("[store]", &format!("{line}[store]"));
    let settings = Settings::parse(&source, "test.ini").expect("no faults");
    assert_eq!(
        settings.advertise,
        wanted.map(|text| text.parse().expect("an address"))
    );
}

#[test]
fn two_equal_addresses_contradict_each_other() {
    let source = VALID.replace("metrics = 127.0.0.1:4", "metrics = 127.0.0.1:1");
    let fault = "test.ini: [listen] : two of the addresses are the same";
    assert_eq!(faults(&source), [fault]);
}

#[test]
fn all_faults_are_named_at_once() {
    let found = faults("[node]\nname = n0\n[store]\naddress = x\n");
    assert_eq!(found.len(), 6, "{found:#?}");
}

#[parameterized(
    none = { "", Some(1_000) },
    part = { "processors = 0.12\n", Some(120) },
    zero = { "processors = 0\n", None },
    word = { "processors = many\n", None },
)]
fn processors_are_a_number_of_cores(line: &str, millicores: Option<u32>) {
    let source = VALID.replace("hall = north\n", &format!("hall = north\n{line}"));
    let settings = Settings::parse(&source, "test.ini");
    assert_eq!(
        settings.ok().map(|settings| settings.millicores),
        millicores
    );
}

#[parameterized(
    none = { "", Some(None) },
    whole = { "link = 200\n", Some(Some(200_000)) },
    fraction = { "link = 1000.0\n", Some(Some(1_000_000)) },
    part = { "link = 0.0001\n", Some(Some(1)) },
    empty = { "link =\n", Some(None) },
    zero = { "link = 0\n", None },
    negative = { "link = -10\n", None },
    no_number = { "link = NaN\n", None },
    endless = { "link = inf\n", None },
    unit = { "link = 10 Mbit/s\n", None },
)]
fn the_link_is_a_number_of_megabits_a_second(line: &str, kilobits: Option<Option<u32>>) {
    let source = VALID.replace("hall = north\n", &format!("hall = north\n{line}"));
    let settings = Settings::parse(&source, "test.ini");
    assert_eq!(settings.ok().map(|settings| settings.link), kilobits);
}

#[test]
fn a_link_that_is_no_number_is_a_fault() {
    let source = VALID.replace("hall = north", "hall = north\nlink = fast");
    let fault = "test.ini: [node] link: `fast` is not a number of Mbit/s above 0 and up to 1000000";
    assert_eq!(faults(&source), [fault]);
}

#[test]
fn optional_parts_of_scheduling_are_off_unless_the_settings_ask_for_them() {
    let settings = Settings::parse(VALID, "test.ini").expect("no faults");

    assert_eq!(settings.scheduling, Options::default());
}

#[test]
fn optional_parts_of_scheduling_are_switched_on_one_by_one() {
    let source =
        format!("{VALID}[scheduling]\nshares = yes\nworker_speed = no\nreject_after = 3\n");

    let settings = Settings::parse(&source, "test.ini").expect("no faults");

    let expected = Options {
        shares: true,
        reject_after: Some(3),
        ..Options::default()
    };
    assert_eq!(settings.scheduling, expected);
}

#[parameterized(
    too_little = { "31" },
    no_number = { "much" },
)]
fn memory_that_is_too_little_is_a_fault(value: &str) {
    let source = VALID.replace("hall = north", &format!("hall = north\nmemory = {value}"));
    let fault = format!("test.ini: [node] memory: `{value}` is not a whole number of at least 32");
    assert_eq!(faults(&source), [fault]);
}

#[test]
fn callers_may_hold_a_share_of_the_descriptors_and_of_the_memory() {
    let limited = "hall = north\nmemory = 100\ndescriptors = 1000";
    let source = VALID.replace("hall = north", limited);
    let limits = Settings::parse(&source, "test.ini")
        .expect("no faults")
        .caller_limits();
    assert_eq!((limits.connections, limits.body_bytes), (150, 10_000_000));
}
