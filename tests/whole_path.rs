//! Every kind of work through real processes, by way of an instance that does not
//! own what the work needs.

mod common;

use common::{Cell, Size};
use serde_json::Value;
use volo_http::http::Method;

const SIZE: Size = Size {
    halls: "north,south,west",
    workers: 8,
    targets: 2,
    instances: 3,
};

#[tokio::test]
async fn every_kind_of_work_passes_through_an_instance_that_owns_nothing_it_needs() {
    // Arrange.
    let cell = Cell::start(&SIZE).await;

    // Act and assert: a service, a batch job and a gang job through one instance.
    for (name, kind, tasks, millicores, runtime, state) in [
        ("tracking", "service", 6, 1_000, 0, "running"),
        ("report", "batch", 60, 2_000, 50, "succeeded"),
        ("rebuild", "gang", 20, 12_000, 50, "succeeded"),
    ] {
        let answer = cell
            .submit(0, &common::job(name, kind, tasks, millicores, runtime))
            .await;
        assert_eq!(
            answer.status,
            201,
            "{}",
            String::from_utf8_lossy(&answer.body)
        );
        cell.job_reaches(1, &format!("test.{name}"), state, u64::from(tasks))
            .await;
    }

    // A request, answered by a target of another hall once its own are full.
    let mut halls = std::collections::BTreeSet::new();
    let requests = (0..60).map(|n| {
        let cell = &cell;
        async move {
            let body = format!("request-{n}");
            let answer = cell.request(0, &[("x-team", "test")], &body).await;
            assert_eq!(
                answer.status,
                200,
                "{}",
                String::from_utf8_lossy(&answer.body)
            );
            assert_eq!(
                answer.body,
                body.as_bytes(),
                "each caller gets its own answer"
            );
            answer.headers["x-via"].to_str().unwrap_or("").to_owned()
        }
    });
    halls.extend(futures::future::join_all(requests).await);
    assert!(halls.len() > 1, "requests are handed over: {halls:?}");

    // Cancelling stops the service.
    let answer = cell
        .call(2, Method::DELETE, "/v1/jobs/test.tracking", &[], "")
        .await;
    assert_eq!(answer.status, 202);
    cell.job_reaches(0, "test.tracking", "cancelled", 6).await;
    cell.assert_invariants().await;
}

#[tokio::test]
async fn bad_input_gets_a_typed_answer_and_changes_nothing() {
    // Arrange.
    let cell = Cell::start(&Size {
        instances: 1,
        halls: "north",
        ..SIZE
    })
    .await;
    let huge = "x".repeat(2 << 20);
    let never = common::job("never", "batch", 1, 64_000, 10).to_string();
    let negative = common::job("n", "batch", 1, 1, 10)
        .to_string()
        .replace(":1,", ":-1,");
    let unknown_field = r#"{"name":"a","team":"t","kind":"batch","tasks":1,"colour":"red","resources":{"millicores":1,"memory_mib":1}}"#;
    let zero_tasks = common::job("zero", "batch", 0, 1_000, 10).to_string();
    let jobs: [(&str, u16, &str); 6] = [
        ("{", 400, "malformed"),
        (unknown_field, 400, "malformed"),
        (&negative, 400, "malformed"),
        (&zero_tasks, 400, "malformed"),
        (&huge, 413, "too_large"),
        (&never, 422, "never_fits"),
    ];
    let headers: [(&'static str, &str, u16, &str); 4] = [
        ("x-deadline-ms", "-5", 400, "deadline_expired"),
        ("x-deadline-ms", "soon", 400, "malformed"),
        ("x-repeatable", "perhaps", 400, "malformed"),
        ("x-order-key", "a", 400, "malformed"),
    ];

    // Act and assert.
    for (body, status, code) in jobs {
        let before = cell.metric(0, "crossweir_refusals_total", code).await;
        let answer = cell.call(0, Method::POST, "/v1/jobs", &[], body).await;
        let failure: Value = answer.json().expect("a typed failure");
        assert_eq!(
            (answer.status.as_u16(), failure["code"].as_str()),
            (status, Some(code))
        );
        assert_eq!(failure["outcome"], "not_run");
        assert_eq!(
            cell.metric(0, "crossweir_refusals_total", code).await,
            before + 1
        );
    }
    for (name, value, status, code) in headers {
        let answer = cell.request(0, &[(name, value)], "body").await;
        let failure: Value = answer.json().expect("a typed failure");
        assert_eq!(
            (answer.status.as_u16(), failure["code"].as_str()),
            (status, Some(code)),
            "{name}: {value}"
        );
    }
    let answer = cell
        .call(
            0,
            Method::GET,
            "/v1/operator/status",
            &[("x-operator-token", "guess")],
            "",
        )
        .await;
    assert_eq!(answer.status, 401);
    assert!(
        cell.report().await["targets"]["runs"]
            .as_object()
            .is_some_and(|runs| runs.is_empty())
    );
    cell.assert_invariants().await;
}

#[tokio::test]
async fn a_header_line_without_end_is_refused_and_the_daemon_lives() {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    // Arrange.
    let cell = Cell::start(&Size {
        instances: 1,
        halls: "north",
        ..SIZE
    })
    .await;
    let mut stream = tokio::net::TcpStream::connect(&cell.instance(0).address)
        .await
        .expect("a connection");
    let line = vec![b'a'; 1 << 20];

    // Act.
    let _ = stream.write_all(b"GET / HTTP/1.1\r\nx: ").await;
    let _ = stream.write_all(&line).await;
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer).await;

    // Assert.
    let answer = String::from_utf8_lossy(&answer);
    assert!(
        answer.is_empty() || answer.starts_with("HTTP/1.1 4"),
        "{answer}"
    );
    assert_eq!(cell.request(0, &[], "still there").await.status, 200);
}
