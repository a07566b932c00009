//! Ids of streams and bodies of completions under arbitrary bytes.

#![expect(clippy::unwrap_used, reason = "a test fails by panicking")]

use super::{
    body::{MAX_TOKENS, Route, draft},
    stream_id::{Place, StreamId},
};
use name::Account;
use proptest::prelude::*;
use serde_json::json;

/// A secret for ids.
const SECRET: &[u8] = b"0123456789abcdef";

/// Returns an account.
fn account(name: &str) -> Account {
    Account::try_from(name).unwrap()
}

proptest! {
    #[test]
    fn arbitrary_places_are_refused_or_belong_to_nobody(text in ".{0,80}", seed in any::<u64>(), tag in "[0-9a-f]{32}", tokens in any::<u32>()) {
        for text in [text, format!("{seed:016x}-{tag}-{tokens}")] {
            if let Some(place) = Place::parse(&text) {
                prop_assert!(!place.stream.belongs_to(SECRET, &account("a"), b"request"));
            }
        }
    }

    #[test]
    fn a_place_belongs_to_its_account_request_and_secret_alone(
        request in prop::collection::vec(any::<u8>(), 0..60),
        seed in any::<u64>(),
        tokens in any::<u32>(),
    ) {
        let stream = StreamId::new(SECRET, &account("a"), &request, seed);
        let place = Place { stream, tokens };
        let parsed = Place::parse(&place.text());
        prop_assert_eq!(parsed.as_ref(), Some(&place));
        let belongs = |secret: &[u8], name: &str, request: &[u8]| {
            place.stream.belongs_to(secret, &account(name), request)
        };
        prop_assert!(belongs(SECRET, "a", &request));
        prop_assert!(!belongs(SECRET, "b", &request));
        prop_assert!(!belongs(b"another secret..", "a", &request));
        let longer = [&request[..], b"x"].concat();
        prop_assert!(!belongs(SECRET, "a", &longer));
        let mut other = place.stream.clone();
        other.seed ^= 1;
        prop_assert!(!other.belongs_to(SECRET, &account("a"), &request));
    }

    #[test]
    fn arbitrary_bodies_are_refused(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        for route in [Route::Text, Route::Chat] {
            prop_assert!(draft(route, &bytes).is_err());
        }
    }

    #[test]
    fn bodies_keep_what_they_say(
        model in ".{0,120}",
        prompt in ".{0,40}",
        max_tokens in any::<u32>(),
        seed in any::<Option<u64>>(),
        stream in any::<bool>(),
    ) {
        let body = json!({"model": model, "prompt": prompt, "max_tokens": max_tokens, "seed": seed, "stream": stream});
        match draft(Route::Text, body.to_string().as_bytes()) {
            Ok(draft) => {
                prop_assert_eq!(draft.model.as_str(), model.as_str());
                prop_assert_eq!((draft.prompt, draft.seed, draft.stream), (prompt, seed, stream));
                prop_assert!((1..=MAX_TOKENS).contains(&draft.max_tokens));
            }
            Err(error) => prop_assert_eq!(error.verdict(), verdict::Verdict::NotRun),
        }
    }
}

/// A body, and the field that the refusal names.
struct Case {
    name: &'static str,
    route: Route,
    body: String,
    names: &'static str,
}

#[test]
fn a_refused_body_is_told_what_is_wrong() {
    let nested = format!("{}{}", "[".repeat(5_000), "]".repeat(5_000));
    let cases = [
        Case {
            name: "no prompt",
            route: Route::Text,
            body: r#"{"model":"m"}"#.into(),
            names: "prompt",
        },
        Case {
            name: "no messages",
            route: Route::Chat,
            body: r#"{"model":"m"}"#.into(),
            names: "messages",
        },
        Case {
            name: "no tokens",
            route: Route::Text,
            body: r#"{"model":"m","prompt":"p","max_tokens":0}"#.into(),
            names: "max_tokens",
        },
        Case {
            name: "too many tokens",
            route: Route::Text,
            body: r#"{"model":"m","prompt":"p","max_tokens":8193}"#.into(),
            names: "max_tokens",
        },
        Case {
            name: "a bad model",
            route: Route::Text,
            body: r#"{"model":"","prompt":"p"}"#.into(),
            names: "model",
        },
        Case {
            name: "a negative seed",
            route: Route::Text,
            body: r#"{"model":"m","prompt":"p","seed":-1}"#.into(),
            names: "not valid",
        },
        Case {
            name: "nested deeply",
            route: Route::Text,
            body: nested,
            names: "not valid",
        },
    ];
    for case in cases {
        let error = draft(case.route, case.body.as_bytes()).unwrap_err();
        let message = error.message();
        assert!(message.contains(case.names), "{}: {message}", case.name);
    }
}
