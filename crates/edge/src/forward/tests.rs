//! The mark of requests that other nodes pass on.

use super::{MAX_RUNS, RUNS, take_runs};
use crate::attempt::Attempts;
use http::{HeaderMap, HeaderValue};

/// Guards against a count of a caller's own making that overflows when a server is added.
#[test]
fn mark_of_any_value_is_taken_with_a_bound() {
    struct Case {
        value: Option<&'static str>,
        runs: Option<u32>,
    }
    let case = |value, runs| Case { value, runs };
    let cases = [
        case(None, None),
        case(Some("0"), Some(0)),
        case(Some("2"), Some(2)),
        case(Some("4294967295"), Some(MAX_RUNS)),
        case(Some("99999999999"), Some(0)),
        case(Some("-1"), Some(0)),
        case(Some(""), Some(0)),
    ];
    for case in cases {
        let mut headers = HeaderMap::new();
        if let Some(value) = case.value {
            headers.insert(RUNS, HeaderValue::from_static(value));
        }
        let runs = take_runs(&mut headers);
        assert_eq!(runs, case.runs, "{:?}", case.value);
        assert!(headers.is_empty(), "{:?}", case.value);
        let attempts = Attempts::after(runs.unwrap_or(0));
        assert!(
            attempts.executions.checked_add(1).is_some(),
            "{:?}",
            case.value
        );
    }
}
