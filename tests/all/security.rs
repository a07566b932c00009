//! Nobody gets in without a key, and nobody's nonsense ends or starves a node.

use crate::{
    admin::send,
    fixture::{ACCOUNT, MODEL, OTHER_ACCOUNT, deployment, draft, entry, new_key, verdict, within},
};
use bench::{Deployment, Kind, OPERATOR_TOKEN, api_key};
use entry::{Audience, endpoints};
use http::Method;
use rand::{Rng, SeedableRng, seq::IndexedRandom};
use rand_chacha::ChaCha8Rng;
use serde_json::{Value, json};
use std::{net::SocketAddr, time::Duration};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::timeout,
};
use tonic::{Code, Request, transport::Endpoint};
use wire::{BeatRequest, CallRequest, RecordsRequest, peer_client::PeerClient};

/// Short bounds, so that half-sent requests end within the test.
const BOUNDS: &str = "limits = { header_timeout_ms = 500, body_timeout_ms = 500 }\n";

/// The secret of the deployment's entry nodes.
const PEERS_SECRET: &str = "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff";

/// The longest time for a bounded request to end.
const ENDS: Duration = Duration::from_secs(20);

/// Checks that every node still serves a normal call, an operator and its peers.
async fn check_serves(deployment: &Deployment, after: &str) {
    for (number, caller) in deployment.caller_addresses().iter().enumerate() {
        let (streamed, right) = draft(deployment, *caller, 3, 4).await;
        assert_eq!(
            (streamed.is_complete, &streamed.text),
            (true, &right),
            "after {after}"
        );
        let status = deployment.query(number, "/admin/v1/status").await.unwrap();
        assert_eq!(status["freshness"], "fresh", "after {after}: {status}");
    }
}

/// Who is called with which token.
struct Stranger {
    name: &'static str,
    audience: Audience,
    token: String,
}

#[tokio::test(flavor = "multi_thread")]
async fn no_route_takes_a_stranger() {
    let deployment = deployment("").await;
    let stranger = |name, audience, token: &str| Stranger {
        name,
        audience,
        token: token.into(),
    };
    let strangers = [
        stranger("a caller without a key", Audience::Callers, ""),
        stranger(
            "a caller with a wrong key",
            Audience::Callers,
            "demo-nobody",
        ),
        stranger(
            "an operator at the callers' port",
            Audience::Callers,
            OPERATOR_TOKEN,
        ),
        stranger("an operator without a token", Audience::Operators, ""),
        stranger(
            "an operator with a wrong token",
            Audience::Operators,
            "demo",
        ),
        stranger(
            "the peers' secret after the first lists",
            Audience::Operators,
            PEERS_SECRET,
        ),
        stranger(
            "a caller at the operators' port",
            Audience::Operators,
            &api_key(ACCOUNT),
        ),
    ];
    // These tell anyone where to go and whether the node is up, and nothing else.
    let open = ["/v1/entries", "/healthz", "/readyz"];
    for stranger in strangers {
        let address = match stranger.audience {
            Audience::Callers => deployment.caller_addresses()[0],
            Audience::Operators => deployment.admin_addresses()[0],
        };
        let routes = endpoints().into_iter();
        for route in routes.filter(|r| r.audience == stranger.audience && !open.contains(&r.path)) {
            let path = route
                .path
                .replace("{service}", "ledger")
                .replace("{call}", "entry");
            let method: Method = route.method.parse().unwrap();
            let body = match method {
                Method::GET => Value::Null,
                _ => {
                    json!({"base": 0, "text": "", "scope": "domain", "name": "teifi", "operation": "take_out"})
                }
            };
            let client = deployment.client();
            let answer = client.call(method, address, &path, &stranger.token, &[], &body);
            let answer = answer.await.unwrap();
            assert_eq!(answer.status, 401, "{}: {route}: {answer:?}", stranger.name);
            assert_eq!(verdict(&answer), "not-run", "{}: {route}", stranger.name);
        }
    }
    let operations = deployment.query(0, "/admin/v1/operations").await.unwrap();
    assert_eq!(operations["operations"], json!([]));
    check_serves(&deployment, "strangers").await;
}

#[tokio::test(flavor = "multi_thread")]
async fn nothing_of_one_account_opens_to_another() {
    let deployment = deployment("").await;
    let callers = deployment.caller_addresses();
    let prompt =
        json!({"model": MODEL, "stream": true, "max_tokens": 6, "seed": 9, "prompt": "Mine."});
    let client = deployment.client();
    let resume = async |account: &str, place: &str| {
        let headers = [("last-event-id", place)];
        let headers = if place.is_empty() { &[][..] } else { &headers };
        let key = api_key(account);
        let stream = client.stream(callers[1], "/v1/completions", &key, headers, &prompt);
        stream.await.unwrap()
    };
    let mine = resume(ACCOUNT, "").await;
    let place = mine.last_event.unwrap();
    let (id, _) = place.rsplit_once('-').unwrap();
    let place = format!("{id}-2");
    let rest = resume(ACCOUNT, &place).await;
    assert!(
        rest.is_complete && mine.text.ends_with(&rest.text),
        "{rest:?}"
    );
    let stolen = resume(OTHER_ACCOUNT, &place).await;
    assert_eq!(
        (stolen.status.as_u16(), stolen.tokens),
        (403, 0),
        "{stolen:?}"
    );
    let forged = resume(ACCOUNT, &format!("{:016x}-{:032x}-2", 9, 1)).await;
    assert_eq!(
        (forged.status.as_u16(), forged.tokens),
        (403, 0),
        "{forged:?}"
    );
    let key = new_key();
    let own = entry(&deployment, callers[0], &key, 10_000).await;
    assert_eq!(verdict(&own), "ran", "{own:?}");
    let headers = [("idempotency-key", key.as_str())];
    let body = json!({"project": "T-8", "hours": 1});
    let path = "/v1/services/ledger/entry";
    let other_key = api_key(OTHER_ACCOUNT);
    let other = client.call(Method::POST, callers[1], path, &other_key, &headers, &body);
    let other = other.await.unwrap();
    // The key is another request of the other account; it sees nothing of the first.
    assert_eq!(verdict(&other), "ran", "{other:?}");
    assert_ne!(other.body, own.body);
}

/// Bytes sent to a port, and whether the connection is then left open.
struct Sent {
    name: &'static str,
    bytes: Vec<u8>,
    count: usize,
}

/// Returns a request's head, and as much of its body as `body`.
fn request(fields: &str, body: &str) -> Vec<u8> {
    let key = api_key(ACCOUNT);
    format!("POST /v1/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {key}\r\n{fields}\r\n\r\n{body}").into()
}

#[tokio::test(flavor = "multi_thread")]
async fn oversized_half_sent_and_meaningless_bytes_starve_nobody() {
    let deployment = deployment(BOUNDS).await;
    let mut random = ChaCha8Rng::seed_from_u64(11);
    let mut noise = vec![0_u8; 64 << 10];
    random.fill(&mut noise[..]);
    let preface = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n".to_vec();
    let long = "y".repeat(200 << 10);
    let sent = [
        Sent {
            name: "nothing",
            bytes: Vec::new(),
            count: 64,
        },
        Sent {
            name: "half a head",
            bytes: b"POST /v1/completions HTTP/1.1\r\nhost".to_vec(),
            count: 64,
        },
        Sent {
            name: "half a body",
            bytes: request("content-length: 500", "{\"model\""),
            count: 64,
        },
        Sent {
            name: "a large header",
            bytes: request(&format!("x: {long}"), ""),
            count: 4,
        },
        Sent {
            name: "many headers",
            bytes: request(&"x: y\r\n".repeat(5_000), ""),
            count: 4,
        },
        Sent {
            name: "a large body",
            bytes: request(&format!("content-length: {}", 8 << 20), &long),
            count: 4,
        },
        Sent {
            name: "a wrong length",
            bytes: request("content-length: -1", ""),
            count: 4,
        },
        Sent {
            name: "a bad chunk",
            bytes: request("transfer-encoding: chunked", "zz\r\n"),
            count: 4,
        },
        Sent {
            name: "noise",
            bytes: noise.clone(),
            count: 16,
        },
        Sent {
            name: "HTTP/2 and noise",
            bytes: [preface.clone(), noise].concat(),
            count: 16,
        },
        Sent {
            name: "HTTP/2 and a frame of 16 MiB",
            bytes: [preface, b"\xff\xff\xff\x00\x00\x00\x00\x00\x01".to_vec()].concat(),
            count: 16,
        },
    ];
    for case in sent {
        let ports = [
            deployment.caller_addresses(),
            deployment.admin_addresses(),
            deployment.peer_addresses(),
        ]
        .concat();
        let mut open = Vec::new();
        for port in &ports {
            for _ in 0..case.count {
                let mut stream = TcpStream::connect(port).await.unwrap();
                // The node may refuse in the middle; that is what is wanted.
                let _ = timeout(ENDS, stream.write_all(&case.bytes)).await;
                open.push(stream);
            }
        }
        check_serves(&deployment, case.name).await;
        drop(open);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn silent_and_half_open_connections_are_closed_on_every_port() {
    let deployment = deployment(BOUNDS).await;
    let cases: [(&str, &[u8]); 4] = [
        ("nothing", b""),
        ("half an HTTP/2 preface", b"PRI * HTTP"),
        ("half a head", b"GET /healthz HTTP/1.1\r\nhost"),
        ("no protocol", b"\x16\x03\x01\x02\x00\x01"),
    ];
    for (name, bytes) in cases {
        for (number, port) in [
            deployment.caller_addresses()[0],
            deployment.admin_addresses()[0],
            deployment.peer_addresses()[0],
        ]
        .iter()
        .enumerate()
        {
            let mut stream = TcpStream::connect(port).await.unwrap();
            stream.write_all(bytes).await.unwrap();
            let mut rest = Vec::new();
            let read = timeout(ENDS, stream.read_to_end(&mut rest)).await;
            assert!(read.is_ok(), "port {number}: {name}: still open");
        }
    }
    check_serves(&deployment, "silent connections").await;
}

/// A request that must be refused with a status.
struct Refused {
    name: &'static str,
    bytes: Vec<u8>,
    status: &'static str,
}

#[tokio::test(flavor = "multi_thread")]
async fn bounded_requests_are_refused_with_a_status() {
    let deployment = deployment(BOUNDS).await;
    let large = 2 << 20;
    let cases = [
        Refused {
            name: "a large header",
            bytes: request(&format!("x: {}", "y".repeat(17 << 10)), ""),
            status: "431",
        },
        Refused {
            name: "a large body",
            bytes: request(&format!("content-length: {large}"), &"y".repeat(large)),
            status: "413",
        },
        Refused {
            name: "a slow body",
            bytes: request("content-length: 9", "{"),
            status: "408",
        },
        Refused {
            name: "no JSON",
            bytes: request("content-length: 2", "{x"),
            status: "400",
        },
    ];
    for case in cases {
        let head = first_line(deployment.caller_addresses()[0], &case.bytes).await;
        assert!(head.contains(case.status), "{}: {head}", case.name);
    }
}

/// Sends bytes and returns the first line of the answer.
async fn first_line(address: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(address).await.unwrap();
    let (mut reader, mut writer) = stream.split();
    let mut answer = Vec::new();
    let read = async {
        let mut piece = [0; 1_024];
        while !answer.contains(&b'\n') {
            match reader.read(&mut piece).await {
                Ok(0) | Err(_) => return,
                Ok(count) => answer.extend_from_slice(&piece[..count]),
            }
        }
    };
    // The node may answer and close before it has read everything.
    let write = async {
        let _ = writer.write_all(bytes).await;
    };
    timeout(ENDS, async { tokio::join!(read, write) })
        .await
        .unwrap();
    String::from_utf8_lossy(&answer)
        .lines()
        .next()
        .unwrap_or_default()
        .into()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_peer_without_proof_is_refused() {
    let deployment = deployment("").await;
    let proofs = [
        "",
        "x",
        "0.00",
        "99999999999999999999.",
        "1764802800000.0000",
    ];
    for address in deployment.peer_addresses() {
        let channel = Endpoint::from_shared(format!("http://{address}"))
            .unwrap()
            .connect()
            .await;
        let mut client = PeerClient::new(channel.unwrap());
        for proof in proofs {
            fn with<T>(message: T, proof: &str) -> Request<T> {
                let mut request = Request::new(message);
                if !proof.is_empty() {
                    request
                        .metadata_mut()
                        .insert("x-peer-proof", proof.parse().unwrap());
                }
                request
            }
            let call = CallRequest {
                account: ACCOUNT.into(),
                service: "ledger".into(),
                call: "entry".into(),
                ..CallRequest::default()
            };
            let refused = [
                client
                    .beat(with(BeatRequest::default(), proof))
                    .await
                    .unwrap_err(),
                client
                    .records(with(RecordsRequest::default(), proof))
                    .await
                    .unwrap_err(),
                client.call(with(call, proof)).await.unwrap_err(),
                client
                    .observe(with(wire::ObserveRequest::default(), proof))
                    .await
                    .unwrap_err(),
                client
                    .draft(with(wire::DraftRequest::default(), proof))
                    .await
                    .unwrap_err(),
            ];
            for status in refused {
                assert_eq!(status.code(), Code::Unauthenticated, "{proof:?}: {status}");
            }
        }
    }
    check_serves(&deployment, "calls without proof").await;
}

/// Publishes lists and waits until every node has them in force.
async fn publish(deployment: &Deployment, text: &str) {
    let held = send(deployment, 0, Method::GET, "/admin/v1/lists", &Value::Null).await;
    let body = json!({"base": held.body["revision"], "text": text});
    let answer = send(deployment, 0, Method::PUT, "/admin/v1/lists", &body).await;
    assert_eq!(answer.status, 200, "{answer:?}");
    for node in 0..deployment.admin_addresses().len() {
        within("the lists are in force", ENDS, async || {
            let status = deployment.query(node, "/admin/v1/status").await.unwrap();
            status["lists_revision"] == answer.body["revision"]
        })
        .await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_key_rotates_without_a_gap() {
    let deployment = deployment("").await;
    let lists = Kind::HafodTegid.lists();
    let (old, new) = (api_key(ACCOUNT), "a-new-key-of-the-account".to_owned());
    let hash = |key: &str| format!("\"{}\"", plan::digest(key));
    let both = lists.replace(&hash(&old), &format!("{}, {}", hash(&old), hash(&new)));
    let only_new = lists.replace(&hash(&old), &hash(&new));
    let steps = [
        ("before", lists.to_owned(), true, false),
        ("both", both, true, true),
        ("only the new one", only_new, false, true),
    ];
    let mut random = ChaCha8Rng::seed_from_u64(3);
    for (name, text, takes_old, takes_new) in steps {
        // The key that stays valid over the step must work all the while.
        let valid = if takes_old { &old } else { &new };
        let mut published = Box::pin(publish(&deployment, &text));
        loop {
            let address = *deployment.caller_addresses().choose(&mut random).unwrap();
            let models = models(&deployment, address, valid);
            let is_over = tokio::select! {
                biased;
                status = models => { assert_eq!(status, 200, "{name}"); false }
                () = &mut published => true,
            };
            if is_over {
                break;
            }
        }
        for address in deployment.caller_addresses() {
            for (key, is_taken) in [(&old, takes_old), (&new, takes_new)] {
                let status = models(&deployment, address, key).await;
                assert_eq!(status, if is_taken { 200 } else { 401 }, "{name}: {key}");
            }
        }
    }
}

/// Asks for the models with a key and returns the status.
async fn models(deployment: &Deployment, address: SocketAddr, key: &str) -> u16 {
    let client = deployment.client();
    let answer = client.call(Method::GET, address, "/v1/models", key, &[], &Value::Null);
    answer.await.unwrap().status.as_u16()
}
