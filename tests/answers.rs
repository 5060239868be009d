//! The answer table has a valid row for every error kind.

use medlarstile::error::{ErrorKind, Ran};

/// Guards against a kind without an answer, and against an SQLSTATE of the wrong length, which
/// clients can't parse.
#[test]
fn every_kind_has_an_answer() {
    for kind in ErrorKind::ALL {
        let answer = kind.answer();
        assert_eq!(answer.sqlstate.len(), 5, "{kind:?}");
        assert_ne!(answer.exit_code, 0, "{kind:?}");
        assert!(!answer.hint.is_empty(), "{kind:?}");
    }
}

/// Guards against an answer that claims "not run" although the outcome is unknown.
#[test]
fn an_unknown_outcome_never_says_not_run() {
    assert_eq!(ErrorKind::OutcomeUnknown.answer().ran, Ran::Unknown);
    assert_eq!(ErrorKind::Internal.answer().ran, Ran::Unknown);
}
