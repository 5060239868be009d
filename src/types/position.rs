//! Terms, log positions and versions.

use std::str::FromStr;

use derive_more::{Display, From, FromStr, Into};
use displaydoc::Display as DocDisplay;
use serde::{Deserialize, Serialize};

macro_rules! counter {
    ($($(#[$doc:meta])* $name:ident;)*) => {$(
        $(#[$doc])*
        #[derive(
            Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Display, FromStr,
            From, Into, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl $name {
            /// The next higher value.
            pub fn next(self) -> Self {
                Self(self.0 + 1)
            }
        }
    )*};
}

counter! {
    /// The number of a group's primary; goes up with each promotion.
    Term;
    /// The version of the routes and pools tables; goes up with each accepted edit.
    TableVersion;
    /// The version of one row of the platform's table service; 0 means that the row is absent.
    RowVersion;
    /// The commit sequence of the platform's table service, counted over all its rows.
    CommitSeq;
}

/// A place in a group's log, ordered by term, then index; written `3:1042`.
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Display,
    Serialize,
    Deserialize,
)]
#[display("{term}:{index}")]
pub struct Position {
    /// Term of the primary that wrote the entry.
    pub term: Term,
    /// Index of the entry, counted over all terms.
    pub index: u64,
}

impl Position {
    /// The position of entry `index` written at `term`.
    pub fn new(term: Term, index: u64) -> Self {
        Self { term, index }
    }
}

/// Why a text is not a position.
#[derive(Debug, Clone, PartialEq, Eq, DocDisplay)]
pub enum PositionError {
    /// a position is written TERM:INDEX, for example 3:1042
    Shape,
}

impl std::error::Error for PositionError {}

impl FromStr for Position {
    type Err = PositionError;

    fn from_str(text: &str) -> Result<Self, PositionError> {
        let (term, index) = text.split_once(':').ok_or(PositionError::Shape)?;
        let term = term.parse().map_err(|_| PositionError::Shape)?;
        let index = index.parse().map_err(|_| PositionError::Shape)?;
        Ok(Self { term: Term(term), index })
    }
}
