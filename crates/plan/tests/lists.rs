//! Lists that are whole, lists with faults, secrets and differences.

use plan::{Lists, difference, digest, parse};
use proptest::prelude::*;

const HAFOD_TEGID: &str = include_str!("../../../examples/lists/hafod-tegid.toml");
const LENA: &str = include_str!("../../../examples/lists/lena.toml");

#[test]
fn the_examples_parse_whole() {
    for text in [HAFOD_TEGID, LENA] {
        let lists = parse(text).expect("the lists are whole");
        assert_eq!((lists.accounts.len(), lists.operators.len()), (10, 1));
        assert_eq!((lists.plans.len(), lists.models.len()), (2, 1));
        assert!(lists.models.values().all(|model| model.members == 4));
        for name in lists.accounts.keys() {
            assert_eq!(lists.account_of_key(&format!("demo-{name}")), Some(name));
        }
        let calls = lists
            .services
            .values()
            .flat_map(|service| service.calls.values());
        assert_eq!(calls.map(|call| u32::from(call.idempotent)).sum::<u32>(), 1);
    }
}

#[test]
fn secrets_open_only_their_owner() {
    let lists = parse(HAFOD_TEGID).expect("the lists are whole");
    assert_eq!(
        lists.operator_of_token("demo-operator").map(AsRef::as_ref),
        Some("demo")
    );
    for wrong in ["", "demo-", "demo-operator", &digest("demo-bala-books").0] {
        assert_eq!(lists.account_of_key(wrong), None, "{wrong}");
    }
    for wrong in ["", "demo-bala-books", &digest("demo-operator").0] {
        assert_eq!(lists.operator_of_token(wrong), None, "{wrong}");
    }
    assert_eq!(Lists::default().account_of_key(""), None);
}

/// An edit of the example that makes it faulty.
struct Case {
    from: &'static str,
    to: &'static str,
    faults: &'static [&'static str],
}

#[test]
fn every_fault_is_named() {
    let cases = [
        Case {
            from: "plan = \"large\"",
            to: "plan = \"huge\"\ncolour = 3",
            faults: &[
                "huge",
                "colour: expected one of name, plan, keys",
                "huge",
                "colour",
            ],
        },
        Case {
            from: "members = 4",
            to: "members = 65",
            faults: &["from 1 to 64"],
        },
        Case {
            from: "members = 4",
            to: "members = 0",
            faults: &["from 1 to 64"],
        },
        Case {
            from: "members = 4",
            to: "",
            faults: &["model.draft-cy.members"],
        },
        Case {
            from: "weight = 8",
            to: "weight = 0",
            faults: &["plan.large.weight: expected a weight"],
        },
        Case {
            from: "name = \"sir-record\"",
            to: "name = \"llyn-press\"",
            faults: &["no other section"],
        },
        Case {
            from: "name = \"llyn-press\"",
            to: "name = \"a b\"",
            faults: &["account[1].name: expected a name"],
        },
        Case {
            from: "keys = [\"",
            to: "keys = [\"X",
            faults: &["SHA-256"; 10],
        },
        Case {
            from: "classes = [\"interactive\", \"batch\"]",
            to: "classes = []",
            faults: &["at least one class", "at least one class"],
        },
        Case {
            from: "adapters = [\"draft-cy-legal\"]",
            to: "adapters = [\"draft-cy\"]",
            faults: &["is unknown", "is unknown", "draft-cy is taken"],
        },
        Case {
            from: "services = [\"ledger\"]",
            to: "services = [\"ledger\", \"ledger\", \"x\"]",
            faults: &[
                "each name once",
                "\"x\" is unknown",
                "each name once",
                "\"x\" is unknown",
            ],
        },
        Case {
            from: "idempotent = true",
            to: "idempotent = 1",
            faults: &["true or false"],
        },
        Case {
            from: "weight = 1\nadapters",
            to: "weight = -1\nadapters",
            faults: &["a weight from 1"],
        },
        Case {
            from: "[[operator]]",
            to: "[[operators]]",
            faults: &["one of account, operator"],
        },
        Case {
            from: "[[operator]]",
            to: "[[operator]",
            faults: &["TOML"],
        },
    ];
    for case in cases {
        let text = HAFOD_TEGID.replace(case.from, case.to);
        assert_ne!(text, HAFOD_TEGID, "{}", case.from);
        let faults = parse(&text).expect_err("the lists have faults").faults;
        assert_eq!(faults.len(), case.faults.len(), "{}: {faults:#?}", case.to);
        for (fault, part) in faults.iter().zip(case.faults) {
            assert!(
                fault.to_string().contains(part),
                "{}: {fault} lacks {part}",
                case.to
            );
            assert!(fault.line.is_some(), "{fault}");
        }
    }
}

#[test]
fn a_fault_names_its_line() {
    let text = "[[plan]]\nname = \"p\"\nclasses = [\"a\"]\ntokens_per_s = 1\nrequests_per_s = 1\nconcurrency = \"x\"\n";
    let faults = parse(text).expect_err("the lists have faults");
    assert_eq!(
        faults.to_string(),
        "line 6: plan.p.concurrency: expected a number from 1 to 1000000000"
    );
}

#[test]
fn a_hash_stands_only_once() {
    let key = &digest("demo-llyn-press").0;
    let text = HAFOD_TEGID.replace(&*digest("demo-operator").0, key);
    let faults = parse(&text).expect_err("the lists have faults").to_string();
    assert!(
        faults.contains("operator.demo.tokens: expected a hash that stands only once"),
        "{faults}"
    );
}

#[test]
fn a_difference_names_each_key() {
    let new = HAFOD_TEGID.replace("weight = 8", "weight = 9").replace(
        "[[operator]]\nname = \"demo\"",
        "[[operator]]\nname = \"eira\"",
    );
    let seen: Vec<String> = difference(HAFOD_TEGID, &new)
        .iter()
        .map(ToString::to_string)
        .collect();
    assert!(
        seen.contains(&"plan.large.weight: 8 -> 9".into()),
        "{seen:?}"
    );
    assert!(
        seen.contains(&"operator.demo.name: \"demo\" -> absent".into()),
        "{seen:?}"
    );
    assert_eq!(seen.len(), 5, "{seen:?}");
    assert!(difference(HAFOD_TEGID, HAFOD_TEGID).is_empty());
    assert_eq!(difference("=", "x = 1")[0].key, "text");
}

proptest! {
    #[test]
    fn any_text_parses_or_has_faults(text in "[\\[\\]a-z=\"{},. \n0-9]{0,200}") {
        if let Err(faults) = parse(&text) {
            prop_assert!(!faults.faults.is_empty());
        }
    }

    /// One changed byte of good lists never panics and never loses a fault's place.
    #[test]
    fn a_changed_byte_never_panics(at in 0..HAFOD_TEGID.len(), with in "[ -~]") {
        let mut text = HAFOD_TEGID.to_owned();
        text.replace_range(at..=at, &with);
        if let Err(faults) = parse(&text) {
            prop_assert!(faults.faults.iter().all(|fault| fault.line.is_some()));
        }
    }
}
