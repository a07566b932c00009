//! The delivered text is a prefix of the answer without gaps.

use name::{Attempt, Generation};
use proptest::prelude::{Strategy, any, prop, prop_assert, prop_assert_eq, proptest};
use route::answer::{End, Fault, Frame, Progress, Step};
use uuid::Uuid;

/// The number of tokens of the complete answer.
const ANSWER_TOKENS: u32 = 8;

fn attempt(number: u32) -> Attempt {
    Attempt(Uuid::from_u128(u128::from(number)))
}

fn token(index: u32) -> String {
    format!("t{index} ")
}

fn expected_text(tokens: u32) -> String {
    (0..tokens).map(token).collect()
}

fn frame(number: u32, generation: u64, index: u32) -> Frame {
    Frame {
        attempt: attempt(number),
        generation: Generation(generation),
        index,
        text: token(index),
        end: (index + 1 == ANSWER_TOKENS).then_some(End::Whole),
    }
}

/// A step of the test.
#[derive(Debug, Clone)]
enum Event {
    /// Another attempt starts.
    BeginAttempt,
    /// The expected next frame of the current attempt.
    NextFrame,
    /// A frame with this attempt, generation and index, of this answer or another one.
    AnyFrame(u32, u64, u32),
    /// The server of the current attempt fails.
    FailAttempt,
}

fn event() -> impl Strategy<Value = Event> {
    prop::strategy::Union::new_weighted(vec![
        (1, prop::strategy::Just(Event::BeginAttempt).boxed()),
        (6, prop::strategy::Just(Event::NextFrame).boxed()),
        (
            6,
            (0..6_u32, 0..3_u64, 0..ANSWER_TOKENS)
                .prop_map(|(a, g, i)| Event::AnyFrame(a, g, i))
                .boxed(),
        ),
        (1, prop::strategy::Just(Event::FailAttempt).boxed()),
    ])
}

proptest! {
    #![proptest_config(proptest::prelude::ProptestConfig {
        cases: 2_000,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(5),
        ..Default::default()
    })]

    // Guards against gaps, repetitions and frames of other answers in the text.
    #[test]
    fn delivered_text_is_prefix_of_answer(
        events in prop::collection::vec(event(), 0..60),
        is_generation_one in any::<bool>(),
    ) {
        let generation = u64::from(is_generation_one);
        let mut progress = Progress::default();
        let mut delivered = String::new();
        let mut current = 0;
        let mut has_end = false;
        progress.begin_attempt(attempt(current), Generation(generation));
        for event in events {
            let arrived = match event {
                Event::BeginAttempt => {
                    current += 1;
                    progress.begin_attempt(attempt(current), Generation(generation));
                    continue;
                }
                Event::NextFrame => frame(current, generation, progress.tokens()),
                Event::AnyFrame(number, other, index) => Frame {
                    // A frame of a later attempt number carries the text of another answer.
                    text: if number > current { "wrong".into() } else { token(index) },
                    ..frame(number, other, index)
                },
                Event::FailAttempt => Frame {
                    end: Some(End::Failed),
                    ..frame(current, generation, progress.tokens())
                },
            };
            match progress.accept(&arrived) {
                Step::Deliver => delivered.push_str(&arrived.text),
                Step::Finish => {
                    delivered.push_str(&arrived.text);
                    has_end = true;
                }
                Step::Fail | Step::Discard(_) => {}
            }
            prop_assert_eq!(&delivered, &expected_text(progress.tokens()));
            prop_assert_eq!(progress.text(), &delivered);
            prop_assert_eq!(progress.is_whole(), has_end);
            prop_assert!(!has_end || progress.tokens() == ANSWER_TOKENS);
        }
    }
}

// Guards against frames that arrive late or on the wrong connection.
#[test]
fn unexpected_frame_is_discarded_with_reason() {
    struct Case {
        name: &'static str,
        frame: Frame,
        step: Step,
    }
    let failed = Frame {
        end: Some(End::Failed),
        ..frame(2, 7, 2)
    };
    let cases = [
        Case {
            name: "next",
            frame: frame(2, 7, 2),
            step: Step::Deliver,
        },
        Case {
            name: "earlier attempt",
            frame: frame(1, 7, 2),
            step: Step::Discard(Fault::Attempt),
        },
        Case {
            name: "other generation",
            frame: frame(2, 8, 2),
            step: Step::Discard(Fault::Generation),
        },
        Case {
            name: "repeated",
            frame: frame(2, 7, 1),
            step: Step::Discard(Fault::Repeated),
        },
        Case {
            name: "gap",
            frame: frame(2, 7, 3),
            step: Step::Discard(Fault::Gap),
        },
        Case {
            name: "failed",
            frame: failed,
            step: Step::Fail,
        },
    ];
    for Case {
        name,
        frame: arrived,
        step,
    } in cases
    {
        let mut progress = Progress::default();
        progress.begin_attempt(attempt(1), Generation(7));
        progress.accept(&frame(1, 7, 0));
        progress.accept(&frame(1, 7, 1));
        progress.begin_attempt(attempt(2), Generation(7));
        assert_eq!(progress.resume_point().tokens, 2);
        assert_eq!(progress.resume_point().text, expected_text(2));
        assert_eq!(progress.accept(&arrived), step, "{name}");
        assert!(!progress.is_whole(), "{name}");
    }
}
