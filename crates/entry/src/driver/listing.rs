//! Reads the platform's list of instances.

use crate::{driver::millis, node::Node};
use backend::proto::{ListedInstance, Role};
use slog::debug;
use std::sync::Arc;

/// Reads the list once and takes it over.
pub(crate) async fn read(node: Arc<Node>) {
    let address = node.settings.outside.instances;
    let list = match backend::listing::read(address, node.pool.limits()).await {
        Ok(list) => list,
        Err(failure) => {
            debug!(node.log, "the instance list could not be read"; "error" => %failure);
            return;
        }
    };
    let now = node.clock.now();
    let of = |role| -> Vec<replica::ListedInstance> {
        let with_role = list.instances.iter().filter(|listed| listed.role == role);
        with_role.map(listed_of).collect()
    };
    node.engines().update_listing(&of(Role::Engine), now);
    node.services().update_listing(&of(Role::Service), now);
    let services = list.instances.iter().filter_map(|listed| {
        let service = listed.service.clone()?;
        Some((listed.instance.clone(), service))
    });
    node.known.set_services(services.collect());
}

/// Returns how often the list is read.
pub(crate) fn period(node: &Node) -> std::time::Duration {
    millis(node.settings.timings.instances_poll_ms)
}

/// Converts an instance of the list.
fn listed_of(listed: &ListedInstance) -> replica::ListedInstance {
    replica::ListedInstance {
        instance: listed.instance.clone(),
        address: listed.address,
        domain: listed.domain.clone(),
        fabric: listed.fabric.clone(),
        leaving: listed.leaving,
    }
}
