//! The command line as operators use it; its output is kept as snapshots.

use crate::fixture::deployment;
use arbutusford::{Exit, commands};
use bench::{Kind, OPERATOR_TOKEN};
use serde_json::Value;
use std::{fs, net::SocketAddr, path::PathBuf};
use uuid::Uuid;

/// A folder of files that is removed in the end.
struct Folder(PathBuf);

impl Folder {
    fn new() -> Self {
        let path = std::env::temp_dir().join(format!("arbutusford-cli-{}", Uuid::new_v4()));
        fs::create_dir(&path).unwrap();
        Self(path)
    }

    /// Writes a file and returns its path.
    fn file(&self, name: &str, text: &str) -> String {
        let path = self.0.join(name);
        fs::write(&path, text).unwrap();
        path.to_str().unwrap().into()
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// How a command ended, and what it printed.
struct Ended {
    exit: Exit,
    out: String,
    err: String,
}

/// Runs a command line, which blocks.
async fn run(words: Vec<String>) -> Ended {
    let run = move || {
        let (mut out, mut err) = (Vec::new(), Vec::new());
        let exit = commands::run_to(&words, &mut out, &mut err);
        let text = |bytes| String::from_utf8(bytes).unwrap();
        Ended {
            exit,
            out: text(out),
            err: text(err),
        }
    };
    tokio::task::spawn_blocking(run).await.unwrap()
}

/// Returns the words of a command line to `servers` with a token file.
fn words(line: &[&str], servers: &[SocketAddr], token_file: &str) -> Vec<String> {
    let mut words = vec!["arbutusford".to_owned()];
    words.extend(line.iter().map(|word| (*word).to_owned()));
    for server in servers {
        words.extend(["--server".into(), server.to_string()]);
    }
    words.extend(["--token-file".into(), token_file.into()]);
    words
}

/// Replaces what differs from run to run: addresses, numbers, paths, progress.
fn redacted(text: &str, folder: &Folder) -> String {
    let text = text.replace(folder.0.to_str().unwrap(), "FOLDER");
    let kept = text
        .lines()
        .filter(|line| !line.starts_with("not yet in force at"));
    let lines = kept.map(|line| {
        let words = line.split(' ').filter(|word| !word.is_empty());
        let words = words.map(|word| {
            let is_address = word.contains("127.0.0.1:");
            let is_number = word.bytes().all(|byte| byte.is_ascii_digit());
            match (is_address, is_number) {
                (true, _) => "ADDRESS",
                (_, true) => "#",
                _ => word,
            }
        });
        words.collect::<Vec<_>>().join(" ")
    });
    lines.collect::<Vec<_>>().join("\n")
}

/// A command line, its exit code, and the name of its snapshot.
struct Case {
    name: &'static str,
    line: Vec<String>,
    exit: Exit,
}

#[tokio::test(flavor = "multi_thread")]
async fn commands_print_what_happened() {
    let deployment = deployment("").await;
    let folder = Folder::new();
    let lists = Kind::HafodTegid.lists();
    let token = folder.file("token", OPERATOR_TOKEN);
    let wrong = folder.file("wrong", "not-a-token");
    let raced = folder.file(
        "raced",
        &format!(
            "# revision 1\n{}",
            lists.replace("weight = 8", "weight = 9")
        ),
    );
    let edited = folder.file(
        "edited",
        &lists.replace("requests_per_s = 120", "requests_per_s = 100"),
    );
    let broken = folder.file(
        "broken",
        &lists.replace("plan = \"large\"", "plan = \"big\""),
    );
    let admins = deployment.admin_addresses();
    // Nothing listens on the discard port of the loopback interface.
    let nobody: SocketAddr = "127.0.0.1:9".parse().unwrap();
    let on = |line: &[&str]| words(line, &admins, &token);
    let cases = [
        Case {
            name: "status",
            line: on(&["status"]),
            exit: Exit::Done,
        },
        Case {
            name: "entries",
            line: words(&["entries"], &[nobody, admins[0]], &token),
            exit: Exit::Done,
        },
        Case {
            name: "replicas",
            line: on(&["replicas"]),
            exit: Exit::Done,
        },
        Case {
            name: "accounts",
            line: on(&["accounts"]),
            exit: Exit::Done,
        },
        Case {
            name: "no-server",
            line: words(&["status"], &[], &token),
            exit: Exit::Unreachable,
        },
        Case {
            name: "nobody-answers",
            line: words(&["take-out", "domain", "teifi"], &[nobody], &token),
            exit: Exit::Unreachable,
        },
        Case {
            name: "wrong-token",
            line: words(&["status"], &admins, &wrong),
            exit: Exit::Unreachable,
        },
        Case {
            name: "diff",
            line: on(&["config", "diff", &edited]),
            exit: Exit::Failed,
        },
        Case {
            name: "publish",
            line: on(&["config", "publish", &edited]),
            exit: Exit::Done,
        },
        Case {
            name: "publish-again",
            line: on(&["config", "publish", &edited]),
            exit: Exit::Done,
        },
        Case {
            name: "publish-raced",
            line: on(&["config", "publish", &raced]),
            exit: Exit::Conflict,
        },
        Case {
            name: "publish-broken",
            line: on(&["config", "publish", &broken]),
            exit: Exit::Usage,
        },
        Case {
            name: "take-out",
            line: on(&["take-out", "domain", "teifi"]),
            exit: Exit::Done,
        },
        Case {
            name: "status-out",
            line: on(&["status"]),
            exit: Exit::Done,
        },
        Case {
            name: "bring-back",
            line: on(&["bring-back", "domain", "teifi"]),
            exit: Exit::Done,
        },
        Case {
            name: "bring-back-unknown",
            line: on(&["bring-back", "domain", "nowhere"]),
            exit: Exit::Usage,
        },
        Case {
            name: "no-such-scope",
            line: on(&["take-out", "zone", "teifi"]),
            exit: Exit::Usage,
        },
    ];
    for case in cases {
        let ended = run(case.line).await;
        let shown = format!("{}---\n{}", ended.out, ended.err);
        assert_eq!(ended.exit, case.exit, "{}: {shown}", case.name);
        let text = redacted(&shown, &folder);
        // Where replicas form and when they are warm depends on the run.
        let text = match case.name {
            "replicas" => text.lines().next().unwrap_or_default(),
            _ => text.as_str(),
        };
        insta::assert_snapshot!(case.name, text);
    }
    let shown = run(on(&["config", "show"])).await.out;
    let file = folder.file("shown", &shown);
    let ended = run(on(&["config", "diff", &file])).await;
    assert_eq!(ended.exit, Exit::Done, "{}", ended.err);
}

#[tokio::test(flavor = "multi_thread")]
async fn every_query_prints_json_for_programs() {
    let deployment = deployment("").await;
    let folder = Folder::new();
    let token = folder.file("token", OPERATOR_TOKEN);
    let cases = [
        ("status", "operations"),
        ("log", "tail_offset"),
        ("replicas", "replicas"),
        ("instances", "instances"),
        ("accounts", "accounts"),
        ("entries", "entries"),
        ("histograms", "histograms"),
    ];
    for (command, key) in cases {
        let line = words(&[command, "--json"], &deployment.admin_addresses(), &token);
        let ended = run(line).await;
        let answer: Value = serde_json::from_str(&ended.out).unwrap();
        assert!(answer.get(key).is_some(), "{command}: {}", ended.out);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn taking_out_tells_which_node_does_not_answer() {
    let mut deployment = deployment("").await;
    let folder = Folder::new();
    let token = folder.file("token", OPERATOR_TOKEN);
    deployment.end_entry(2, false).await;
    // The next server is tried, since the first is gone.
    let admins = deployment.admin_addresses();
    let servers = [admins[2], admins[0]];
    let cases = [
        ("1", Exit::Failed, "entry-2 was last heard"),
        ("0", Exit::Done, ""),
    ];
    for (wait, exit, told) in cases {
        let line = ["take-out", "domain", "tywi", "--wait", wait];
        let ended = run(words(&line, &servers, &token)).await;
        assert_eq!(ended.exit, exit, "{wait}: {} {}", ended.out, ended.err);
        assert!(ended.err.contains(told), "{wait}: {}", ended.err);
        assert!(
            ended.out.contains("not yet in force at"),
            "{wait}: {}",
            ended.out
        );
    }
}

#[test]
fn commands_without_a_server_end_as_help_says() {
    let cases: [(&[&str], Exit, &str); 5] = [
        (&["--help"], Exit::Done, "help"),
        (&["take-out", "--help"], Exit::Done, "help-take-out"),
        (&["config", "publish", "--help"], Exit::Done, "help-publish"),
        (&["no-such-command"], Exit::Usage, "no-such-command"),
        (
            &["config", "check", "/no/such/file"],
            Exit::Usage,
            "check-no-file",
        ),
    ];
    for (line, exit, name) in cases {
        let words: Vec<String> = [&["arbutusford"], line]
            .concat()
            .iter()
            .map(|w| (*w).into())
            .collect();
        let (mut out, mut err) = (Vec::new(), Vec::new());
        assert_eq!(commands::run_to(&words, &mut out, &mut err), exit, "{name}");
        out.extend(err);
        insta::assert_snapshot!(name, String::from_utf8(out).unwrap());
    }
}

#[test]
fn settings_without_a_readable_secret_are_found_before_the_start() {
    let good = include_str!("../../examples/settings/hafod-tegid/entry-1.toml");
    let folder = Folder::new();
    let secret = folder.file("secret", "000102030405060708090a0b0c0d0e0f\n");
    let short = folder.file("short", "0001\n");
    let cases = [
        ("in the settings", good.to_owned(), Exit::Done),
        ("in a file", with_secret(good, Some(&secret)), Exit::Done),
        ("none", with_secret(good, None), Exit::Usage),
        (
            "no such file",
            with_secret(good, Some("/no/such/file")),
            Exit::Usage,
        ),
        ("too short", with_secret(good, Some(&short)), Exit::Usage),
    ];
    for (name, text, exit) in cases {
        let file = folder.file("entry.toml", &text);
        let words = ["arbutusford", "entry", "--settings", &file, "--check"].map(String::from);
        let (mut out, mut err) = (Vec::new(), Vec::new());
        let ended = commands::run_to(&words, &mut out, &mut err);
        assert_eq!(ended, exit, "{name}: {}", String::from_utf8_lossy(&err));
    }
}

/// Returns settings with the secret in `file`, or without one.
fn with_secret(settings: &str, file: Option<&str>) -> String {
    let lines = settings
        .lines()
        .map(|line| match (line.starts_with("secret_hex"), file) {
            (true, Some(file)) => format!("secret_file = {file:?}\n"),
            (true, None) => "\n".into(),
            (false, _) => format!("{line}\n"),
        });
    lines.collect()
}

#[test]
fn a_new_token_is_random_and_comes_with_its_hash() {
    let make = || {
        let words = ["arbutusford", "token", "new", "--json"].map(String::from);
        let (mut out, mut err) = (Vec::new(), Vec::new());
        assert_eq!(commands::run_to(&words, &mut out, &mut err), Exit::Done);
        serde_json::from_slice::<Value>(&out).unwrap()
    };
    let (first, second) = (make(), make());
    assert_ne!(first["token"], second["token"]);
    let hash = plan::digest(first["token"].as_str().unwrap());
    assert_eq!(first["sha256"], hash.to_string());
}
