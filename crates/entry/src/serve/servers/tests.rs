//! Tests that cache events update the affinity index.

use super::{Location, Offer, Servers, Target};
use admit::slot::{CapacityReport, Ownership, Timing};
use backend::proto::{CacheEvent, CacheEvents};
use clock::Moment;
use name::{Domain, Generation, Incarnation, Instance, Model, Node, Offset, Region, Replica};
use rand::{SeedableRng, rngs::SmallRng};
use route::Policy;
use state::{Epoch, Peer};
use std::time::Duration;
use uuid::Uuid;

/// The engines' hash of the prompt's prefix.
const ENGINE_HASH: u64 = 77;

/// The routing hashes of the same prompt.
const ROUTE_HASHES: [u64; 3] = [1, 2, 3];

fn target() -> Target {
    Target::Model(Model::try_from("m").expect("a name"))
}

fn offer(number: u64, generation: u64, boot: u128, at: Moment) -> Offer {
    Offer {
        targets: vec![target()],
        replica: Some(Replica::try_from(format!("r{number}").as_str()).expect("a name")),
        generation: Generation(generation),
        instance: Instance::try_from(format!("i{number}").as_str()).expect("a name"),
        address: ([127, 0, 0, 1], 1).into(),
        domain: Domain::try_from("d").expect("a name"),
        is_spread: false,
        capacity: CapacityReport {
            boot: Uuid::from_u128(boot),
            warm: true,
            warm_limit: 16,
            cold_limit: 4,
            idle: true,
            at,
        },
        running: 0,
    }
}

/// Returns the servers of a single node with two replicas.
fn servers(now: Moment) -> Servers {
    let node = Node::try_from("n").expect("a name");
    let incarnation = Incarnation(Uuid::from_u128(1));
    let location = Location {
        node: node.clone(),
        incarnation,
        domain: Domain::try_from("d").expect("a name"),
        region: Region::try_from("r").expect("a name"),
    };
    let mut servers = Servers::new(location, Timing::default(), Policy::Affinity);
    let address = ([127, 0, 0, 1], 1).into();
    let epoch = Epoch {
        revision: Offset(1),
        peers: vec![Peer {
            node,
            incarnation,
            domain: Domain::try_from("d").expect("a name"),
            peer_address: address,
            caller_address: address,
        }],
    };
    servers.apply_epoch(Ownership::from(&epoch), Some(Offset::ZERO), now);
    servers.confirm_log_view(now + Duration::from_secs(100));
    servers.apply_survey(vec![offer(0, 1, 10, now), offer(1, 1, 11, now)]);
    servers
}

/// Returns the number of prefix blocks that the index lists for replica `at`.
fn blocks(servers: &Servers, at: u64, now: Moment) -> u32 {
    let replica = Replica::try_from(format!("r{at}").as_str()).expect("a name");
    servers
        .prefixes
        .find(&ROUTE_HASHES, now)
        .blocks(route::replica_key(&replica))
}

/// The events after a draft was sent, and the resulting number of blocks.
struct Case {
    name: &'static str,
    events: Vec<(u64, bool)>,
    /// The generation and boot id offset in a survey between the read and its reply.
    survey_between: (u64, u128),
    blocks: u32,
}

/// Guards against applying events from before a cache reset: a reply that arrives
/// after a reconfiguration or restart must not change the index.
#[test]
fn cache_events_apply_until_cache_reset() {
    let same = (1, 0);
    let cases = [
        Case {
            name: "no events",
            events: vec![],
            survey_between: same,
            blocks: 3,
        },
        Case {
            name: "evicted",
            events: vec![(ENGINE_HASH, false)],
            survey_between: same,
            blocks: 0,
        },
        Case {
            name: "evicted and stored",
            events: vec![(ENGINE_HASH, false), (ENGINE_HASH, true)],
            survey_between: same,
            blocks: 1,
        },
        Case {
            name: "another prefix evicted",
            events: vec![(ENGINE_HASH + 1, false)],
            survey_between: same,
            blocks: 3,
        },
        Case {
            name: "new generation",
            events: vec![(ENGINE_HASH, true)],
            survey_between: (2, 0),
            blocks: 0,
        },
        Case {
            name: "restart",
            events: vec![(ENGINE_HASH, true)],
            survey_between: (1, 90),
            blocks: 0,
        },
    ];
    for case in cases {
        let now = Moment::START + Duration::from_secs(1);
        let mut servers = servers(now);
        assert!(servers.due_cache_reads(8, now).is_empty(), "{}", case.name);
        let mut rng = SmallRng::seed_from_u64(1);
        let lease = servers
            .acquire(&target(), &ROUTE_HASHES, &[], now, &mut rng)
            .expect("a slot");
        let at = u64::from(lease.offer.instance.as_str() == "i1");
        servers.record_sent(&lease, ENGINE_HASH, &ROUTE_HASHES, now);
        let reads = servers.due_cache_reads(8, now);
        assert_eq!(reads.len(), 1, "{}", case.name);
        assert_eq!(
            (&reads[0].instance, reads[0].from),
            (&lease.offer.instance, 0)
        );
        let (generation, boot) = case.survey_between;
        let changed = offer(at, generation, 10 + u128::from(at) + boot, now);
        servers.apply_survey(vec![
            changed,
            offer(1 - at, 1, 10 + u128::from(1 - at), now),
        ]);
        let numbered = case.events.iter().zip(0..);
        let events = numbered.map(|((prefix, stored), number)| CacheEvent {
            number,
            prefix: *prefix,
            stored: *stored,
        });
        let next = case.events.len() as u64;
        let events = CacheEvents {
            next,
            events: events.collect(),
        };
        servers.apply_cache_events(&reads[0], &events, now);
        assert_eq!(blocks(&servers, at, now), case.blocks, "{}", case.name);
        assert_eq!(blocks(&servers, 1 - at, now), 0, "{}", case.name);
        if case.survey_between == same {
            let again = servers.due_cache_reads(8, now);
            assert_eq!(again[0].from, next, "{}", case.name);
        }
        let late = now + super::cache::CACHE_FOLLOW_TIME;
        assert!(servers.due_cache_reads(8, late).is_empty(), "{}", case.name);
    }
}
