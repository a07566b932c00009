//! Tests of invalid documents, the example settings and the reference page.

#![expect(clippy::unwrap_used, reason = "a test fails by panicking")]

use settings::{Entry, Standin};
use std::{fs, path::Path};

/// A valid document.
const VALID: &str = r#"node = "entry-1"
region = "cymru-west"
domain = "teifi"
listen = { caller = "127.0.0.1:1", peer = "127.0.0.1:2", admin = "127.0.0.1:3" }
outside = { log = "127.0.0.1:4", instances = "127.0.0.1:5", weights = "127.0.0.1:6" }
"#;

/// A replacement in the document, and the expected errors: line, key and a substring
/// of the problem.
struct Case {
    name: &'static str,
    replace: (&'static str, &'static str),
    errors: &'static [(usize, &'static str, &'static str)],
}

const CASES: &[Case] = &[
    Case {
        name: "valid",
        replace: ("", ""),
        errors: &[],
    },
    Case {
        name: "missing failure domain",
        replace: ("domain = \"teifi\"\n", ""),
        errors: &[(1, "domain", "missing field")],
    },
    Case {
        name: "unknown key",
        replace: ("domain =", "colour = 3\ndomain ="),
        errors: &[(3, "colour", "unknown key")],
    },
    Case {
        name: "wrong unit",
        replace: (
            "admin = \"127.0.0.1:3\" }",
            "admin = \"127.0.0.1:3\" }\ntimings.heartbeat_s = 1",
        ),
        errors: &[(
            5,
            "timings.heartbeat_s",
            "expected heartbeat_ms, in milliseconds",
        )],
    },
    Case {
        name: "wrong type",
        replace: ("outside", "limits.max_body_bytes = \"1 MB\"\noutside"),
        errors: &[(5, "limits.max_body_bytes", "expected u64")],
    },
    Case {
        name: "conflicting addresses",
        replace: ("peer = \"127.0.0.1:2\"", "peer = \"127.0.0.1:1\""),
        errors: &[(4, "listen.peer", "clashes with listen.caller")],
    },
    Case {
        name: "invalid address",
        replace: ("caller = \"127.0.0.1:1\"", "caller = \"localhost:1\""),
        errors: &[(4, "listen.caller", "invalid socket address")],
    },
    Case {
        name: "four errors at once",
        replace: (
            "domain = \"teifi\"",
            "colour = 3\nlimits.max_body_bytes = -1\ntimings.heartbeat_ms = 0",
        ),
        errors: &[
            (1, "domain", "missing field"),
            (3, "colour", "unknown key"),
            (4, "limits.max_body_bytes", "invalid value"),
            (5, "timings.heartbeat_ms", "too small"),
        ],
    },
    Case {
        name: "secret too short",
        replace: ("outside", "peers.secret_hex = \"00ff\"\noutside"),
        errors: &[(5, "peers.secret_hex", "at least 16 bytes")],
    },
    Case {
        name: "idempotency window longer than log retention",
        replace: ("outside", "idempotency.window_s = 86401\noutside"),
        errors: &[(1, "timings.log_retention_s", "idempotency.window_s")],
    },
    Case {
        name: "not TOML",
        replace: ("region =", "region"),
        errors: &[(2, "", "is not TOML")],
    },
];

#[test]
fn errors_have_line_and_key() {
    for case in CASES {
        let text = VALID.replacen(case.replace.0, case.replace.1, 1);
        let errors = match settings::parse::<Entry>(&text, "x.toml") {
            Ok(_) => Vec::new(),
            Err(errors) => errors.0,
        };
        let details = format!("{}: {errors:#?}", case.name);
        assert_eq!(errors.len(), case.errors.len(), "{details}");
        for (error, (line, key, problem)) in errors.iter().zip(case.errors) {
            assert_eq!((error.line, error.key.as_str()), (*line, *key), "{details}");
            assert!(error.problem.contains(problem), "{details}");
            assert_eq!(error.file, "x.toml");
        }
    }
}

#[test]
fn secret_is_redacted() {
    let text = format!("{VALID}peers.secret_hex = \"a1b2c3d4e5f60718293a4b5c6d7e8f90\"\n");
    let entry: Entry = settings::parse(&text, "x.toml").unwrap();
    assert_eq!(entry.peers.secret().unwrap().unwrap().expose()[0], 0xa1);
    assert!(!format!("{entry:?}").contains("161"));
    assert!(format!("{entry:?}").contains("redacted"));
}

#[test]
fn example_settings_parse_without_address_conflicts() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/settings");
    let mut addresses = Vec::new();
    for deployment in ["hafod-tegid", "lena"] {
        let folder = root.join(deployment);
        let standin: Standin = settings::load(&folder.join("standin.toml")).unwrap();
        let ports = &standin.ports;
        addresses.extend([ports.log, ports.instances, ports.weights, ports.control]);
        let mut backend = ports.backends;
        for _ in 0..standin.backends() {
            addresses.push(backend);
            backend.set_port(backend.port() + 1);
        }
        for n in 1..=9 {
            let file = folder.join(format!("entry-{n}.toml"));
            let entry: Entry = settings::load(&file).unwrap();
            assert_eq!(entry.node.as_str(), format!("entry-{n}"));
            assert!(standin.domains.iter().any(|d| d.name == entry.domain));
            assert_eq!(entry.outside.log, ports.log);
            assert_eq!(entry.outside.instances, ports.instances);
            assert_eq!(entry.outside.weights, ports.weights);
            addresses.extend([entry.listen.caller, entry.listen.peer, entry.listen.admin]);
        }
    }
    let total = addresses.len();
    addresses.sort();
    addresses.dedup();
    assert_eq!(addresses.len(), total);
}

#[test]
fn settings_page_matches_code() {
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/SETTINGS.md");
    if std::env::var_os("SETTINGS_BLESS").is_some() {
        fs::write(&file, settings::reference_page()).unwrap();
    }
    let (committed, generated) = (
        fs::read_to_string(file).unwrap(),
        settings::reference_page(),
    );
    let differs = |(committed, generated): &(&str, &str)| committed != generated;
    let first = committed.lines().zip(generated.lines()).find(differs);
    assert!(
        committed == generated,
        "docs/SETTINGS.md is out of date; first difference: {first:?}"
    );
    assert!(settings::keys::<Entry>().contains(&"timings.heartbeat_ms".into()));
}
