//! What each answer, or none, says about an append or a read.

use log::{Client, Timeouts};
use name::Offset;
use std::{net::SocketAddr, sync::Arc, time::Duration};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
};

const LONG: Duration = Duration::from_secs(20);

fn client(address: SocketAddr, answer_within: Duration) -> Client {
    let timeouts = Timeouts {
        connect: LONG,
        append: answer_within,
        read: answer_within,
    };
    Client::new(address, "control".into(), timeouts)
}

/// Serves one request with `answer`, then closes; returns the request.
async fn serve(listener: TcpListener, answer: Vec<u8>) -> String {
    let (mut socket, _) = listener.accept().await.expect("a connection");
    let mut request = Vec::new();
    let mut part = [0; 4_096];
    // An append ends with its JSON body, a read with its headers.
    let is_whole = |request: &[u8]| match request.first() {
        Some(b'G') => request.ends_with(b"\r\n\r\n"),
        _ => request.ends_with(b"}"),
    };
    while !is_whole(&request) {
        let read = socket.read(&mut part).await.expect("a request");
        assert!(read > 0, "the client closed before its request was whole");
        request.extend_from_slice(&part[..read]);
    }
    // A client that gave up on a long answer may have gone.
    let _ = socket.write_all(&answer).await;
    String::from_utf8(request).expect("a request in UTF-8")
}

fn answer(status: &str, body: &str) -> Vec<u8> {
    let length = body.len();
    format!("HTTP/1.1 {status}\r\ncontent-length: {length}\r\n\r\n{body}").into_bytes()
}

async fn listener() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    (listener, address)
}

/// An answer to an append, and what it means: the offset, or whether the
/// records certainly do not stand on the log.
struct Case {
    answer: Vec<u8>,
    expected: Result<u64, bool>,
}

#[tokio::test]
async fn an_append_is_not_appended_only_if_that_is_sure() {
    let cases = [
        Case {
            answer: answer("200 OK", "{\"first\":7}"),
            expected: Ok(7),
        },
        Case {
            answer: answer("400 Bad Request", ""),
            expected: Err(true),
        },
        Case {
            answer: answer("429 Too Many Requests", ""),
            expected: Err(true),
        },
        Case {
            answer: answer("503 Service Unavailable", ""),
            expected: Err(true),
        },
        Case {
            answer: answer("500 Internal Server Error", ""),
            expected: Err(false),
        },
        Case {
            answer: answer("502 Bad Gateway", ""),
            expected: Err(false),
        },
        Case {
            answer: answer("200 OK", "{}"),
            expected: Err(false),
        },
        Case {
            answer: answer("200 OK", "{\"first\":7"),
            expected: Err(false),
        },
        Case {
            answer: b"HTTP/1.1 200 OK\r\ncontent-length: 99\r\n\r\n{\"fi".to_vec(),
            expected: Err(false),
        },
        Case {
            answer: Vec::new(),
            expected: Err(false),
        },
    ];
    for case in cases {
        let shown = String::from_utf8_lossy(&case.answer).into_owned();
        let (listener, address) = listener().await;
        let served = tokio::spawn(serve(listener, case.answer));
        let records: [Arc<str>; 2] = ["a\"b".into(), "c".into()];
        let result = client(address, LONG).append(&records).await;
        let result = result
            .map(|offset| offset.0)
            .map_err(|error| error.is_not_appended());
        assert_eq!(result, case.expected, "{shown}");
        let request = served.await.expect("served");
        assert!(
            request.starts_with("POST /streams/control/append "),
            "{request}"
        );
        assert!(
            request.ends_with("{\"records\":[\"a\\\"b\",\"c\"]}"),
            "{request}"
        );
    }
}

#[tokio::test]
async fn no_connection_means_not_appended_and_no_answer_means_unknown() {
    let (listener, address) = listener().await;
    let silent = client(address, Duration::from_millis(20));
    let error = silent.append(&["a".into()]).await.expect_err("no answer");
    assert!(!error.is_not_appended(), "{error}");
    drop(listener);
    let error = client(address, LONG)
        .append(&["a".into()])
        .await
        .expect_err("no listener");
    assert!(error.is_not_appended(), "{error}");
}

#[tokio::test]
async fn a_batch_that_would_be_refused_is_not_sent() {
    let (_listener, address) = listener().await;
    let client = client(address, LONG);
    let long: Arc<str> = "x".repeat(log::proto::MAX_RECORD_BYTES + 1).into();
    let many = vec![Arc::<str>::from("a"); log::proto::MAX_BATCH_RECORDS + 1];
    for records in [Vec::new(), vec![long], many] {
        let error = client.append(&records).await.expect_err("refused");
        assert!(error.is_not_appended(), "{error}");
    }
}

#[tokio::test]
async fn a_page_holds_only_the_offsets_that_were_asked_for() {
    let record = |offset: u64| format!("{{\"offset\":{offset},\"at_ms\":5,\"data\":\"x\"}}");
    let page = |first: u64, tail: u64, offsets: &[u64]| {
        let records: Vec<String> = offsets.iter().map(|o| record(*o)).collect();
        format!(
            "{{\"first\":{first},\"tail\":{tail},\"records\":[{}]}}",
            records.join(",")
        )
    };
    // The body, and the offsets of the page if it is whole; 3 records from 4 are asked for.
    let cases: [(String, Option<&[u64]>); 11] = [
        (page(1, 9, &[4, 5, 6]), Some(&[4, 5, 6])),
        (page(1, 4, &[]), Some(&[])),
        (page(6, 9, &[6, 7]), Some(&[6, 7])),
        (page(9, 9, &[]), Some(&[])),
        (page(1, 9, &[5]), None),
        (page(1, 9, &[4, 6]), None),
        (page(1, 9, &[4, 4]), None),
        (page(1, 9, &[4, 5, 6, 7]), None),
        (page(1, 5, &[4, 5]), None),
        (page(9, 4, &[]), None),
        (
            format!(
                "{}{}",
                page(1, 4, &[]),
                " ".repeat(log::proto::MAX_BODY_BYTES)
            ),
            None,
        ),
    ];
    for (body, expected) in cases {
        let (listener, address) = listener().await;
        let served = tokio::spawn(serve(listener, answer("200 OK", &body)));
        let result = client(address, LONG)
            .read(Offset(4), 3, Duration::from_millis(250))
            .await;
        let offsets = result
            .ok()
            .map(|page| page.entries.iter().map(|e| e.offset.0).collect());
        let head: String = body.chars().take(200).collect();
        assert_eq!(offsets, expected.map(<[u64]>::to_vec), "{head}");
        let request = served.await.expect("served");
        assert!(
            request.starts_with("GET /streams/control/records?from=4&max=3&wait_ms=250 "),
            "{request}"
        );
    }
}
