//! Results of appends and reads for each response, or none, of the service.

use log::{Client, Timeouts};
use name::Offset;
use std::{net::SocketAddr, sync::Arc, time::Duration};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
};

const LONG_TIMEOUT: Duration = Duration::from_secs(20);

fn client(address: SocketAddr, timeout: Duration) -> Client {
    let timeouts = Timeouts {
        connect: LONG_TIMEOUT,
        append: timeout,
        read: timeout,
    };
    Client::new(address, "control".into(), timeouts)
}

/// Sends `response` to one request and closes the connection; returns the request.
async fn serve(listener: TcpListener, response: Vec<u8>) -> String {
    let (mut socket, _) = listener.accept().await.expect("a connection");
    let mut request = Vec::new();
    let mut chunk = [0; 4_096];
    // An append ends with its JSON body, a read with its headers.
    let is_complete = |request: &[u8]| match request.first() {
        Some(b'G') => request.ends_with(b"\r\n\r\n"),
        _ => request.ends_with(b"}"),
    };
    while !is_complete(&request) {
        let read = socket.read(&mut chunk).await.expect("a request");
        assert!(read > 0, "the client closed before its request ended");
        request.extend_from_slice(&chunk[..read]);
    }
    // Fails if the client has closed the connection because of an oversized response.
    let _ = socket.write_all(&response).await;
    String::from_utf8(request).expect("a request in UTF-8")
}

fn response(status: &str, body: &str) -> Vec<u8> {
    let length = body.len();
    format!("HTTP/1.1 {status}\r\ncontent-length: {length}\r\n\r\n{body}").into_bytes()
}

async fn listener() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    (listener, address)
}

/// A response to an append, and the expected result.
///
/// The result is the offset, or `is_not_appended` of the error.
struct Case {
    response: Vec<u8>,
    expected: Result<u64, bool>,
}

#[tokio::test]
async fn append_response_determines_effect() {
    let cases = [
        Case {
            response: response("200 OK", "{\"first\":7}"),
            expected: Ok(7),
        },
        Case {
            response: response("400 Bad Request", ""),
            expected: Err(true),
        },
        Case {
            response: response("429 Too Many Requests", ""),
            expected: Err(true),
        },
        Case {
            response: response("503 Service Unavailable", ""),
            expected: Err(true),
        },
        Case {
            response: response("500 Internal Server Error", ""),
            expected: Err(false),
        },
        Case {
            response: response("502 Bad Gateway", ""),
            expected: Err(false),
        },
        Case {
            response: response("200 OK", "{}"),
            expected: Err(false),
        },
        Case {
            response: response("200 OK", "{\"first\":7"),
            expected: Err(false),
        },
        Case {
            response: b"HTTP/1.1 200 OK\r\ncontent-length: 99\r\n\r\n{\"fi".to_vec(),
            expected: Err(false),
        },
        Case {
            response: Vec::new(),
            expected: Err(false),
        },
    ];
    for case in cases {
        let case_text = String::from_utf8_lossy(&case.response).into_owned();
        let (listener, address) = listener().await;
        let served = tokio::spawn(serve(listener, case.response));
        let records: [Arc<str>; 2] = ["a\"b".into(), "c".into()];
        let result = client(address, LONG_TIMEOUT).append(&records).await;
        let result = result
            .map(|offset| offset.0)
            .map_err(|error| error.is_not_appended());
        assert_eq!(result, case.expected, "{case_text}");
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
async fn timeout_is_unknown_and_refused_connection_is_not_appended() {
    let (listener, address) = listener().await;
    let short_timeout_client = client(address, Duration::from_millis(20));
    let error = short_timeout_client
        .append(&["a".into()])
        .await
        .expect_err("no response");
    assert!(!error.is_not_appended(), "{error}");
    drop(listener);
    let error = client(address, LONG_TIMEOUT)
        .append(&["a".into()])
        .await
        .expect_err("no listener");
    assert!(error.is_not_appended(), "{error}");
}

#[tokio::test]
async fn invalid_batch_is_rejected_locally() {
    let (_listener, address) = listener().await;
    let client = client(address, LONG_TIMEOUT);
    let long: Arc<str> = "x".repeat(log::proto::MAX_RECORD_BYTES + 1).into();
    let many = vec![Arc::<str>::from("a"); log::proto::MAX_BATCH_RECORDS + 1];
    for records in [Vec::new(), vec![long], many] {
        let error = client.append(&records).await.expect_err("refused");
        assert!(error.is_not_appended(), "{error}");
    }
}

#[tokio::test]
async fn page_with_unrequested_offsets_is_rejected() {
    let record = |offset: u64| format!("{{\"offset\":{offset},\"at_ms\":5,\"data\":\"x\"}}");
    let page = |first: u64, tail: u64, offsets: &[u64]| {
        let records: Vec<String> = offsets.iter().map(|o| record(*o)).collect();
        format!(
            "{{\"first\":{first},\"tail\":{tail},\"records\":[{}]}}",
            records.join(",")
        )
    };
    // The response body to a read of 3 records from offset 4, and the offsets of
    // the page if it is valid.
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
        let served = tokio::spawn(serve(listener, response("200 OK", &body)));
        let result = client(address, LONG_TIMEOUT)
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
