//! Which engines the planner finds dead.

use super::{BURIED_FOR, MAX_FIRST, MAX_QUESTIONS, Probes, Question};
use clock::Moment;
use name::Instance;
use site::{
    Server,
    feed::Error,
    fixture,
    server::{EngineState, Report},
};
use std::{
    collections::{HashMap, HashSet},
    time::Duration,
};

fn server(name: &str, born: u64) -> Server {
    Server {
        incarnation: born,
        ..fixture::server(name)
    }
}

fn report(born: u64) -> Result<Report, Error> {
    Ok(Report {
        incarnation: Some(born),
        engine: EngineState::default(),
        sequence: 0,
        is_busy: false,
        queued: 0,
        running: 0,
        slowdown: 1.0,
    })
}

fn silence() -> Result<Report, Error> {
    Err(Error {
        reason: "no answer".into(),
        is_without_effect: true,
    })
}

fn servers(born: u64) -> HashMap<Instance, Server> {
    let server = server("a", born);
    [(server.id.clone(), server)].into()
}

/// Asks whatever is due and gives the answers; returns how often was asked.
fn ask(
    probes: &mut Probes,
    servers: &HashMap<Instance, Server>,
    now: Moment,
    answer: impl Fn(&Question) -> Result<Report, Error>,
) -> usize {
    ask_of(probes, servers, &HashSet::new(), now, answer)
}

/// The same, with engines of which nothing has come lately.
fn ask_of(
    probes: &mut Probes,
    servers: &HashMap<Instance, Server>,
    suspects: &HashSet<Instance>,
    now: Moment,
    answer: impl Fn(&Question) -> Result<Report, Error>,
) -> usize {
    let questions = probes.due(servers, |_| true, suspects, now);
    for question in &questions {
        probes.answered(question, answer(question), now);
    }
    questions.len()
}

#[test]
fn an_engine_is_dead_after_two_questions_without_an_answer() {
    let mut probes = Probes::default();
    let mut now = Moment::from_millis(1_000);
    ask(&mut probes, &servers(1), now, |_| silence());
    assert!(probes.dead().is_empty());
    now = now + Duration::from_millis(200);
    ask(&mut probes, &servers(1), now, |_| silence());
    assert_eq!(probes.dead().len(), 1);
    now = now + Duration::from_millis(200);
    ask(&mut probes, &servers(1), now, |q| {
        report(q.server.incarnation)
    });
    assert!(probes.dead().is_empty(), "it answers again");
}

/// Members of a replica that stands still were asked twice, as those of one that
/// works, and found dead 0.45 s later than need be.
#[test]
fn one_question_is_enough_for_an_engine_whose_replica_is_silent() {
    let suspects: HashSet<Instance> = ["a".parse().expect("a name")].into();
    let mut probes = Probes::default();
    let now = Moment::from_millis(1_000);
    ask_of(&mut probes, &servers(1), &suspects, now, |_| silence());
    assert_eq!(probes.dead().len(), 1);
    let mut probes = Probes::default();
    ask_of(&mut probes, &servers(1), &suspects, now, |q| {
        report(q.server.incarnation)
    });
    assert!(probes.dead().is_empty(), "it answers");
}

/// With three thousand engines all were asked at once, most questions had no answer
/// in time, and the planner thought itself cut off.
#[test]
fn of_many_engines_some_are_asked_at_a_time_and_those_in_transition_first() {
    let names: Vec<String> = (0..3_000).map(|n| format!("e{n:04}")).collect();
    let servers: HashMap<Instance, Server> = names
        .iter()
        .map(|name| (name.parse().expect("a name"), server(name, 1)))
        .collect();
    let mut probes = Probes::default();
    let is_watched = |id: &Instance| id.as_str().starts_with("e29");
    let none = HashSet::new();
    let mut asked: HashSet<Instance> = HashSet::new();
    for step in 0..60 {
        let now = Moment::from_millis(1_000 + step * 100);
        let questions = probes.due(&servers, is_watched, &none, now);
        assert!(questions.len() <= MAX_QUESTIONS);
        if step == 0 {
            let first = questions.iter().filter(|q| is_watched(&q.server.id));
            assert_eq!(first.count(), MAX_FIRST);
        }
        for question in &questions {
            asked.insert(question.server.id.clone());
            probes.answered(question, report(1), now);
        }
    }
    assert!(asked.len() > 1_200, "{} asked in 6 s", asked.len());
    assert!(!probes.is_cut_off());
}

#[test]
fn an_answer_of_another_life_is_none() {
    let mut probes = Probes::default();
    for step in 0..2 {
        let now = Moment::from_millis(1_000 + step * 200);
        ask(&mut probes, &servers(1), now, |_| report(2));
    }
    assert_eq!(probes.dead().len(), 1);
}

/// Nodes that read the feed later than the planner sent to a dead engine again,
/// because the planner forgot it as soon as its entry was gone.
#[test]
fn a_dead_engine_is_named_for_a_while_after_its_entry_went() {
    let mut probes = Probes::default();
    for step in 0..2 {
        let now = Moment::from_millis(1_000 + step * 200);
        ask(&mut probes, &servers(1), now, |_| silence());
    }
    let gone = Moment::from_millis(2_000);
    probes.due(&HashMap::new(), |_| true, &HashSet::new(), gone);
    assert_eq!(probes.dead().len(), 1);
    probes.due(
        &HashMap::new(),
        |_| true,
        &HashSet::new(),
        gone + BURIED_FOR,
    );
    assert!(probes.dead().is_empty());
}

#[test]
fn a_planner_that_hears_from_hardly_any_engine_is_cut_off_itself() {
    let many: HashMap<Instance, Server> = (0..10)
        .map(|n| server(&format!("e{n}"), 1))
        .map(|s| (s.id.clone(), s))
        .collect();
    for (silent, is_cut_off) in [(2, false), (5, false), (6, true), (10, true)] {
        let mut probes = Probes::default();
        ask(&mut probes, &many, Moment::from_millis(1_000), |q| {
            let number: usize = q.server.id.as_str()[1..].parse().expect("a number");
            if number < silent {
                silence()
            } else {
                report(1)
            }
        });
        assert_eq!(probes.is_cut_off(), is_cut_off, "{silent} of 10 silent");
    }
}
