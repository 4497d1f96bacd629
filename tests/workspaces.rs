//! Authentication of callers by the keys of workspaces, and validation of the workspaces in a
//! configuration.

mod cell_core;

use cell_core::{queue, shared_configuration, step, workspace};
use crossweir::cell::spec::{Demand, JobSpec, Step};
use crossweir::node::links::Decoder;
use crossweir::platform::decode::PlatformDecoder;
use crossweir::queue::{Configuration, Draft, Queue};
use crossweir::workspace::{Caller, KeyDigest, KeyError, Workspaces, bearer_key};

#[yare::parameterized(
    plain = { b"Bearer k1", Some(b"k1".as_slice()) },
    lower_case = { b"bearer k1", Some(b"k1".as_slice()) },
    blanks = { b"Bearer   k1  ", Some(b"k1".as_slice()) },
    not_ascii = { b"Bearer \xff\xfe", Some(b"\xff\xfe".as_slice()) },
    no_key = { b"Bearer ", None },
    no_blank = { b"Bearer", None },
    other_scheme = { b"Basic azE6", None },
    empty = { b"", None },
)]
fn a_key_is_read_from_the_header(header: &[u8], wanted: Option<&[u8]>) {
    assert_eq!(bearer_key(header), wanted);
}

#[yare::parameterized(
    its_key = { false, Some("Bearer team"), Ok(Caller::Workspace(String::from("team"))) },
    no_header = { false, None, Err(KeyError::Missing) },
    other_scheme = { false, Some("Basic team"), Err(KeyError::Missing) },
    unknown = { false, Some("Bearer nobody"), Err(KeyError::Unknown) },
    public = { true, None, Ok(Caller::Anonymous) },
    public_with_an_unknown_key = { true, Some("Bearer nobody"), Ok(Caller::Anonymous) },
    public_with_its_key = { true, Some("Bearer team"), Ok(Caller::Workspace(String::from("team"))) },
)]
fn a_caller_is_identified_by_its_key(
    is_public: bool,
    header: Option<&str>,
    wanted: Result<Caller, KeyError>,
) {
    let config = shared_configuration(1, &[queue("q", 0)], &[workspace("team", 1)]);
    let caller = config.identify_caller(is_public, header.map(str::as_bytes));
    assert_eq!(caller, wanted);
}

#[test]
fn a_key_of_a_hundred_kilobytes_is_merely_unknown() {
    let config = shared_configuration(1, &[queue("q", 0)], &[workspace("team", 1)]);
    let header = format!("Bearer {}", "k".repeat(100_000));
    assert_eq!(
        config.identify_caller(false, Some(header.as_bytes())),
        Err(KeyError::Unknown)
    );
}

#[test]
fn nobody_needs_a_key_where_there_are_no_workspaces() {
    let config = cell_core::configuration(&[queue("q", 0)]);
    assert_eq!(config.identify_caller(false, None), Ok(Caller::Anonymous));
}

#[test]
fn a_list_without_workspaces_lets_nobody_in() {
    let config = shared_configuration(1, &[queue("q", 0)], &[]);
    assert_eq!(
        config.identify_caller(false, Some(b"Bearer team")),
        Err(KeyError::Unknown)
    );
}

#[test]
fn no_key_is_shown_or_passed_on() {
    let config = shared_configuration(1, &[queue("q", 0)], &[workspace("quite-secret", 1)]);
    let key = "quite-secret";
    let mut workspaces = Workspaces::default();
    let other = workspace("team", 1);
    workspaces
        .add(other, &[key.to_owned()])
        .expect("a workspace");
    let digest = KeyDigest::of(key.as_bytes());
    for text in [
        format!("{workspaces:?}"),
        serde_json::to_string(&workspaces).expect("it is encoded"),
        format!("{digest:?}"),
    ] {
        assert!(!text.contains(key), "{text}");
    }
    assert_eq!(format!("{digest:?}").len(), 8);
    let body = serde_json::to_vec(&*config).expect("it is encoded");
    let passed: Configuration = serde_json::from_slice(&body).expect("it is read");
    assert_eq!(passed, *config);
    assert!(
        passed
            .identify_caller(false, Some(b"Bearer quite-secret"))
            .is_ok()
    );
}

/// Returns a configuration in the operators' format with these tenants.
fn configuration_text(tenants: &str) -> String {
    format!("{{\"version\":3,\"routes\":[],\"tenants\":{tenants}}}")
}

#[yare::parameterized(
    key_in_two = { r#"[{"name":"a","api_keys":["k"]},{"name":"b","api_keys":["k"]}]"#, "a key of workspace `b` stands twice" },
    key_twice = { r#"[{"name":"a","api_keys":["k","k"]}]"#, "a key of workspace `a` stands twice" },
    empty_key = { r#"[{"name":"a","api_keys":[""]}]"#, "workspace `a` has an empty key" },
    name_twice = { r#"[{"name":"a"},{"name":"a"}]"#, "there are two workspaces `a`" },
    negative_weight = { r#"[{"name":"a","weight":-1}]"#, "the weight of workspace `a`" },
    weight_is_text = { r#"[{"name":"a","weight":"much"}]"#, "invalid type" },
    negative_cap = { r#"[{"name":"a","cap":{"cpu":-5}}]"#, "invalid value" },
    cap_beyond_64_bits = { r#"[{"name":"a","cap":{"cpu":99999999999999999999}}]"#, "invalid" },
    no_name = { r#"[{"api_keys":["k"]}]"#, "missing field" },
)]
fn a_configuration_with_an_invalid_workspace_is_refused_as_a_whole(tenants: &str, wanted: &str) {
    let refused = PlatformDecoder.configuration(&configuration_text(tenants));
    let err = refused.expect_err("an invalid workspace").to_string();
    assert!(err.contains(wanted), "{err}");
    assert!(!err.contains("\"k\""), "{err}");
}

#[yare::parameterized(
    no_keys = { r#"[{"name":"a","api_keys":[]}]"# },
    weight_of_zero = { r#"[{"name":"a","weight":0}]"# },
    no_cap = { r#"[{"name":"a"}]"# },
    of_a_later_version = { r#"[{"name":"a","colour":"red"}]"# },
)]
fn fields_of_a_workspace_are_optional_and_unknown_ones_are_ignored(tenants: &str) {
    let config = PlatformDecoder
        .configuration(&configuration_text(tenants))
        .expect("it is fine");
    let a = config.workspace("a").expect("it is there");
    assert_eq!(a.cap, Demand::default());
    assert!(config.identify_caller(false, Some(b"Bearer k")).is_err());
}

#[test]
fn the_workspaces_of_a_configuration_are_read() {
    // Arrange
    let text = r#"{"version":7,"routes":[{"name":"r","host":"H.example","path_prefix":"/p/","service":"s","public":true}],
        "tenants":[{"name":"a","api_keys":["k1","k2"],"priority":1,"weight":19,"cap":{"cpu":4876800,"mem_mb":5220651,"gpu":0}}]}"#;

    // Act
    let config = PlatformDecoder.configuration(text).expect("it is fine");

    // Assert
    let a = config.workspace("a").expect("it is there");
    assert_eq!(
        (a.weight, a.cap.millicores, a.cap.memory),
        (19.0, 4_876_800, 5_220_651)
    );
    assert!(config.queue("r").expect("it is there").public);
    for key in ["Bearer k1", "Bearer k2"] {
        let caller = config.identify_caller(false, Some(key.as_bytes()));
        assert_eq!(caller, Ok(Caller::Workspace(String::from("a"))));
    }
}

#[test]
fn a_job_that_can_never_fit_into_the_cap_of_its_workspace_is_recognised() {
    let team = workspace("team", 8);
    let spec = |step: Step| JobSpec {
        steps: vec![step],
        ..JobSpec::default()
    };
    let gang = |tasks| Step {
        gang: true,
        ..step(tasks, 4_000)
    };
    assert!(team.could_run(&spec(step(90, 8_000))));
    assert!(!team.could_run(&spec(step(1, 8_001))));
    assert!(team.could_run(&spec(gang(2))));
    assert!(!team.could_run(&spec(gang(3))));
    assert!(workspace("free", 0).could_run(&spec(gang(900))));
}

#[test]
fn the_longest_prefix_of_many_queues_is_found() {
    // Arrange
    let at = |host: &str, prefix: String| Queue {
        host: host.to_owned(),
        prefix,
        ..queue("x", 0)
    };
    let mut queues: Vec<Queue> = (0..1_400)
        .map(|n| at(&format!("h{}.example", n % 40), format!("/p{n}/")))
        .collect();
    queues.push(at("h1.example", String::from("/")));
    queues.push(at("h1.example", String::from("/p1/deep/")));
    for (index, queue) in queues.iter_mut().enumerate() {
        queue.name = format!("q{index}");
    }
    let config = Configuration::from(Draft {
        version: 1,
        queues,
        max_body: 1_000,
        workspaces: None,
    });

    // Act
    let route = |host, path| {
        config
            .route(host, path)
            .map(|(queue, rest)| (queue.name.as_str(), rest))
    };

    // Assert
    assert_eq!(route("H1.example:80", "/p1/deep/7"), Some(("q1401", "7")));
    assert_eq!(route("h1.example", "/p1/7"), Some(("q1", "7")));
    assert_eq!(route("h1.example", "/other"), Some(("q1400", "other")));
    assert_eq!(route("h2.example", "/p1/7"), None);
    assert_eq!(
        config.queue("q1399").map(|queue| queue.prefix.as_str()),
        Some("/p1399/")
    );
}
