//! Reads the platform's list of instances.

use crate::{driver::millis, node::Node};
use backend::proto::{ListedInstance, Role};
use slog::debug;
use std::sync::Arc;

/// Reads the list once and updates the views from it.
pub(crate) async fn update(node: Arc<Node>) {
    let address = node.settings.outside.instances;
    let list = match backend::listing::read(address, node.pool.limits()).await {
        Ok(list) => list,
        Err(failure) => {
            debug!(node.log, "reading the instance list failed"; "error" => %failure);
            return;
        }
    };
    let now = node.clock.now();
    let with_role = |role| -> Vec<replica::ListedInstance> {
        let matching = list.instances.iter().filter(|listed| listed.role == role);
        matching.map(convert_listed).collect()
    };
    node.engines().update_listing(&with_role(Role::Engine), now);
    node.services()
        .update_listing(&with_role(Role::Service), now);
    let services = list.instances.iter().filter_map(|listed| {
        let service = listed.service.clone()?;
        Some((listed.instance.clone(), service))
    });
    node.reports.set_services(services.collect());
}

/// Returns the interval between reads of the list.
pub(crate) fn interval(node: &Node) -> std::time::Duration {
    millis(node.settings.timings.instances_poll_ms)
}

/// Converts one listed instance.
fn convert_listed(listed: &ListedInstance) -> replica::ListedInstance {
    replica::ListedInstance {
        instance: listed.instance.clone(),
        address: listed.address,
        domain: listed.domain.clone(),
        fabric: listed.fabric.clone(),
        leaving: listed.leaving,
    }
}
