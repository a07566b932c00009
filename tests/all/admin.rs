//! The administration API: repeated and racing commands, progress, the log.

use crate::fixture::{deployment, set_log, within};
use bench::{Answer, Deployment, Kind, OPERATOR_TOKEN};
use entry::{Audience, endpoints};
use http::Method;
use serde_json::{Value, json};
use standin::Mode;
use std::time::Duration;

/// The page that describes every route.
const PAGE: &str = include_str!("../../docs/API.md");

/// The time within which something is in force everywhere.
const IN_FORCE: Duration = Duration::from_secs(10);

/// Sends a request to a node as the operator.
pub(crate) async fn send(
    deployment: &Deployment,
    node: usize,
    method: Method,
    path: &str,
    body: &Value,
) -> Answer {
    let address = deployment.admin_addresses()[node];
    let client = deployment.client();
    let answer = client.call(method, address, path, OPERATOR_TOKEN, &[], body);
    answer.await.unwrap()
}

#[test]
fn the_page_describes_every_route_and_no_other() {
    let mut section = None;
    let mut described = Vec::new();
    for line in PAGE.lines() {
        match line {
            "## Callers" => section = Some(Audience::Callers),
            "## Operators" => section = Some(Audience::Operators),
            _ => {}
        }
        if let Some(route) = line.strip_prefix("### `").and_then(|l| l.strip_suffix('`')) {
            described.push((section.unwrap(), route.to_owned()));
        }
    }
    let served: Vec<_> = endpoints()
        .iter()
        .map(|endpoint| (endpoint.audience, endpoint.to_string()))
        .collect();
    for route in &served {
        assert!(described.contains(route), "not described: {route:?}");
    }
    for route in &described {
        assert!(served.contains(route), "not served: {route:?}");
    }
    assert_eq!(described.len(), served.len(), "described twice");
}

/// A command, and what its answer must be.
struct Case {
    name: &'static str,
    node: usize,
    path: &'static str,
    body: Value,
    status: u16,
    /// A place in the answer, and what must stand there.
    holds: (&'static str, Value),
}

#[tokio::test(flavor = "multi_thread")]
async fn a_repeated_command_finds_its_effect_and_a_racing_one_conflicts() {
    let deployment = deployment("").await;
    let lists = Kind::HafodTegid.lists();
    let edited = lists.replace("requests_per_s = 120", "requests_per_s = 100");
    let raced = lists.replace("weight = 8", "weight = 9");
    let base = send(&deployment, 0, Method::GET, "/admin/v1/lists", &Value::Null).await;
    let base = base.body["revision"].clone();
    // The log loses its answer to the next append after it took effect.
    set_log(&deployment, Mode::Up, 0, 1);
    let published = json!({"base": base, "text": edited});
    let first = send(&deployment, 0, Method::PUT, "/admin/v1/lists", &published).await;
    assert_eq!(first.status, 200, "{first:?}");
    let order = |operation: &str, base: &Value| json!({"scope": "domain", "name": "teifi", "operation": operation, "base": base});
    let path = "/admin/v1/operations";
    let taken = send(
        &deployment,
        0,
        Method::POST,
        path,
        &order("take_out", &json!(0)),
    )
    .await;
    assert_eq!(taken.status, 200, "{taken:?}");
    let (lists_at, out_at) = (&first.body["revision"], &taken.body["revision"]);
    let cases = [
        Case {
            name: "the same lists on the old base, at another node",
            node: 1,
            path: "/admin/v1/lists",
            body: published.clone(),
            status: 200,
            holds: ("/revision", lists_at.clone()),
        },
        Case {
            name: "other lists on the old base",
            node: 2,
            path: "/admin/v1/lists",
            body: json!({"base": base, "text": raced}),
            status: 409,
            holds: (
                "/difference",
                json!([
                    "plan.large.requests_per_s: 100 -> 120",
                    "plan.large.weight: 8 -> 9"
                ]),
            ),
        },
        Case {
            name: "lists with a fault",
            node: 2,
            path: "/admin/v1/lists",
            body: json!({"base": lists_at, "text": "plan = 3"}),
            status: 422,
            holds: ("/changed", json!(false)),
        },
        Case {
            name: "a key that no body has",
            node: 0,
            path: "/admin/v1/operations",
            body: json!({"scope": "domain", "name": "tywi", "operation": "take_out", "bse": 0}),
            status: 400,
            holds: ("/error/verdict", json!("not-run")),
        },
        Case {
            name: "the same order on the old base, at another node",
            node: 1,
            path: "/admin/v1/operations",
            body: order("take_out", &json!(0)),
            status: 200,
            holds: ("/revision", out_at.clone()),
        },
        Case {
            name: "the opposite order on the old base",
            node: 2,
            path: "/admin/v1/operations",
            body: order("bring_back", &json!(0)),
            status: 409,
            holds: ("/in_force", json!("take_out")),
        },
        Case {
            name: "a failure domain that is not known",
            node: 0,
            path: "/admin/v1/operations",
            body: json!({"scope": "domain", "name": "nowhere", "operation": "take_out"}),
            status: 404,
            holds: ("/error/verdict", json!("not-run")),
        },
    ];
    for case in cases {
        let method = match case.path {
            "/admin/v1/lists" => Method::PUT,
            _ => Method::POST,
        };
        let answer = send(&deployment, case.node, method, case.path, &case.body).await;
        assert_eq!(answer.status, case.status, "{}: {answer:?}", case.name);
        let (place, expected) = &case.holds;
        assert_eq!(answer.body.pointer(place), Some(expected), "{}", case.name);
    }
    for node in 0..3 {
        let held = send(
            &deployment,
            node,
            Method::GET,
            "/admin/v1/lists",
            &Value::Null,
        )
        .await;
        assert_eq!(&held.body["revision"], lists_at, "entry-{node}");
        assert_eq!(held.body["text"], json!(edited), "entry-{node}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn progress_names_the_node_that_is_gone_and_the_log_query_shows_an_outage() {
    let mut deployment = deployment("").await;
    deployment.end_entry(2, false).await;
    deployment
        .operate(0, "domain", "dyfi", "take_out")
        .await
        .unwrap();
    let path = "/admin/v1/operations";
    let seen = deployment.query(0, path).await.unwrap();
    let order = &seen["operations"][0];
    let behind = order["not_yet_in_force_at"].as_array().unwrap();
    assert!(behind.contains(&json!("entry-2")), "{order}");
    within("entry-1 has it in force", IN_FORCE, async || {
        let seen = deployment.query(0, path).await.unwrap();
        let nodes = seen["operations"][0]["nodes"].as_array().unwrap().clone();
        let at = |name: &str| {
            nodes
                .iter()
                .any(|n| n["node"] == name && n["in_force"] == true)
        };
        at("entry-0") && at("entry-1") && !at("entry-2")
    })
    .await;
    set_log(&deployment, Mode::Refuse, 0, 0);
    within("the outage shows", IN_FORCE, async || {
        let log = deployment.query(0, "/admin/v1/log").await.unwrap();
        log["reads_log"] == false && log["freshness"] == "outage"
    })
    .await;
    let lists = Kind::HafodTegid.lists().replace("weight = 8", "weight = 7");
    let revision = deployment.query(0, "/admin/v1/lists").await.unwrap();
    let body = json!({"base": revision["revision"], "text": lists});
    let answer = send(&deployment, 0, Method::PUT, "/admin/v1/lists", &body).await;
    assert_eq!(answer.body["result"], "undecided", "{answer:?}");
    assert!(answer.status.is_server_error(), "{answer:?}");
    set_log(&deployment, Mode::Up, 0, 0);
    within(
        "the repeat is accepted, and made once",
        IN_FORCE,
        async || {
            let answer = send(&deployment, 1, Method::PUT, "/admin/v1/lists", &body).await;
            answer.status == 200
        },
    )
    .await;
}
