//! Codecs of the platform's line protocol, settings, configuration, entries and store calls.

use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use medlarstile::core::proxy::catalog::{CallerKey, ReadRule};
use medlarstile::core::proxy::connection::Owner;
use medlarstile::core::proxy::entries::EntryTable;
use medlarstile::core::proxy::group::EndpointEntry;
use medlarstile::core::proxy::job::{JobPayload, Refusal, Setup, Work};
use medlarstile::core::proxy::statement::{Access, PreparedStatement, Statement};
use medlarstile::core::proxy::Answer;
use medlarstile::core::transaction::TransactionState;
use medlarstile::error::{Error, ErrorKind, Ran};
use medlarstile::platform::line::{
    self, CallerMessage, EndpointMessage, LineError, LineReader, RelayedMessage,
};
use medlarstile::platform::settings::PlatformSettings;
use medlarstile::platform::store::{self, HttpAnswer, RowsAnswer, WriteAnswer};
use medlarstile::platform::{configuration, discovery};
use medlarstile::types::{
    AccountId, ByteCount, DescriptorCount, DurationMs, MilliTokens, Position, PreparedId,
    RowVersion, Term, Timestamp,
};
use yare::parameterized;

const SETTINGS: &str = r#"{"nodeName":"frontend-a-1","ip":"127.0.0.1","zone":"a","unknown":{},
    "bindAddrs":{"frontend":"127.0.0.1:8465","readiness":"127.0.0.1:8460"},
    "internalPortRange":[7560,7575],"bounds":{"graceS":6},
    "platform":{"address":"127.0.0.1:8466"},"cloudApi":{"address":"127.0.0.1:8467"}}"#;

fn caller(text: &str) -> Result<CallerMessage, LineError> {
    line::read_caller(&Bytes::copy_from_slice(text.as_bytes()))
}

fn statement(text: &str) -> Option<Statement> {
    match caller(&format!("QUERY q1 {text}")) {
        Ok(CallerMessage::Query(Ok(query))) => Some(query.statement),
        _ => None,
    }
}

/// Guards against statements that are decoded as others, and against texts that crash a host.
#[parameterized(
    begin = { "BEGIN", Some(Statement::Begin { read_only: false }) },
    begin_read = { "BEGIN READ", Some(Statement::Begin { read_only: true }) },
    begin_other = { "BEGIN WRITE", None },
    commit = { "COMMIT", Some(Statement::Commit) },
    read = { "READ 1a4", Some(Statement::Data(Access::Read)) },
    write = { "WRITE 1a4 some data", Some(Statement::Data(Access::Write)) },
    set = { "SET v two words", Some(Statement::Set { name: "v".into(), value: "two words".into() }) },
    prepare = { "PREPARE s WRITE q2", Some(Statement::Prepare {
        name: "s".into(), statement: PreparedStatement { access: Access::Write, text: "q2".into() } }) },
    prepare_other = { "PREPARE s DROP q2", None },
    execute = { "EXECUTE s 1a4 x y", Some(Statement::Execute {
        name: "s".into(), arguments: Bytes::from_static(b"1a4 x y") }) },
    close = { "CLOSE s", Some(Statement::Close { name: "s".into() }) },
    close_of_two_words = { "CLOSE s x", Some(Statement::Close { name: "s x".into() }) },
    close_nothing = { "CLOSE", None },
    after = { "AFTER 1.2 READ 1", None },
    status = { "STATUS", None },
    nothing = { "", None },
)]
fn statements_are_read(text: &str, expected: Option<Statement>) {
    assert_eq!(statement(text), expected);
}

/// Guards against a key that is accepted by its first word, although no configuration ever held it.
#[parameterized(
    key = { "STARTUP db k-1", Some(("db", "k-1")) },
    key_with_blanks = { "STARTUP db k-1 of north ", Some(("db", "k-1 of north ")) },
    no_key = { "STARTUP db", None },
    empty_key = { "STARTUP db ", None },
)]
fn a_key_extends_to_the_end_of_the_line(text: &str, expected: Option<(&str, &str)>) {
    let expected = expected.map(|(database, key)| CallerMessage::Startup {
        database: database.into(),
        key: key.into(),
    });
    assert_eq!(caller(text).ok(), expected);
}

/// Reads the lines of `pieces` that arrive one after the other, up to the first error.
fn lines_of(pieces: &[&[u8]]) -> Vec<Result<Bytes, LineError>> {
    let (mut input, mut reader, mut lines) = (BytesMut::new(), LineReader::default(), Vec::new());
    for piece in pieces {
        input.extend_from_slice(piece);
        while let Some(line) = reader.next_line(&mut input).transpose() {
            let is_last = line.is_err();
            lines.push(line);
            if is_last {
                return lines;
            }
        }
    }
    lines
}

/// Guards against messages that are truncated or joined, and against overlong messages.
#[test]
fn lines_are_split_at_their_ends() {
    let pieces: [&[u8]; 2] = [b"QUERY 1 READ a\r\nQUERY 2 RE", b"AD b\r\n"];
    assert_eq!(lines_of(&pieces[..1]), [Ok(Bytes::from_static(b"QUERY 1 READ a"))]);
    let lines = [&b"QUERY 1 READ a"[..], b"QUERY 2 READ b"].map(|line| Ok(line.into()));
    assert_eq!(lines_of(&pieces), lines);
    let long = vec![b'x'; line::MAX_LINE_BYTES + 1];
    assert_eq!(lines_of(&[&long]), [Err(LineError::TooLong)]);
}

/// Guards against a message that ends at a line feed or a carriage return of a field, and against one
/// that loses such bytes at its end, wherever the input is divided.
#[parameterized(
    line_feed = { "a\nb" },
    carriage_return = { "a\rb" },
    line_feed_and_carriage_return = { "a\n\rb" },
    carriage_return_at_the_end = { "a\r" },
    carriage_returns_at_the_end = { "a\r\r" },
    line_feed_at_the_start = { "\na" },
    line_feed_at_the_end = { "a\n" },
    blank_lines = { "a\n\n \n\nb" },
    statements = { "x\nQUERY a3 WRITE invoice twice" },
    nothing = { "" },
)]
fn lines_end_at_the_first_pair(line: &str) {
    let input = [line, "\r\n", line, "\r\n"].concat().into_bytes();
    let expected = [line, line].map(|line| Ok(Bytes::copy_from_slice(line.as_bytes())));
    for at in 0..=input.len() {
        let (start, rest) = input.split_at(at);
        assert_eq!(lines_of(&[start, rest]), expected, "divided at {at}");
    }
    let bytes: Vec<&[u8]> = input.chunks(1).collect();
    assert_eq!(lines_of(&bytes), expected);
}

/// Guards against a message that ends before its line end has arrived.
#[parameterized(
    carriage_return = { "QUERY 1 READ a\r" },
    line_feed = { "QUERY 1 READ a\n" },
    line_feed_first = { "QUERY 1 READ a\n\r" },
)]
fn half_a_line_end_ends_no_line(input: &str) {
    assert_eq!(lines_of(&[input.as_bytes()]), []);
}

/// Guards against a message of the largest size that is refused, and against a larger one that is
/// accepted or awaited.
#[parameterized(
    largest = { &[(b'x', line::MAX_LINE_BYTES - 2), (b'\r', 1), (b'\n', 1)],
        Some(Ok(line::MAX_LINE_BYTES - 2)) },
    largest_without_its_last_byte = { &[(b'x', line::MAX_LINE_BYTES - 2), (b'\r', 1)], None },
    largest_of_line_feeds = { &[(b'\n', line::MAX_LINE_BYTES - 2), (b'\r', 1), (b'\n', 1)],
        Some(Ok(line::MAX_LINE_BYTES - 2)) },
    one_more = { &[(b'x', line::MAX_LINE_BYTES - 1), (b'\r', 1), (b'\n', 1)],
        Some(Err(LineError::TooLong)) },
    one_more_without_its_last_byte = { &[(b'x', line::MAX_LINE_BYTES - 1), (b'\r', 1)], None },
    no_line_end = { &[(b'x', line::MAX_LINE_BYTES)], None },
    no_line_end_and_one_more = { &[(b'x', line::MAX_LINE_BYTES + 1)],
        Some(Err(LineError::TooLong)) },
)]
fn the_size_limit_counts_the_line_end(
    runs: &[(u8, usize)],
    expected: Option<Result<usize, LineError>>,
) {
    let input: Vec<u8> = runs.iter().flat_map(|(byte, count)| vec![*byte; *count]).collect();
    let whole = lines_of(&[&input]);
    let lengths: Vec<_> = whole.iter().cloned().map(|line| line.map(|line| line.len())).collect();
    assert_eq!(lengths, Vec::from_iter(expected));
    let pieces: Vec<&[u8]> = input.chunks(1_000).collect();
    assert_eq!(lines_of(&pieces), whole);
}

/// Guards against a host that is kept busy by a long message in small pieces, because each of them
/// makes it search the whole message again.
#[test]
fn a_long_message_in_small_pieces_is_searched_once() {
    let message = [&vec![b'x'; line::MAX_LINE_BYTES - 2][..], b"\r\n"].concat();
    let pieces: Vec<&[u8]> = message.chunks(16).collect();
    let started = Instant::now();
    assert_eq!(lines_of(&pieces).len(), 1);
    // A search that starts anew for each piece took 12 s.
    assert!(started.elapsed() < Duration::from_secs(5), "{:?}", started.elapsed());
}

/// Guards against a relayed statement whose last field is cut off, as which it is counted and, if its
/// home was lost, answered.
#[parameterized(
    write = { "WRITE item a\n\rb\r" },
    execute = { "EXECUTE s item a\r\r" },
    set = { "SET v a\n" },
    set_returns = { "SET v \r\r" },
    prepare = { "PREPARE s WRITE a\r" },
    close = { "CLOSE s\n" },
)]
fn relayed_statements_keep_their_texts(text: &str) {
    let line = format!("QUERY q1 {text}");
    let RelayedMessage::Statement(relayed) = line::read_relayed_message(&line.clone().into())
    else {
        panic!("{line:?} is no statement");
    };
    assert_eq!(relayed.text, text.as_bytes());
    assert_eq!(Some(relayed.statement), statement(text));
}

/// Guards against a row or a signature that is taken for the end of an answer or for an error.
#[parameterized(
    row_with_an_end = { "ROW a\nREADY I x", None, false },
    row_with_an_error = { "ROW a\nERROR b", None, false },
    signature = { "COMPLETE a\nERROR b\rREADY I 1.1", None, false },
    error = { "ERROR FAILED a\nREADY I x", None, true },
    end = { "READY T 1.1", Some(false), false },
)]
fn relayed_answers_are_told_by_their_starts(line: &str, is_idle: Option<bool>, is_error: bool) {
    assert_eq!(line::read_relayed_ready(line.as_bytes()), is_idle);
    assert_eq!(line::is_relayed_error(line.as_bytes()), is_error);
}

/// Guards against a key or a database that differs at the home of a session, and against its rest that is
/// read there as a message of its own.
#[parameterized(
    plain = { "db", "k-1" },
    key_with_line_ends = { "db", "k\n1\r" },
    database_with_line_ends = { "d\n\rb\r", "k-1" },
)]
fn a_relayed_startup_keeps_its_bytes(database: &str, key: &str) {
    let mut out = BytesMut::new();
    line::write_caller_startup(&mut out, database, key);
    let lines = lines_of(&[&out]);
    let [Ok(line)] = &lines[..] else { panic!("{lines:?}") };
    let startup = CallerMessage::Startup { database: database.into(), key: key.into() };
    assert_eq!(line::read_caller(line), Ok(startup));
}

/// Guards against an answer that changes between endpoint and caller.
#[parameterized(
    line_feed = { "a\nREADY I x" },
    carriage_return_at_the_end = { "a\r" },
    blank_lines = { "\n\n \r" },
)]
fn answers_with_line_ends_keep_their_bytes(text: &str) {
    let row = Bytes::copy_from_slice(text.as_bytes());
    let endpoint = |kind: &str| line::read_endpoint(&[kind, text].concat().into());
    assert_eq!(endpoint("ROW "), Ok(EndpointMessage::Row(row.clone())));
    assert_eq!(endpoint("COMPLETE "), Ok(EndpointMessage::Complete(text.into())));
    let refusal = EndpointMessage::Error(Refusal::Failed, text.into());
    assert_eq!(endpoint("ERROR FAILED "), Ok(refusal));
    let mut out = BytesMut::new();
    let answer = Answer::Endpoint { rows: vec![row], signature: text.into(), position: None };
    line::write_answer(&mut out, &answer, TransactionState::Idle);
    let lines = [["ROW ", text].concat(), ["COMPLETE ", text].concat(), "READY I -".into()];
    assert_eq!(lines_of(&[&out]), lines.map(|line| Ok(Bytes::from(line))));
}

/// Guards against an error code that guarantees no effect for an error kind that does not: a caller
/// may retry after such a code.
#[test]
fn error_codes_guarantee_no_more_than_their_kinds() {
    let no_effect_codes = ["BUSY", "ABORTED", "LAGGING", "READONLY", "WRONGNODE", "CONNLIMIT"];
    for kind in ErrorKind::ALL {
        let mut out = BytesMut::new();
        line::write_error(&mut out, &Error::new(kind, "x"));
        let text = String::from_utf8(out.to_vec()).expect("text");
        let code = text.split(' ').nth(1).expect("a code");
        if no_effect_codes.contains(&code) {
            assert_ne!(kind.answer().ran, Ran::Ran, "{kind:?} is told as {code}");
            assert_ne!(kind, ErrorKind::OutcomeUnknown);
        }
        assert!(text.ends_with("\r\n") && text.lines().count() == 1, "{text:?}");
    }
}

/// Guards against a statement that is changed on its way to the endpoint, and against sending the
/// caller's key to it.
#[test]
fn endpoints_get_the_callers_text_and_the_account() {
    let mut out = BytesMut::new();
    let owner = Owner::Account("north".parse().expect("an account"));
    let (group, host) = ("db".parse().expect("a group"), "h1".parse().expect("a host"));
    line::write_startup(&mut out, &group, &owner, &host, &"i-1".parse().expect("an endpoint"));
    let prepared = PreparedStatement { access: Access::Read, text: "q1".into() };
    line::write_setup(&mut out, &Setup::Prepare(PreparedId(7), prepared));
    let after = Some(Position::new(Term(3), 1207));
    let read = JobPayload::Text("READ 1a4".into());
    line::write_work(&mut out, &Work::Statement { id: "q1".into(), payload: read, after });
    let execute = JobPayload::Execute(PreparedId(7), "1a4 x".into());
    line::write_work(&mut out, &Work::Statement { id: "q2".into(), payload: execute, after: None });
    let expected = "STARTUP db north i-1\r\nQUERY - PREPARE p7 READ q1\r\n\
        QUERY q1 AFTER 3.1207 READ 1a4\r\nQUERY q2 EXECUTE p7 1a4 x\r\n";
    assert_eq!(out, expected.as_bytes());
}

/// Guards against endpoint messages that are decoded as others.
#[parameterized(
    row = { "ROW a b", Some(EndpointMessage::Row(Bytes::from_static(b"a b"))) },
    complete = { "COMPLETE 7.1f", Some(EndpointMessage::Complete("7.1f".into())) },
    lagging = { "ERROR LAGGING 3.1", Some(EndpointMessage::Error(Refusal::Lagging, "3.1".into())) },
    unknown_code = { "ERROR NEW x", Some(EndpointMessage::Error(Refusal::Other, "x".into())) },
    ready = { "READY T 3.9", Some(EndpointMessage::Ready(
        TransactionState::Open, Some(Position::new(Term(3), 9)))) },
    ready_without = { "READY I -", Some(EndpointMessage::Ready(TransactionState::Idle, None)) },
    bad_state = { "READY X -", None },
    bad_position = { "READY I 3", None },
    other = { "HELLO", None },
)]
fn endpoint_messages_are_read(text: &str, expected: Option<EndpointMessage>) {
    assert_eq!(line::read_endpoint(&Bytes::copy_from_slice(text.as_bytes())).ok(), expected);
}

/// Guards against a status that is misread.
#[test]
fn a_status_is_read() {
    let status = line::read_status(&Bytes::from_static(b"replica 3 3.1209 0 12 2 17"));
    let status = status.expect("a status");
    assert_eq!((status.term, status.received), (Term(3), Position::new(Term(3), 1209)));
    assert_eq!(status.lag_ms, DurationMs(12));
    assert!(line::read_status(&Bytes::from_static(b"replica 3")).is_err());
}

/// Guards against an answer without its rows or its signature.
#[test]
fn answers_are_written_whole() {
    let mut out = BytesMut::new();
    let rows = vec![Bytes::from_static(b"r1"), Bytes::from_static(b"r2")];
    let position = Some(Position::new(Term(1), 2));
    let answer = Answer::Endpoint { rows, signature: "sig".into(), position };
    line::write_answer(&mut out, &answer, TransactionState::Idle);
    assert_eq!(out, &b"ROW r1\r\nROW r2\r\nCOMPLETE sig\r\nREADY I 1.2\r\n"[..]);
}

/// Guards against a host that starts with invalid settings.
#[parameterized(
    whole = { SETTINGS.to_owned(), None },
    no_name = { SETTINGS.replace("nodeName", "n"), Some("nodeName") },
    no_port = { SETTINGS.replace("7575", "7559"), Some("one port") },
    no_grace = { SETTINGS.replace(r#""graceS":6"#, r#""graceS":0"#), Some("graceS") },
    cut = { SETTINGS[..40].to_owned(), Some("EOF") },
)]
fn settings_are_checked(text: String, fault: Option<&str>) {
    let read = PlatformSettings::parse(&text, 9_464);
    match fault {
        None => {
            let settings = read.expect("the settings are valid");
            assert_eq!(settings.stop_limit_ms, DurationMs(6_000));
            assert_eq!((settings.peers.port(), settings.metrics.port()), (7_560, 9_464));
        }
        Some(fault) => {
            let found = read.expect_err("the settings are not valid");
            assert!(found.contains(fault), "{found}");
        }
    }
}

/// Guards against a host that does not start because its limits are written with a fraction.
#[parameterized(
    whole = { r#"{"memoryMb":260,"maxFds":4200}"#, 260, 4_200 },
    fractions = { r#"{"memoryMb":260.0,"maxFds":4200.5}"#, 260, 4_200 },
)]
fn limits_of_a_host_are_read(limits: &str, memory_mb: u64, descriptors: u64) {
    let text = SETTINGS.replace(r#""bounds""#, &format!(r#""limits":{limits},"bounds""#));
    let settings = PlatformSettings::parse(&text, 9_464).expect("the settings are valid");
    assert_eq!(settings.memory, ByteCount(memory_mb * 1024 * 1024));
    assert_eq!(settings.descriptors, DescriptorCount(descriptors));
}

/// Guards against a host that takes longer to follow the configuration than its platform allows.
#[parameterized(
    stated = { r#""graceS":6,"contactMs":5000,"configApplyMs":4000"#, 4_000 },
    fractions = { r#""graceS":6,"contactMs":2500.0"#, 2_500 },
    not_stated = { r#""graceS":6"#, 3_000 },
)]
fn the_time_limit_of_the_configuration_is_read(bounds: &str, limit_ms: u64) {
    let text = SETTINGS.replace(r#""graceS":6"#, bounds);
    let settings = PlatformSettings::parse(&text, 9_464).expect("the settings are valid");
    assert_eq!(settings.configuration_limit_ms, DurationMs(limit_ms));
}

/// Guards against a configuration that is misread.
#[test]
fn a_configuration_is_read() {
    let text = br#"{"version":7,"routes":[{"name":"r","database":"d1","type":"read_your_writes",
        "timeoutMs":1000,"targetLatencyMs":400,"service":"s1","maxStalenessMs":2500},
        {"name":"web","service":"s1","timeoutMs":5}],
        "services":[{"name":"s1","maxConnections":38,"syncReplicas":1}],
        "limits":{"txIdleMs":3000},
        "tenants":[{"name":"t1","apiKeys":["k1","k2"],"ratePerS":140,"burst":70}]}"#;
    let catalog = configuration::read(text).expect("a configuration").catalog;
    let route = &catalog.routes[&"d1".parse().expect("a name")];
    assert_eq!(route.rule, ReadRule::OwnWrites(DurationMs(2_500)));
    assert_eq!(catalog.routes.len(), 1, "a route without a database is for other traffic");
    let account: AccountId = "t1".parse().expect("an account");
    assert_eq!(catalog.keys[&CallerKey::new("k2")], account);
    assert_eq!(catalog.accounts[&account].burst, MilliTokens(70_000));
    assert!(configuration::read(b"{\"version\":\"x\"}").is_err());
    assert!(!format!("{catalog:?}").contains("k1"), "a key is printed");
}

/// Guards against invalid entries that are used as endpoints, and valid ones that are not.
#[parameterized(
    whole = { r#"{"service":"s1","address":"127.0.0.1:80","zone":"a","state":"draining",
        "dbRole":"primary","born":5}"#, true },
    count_with_a_fraction = { r#"{"service":"s1","address":"127.0.0.1:80","zone":"a",
        "state":"draining","dbRole":"primary","born":5,"sequence":7.0}"#, true },
    unknown_state = { r#"{"service":"s1","address":"127.0.0.1:80","zone":"a","state":"odd",
        "dbRole":"primary"}"#, false },
    no_address = { r#"{"service":"s1","zone":"a","state":"ready","dbRole":"primary"}"#, false },
    number = { r#"{"service":4,"address":"127.0.0.1:80","zone":"a","state":"ready",
        "dbRole":"primary"}"#, false },
    bytes = { "\u{0}\u{1}", false },
)]
fn entries_are_checked(text: &str, usable: bool) {
    let entry = discovery::read("i-1", RowVersion(3), text.as_bytes());
    assert_eq!(entry.is_ok(), usable, "{entry:?}");
    if let Ok(entry) = entry {
        assert!(entry.leaving && entry.claims_primary && entry.started_ms == 5);
    }
}

/// An entry of another writer, which a host has to ignore.
fn odd_entry(kind: &str) -> Vec<u8> {
    let entry = |address: &str, born: &str, extra: &str| {
        format!(
            r#"{{"service":"s1","address":"{address}","zone":"a","state":"ready",
            "dbRole":"primary","born":{born},"extra":{extra}}}"#
        )
    };
    let nested = format!("{}{}", "[".repeat(20_000), "]".repeat(20_000));
    let text = match kind {
        "nested" => entry("127.0.0.1:80", &nested, "0"),
        "nested_objects" => r#"{"service":"#.repeat(6_000),
        "number_too_large" => entry("127.0.0.1:80", "1e999", "0"),
        "number_above_64_bits" => entry("127.0.0.1:80", "99999999999999999999999", "0"),
        "port_out_of_range" => entry("127.0.0.1:70000", "5", "0"),
        "no_port" => entry("127.0.0.1:0", "5", "0"),
        "no_host" => entry("0.0.0.0:80", "5", "0"),
        "many_hosts" => entry("224.0.0.1:80", "5", "0"),
        "cut_text" => return vec![b'{', b'"', 0xff, 0xfe],
        other => panic!("{other}"),
    };
    text.into_bytes()
}

/// Guards against one odd entry of another writer that ends the process, that hides the other
/// entries, or that leaves an endpoint in use which the row no longer names.
#[parameterized(
    nested = { "nested" },
    nested_objects = { "nested_objects" },
    number_too_large = { "number_too_large" },
    number_above_64_bits = { "number_above_64_bits" },
    port_out_of_range = { "port_out_of_range" },
    no_port = { "no_port" },
    no_host = { "no_host" },
    many_hosts = { "many_hosts" },
    cut_text = { "cut_text" },
)]
fn an_odd_entry_names_no_endpoint(kind: &str) {
    let good = br#"{"service":"s1","address":"127.0.0.1:80","zone":"a","state":"ready",
        "dbRole":"replica","extra":{"a":[1e999,{}]}}"#;
    let row = |key: &str, version: u64, value: &[u8]| {
        (key.into(), discovery::read(key, RowVersion(version), value).ok())
    };
    let mut table = EntryTable::default();
    let mut apply = |is_complete: bool, rows: &[(_, Option<EndpointEntry>)]| -> Vec<String> {
        table.apply(Timestamp(1), RowVersion(6), is_complete, rows.iter().cloned());
        table.iter().map(|entry| entry.endpoint.to_string()).collect()
    };
    let rows = [row("i-1", 1, good), row("i-2", 2, &odd_entry(kind)), row("i-3", 3, good)];
    assert_eq!(apply(true, &rows), ["i-1", "i-3"]);
    assert_eq!(apply(false, &[row("i-1", 4, &odd_entry(kind))]), ["i-3"]);
    assert_eq!(apply(false, &[row("i-1", 5, good), row("i-4", 6, good)]), ["i-1", "i-3", "i-4"]);
}

fn answer(status: u16, body: &str) -> HttpAnswer {
    HttpAnswer { status, era: None, body: body.as_bytes().to_vec() }
}

/// Guards against versions that count as outdated after a restore of the store, and against fencing
/// tokens below those of the era before, or equal to one of them.
#[parameterized(
    given_out_again = { Some("1"), 90, Some("2"), 90 },
    went_back = { Some("1"), 90, Some("2"), 12 },
    first_restore = { None, 90, Some("1"), 0 },
    same_era = { Some("7"), 12, Some("7"), 90 },
)]
fn versions_rise_from_era_to_era(
    era: Option<&str>,
    before: u64,
    next_era: Option<&str>,
    after: u64,
) {
    let version = |era: Option<&str>, number: u64| {
        let answer = HttpAnswer {
            era: era.map(Into::into),
            ..answer(
                200,
                &format!(r#"{{"rows":[{{"key":"k","value":"","ver":{number}}}],"ver":{number}}}"#),
            )
        };
        match store::read_rows(&answer) {
            RowsAnswer::Rows(found) if found.rows[0].version == found.version => found.version,
            other => panic!("{other:?}"),
        }
    };
    let (before, after) = (version(era, before), version(next_era, after));
    assert!(before < after, "{before} {after}");
    // The store knows only the number.
    let request = store::get_changes("t", after, DurationMs(5));
    assert_eq!(request.path, format!("/api/rows-feed?table=t&after={}&waitMs=5", after.number()));
    let body = store::put_row("t", "k", Some(after), None).body;
    assert!(String::from_utf8_lossy(&body).contains(&format!(r#""ver":{}}}"#, after.number())));
}

/// Guards against an answer that cannot be placed in an era and is taken for one of the first.
#[parameterized(
    no_number = { Some("two"), 9 },
    negative = { Some("-1"), 9 },
    era_too_large = { Some("16777216"), 9 },
    version_too_large = { Some("2"), 1 << 40 },
)]
fn an_answer_without_a_valid_era_is_refused(era: Option<&str>, version: u64) {
    let body = format!(r#"{{"ver":{version}}}"#);
    let answer = HttpAnswer { era: era.map(Into::into), ..answer(200, &body) };
    assert!(matches!(store::read_rows(&answer), RowsAnswer::Refused(_)));
    assert!(matches!(store::read_write(&answer), WriteAnswer::Refused(_)));
}

/// Guards against a discarded change history or a refusal that is taken for an empty table.
#[test]
fn store_answers_are_read() {
    let rows = r#"{"rows":[{"table":"t","part":"","key":"k","value":"bm9kZS0x","ver":4},
        {"table":"t","part":"","key":"g","ver":5,"removed":true}],"hasMore":true,"ver":9}"#;
    match store::read_rows(&answer(200, rows)) {
        RowsAnswer::Rows(found) => {
            assert_eq!(found.rows[0].value.as_deref(), Some(&b"node-1"[..]));
            assert_eq!(found.rows[1].value, None);
            assert!(found.has_more && found.version == RowVersion(9));
        }
        other => panic!("{other:?}"),
    }
    assert_eq!(store::read_rows(&answer(410, "")), RowsAnswer::HistoryGone);
    assert!(matches!(store::read_rows(&answer(429, "{}")), RowsAnswer::Refused(_)));
    assert!(matches!(store::read_rows(&answer(200, "<")), RowsAnswer::Refused(_)));
    let done = store::read_write(&answer(200, r#"{"ver":12}"#));
    assert_eq!(done, WriteAnswer::Done(RowVersion(12)));
    assert_eq!(
        store::read_write(&answer(412, r#"{"rows":[]}"#)),
        WriteAnswer::Changed(RowVersion(0), None)
    );
}
