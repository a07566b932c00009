//! What the planner tells, and what a node may conclude from it.

use super::{Echo, MAX_NEWS, News, TIMES_TOLD, Told, take_over};
use crate::state::Tables;
use clock::Moment;
use site::{
    Server,
    fixture::{self, id},
    server::Change,
};
use slog::{Discard, Logger, o};

fn at(millis: u64) -> Moment {
    Moment::from_millis(millis)
}

fn entry(name: &str, is_leaving: bool) -> Change {
    Change::Updated(Box::new(Server {
        is_leaving,
        ..fixture::server(name)
    }))
}

/// Returns a node that knows both feeds up to offset 100, and sent datagram `n`
/// at `n` seconds.
fn tables() -> Tables {
    let mut tables = Tables::new();
    tables.operators_read = Some(100);
    tables.servers_read = Some(100);
    for number in 1..=9 {
        tables.peers.note_sent(number, at(number * 1_000));
    }
    tables.fleet.apply(entry("known", false));
    tables
}

fn told(operators: u64, from: u64, to: u64, changes: Vec<(u64, Change)>) -> Told {
    Told {
        operators,
        from,
        to,
        changes,
    }
}

#[test]
fn a_view_is_confirmed_as_of_what_the_planner_had_heard_before_it_read() {
    struct Case {
        what: &'static str,
        told: Told,
        echo: Option<Echo>,
        operators: Option<Moment>,
        servers: Option<Moment>,
        read: u64,
        is_behind: (bool, bool),
    }
    let echo = |operators, servers| {
        Some(Echo {
            life: 1,
            operators,
            servers,
            told: 0,
        })
    };
    let cases = [
        Case {
            what: "nothing new",
            told: told(100, 90, 100, Vec::new()),
            echo: echo(3, 4),
            operators: Some(at(3_000)),
            servers: Some(at(4_000)),
            read: 100,
            is_behind: (false, false),
        },
        Case {
            what: "the servers' feed went on, and nothing is missing",
            told: told(100, 100, 120, vec![(110, entry("new", false))]),
            echo: echo(3, 4),
            operators: Some(at(3_000)),
            servers: Some(at(4_000)),
            read: 120,
            is_behind: (false, false),
        },
        Case {
            what: "changes between 100 and 105 were missed",
            told: told(100, 105, 120, vec![(110, entry("new", false))]),
            echo: echo(3, 4),
            operators: Some(at(3_000)),
            servers: None,
            read: 100,
            is_behind: (false, true),
        },
        Case {
            what: "an operator's change was missed",
            told: told(101, 90, 100, Vec::new()),
            echo: echo(3, 4),
            operators: None,
            servers: Some(at(4_000)),
            read: 100,
            is_behind: (true, false),
        },
        Case {
            what: "the planner is behind this node",
            told: told(99, 80, 95, Vec::new()),
            echo: echo(3, 4),
            operators: Some(at(3_000)),
            servers: Some(at(4_000)),
            read: 100,
            is_behind: (false, false),
        },
        Case {
            what: "the planner has not heard this node",
            told: told(100, 90, 100, Vec::new()),
            echo: None,
            operators: None,
            servers: None,
            read: 100,
            is_behind: (false, false),
        },
        Case {
            what: "a datagram of long ago",
            told: told(100, 90, 100, Vec::new()),
            echo: echo(77, 77),
            operators: None,
            servers: None,
            read: 100,
            is_behind: (false, false),
        },
    ];
    let log = Logger::root(Discard, o!());
    for case in cases {
        let mut tables = tables();
        take_over(&log, &mut tables, case.told, case.echo, at(9_500));
        assert_eq!(tables.confirmed, case.operators, "{}", case.what);
        assert_eq!(tables.servers_confirmed, case.servers, "{}", case.what);
        assert_eq!(tables.servers_read, Some(case.read), "{}", case.what);
        let behind = tables.is_behind;
        let is_behind = (behind.operators, behind.servers);
        assert_eq!(is_behind, case.is_behind, "{}", case.what);
    }
}

/// A confirmation never goes back: datagrams may come in another order.
#[test]
fn an_older_word_takes_nothing_back() {
    let log = Logger::root(Discard, o!());
    let mut tables = tables();
    let echo = |number| {
        Some(Echo {
            life: 1,
            operators: number,
            servers: number,
            told: 0,
        })
    };
    let leaving = vec![(110, entry("known", true))];
    assert!(take_over(
        &log,
        &mut tables,
        told(100, 90, 110, leaving),
        echo(5),
        at(9_500)
    ));
    let staying = vec![(95, entry("known", false))];
    assert!(!take_over(
        &log,
        &mut tables,
        told(100, 80, 96, staying),
        echo(2),
        at(9_600)
    ));
    assert!(tables.fleet.server(&id("known")).expect("known").is_leaving);
    assert_eq!(tables.confirmed, Some(at(5_000)));
    assert_eq!(tables.servers_read, Some(110));
}

#[test]
fn removals_are_taken_over_even_if_something_else_was_missed() {
    let log = Logger::root(Discard, o!());
    let mut tables = tables();
    tables.lapsed.insert(id("known"));
    let gone = vec![(120, Change::Removed(id("known")))];
    let is_changed = take_over(
        &log,
        &mut tables,
        told(100, 110, 120, gone),
        None,
        at(9_500),
    );
    assert!(is_changed);
    assert!(tables.fleet.server(&id("known")).is_none());
    assert!(tables.lapsed.is_empty());
    assert!(tables.is_behind.servers);
}

#[test]
fn a_node_without_a_listing_takes_nothing_over() {
    let log = Logger::root(Discard, o!());
    let mut tables = tables();
    tables.servers_read = None;
    let news = vec![(120, entry("new", false))];
    assert!(!take_over(
        &log,
        &mut tables,
        told(100, 0, 120, news),
        None,
        at(9_500)
    ));
    assert_eq!(tables.servers_read, None);
}

#[test]
fn each_change_is_told_a_few_times_and_then_presumed_known() {
    let mut news = News::starting_at(50);
    news.add(60, entry("a", false));
    news.read(60);
    for _ in 0..TIMES_TOLD {
        let told = news.tell(7, MAX_NEWS);
        assert_eq!((told.from, told.to, told.changes.len()), (50, 60, 1));
    }
    let told = news.tell(7, MAX_NEWS);
    assert_eq!((told.from, told.to, told.changes.len()), (60, 60, 0));
    // A later change of the same entry replaces the earlier one.
    news.add(70, entry("a", true));
    news.add(80, entry("a", false));
    news.read(80);
    let told = news.tell(7, MAX_NEWS);
    assert_eq!(told.changes, [(80, entry("a", false))]);
    assert_eq!((told.operators, told.from, told.to), (7, 60, 80));
}

#[test]
fn of_many_changes_the_newest_are_told_and_the_rest_read() {
    let mut news = News::starting_at(0);
    for n in 1..=MAX_NEWS as u64 + 5 {
        news.add(n, entry(&format!("s{n}"), false));
    }
    news.read(100);
    let told = news.tell(0, MAX_NEWS);
    assert_eq!(told.changes.len(), MAX_NEWS);
    // Who knows the feed up to the fifth change lacks nothing.
    assert_eq!(told.from, 5);
}
