//! The map from engine hashes to routing hashes, and resets of engine caches.

use clock::Moment;
use route::{
    EnginePrefixMap,
    prefix::{Holder, Index},
};
use std::time::Duration;

#[test]
fn map_is_bounded_and_keeps_latest() {
    let mut map = EnginePrefixMap::new(10);
    assert_eq!(map.get(1), None);
    map.insert(1, &[]);
    assert!(map.is_empty());
    for engine_hash in 0..100 {
        map.insert(engine_hash, &[engine_hash, engine_hash + 1_000]);
        map.insert(engine_hash, &[engine_hash, engine_hash + 2_000]);
        assert!(map.len() <= 10);
    }
    let latest = map.get(99).expect("inserted just now");
    assert_eq!(
        (&latest.first_block, &latest.longer),
        (&vec![99], &vec![1_099, 2_099])
    );
    assert_eq!(map.get(0), None);
    for hash in 0..1_000 {
        map.insert(99, &[hash, hash + 5_000]);
    }
    let latest = map.get(99).expect("inserted just now");
    assert_eq!(latest.first_block.last(), Some(&999));
    assert_eq!((latest.first_block.len(), latest.longer.len()), (8, 64));
}

/// Events after an entry of cache life 2, and the blocks expected in the index.
struct Case {
    name: &'static str,
    began: Option<u64>,
    stored: Option<u64>,
    blocks: u32,
}

// Guards against affinity to prefixes that a reset removed from the cache.
#[test]
fn new_cache_life_drops_entries() {
    let cases = [
        Case {
            name: "same life",
            began: Some(2),
            stored: None,
            blocks: 1,
        },
        Case {
            name: "late event of an earlier life",
            began: Some(1),
            stored: None,
            blocks: 1,
        },
        Case {
            name: "next life",
            began: Some(3),
            stored: None,
            blocks: 0,
        },
        Case {
            name: "late store of the ended life",
            began: Some(3),
            stored: Some(2),
            blocks: 0,
        },
        Case {
            name: "store of the next life",
            began: Some(3),
            stored: Some(3),
            blocks: 1,
        },
    ];
    let now = Moment::START;
    for case in cases {
        let mut index = Index::new(10, Duration::from_secs(60));
        let holder = |life| Holder { key: 7, life };
        index.store(5, holder(2), now);
        if let Some(life) = case.began {
            index.begin_life(holder(life));
        }
        if let Some(life) = case.stored {
            index.store(5, holder(life), now);
        }
        assert_eq!(
            index.find(&[5], now).blocks(7),
            case.blocks,
            "{}",
            case.name
        );
    }
}
