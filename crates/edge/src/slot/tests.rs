//! Slots at servers that are withdrawn before a request is sent.

use super::SlotRequest;
use crate::follow::tests::Node;
use place::Urgency;
use site::{
    Config,
    config::ServiceSpec,
    fixture::{self, id},
    server::Change,
};
use std::sync::Arc;

/// Guards against sending a request to a server that left while the connection was opened.
#[test]
fn slot_is_current_only_while_its_server_is_a_target() {
    struct Case {
        what: &'static str,
        change: fn(&Node),
        is_current: bool,
    }
    let cases = [
        Case {
            what: "nothing changes",
            change: |_| {},
            is_current: true,
        },
        Case {
            what: "the entry is renewed",
            change: |node| node.apply(Change::Updated(Box::new(fixture::server("a")))),
            is_current: true,
        },
        Case {
            what: "the server announces that it is leaving",
            change: |node| {
                let now = node.shared.now();
                let mut tables = node.shared.tables();
                tables.fleet.set_leaving(&id("a"), 1, now);
                node.shared.update_targets(&mut tables);
            },
            is_current: false,
        },
        Case {
            what: "the entry is removed",
            change: |node| node.apply(Change::Removed(id("a"))),
            is_current: false,
        },
        Case {
            what: "the server starts again",
            change: |node| {
                let mut server = fixture::server("a");
                server.incarnation = 2;
                node.apply(Change::Updated(Box::new(server)));
            },
            is_current: false,
        },
        Case {
            what: "its domain is taken out of service",
            change: |node| {
                let mut tables = node.shared.tables();
                tables.set_taken_out("d".parse().expect("a name"), true);
                node.shared.update_targets(&mut tables);
            },
            is_current: false,
        },
    ];
    for case in cases {
        let node = Node::new();
        let spec = ServiceSpec {
            cold_requests_per_s: 0.0,
            max_connections: 10,
            health_path: None,
            engine: None,
        };
        node.shared.tables().set_config(Config {
            services: [("llm".parse().expect("a name"), Arc::new(spec))].into(),
            ..Config::default()
        });
        node.apply(Change::Updated(Box::new(fixture::server("a"))));
        let request = SlotRequest {
            service: "llm".parse().expect("a name"),
            model: None,
            account: None,
            prompt: 0,
            excluded: Vec::new(),
            urgency: Urgency {
                priority: 0,
                due: node.shared.now(),
            },
            is_admitted: false,
            trial: None,
        };
        let now = node.shared.now();
        let mut tables = node.shared.tables();
        let slot = node.shared.try_acquire(&mut tables, &request, false, now);
        drop(tables);
        let slot = slot.expect("a free slot");
        (case.change)(&node);
        assert_eq!(slot.is_current(), case.is_current, "{}", case.what);
    }
}
