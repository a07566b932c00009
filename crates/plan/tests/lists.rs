//! Tests of valid and invalid lists, secret lookup and differences.

use plan::{Lists, difference, digest, parse};
use proptest::prelude::*;

const HAFOD_TEGID: &str = include_str!("../../../examples/lists/hafod-tegid.toml");
const LENA: &str = include_str!("../../../examples/lists/lena.toml");

#[test]
fn example_lists_parse() {
    for text in [HAFOD_TEGID, LENA] {
        let lists = parse(text).expect("valid lists");
        assert_eq!((lists.accounts.len(), lists.operators.len()), (10, 1));
        assert_eq!((lists.plans.len(), lists.models.len()), (2, 1));
        assert!(lists.models.values().all(|model| model.members == 4));
        for name in lists.accounts.keys() {
            assert_eq!(lists.account_for_key(&format!("demo-{name}")), Some(name));
        }
        let calls = lists
            .services
            .values()
            .flat_map(|service| service.calls.values());
        assert_eq!(calls.map(|call| u32::from(call.idempotent)).sum::<u32>(), 1);
    }
}

#[test]
fn secret_matches_only_its_owner() {
    let lists = parse(HAFOD_TEGID).expect("valid lists");
    assert_eq!(
        lists.operator_for_token("demo-operator").map(AsRef::as_ref),
        Some("demo")
    );
    for wrong in ["", "demo-", "demo-operator", &digest("demo-bala-books").0] {
        assert_eq!(lists.account_for_key(wrong), None, "{wrong}");
    }
    for wrong in ["", "demo-bala-books", &digest("demo-operator").0] {
        assert_eq!(lists.operator_for_token(wrong), None, "{wrong}");
    }
    assert_eq!(Lists::default().account_for_key(""), None);
}

/// A replacement that makes the example invalid, with the expected errors.
struct Case {
    from: &'static str,
    to: &'static str,
    errors: &'static [&'static str],
}

#[test]
fn invalid_lists_report_every_error() {
    let cases = [
        Case {
            from: "plan = \"large\"",
            to: "plan = \"huge\"\ncolour = 3",
            errors: &[
                "huge",
                "colour: expected one of name, plan, keys",
                "huge",
                "colour",
            ],
        },
        Case {
            from: "members = 4",
            to: "members = 65",
            errors: &["from 1 to 64"],
        },
        Case {
            from: "members = 4",
            to: "members = 0",
            errors: &["from 1 to 64"],
        },
        Case {
            from: "members = 4",
            to: "",
            errors: &["model.draft-cy.members"],
        },
        Case {
            from: "weight = 8",
            to: "weight = 0",
            errors: &["plan.large.weight: expected a weight"],
        },
        Case {
            from: "name = \"sir-record\"",
            to: "name = \"llyn-press\"",
            errors: &["no other section"],
        },
        Case {
            from: "name = \"llyn-press\"",
            to: "name = \"a b\"",
            errors: &["account[1].name: expected a name"],
        },
        Case {
            from: "keys = [\"",
            to: "keys = [\"X",
            errors: &["SHA-256"; 10],
        },
        Case {
            from: "classes = [\"interactive\", \"batch\"]",
            to: "classes = []",
            errors: &["at least one class", "at least one class"],
        },
        Case {
            from: "adapters = [\"draft-cy-legal\"]",
            to: "adapters = [\"draft-cy\"]",
            errors: &["is unknown", "is unknown", "draft-cy is taken"],
        },
        Case {
            from: "services = [\"ledger\"]",
            to: "services = [\"ledger\", \"ledger\", \"x\"]",
            errors: &[
                "each name once",
                "\"x\" is unknown",
                "each name once",
                "\"x\" is unknown",
            ],
        },
        Case {
            from: "idempotent = true",
            to: "idempotent = 1",
            errors: &["true or false"],
        },
        Case {
            from: "weight = 1\nadapters",
            to: "weight = -1\nadapters",
            errors: &["a weight from 1"],
        },
        Case {
            from: "[[operator]]",
            to: "[[operators]]",
            errors: &["one of account, operator"],
        },
        Case {
            from: "[[operator]]",
            to: "[[operator]",
            errors: &["TOML"],
        },
    ];
    for case in cases {
        let text = HAFOD_TEGID.replace(case.from, case.to);
        assert_ne!(text, HAFOD_TEGID, "{}", case.from);
        let errors = parse(&text).expect_err("invalid lists").faults;
        assert_eq!(errors.len(), case.errors.len(), "{}: {errors:#?}", case.to);
        for (error, expected) in errors.iter().zip(case.errors) {
            assert!(
                error.to_string().contains(expected),
                "{}: {error} lacks {expected}",
                case.to
            );
            assert!(error.line.is_some(), "{error}");
        }
    }
}

#[test]
fn error_reports_its_line() {
    let text = "[[plan]]\nname = \"p\"\nclasses = [\"a\"]\ntokens_per_s = 1\nrequests_per_s = 1\nconcurrency = \"x\"\n";
    let errors = parse(text).expect_err("invalid lists");
    assert_eq!(
        errors.to_string(),
        "line 6: plan.p.concurrency: expected a number from 1 to 1000000000"
    );
}

#[test]
fn duplicate_hash_is_rejected() {
    let key = &digest("demo-llyn-press").0;
    let text = HAFOD_TEGID.replace(&*digest("demo-operator").0, key);
    let errors = parse(&text).expect_err("invalid lists").to_string();
    assert!(
        errors.contains("operator.demo.tokens: expected a hash that stands only once"),
        "{errors}"
    );
}

#[test]
fn difference_lists_each_changed_key() {
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
    fn parse_failure_has_errors(text in "[\\[\\]a-z=\"{},. \n0-9]{0,200}") {
        if let Err(errors) = parse(&text) {
            prop_assert!(!errors.faults.is_empty());
        }
    }

    /// Guards against panics and missing line numbers after any change of one byte.
    #[test]
    fn changed_byte_errors_have_lines(at in 0..HAFOD_TEGID.len(), with in "[ -~]") {
        let mut text = HAFOD_TEGID.to_owned();
        text.replace_range(at..=at, &with);
        if let Err(errors) = parse(&text) {
            prop_assert!(errors.faults.iter().all(|error| error.line.is_some()));
        }
    }
}
