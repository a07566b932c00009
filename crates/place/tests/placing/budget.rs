//! Allowances that all nodes share.

use place::{Budget, cold_part};
use site::fixture::{bounds, id};

/// All nodes together must not exceed the allowance in any window.
#[test]
fn budgets_of_all_nodes_stay_within_the_allowance() {
    for nodes in [1, 6, 9, 72, 340] {
        let bounds = bounds();
        let mut budgets: Vec<Budget> = (0..nodes).map(|_| Budget::new(&bounds, nodes)).collect();
        let mut requests = 0.0;
        let mut further = 0.0;
        // Every request fails and wants a further attempt, twice.
        for n in 0..3_000 {
            let budget = &mut budgets[n % nodes];
            budget.request();
            requests += 1.0;
            further += f64::from(u8::from(budget.take())) + f64::from(u8::from(budget.take()));
        }
        let allowed = bounds.retry_ratio * requests + bounds.retry_slack;
        assert!(further <= allowed, "{nodes} nodes: {further} of {allowed}");
    }
}

/// With more nodes than a cold server bears requests, each node sent one.
#[test]
fn parts_of_a_cold_servers_bound_add_up_to_it() {
    for nodes in [1_usize, 5, 9, 36, 72, 340] {
        let names: Vec<String> = (0..nodes).map(|n| format!("node-{n}")).collect();
        for server in ["a", "b", "c"] {
            let parts = names.iter().map(|own| {
                let all: Vec<&str> = names.iter().map(String::as_str).collect();
                cold_part(36.0, &id(server), own, all.into_iter())
            });
            assert_eq!(parts.sum::<usize>(), 36, "{nodes} nodes, server {server}");
        }
    }
}
