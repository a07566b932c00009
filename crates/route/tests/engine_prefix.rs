//! The engines' names of prefixes, and lives of their caches.

use clock::Moment;
use route::{
    Naming,
    prefix::{Holder, Index},
};
use std::time::Duration;

#[test]
fn names_are_bounded_and_the_latest_are_kept() {
    let mut naming = Naming::new(10);
    assert_eq!(naming.meaning(1), None);
    naming.note(1, &[]);
    assert!(naming.is_empty());
    for name in 0..100 {
        naming.note(name, &[name, name + 1_000]);
        naming.note(name, &[name, name + 2_000]);
        assert!(naming.len() <= 10);
    }
    let latest = naming.meaning(99).expect("noted just now");
    assert_eq!(
        (&latest.first, &latest.longer),
        (&vec![99], &vec![1_099, 2_099])
    );
    assert_eq!(naming.meaning(0), None);
    for hash in 0..1_000 {
        naming.note(99, &[hash, hash + 5_000]);
    }
    let latest = naming.meaning(99).expect("noted just now");
    assert_eq!(latest.first.last(), Some(&999));
    assert_eq!((latest.first.len(), latest.longer.len()), (8, 64));
}

/// What a holder's life does to an entry of life 2.
struct Case {
    name: &'static str,
    began: Option<u64>,
    stored: Option<u64>,
    blocks: u32,
}

#[test]
fn a_new_life_of_a_cache_holds_nothing() {
    let cases = [
        Case {
            name: "same life",
            began: Some(2),
            stored: None,
            blocks: 1,
        },
        Case {
            name: "late word of an earlier life",
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
            index.begin(holder(life));
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
