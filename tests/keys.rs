//! Authentication of callers by API key, at each interface of a node, against the platform
//! stand-in.
//!
//! Keys are added and revoked while callers keep their connections and nodes lose the store.

mod nodes;

use nodes::standin::{StandIn, StoreFault};
use nodes::{Node, TOKEN_FILE, call_with, job, start_ready, until};
use serde_json::{Value, json};
use volo_http::http::{Method, StatusCode};

const JOB: &str = "/plain/00000000000000a1";

/// Returns the part of a configuration that describes the workspaces; `keys` are those of `team`.
fn tenants(keys: &[&str]) -> Value {
    json!([
        {"name": "team", "api_keys": keys, "weight": 2, "cap": {"cpu": 4_000}},
        {"name": "other", "api_keys": ["k-other"], "weight": 1, "cap": {}},
    ])
}

fn bearer(key: &str) -> String {
    format!("Bearer {key}")
}

/// Calls the interface for callers.  Returns the status, and whether the response has the header
/// that asks for a key.
async fn ask(node: &Node, method: Method, path: &str, key: Option<&str>) -> (StatusCode, bool) {
    let body = match method {
        Method::POST => job(1, 30_000),
        _ => Value::Null,
    };
    let header = key.map(bearer);
    let headers: Vec<(&str, &str)> = header
        .iter()
        .map(|value| ("authorization", value.as_str()))
        .collect();
    let answer = call_with(method, node.callers, path, body, &headers).await;
    let answer = answer.expect("an answer");
    (
        answer.status,
        answer.headers.contains_key("www-authenticate"),
    )
}

/// Repeats a call until its status is `wanted`.
async fn until_status(
    node: &Node,
    method: Method,
    path: &str,
    key: Option<&str>,
    wanted: StatusCode,
) {
    until(wanted.as_str(), || async {
        ask(node, method.clone(), path, key).await.0 == wanted
    })
    .await;
}

/// Starts two nodes that both know a job of the workspace `team`, whose key is `k1`.
async fn two_nodes_with_a_job() -> (StandIn, Vec<Node>) {
    let platform = StandIn::start(1).await;
    platform.configure_tenants(2, &tenants(&["k1"]));
    let nodes = start_ready(&platform, &["n1", "n2"]).await;
    until_status(&nodes[0], Method::POST, JOB, Some("k1"), StatusCode::OK).await;
    until_status(&nodes[1], Method::GET, JOB, Some("k1"), StatusCode::OK).await;
    (platform, nodes)
}

#[tokio::test]
async fn a_caller_without_a_known_key_is_refused_and_told_how_to_name_itself() {
    // Arrange
    let platform = StandIn::start(1).await;
    platform.configure_tenants(2, &tenants(&["k1"]));
    let nodes = start_ready(&platform, &["n1"]).await;
    until_status(&nodes[0], Method::POST, JOB, Some("k1"), StatusCode::OK).await;

    // Act, assert
    let unauthorized = (StatusCode::UNAUTHORIZED, true);
    for method in [Method::POST, Method::GET, Method::DELETE] {
        assert_eq!(
            ask(&nodes[0], method.clone(), JOB, None).await,
            unauthorized
        );
        assert_eq!(ask(&nodes[0], method, JOB, Some("k2")).await, unauthorized);
    }
    assert_eq!(
        ask(&nodes[0], Method::GET, "/plain/", None).await,
        unauthorized
    );
    let public = ask(&nodes[0], Method::POST, "/advised/00000000000000a2", None).await;
    assert_eq!(public, (StatusCode::OK, false));
}

#[tokio::test]
async fn a_job_of_another_workspace_is_as_if_it_were_not_there() {
    // Arrange
    let (_platform, nodes) = two_nodes_with_a_job().await;

    // Act, assert: at the owner and at the other node.
    for node in &nodes {
        let gone = (StatusCode::GONE, false);
        assert_eq!(ask(node, Method::GET, JOB, Some("k-other")).await, gone);
        assert_eq!(ask(node, Method::DELETE, JOB, Some("k-other")).await, gone);
        assert_eq!(
            ask(node, Method::GET, JOB, Some("k1")).await,
            (StatusCode::OK, false)
        );
    }
}

#[tokio::test]
async fn an_id_of_another_workspace_is_not_taken_a_second_time() {
    // Arrange
    let (_platform, nodes) = two_nodes_with_a_job().await;

    for node in &nodes {
        // Act
        let second = ask(node, Method::POST, JOB, Some("k-other")).await;

        // Assert
        assert_eq!(second, (StatusCode::TOO_MANY_REQUESTS, false));
        let first = ask(node, Method::GET, JOB, Some("k1")).await;
        assert_eq!(first, (StatusCode::OK, false));
        let again = ask(node, Method::POST, JOB, Some("k1")).await;
        assert_eq!(again, (StatusCode::OK, false));
    }
}

#[tokio::test]
async fn a_key_that_was_taken_away_is_refused_also_by_a_node_that_has_lost_the_store() {
    // Arrange
    let platform = StandIn::start(1).await;
    platform.configure_tenants(2, &tenants(&["k1", "k2"]));
    let nodes = start_ready(&platform, &["n1", "n2"]).await;
    for node in &nodes {
        until_status(node, Method::GET, "/plain/", Some("k1"), StatusCode::OK).await;
    }

    // Act
    platform.configure_tenants(5, &tenants(&["k2", "k3"]));

    // Assert
    for node in &nodes {
        until_status(
            node,
            Method::GET,
            "/plain/",
            Some("k1"),
            StatusCode::UNAUTHORIZED,
        )
        .await;
        until_status(node, Method::GET, "/plain/", Some("k3"), StatusCode::OK).await;
        assert_eq!(
            ask(node, Method::GET, "/plain/", Some("k2")).await.0,
            StatusCode::OK
        );
    }
    platform.set_store_fault(StoreFault::Busy);
    assert_eq!(
        ask(&nodes[0], Method::GET, "/plain/", Some("k1")).await.0,
        StatusCode::UNAUTHORIZED
    );
}

#[tokio::test]
async fn a_job_above_its_cap_is_rejected_at_once() {
    let platform = StandIn::start(1).await;
    platform.configure_tenants(2, &tenants(&["k1"]));
    let nodes = start_ready(&platform, &["n1"]).await;
    until_status(
        &nodes[0],
        Method::GET,
        "/plain/",
        Some("k1"),
        StatusCode::OK,
    )
    .await;
    let mut body = job(1, 30);
    body["steps"][0]["cpu"] = Value::from(4_001);
    let key = bearer("k1");
    let headers = [("authorization", key.as_str())];
    let answer = call_with(Method::POST, nodes[0].callers, JOB, body, &headers).await;
    let answer = answer.expect("an answer");
    assert_eq!(answer.status, StatusCode::TOO_MANY_REQUESTS);
    let body: Value = answer.json().expect("a body");
    assert_eq!(body["reason"], "beyond_cap");
}

#[tokio::test]
async fn the_products_own_interface_asks_for_the_same_keys() {
    // Arrange
    let platform = StandIn::start(1).await;
    platform.configure_tenants(2, &tenants(&["k1"]));
    let nodes = start_ready(&platform, &["n1"]).await;
    let api = nodes[0].api;
    let token = std::fs::read_to_string(TOKEN_FILE).expect("a token");
    let (key, other, token) = (bearer("k1"), bearer("k-other"), token.trim().to_owned());
    let task =
        json!({"tasks": 1, "demand": {"millicores": 1_000, "memory": 10}, "estimate": 30_000});
    let body = json!({"id": "00000000000000b1", "queue": "plain", "job": {"text": "30000", "steps": [task]}});
    let path = "/v1/jobs/00000000000000b1";
    let submit = async |headers: &[(&'static str, &str)]| {
        let answer = call_with(Method::POST, api, "/v1/jobs", body.clone(), headers).await;
        answer.expect("an answer").status
    };
    let show = async |headers: &[(&'static str, &str)]| {
        let answer = call_with(Method::GET, api, path, Value::Null, headers).await;
        answer.expect("an answer").status
    };

    // Act, assert
    assert_eq!(submit(&[]).await, StatusCode::UNAUTHORIZED);
    until("it is accepted", || async {
        submit(&[("authorization", &key)]).await == StatusCode::OK
    })
    .await;
    until("it is shown", || async {
        show(&[("authorization", &key)]).await == StatusCode::OK
    })
    .await;
    assert_eq!(
        show(&[("authorization", &other)]).await,
        StatusCode::NOT_FOUND
    );
    assert_eq!(show(&[]).await, StatusCode::NOT_FOUND);
    assert_eq!(show(&[("x-operator-token", &token)]).await, StatusCode::OK);
}
