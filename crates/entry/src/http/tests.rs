//! Property tests of stream ids and of bodies of completions.

#![expect(clippy::unwrap_used, reason = "a test fails by panicking")]

use super::{
    body::{MAX_TOKENS, Route, parse_completion},
    stream_id::{StreamId, StreamPosition},
};
use name::Account;
use proptest::prelude::*;
use serde_json::json;

/// The secret that keys the ids.
const SECRET: &[u8] = b"0123456789abcdef";

/// Returns an account with the given name.
fn account(name: &str) -> Account {
    Account::try_from(name).unwrap()
}

proptest! {
    // A position that verifies without the secret would let a caller resume another
    // account's stream.
    #[test]
    fn arbitrary_position_never_verifies(text in ".{0,80}", seed in any::<u64>(), tag in "[0-9a-f]{32}", tokens in any::<u32>()) {
        for text in [text, format!("{seed:016x}-{tag}-{tokens}")] {
            if let Some(position) = StreamPosition::parse(&text) {
                prop_assert!(!position.stream.belongs_to(SECRET, &account("a"), b"request"));
            }
        }
    }

    // A tag that leaves out the secret, the account, the request or the seed would
    // accept the position for another of them.
    #[test]
    fn position_verifies_only_for_its_account_request_and_secret(
        request in prop::collection::vec(any::<u8>(), 0..60),
        seed in any::<u64>(),
        tokens in any::<u32>(),
    ) {
        let stream = StreamId::new(SECRET, &account("a"), &request, seed);
        let position = StreamPosition { stream, tokens };
        let parsed = StreamPosition::parse(&position.text());
        prop_assert_eq!(parsed.as_ref(), Some(&position));
        let belongs = |secret: &[u8], name: &str, request: &[u8]| {
            position.stream.belongs_to(secret, &account(name), request)
        };
        prop_assert!(belongs(SECRET, "a", &request));
        prop_assert!(!belongs(SECRET, "b", &request));
        prop_assert!(!belongs(b"another secret..", "a", &request));
        let longer = [&request[..], b"x"].concat();
        prop_assert!(!belongs(SECRET, "a", &longer));
        let mut other = position.stream.clone();
        other.seed ^= 1;
        prop_assert!(!other.belongs_to(SECRET, &account("a"), &request));
    }

    // Input that is not a completion body must be rejected without a panic.
    #[test]
    fn arbitrary_body_is_rejected(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        for route in [Route::Text, Route::Chat] {
            prop_assert!(parse_completion(route, &bytes).is_err());
        }
    }

    // A field that is lost or changed in parsing would alter the caller's request.
    #[test]
    fn parsed_fields_match_the_body(
        model in ".{0,120}",
        prompt in ".{0,40}",
        max_tokens in any::<u32>(),
        seed in any::<Option<u64>>(),
        stream in any::<bool>(),
    ) {
        let body = json!({"model": model, "prompt": prompt, "max_tokens": max_tokens, "seed": seed, "stream": stream});
        match parse_completion(Route::Text, body.to_string().as_bytes()) {
            Ok(request) => {
                prop_assert_eq!(request.model.as_str(), model.as_str());
                prop_assert_eq!((request.prompt, request.seed, request.stream), (prompt, seed, stream));
                prop_assert!((1..=MAX_TOKENS).contains(&request.max_tokens));
            }
            Err(error) => prop_assert_eq!(error.verdict(), verdict::Verdict::NotRun),
        }
    }
}

/// An invalid body, and the text that the error message must contain.
struct Case {
    name: &'static str,
    route: Route,
    body: String,
    field: &'static str,
}

// An error that does not name the invalid field leaves the caller to guess it.
#[test]
fn rejection_names_the_invalid_field() {
    let nested = format!("{}{}", "[".repeat(5_000), "]".repeat(5_000));
    let cases = [
        Case {
            name: "no prompt",
            route: Route::Text,
            body: r#"{"model":"m"}"#.into(),
            field: "prompt",
        },
        Case {
            name: "no messages",
            route: Route::Chat,
            body: r#"{"model":"m"}"#.into(),
            field: "messages",
        },
        Case {
            name: "no tokens",
            route: Route::Text,
            body: r#"{"model":"m","prompt":"p","max_tokens":0}"#.into(),
            field: "max_tokens",
        },
        Case {
            name: "too many tokens",
            route: Route::Text,
            body: r#"{"model":"m","prompt":"p","max_tokens":8193}"#.into(),
            field: "max_tokens",
        },
        Case {
            name: "a bad model",
            route: Route::Text,
            body: r#"{"model":"","prompt":"p"}"#.into(),
            field: "model",
        },
        Case {
            name: "a negative seed",
            route: Route::Text,
            body: r#"{"model":"m","prompt":"p","seed":-1}"#.into(),
            field: "not valid",
        },
        Case {
            name: "nested deeply",
            route: Route::Text,
            body: nested,
            field: "not valid",
        },
    ];
    for case in cases {
        let error = parse_completion(case.route, case.body.as_bytes()).unwrap_err();
        let message = error.message();
        assert!(message.contains(case.field), "{}: {message}", case.name);
    }
}
