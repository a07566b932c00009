//! What a request's attempts allow to say of it.

use super::Tally;
use verdict::{Kind, Verdict};

/// A request that servers had refused, and that found no credit for another one,
/// was answered as one that may have run, so that its caller did not ask again.
#[test]
fn without_credit_a_request_that_no_server_ran_may_come_again() {
    struct Case {
        ran: u32,
        kind: Kind,
        verdict: Verdict,
        has_retry_after: bool,
    }
    let cases = [
        Case {
            ran: 0,
            kind: Kind::Unavailable,
            verdict: Verdict::NotRun,
            has_retry_after: true,
        },
        Case {
            ran: 1,
            kind: Kind::Upstream,
            verdict: Verdict::MayHaveRun,
            has_retry_after: false,
        },
    ];
    for case in cases {
        let tally = Tally {
            ran: case.ran,
            sent: 1,
            ..Tally::default()
        };
        let error = tally.out_of_credit();
        assert_eq!(error.kind(), case.kind, "{} ran", case.ran);
        assert_eq!(error.verdict(), case.verdict, "{} ran", case.ran);
        assert_eq!(error.retry_after().is_some(), case.has_retry_after);
    }
}
