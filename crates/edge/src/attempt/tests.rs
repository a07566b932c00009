//! Errors after a request's attempts.

use super::Attempts;
use verdict::{Kind, Verdict};

/// Guards against reporting a refused request that ran out of retry credit as one that
/// may have run: its caller then did not retry.
#[test]
fn unexecuted_request_without_credit_is_retryable() {
    struct Case {
        executions: u32,
        kind: Kind,
        verdict: Verdict,
        has_retry_after: bool,
    }
    let cases = [
        Case {
            executions: 0,
            kind: Kind::Unavailable,
            verdict: Verdict::NotRun,
            has_retry_after: true,
        },
        Case {
            executions: 1,
            kind: Kind::Upstream,
            verdict: Verdict::MayHaveRun,
            has_retry_after: false,
        },
    ];
    for case in cases {
        let attempts = Attempts {
            executions: case.executions,
            sent: 1,
            ..Attempts::default()
        };
        let error = attempts.credit_exhausted();
        assert_eq!(error.kind(), case.kind, "{} ran", case.executions);
        assert_eq!(error.verdict(), case.verdict, "{} ran", case.executions);
        assert_eq!(error.retry_after().is_some(), case.has_retry_after);
    }
}
