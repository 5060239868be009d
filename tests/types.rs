//! Newtypes parse the text that they print and reject invalid text.

use medlarstile::types::{AccountId, Burst, DurationMs, Position, RatePerS, Term, Timestamp};
use yare::parameterized;

/// Guards against a session position that changes when it is printed and parsed.
#[parameterized(zero = { 0, 0 }, usual = { 3, 1042 }, large = { u64::MAX, u64::MAX })]
fn position_parses_what_it_prints(term: u64, index: u64) {
    let position = Position::new(Term(term), index);
    assert_eq!(position.to_string().parse(), Ok(position));
}

/// Guards against a malformed position that is parsed as position zero.
#[parameterized(empty = { "" }, no_index = { "3" }, words = { "a:b" }, negative = { "-1:2" }, three = { "1:2:3" })]
fn rejects_malformed_positions(text: &str) {
    assert!(text.parse::<Position>().is_err());
}

/// Guards against an order by index alone, in which an old primary may appear to be the latest.
#[test]
fn a_higher_term_is_later_than_any_index() {
    assert!(Position::new(Term(4), 1) > Position::new(Term(3), 900));
}

/// Guards against identifiers that are unsafe in log lines, row keys or file names.
#[parameterized(empty = { "" }, space = { "a b" }, slash = { "a/b" }, newline = { "a\n" }, long = { &"x".repeat(64) })]
fn rejects_invalid_identifiers(text: &str) {
    assert!(text.parse::<AccountId>().is_err());
}

/// Guards against a name of another system that is refused although its protocol allows it, and
/// against one that is taken for several fields, ends a line or stands for the open routes.
#[parameterized(
    plain = { "north-1", true },
    other_letters = { "bad-tölz", true },
    combined_letters = { "bad-to\u{308}lz", true },
    no_letters = { "倉庫", true },
    punctuation = { "eu/north:1@a", true },
    quotes = { "a\"b\\c", true },
    longer_than_an_id = { &"x".repeat(64), true },
    longest = { &"x".repeat(194), true },
    too_long = { &"x".repeat(195), false },
    empty = { "", false },
    blank = { "a b", false },
    other_blank = { "a\u{a0}b", false },
    line_feed = { "a\n", false },
    control = { "a\u{1}b", false },
    open_account = { "*", false },
)]
fn names_of_other_systems(text: &str, is_valid: bool) {
    let name = AccountId::from_external(text).ok();
    assert_eq!(name.as_ref().map(AccountId::as_str), is_valid.then_some(text));
}

/// Guards against amounts that don't parse or print as plain numbers.
#[test]
fn amounts_parse_and_print() {
    assert_eq!("25".parse(), Ok(RatePerS(25)));
    assert_eq!(Burst(7).to_string(), "7");
}

/// Guards against underflow when a time is earlier than the one that it is compared with.
#[test]
fn time_differences_never_wrap() {
    let early = Timestamp(1_000);
    let late = early + DurationMs(5);
    assert_eq!(late.ms_since(early), DurationMs(5));
    assert_eq!(early.ms_since(late), DurationMs(0));
    assert_eq!(early - DurationMs(5), Timestamp(0));
}
