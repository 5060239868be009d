//! Classification of statements and its cache.

use medlarstile::core::class_cache::ClassCache;
use medlarstile::core::classify::{classify, Access, SessionCommand};
use yare::parameterized;

/// Guards against reads being sent to the primary although a replica could serve them.
#[parameterized(
    select = { "SELECT a, b FROM t WHERE id = $1" },
    aggregate = { "select count(*), max(a) from t group by b order by 1 limit 3" },
    cte = { "WITH x AS (SELECT 1) SELECT * FROM x JOIN t ON true" },
    union = { "SELECT 1 UNION ALL (SELECT 2)" },
    values = { "VALUES (1), (2)" },
    catalog = { "SELECT pg_catalog.format_type(1, 2)" },
    show = { "SHOW server_version" },
    explain = { "EXPLAIN SELECT 1" },
    two = { "SELECT 1; SELECT 2" },
    read_only = { "BEGIN READ ONLY" },
    empty = { "" },
)]
fn reads(sql: &str) {
    let class = classify(sql);
    assert_eq!(class.access, Access::Read, "{class:?}");
    assert!(!class.ends && class.unsupported.is_none());
}

/// Guards against statements with side effects being sent to a replica or retried.
#[parameterized(
    insert = { "INSERT INTO t VALUES (1)" },
    cte_write = { "WITH x AS (INSERT INTO t VALUES (1) RETURNING a) SELECT * FROM x" },
    lock = { "SELECT * FROM t FOR UPDATE" },
    nested_lock = { "SELECT * FROM (SELECT * FROM t FOR SHARE) x" },
    into = { "SELECT a INTO u FROM t" },
    sequence = { "SELECT nextval('s')" },
    own_function = { "SELECT book(1)" },
    table_function = { "SELECT * FROM book(1)" },
    hidden_call = { "SELECT 1 WHERE EXISTS (SELECT 1 FROM t WHERE a > book(2))" },
    explain_analyze = { "EXPLAIN ANALYZE SELECT 1" },
    begin = { "BEGIN" },
    mixed = { "SELECT 1; UPDATE t SET a = 1" },
    unparsed = { "FROBNICATE t" },
    ddl = { "CREATE TABLE t (a int)" },
)]
fn writes(sql: &str) {
    assert_eq!(classify(sql).access, Access::Write);
}

/// Guards against acknowledging a commit before it is durable.
#[parameterized(commit = { "COMMIT" }, end = { "END" }, rollback = { "ROLLBACK" }, chain = { "INSERT INTO t VALUES (1); COMMIT" }, unknown = { "FINISH IT" })]
fn may_end_a_transaction(sql: &str) {
    assert!(classify(sql).ends);
}

/// Guards against session state leaking to the next session that uses a connection.
#[parameterized(set = { "SET work_mem = '1MB'" }, set_session = { "SET SESSION work_mem = '1MB'" }, characteristics = { "SET SESSION CHARACTERISTICS AS TRANSACTION READ ONLY" }, role = { "SET ROLE x" }, copy = { "COPY t FROM STDIN" }, listen = { "LISTEN c" }, prepare = { "PREPARE p AS SELECT 1" }, discard = { "DISCARD ALL" })]
fn refused(sql: &str) {
    assert!(classify(sql).unsupported.is_some());
}

/// Guards against sending commands of the proxy, such as the position token, to an endpoint.
#[parameterized(
    set = { "SET medlarstile.position = 'g=3:7'", SessionCommand::SetPosition("g=3:7".into()) },
    show = { "SHOW medlarstile.position", SessionCommand::ShowPosition },
    name = { "SET application_name = 'x'", SessionCommand::SetFixed("application_name".into()) },
)]
fn answered_by_the_host(sql: &str, command: SessionCommand) {
    assert_eq!(classify(sql).command, Some(command));
}

/// Guards against refusing `SET LOCAL`, the supported way to change a setting.
#[test]
fn set_local_is_carried() {
    assert_eq!(classify("SET LOCAL statement_timeout = 5").unsupported, None);
}

/// Guards against a cache that returns the class of another text or grows without bound.
#[parameterized(
    few_texts = { 10, 0, 10 },
    more_texts_than_it_keeps = { 5_000, 0, 1_024 },
    texts_too_long_to_keep = { 10, 2_000, 0 },
)]
fn the_cache_is_exact_and_bounded(texts: usize, padding: usize, most_kept: usize) {
    let mut cache = ClassCache::default();
    for round in 0..2 {
        for number in 0..texts {
            let verb = if number % 2 == 0 { "SELECT" } else { "DELETE FROM t WHERE id =" };
            let sql = format!("{verb} {number}{}", " ".repeat(padding));
            assert_eq!(cache.classify(&sql), classify(&sql), "round {round}: {sql}");
            assert!(cache.len() <= most_kept, "{} texts are kept", cache.len());
        }
    }
    assert_eq!(cache.is_empty(), most_kept == 0);
}
