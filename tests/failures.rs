//! Failures brought about in real processes: kills, freezes, outages, drains, races.

mod common;

use std::collections::BTreeSet;
use std::time::Duration;

use common::{Cell, Size};
use serde_json::{Value, json};
use volo_http::http::Method;

const SIZE: Size = Size {
    halls: "north,south",
    workers: 8,
    targets: 2,
    instances: 3,
};

/// Short times, so that takeovers happen within seconds.
const SHORT: &str = "\
[leases]
window_ms = 2000
start_ms = 1000
lease_ms = 3000
renew_ms = 800
";

fn owner_of(status: &crossweir::daemon::status::CellStatus, shard: &str) -> Option<String> {
    let owner = status
        .instances
        .iter()
        .find(|i| i.shards.iter().any(|held| held.shard == shard));
    owner.map(|instance| instance.name.clone())
}

fn index_of(name: &str) -> usize {
    name.trim_start_matches('e')
        .parse()
        .expect("an instance's name")
}

#[tokio::test]
async fn a_killed_owners_shards_are_taken_over_and_its_tasks_run_once() {
    // Arrange: services and long batch work everywhere.
    let mut cell = Cell::start_with(&SIZE, SHORT).await;
    cell.submit(0, &common::job("live", "service", 8, 1_000, 0))
        .await;
    cell.submit(1, &common::job("long", "batch", 8, 1_000, 8_000))
        .await;
    cell.job_reaches(2, "test.live", "running", 8).await;
    let status = cell
        .until("an owner", |status| {
            owner_of(status, "rack:north:r0").is_some()
        })
        .await;
    let victim = owner_of(&status, "rack:north:r0").expect("an owner");

    // Act.
    cell.instances[index_of(&victim)] = None;
    cell.settled(2).await;

    // Assert: all of it is known again, and it went on running where it was.
    let asker = (0..3)
        .find(|index| cell.instances[*index].is_some())
        .expect("two run");
    cell.job_reaches(asker, "test.live", "running", 8).await;
    cell.job_reaches(asker, "test.long", "succeeded", 8).await;
    assert_eq!(
        starts(&cell.report().await, "test.live"),
        8,
        "no service was restarted"
    );
    cell.assert_invariants().await;
}

#[tokio::test]
async fn a_frozen_owner_that_wakes_after_every_lease_starts_nothing() {
    // Arrange.
    let cell = Cell::start_with(&SIZE, SHORT).await;
    cell.submit(0, &common::job("live", "service", 8, 1_000, 0))
        .await;
    cell.job_reaches(0, "test.live", "running", 8).await;
    let status = cell
        .until("an owner", |status| {
            owner_of(status, "rack:north:r0").is_some()
        })
        .await;
    let victim = index_of(&owner_of(&status, "rack:north:r0").expect("an owner"));
    let asker = (victim + 1) % 3;

    // Act: freeze it past every lease, give its successor work, wake it.
    cell.instance(victim).signal("STOP");
    cell.until("a successor", |status| {
        let owner = owner_of(status, "rack:north:r0");
        owner.is_some_and(|owner| index_of(&owner) != victim)
    })
    .await;
    let answer = cell
        .submit(asker, &common::job("more", "batch", 12, 1_000, 200))
        .await;
    cell.instance(victim).signal("CONT");
    assert_eq!(answer.status, 201);

    // Assert.
    cell.job_reaches(asker, "test.more", "succeeded", 12).await;
    cell.job_reaches(asker, "test.live", "running", 8).await;
    cell.settled(3).await;
    cell.assert_invariants().await;
}

#[tokio::test]
async fn accepted_work_goes_on_through_a_store_outage_and_new_work_is_refused_at_once() {
    // Arrange.
    let cell = Cell::start_with(&SIZE, SHORT).await;
    cell.submit(0, &common::job("live", "service", 8, 1_000, 0))
        .await;
    cell.submit(0, &common::job("long", "batch", 4, 1_000, 6_000))
        .await;
    cell.job_reaches(0, "test.live", "running", 8).await;

    // Act: an outage longer than every window and lease.
    cell.fault(json!({ "store_down": true })).await;
    tokio::time::sleep(Duration::from_secs(8)).await;

    // Assert: requests are served, nothing lapsed, what needs the store is refused.
    assert_eq!(cell.request(0, &[], "during the outage").await.status, 200);
    let once = cell
        .request(
            0,
            &[("x-repeatable", "no"), ("x-request-key", "k1")],
            "once",
        )
        .await;
    assert_eq!(
        failure_code(&once.json().expect("json")),
        "store_unavailable"
    );
    let refused = cell
        .submit(0, &common::job("new", "batch", 1, 1_000, 10))
        .await;
    let refused: Value = refused.json().expect("json");
    assert!(
        refused["outcome"] == "unknown" || refused["code"] == "store_unavailable",
        "{refused}"
    );
    cell.fault(json!({ "store_down": false })).await;
    cell.job_reaches(0, "test.long", "succeeded", 4).await;
    let report = cell.report().await;
    assert_eq!(starts(&report, "test.live"), 8, "no service lapsed");
    assert!(
        report["targets"]["runs"].get("once").is_none(),
        "what was not run did not run"
    );
    cell.assert_invariants().await;
}

#[tokio::test]
async fn a_killed_owner_during_an_outage_is_replaced_after_it() {
    // Arrange.
    let mut cell = Cell::start_with(&SIZE, SHORT).await;
    cell.submit(0, &common::job("live", "service", 8, 1_000, 0))
        .await;
    cell.job_reaches(0, "test.live", "running", 8).await;

    // Act: from before a kill until after it, and twice.
    for victim in [2, 1] {
        cell.fault(json!({ "store_down": true })).await;
        cell.instances[victim] = None;
        tokio::time::sleep(Duration::from_secs(3)).await;
        cell.fault(json!({ "store_down": false })).await;
        cell.settled(2).await;
        let started = cell.start_instance(victim, ["north", "south"][victim % 2]);
        cell.instances[victim] = Some(started);
        cell.settled(3).await;
    }

    // Assert.
    cell.job_reaches(0, "test.live", "running", 8).await;
    cell.assert_invariants().await;
}

#[tokio::test]
async fn a_request_that_must_not_be_repeated_runs_once_whatever_is_lost() {
    // Arrange: replies of the store are lost, so every mark is in doubt.
    let cell = Cell::start(&SIZE).await;
    cell.fault(json!({ "store_reply_lost": true })).await;

    // Act: each key is sent through two instances at once.
    let calls = (0..20)
        .flat_map(|n| [(n, n % 3), (n, (n + 1) % 3)])
        .map(|(n, index)| {
            let cell = &cell;
            async move {
                let key = format!("key-{n}");
                let answer = cell
                    .request(
                        index,
                        &[("x-repeatable", "no"), ("x-request-key", &key)],
                        &key,
                    )
                    .await;
                if answer.status != 200 {
                    println!(
                        "{key} by e{index}: {}",
                        String::from_utf8_lossy(&answer.body)
                    );
                }
                (
                    key,
                    answer.headers["x-outcome"]
                        .to_str()
                        .unwrap_or("")
                        .to_owned(),
                )
            }
        });
    let outcomes = futures::future::join_all(calls).await;
    cell.fault(json!({ "store_reply_lost": false })).await;

    // Assert.
    let runs = cell.report().await["targets"]["runs"].clone();
    for (key, outcome) in &outcomes {
        let count = runs[key].as_u64().unwrap_or(0);
        assert!(count <= 1, "{key} ran {count} times");
        assert!(
            outcome != "answered" || count == 1,
            "{key} was answered and did not run"
        );
    }
    let answered: BTreeSet<&String> = outcomes
        .iter()
        .filter(|(_, o)| o == "answered")
        .map(|(key, _)| key)
        .collect();
    assert_eq!(
        answered.len(),
        20,
        "lost replies cost no answer: {outcomes:?}"
    );
    cell.assert_invariants().await;
}

#[tokio::test]
async fn a_key_is_remembered_by_the_store_when_every_instance_is_gone() {
    // Arrange.
    let mut cell = Cell::start(&SIZE).await;
    let headers = [("x-repeatable", "no"), ("x-request-key", "alert-1")];
    assert_eq!(cell.request(0, &headers, "alert").await.status, 200);

    // Act: replace every instance, then repeat the request.
    for index in 0..3 {
        cell.instances[index] = None;
    }
    for index in 0..3 {
        let started = cell.start_instance(index, ["north", "south"][index % 2]);
        cell.instances[index] = Some(started);
    }
    cell.settled(3).await;
    let repeated = cell.request(1, &headers, "alert").await;

    // Assert.
    assert_eq!(
        failure_code(&repeated.json().expect("json")),
        "already_marked"
    );
    assert_eq!(cell.report().await["targets"]["runs"]["alert"], 1);
}

#[tokio::test]
async fn an_ordered_stream_arrives_once_and_in_order_through_any_instance() {
    // Arrange.
    let cell = Cell::start(&SIZE).await;

    // Act: places are sent through changing instances, each second one early.
    let sends = (1..=30).map(|place: u64| {
        let cell = &cell;
        async move {
            let sequence = place.to_string();
            let headers = [
                ("x-order-key", "match-1"),
                ("x-order-sequence", sequence.as_str()),
            ];
            let mut status = 0;
            while status != 200 {
                let body = format!("goal-{place:03}");
                let answer = cell.request((place % 3) as usize, &headers, &body).await;
                status = answer.status.as_u16();
                assert!([200, 409, 503].contains(&status), "{status}");
                let failure: Value = answer.json().unwrap_or_default();
                let code = failure_code(&failure);
                assert_ne!(code, "order_passed", "place {place}");
            }
        }
    });
    futures::future::join_all(sends).await;

    // Assert.
    let report = cell.report().await;
    let order: Vec<String> =
        serde_json::from_value(report["targets"]["order"].clone()).expect("bodies");
    let expected: Vec<String> = (1..=30).map(|place| format!("goal-{place:03}")).collect();
    assert_eq!(order, expected);
}

#[tokio::test]
async fn a_leaving_target_gets_nothing_new_though_the_list_lags() {
    // Arrange.
    let cell = Cell::start(&Size {
        halls: "north",
        instances: 1,
        ..SIZE
    })
    .await;

    // Act: it says so itself; the list goes on naming it as live.
    let first = cell.request(0, &[], "first").await;
    let target = first.headers["x-target"]
        .to_str()
        .expect("a name")
        .to_owned();
    cell.fault(json!({ "target_leaving": { "vm": target, "on": true } }))
        .await;
    for n in 0..60 {
        assert_eq!(cell.request(0, &[], &format!("r{n}")).await.status, 200);
    }

    // Assert: one request learnt it, was not run there, and was answered elsewhere.
    let report = cell.report().await;
    assert_eq!(report["targets"]["after_leaving"], 1);
    assert_eq!(
        report["targets"]["runs"]
            .as_object()
            .map(serde_json::Map::len),
        Some(61)
    );
}

#[tokio::test]
async fn a_planned_stop_cuts_off_no_request_and_hands_over_every_shard() {
    // Arrange.
    let mut cell = Cell::start(&SIZE).await;
    cell.submit(0, &common::job("live", "service", 8, 1_000, 0))
        .await;
    cell.job_reaches(0, "test.live", "running", 8).await;

    // Act: end an instance while it serves.
    let requests = (0..40).map(|n| {
        let cell = &cell;
        async move {
            tokio::time::sleep(Duration::from_millis(n * 3)).await;
            cell.try_call(
                1,
                Method::POST,
                "/v1/services/echo/requests/run",
                &[],
                &format!("r{n}"),
            )
            .await
        }
    });
    let stop = async {
        tokio::time::sleep(Duration::from_millis(50)).await;
        cell.instance(1).signal("TERM");
    };
    let (answers, ()) = futures::future::join(futures::future::join_all(requests), stop).await;

    // Assert: each was answered, or told that nothing ran, or found the door closed.
    let report = cell.report().await;
    for (n, answer) in answers.iter().enumerate() {
        let ran = report["targets"]["runs"].get(format!("r{n}")).is_some();
        match answer {
            Ok(answer) if answer.status == 200 => assert!(ran),
            Ok(answer) => assert_eq!((answer.status.as_u16(), ran), (503, false)),
            Err(err) => assert!(!ran, "r{n} ran and was cut off: {err}"),
        }
    }
    let mut process = cell.instances[1].take().expect("it ran");
    let ended = process.child.wait().expect("it ends");
    assert!(ended.success(), "{ended}");
    let rows = cell.shard_rows().await;
    assert!(
        !rows.is_empty() && rows.iter().all(|row| row["owner"] != "e1"),
        "handed over before it ended: {rows:?}"
    );
    cell.settled(2).await;
    cell.job_reaches(0, "test.live", "running", 8).await;
    assert_eq!(
        starts(&cell.report().await, "test.live"),
        8,
        "no task was restarted"
    );
    cell.assert_invariants().await;
}

#[tokio::test]
async fn of_racing_operators_one_wins_and_the_version_never_goes_back() {
    // Arrange.
    let mut cell = Cell::start(&SIZE).await;
    let token = [("x-operator-token", common::TOKEN)];
    let change = |team: &str| {
        json!({ "expected": 0, "note": team, "bundle": { "teams": ["test", team] } }).to_string()
    };

    // Act.
    let bodies: Vec<String> = ["a", "b", "c"].map(change).into();
    let path = "/v1/operator/configuration";
    let races = bodies
        .iter()
        .enumerate()
        .map(|(index, body)| cell.call(index, Method::PUT, path, &token, body));
    let statuses: Vec<u16> = futures::future::join_all(races)
        .await
        .iter()
        .map(|a| a.status.as_u16())
        .collect();

    // Assert: one winner, and its version is in force everywhere, also after restarts.
    assert_eq!(
        statuses.iter().filter(|status| **status == 200).count(),
        1,
        "{statuses:?}"
    );
    assert_eq!(
        statuses.iter().filter(|status| **status == 409).count(),
        2,
        "{statuses:?}"
    );
    let in_force = |status: &crossweir::daemon::status::CellStatus| {
        status.instances.len() == 3
            && status
                .instances
                .iter()
                .all(|instance| instance.configuration == 1)
    };
    cell.until("version 1 everywhere", in_force).await;
    for index in 0..3 {
        cell.instances[index] = None;
    }
    for index in 0..3 {
        let started = cell.start_instance(index, ["north", "south"][index % 2]);
        cell.instances[index] = Some(started);
    }
    cell.until("version 1 after restarts", in_force).await;
    let bad = json!({ "expected": 1, "bundle": { "policy": "#{ class: 7 }" } }).to_string();
    let answer = cell.call(0, Method::PUT, path, &token, &bad).await;
    assert_eq!(
        failure_code(&answer.json().expect("json")),
        "bad_configuration"
    );
    let stranger = common::job("x", "batch", 1, 100, 10)
        .to_string()
        .replace("\"test\"", "\"stranger\"");
    let answer = cell.call(0, Method::POST, "/v1/jobs", &[], &stranger).await;
    assert_eq!(answer.status, 403, "the configuration is in force");
}

#[tokio::test]
async fn a_worker_that_fails_everything_is_put_aside_and_a_bad_job_is_condemned() {
    // Arrange.
    let cell = Cell::start(&Size {
        halls: "north",
        instances: 1,
        ..SIZE
    })
    .await;
    cell.fault(json!({ "fail_all": { "vm": "north-w0", "on": true } }))
        .await;

    // Act: many small jobs, some of which meet the bad worker.
    for n in 0..10 {
        cell.submit(0, &common::job(&format!("j{n}"), "batch", 8, 4_000, 30))
            .await;
    }

    // Assert.
    for n in 0..10 {
        cell.job_reaches(0, &format!("test.j{n}"), "succeeded", 8)
            .await;
    }
    assert!(
        cell.metric(0, "crossweir_events_total", "worker_quarantined")
            .await
            >= 1
    );
    cell.assert_invariants().await;
}

#[tokio::test]
async fn a_wave_of_cancellations_takes_effect_at_once() {
    // Arrange: far more tasks than find room.
    let cell = Cell::start(&Size {
        halls: "north",
        instances: 1,
        ..SIZE
    })
    .await;
    for n in 0..4 {
        let answer = cell
            .submit(
                0,
                &common::job(&format!("w{n}"), "batch", 500, 4_000, 60_000),
            )
            .await;
        assert_eq!(answer.status, 201);
    }
    cell.job_reaches(0, "test.w0", "running", 32).await;

    // Act: the ones that wait go first, so that none of them is given the freed room.
    for n in (0..4).rev() {
        cell.call(0, Method::DELETE, &format!("/v1/jobs/test.w{n}"), &[], "")
            .await;
    }

    // Assert: everything ends as cancelled, and what never started never did.
    for n in 0..4 {
        cell.job_reaches(0, &format!("test.w{n}"), "cancelled", 500)
            .await;
    }
    let report = cell.report().await;
    for n in 1..4 {
        assert_eq!(starts(&report, &format!("test.w{n}")), 0);
    }
    cell.assert_invariants().await;
}

fn failure_code(failure: &Value) -> &str {
    failure["code"].as_str().unwrap_or("")
}

/// Returns how often any task of a job was started.
fn starts(report: &Value, job: &str) -> usize {
    let histories = report["runs"]
        .as_object()
        .into_iter()
        .flat_map(|runs| runs.values());
    let runs = histories.filter_map(Value::as_array).flatten();
    runs.filter(|run| run["task"]["job"] == job).count()
}
