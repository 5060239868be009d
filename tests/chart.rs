//! Charts run their actions in order, and files whose names don't match the code are rejected.

use medlarstile::chart::{Chart, ChartError, Names, NoGuard};
use medlarstile::chart_names;
use yare::parameterized;

chart_names! {
    /// States of the test chart.
    pub enum State { Open = "open", Idle = "idle", Busy = "busy", Done = "done" }
    /// Events of the test chart.
    pub enum Event { Begin = "begin", End = "end", Close = "close" }
    /// Guards of the test chart.
    pub enum Guard { Ready = "ready" }
    /// Actions of the test chart.
    pub enum Action { Log = "log", Start = "start", Stop = "stop" }
}

const GOOD: &str = include_str!("data/chart_good.scxml");

type TestChart = Chart<State, Event, Guard, Action>;

fn load(text: &str) -> Result<TestChart, Vec<ChartError>> {
    Chart::load("test.scxml", text)
}

/// Guards against entry actions, exit actions or inherited transitions being lost in compilation.
#[test]
fn runs_exit_transition_and_entry_actions_in_order() {
    let chart: &'static TestChart = Box::leak(Box::new(load(GOOD).expect("valid chart")));
    let mut machine = chart.start();
    assert_eq!(machine.state(), State::Idle);
    assert!(!machine.fire(Event::Begin, |_| false).handled);
    let step = machine.fire(Event::Begin, |_| true);
    assert_eq!((step.from, step.to), (State::Idle, State::Busy));
    assert_eq!(step.actions, [Action::Log, Action::Start]);
    assert_eq!(machine.fire(Event::End, |_| true).actions, [Action::Stop]);
    machine.fire(Event::Close, |_| true);
    assert!(machine.is_done());
}

/// Guards against a name in a chart that the code lacks, and the reverse.
#[parameterized(
    unknown_event = { "event=\"begin\"", "event=\"start\"", "test.scxml:6: event \"start\" is not known to the code" },
    unknown_guard = { "cond=\"ready\"", "cond=\"able\"", "test.scxml:6: guard \"able\" is not known to the code" },
    unknown_action = { "<script>start</script>", "<script>go</script>", "test.scxml:11: action \"go\" is not known to the code" },
    unused_action = { "<script>stop</script>", "<script>start</script>", "test.scxml: action \"stop\" is known to the code but not used" },
    unreachable = { "target=\"busy\"", "target=\"idle\"", "test.scxml: state 'busy' is unreachable from the initial configuration" },
)]
fn rejects_names_that_do_not_match(from: &str, to: &str, expected: &str) {
    let errors = load(&GOOD.replace(from, to)).expect_err("a faulty chart");
    let texts: Vec<String> = errors.iter().map(ToString::to_string).collect();
    assert!(texts.iter().any(|text| text == expected), "{texts:?}");
}

/// Guards against an unreadable file being accepted as an empty chart.
#[parameterized(empty = { "" }, not_xml = { "state idle" }, unknown_target = { "<scxml xmlns=\"http://www.w3.org/2005/07/scxml\" version=\"1.0\" initial=\"a\"><state id=\"a\"><transition event=\"e\" target=\"b\"/></state></scxml>" })]
fn rejects_files_that_are_not_charts(text: &str) {
    let errors = load(text).expect_err("not a chart");
    assert!(matches!(errors[0], ChartError::Invalid { .. }), "{errors:?}");
}

/// Guards against an index that differs from the position of the name in the list.
#[test]
fn indexes_match_the_name_lists() {
    for (place, (_, value)) in State::NAMES.iter().enumerate() {
        assert_eq!(value.index(), place);
    }
    assert!(NoGuard::NAMES.is_empty());
}
