//! The answer table covers the closed list of error kinds.

use medlarstile::error::{ErrorKind, Ran};

/// Guards against a kind without an answer, and against an SQLSTATE that clients cannot parse.
#[test]
fn every_kind_has_an_answer() {
    for kind in ErrorKind::ALL {
        let answer = kind.answer();
        assert_eq!(answer.sqlstate.len(), 5, "{kind:?}");
        assert_ne!(answer.exit_code, 0, "{kind:?}");
        assert!(!answer.hint.is_empty(), "{kind:?}");
    }
}

/// Guards against a refusal that claims "not run" when the outcome is open.
#[test]
fn an_unknown_outcome_never_says_not_run() {
    assert_eq!(ErrorKind::OutcomeUnknown.answer().ran, Ran::Unknown);
    assert_eq!(ErrorKind::Internal.answer().ran, Ran::Unknown);
}
