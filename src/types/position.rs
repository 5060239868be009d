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
            /// Returns the next higher value.
            pub fn next(self) -> Self {
                Self(self.0 + 1)
            }
        }
    )*};
}

counter! {
    /// Term of a group's primary; incremented by each promotion.
    Term;
    /// Version of the routes and pools tables; incremented by each accepted edit.
    TableVersion;
    /// Version of one row of the platform's table service, with the era of the store in which it was
    /// read in the highest bits; a number of 0 means that the row is absent.
    ///
    /// A restored store gives the same numbers out again. With the era, a later version is always
    /// the higher one, and no two rows have the same.
    RowVersion;
    /// Number that the platform's store raises each time that it is restored from an older copy.
    StoreEra;
    /// Sequence number of a commit of the platform's table service, counted over all tables.
    CommitSeq;
    /// Number of times that the holder of a row has renewed it.
    Renewals;
}

impl RowVersion {
    /// Bits of the number within an era. Together with 13 bits of the era a version fits into the
    /// 53 bits that every JSON reader keeps exactly.
    const NUMBER_BITS: u32 = 40;

    /// Version `number` of an era; `None` if one of the two is too large.
    pub fn in_era(era: StoreEra, number: u64) -> Option<Self> {
        let fits =
            number >> Self::NUMBER_BITS == 0 && era.0 >> (u64::BITS - Self::NUMBER_BITS) == 0;
        fits.then_some(Self(era.0 << Self::NUMBER_BITS | number))
    }

    /// Version of a row that is absent in the era of this version.
    pub fn absent(self) -> Self {
        Self(self.0 - self.number())
    }

    /// Era of the store in which the version was read.
    pub fn era(self) -> StoreEra {
        StoreEra(self.0 >> Self::NUMBER_BITS)
    }

    /// Number that the store knows the version by.
    pub fn number(self) -> u64 {
        self.0 & ((1 << Self::NUMBER_BITS) - 1)
    }

    /// Whether the row is absent.
    pub fn is_absent(self) -> bool {
        self.number() == 0
    }
}

/// Position in a group's log, ordered by term, then index; written as `3:1042`.
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
    /// Creates the position of the entry with `index`, written in `term`.
    pub fn new(term: Term, index: u64) -> Self {
        Self { term, index }
    }
}

/// Error when parsing a [`Position`].
#[derive(Debug, Clone, PartialEq, Eq, DocDisplay)]
pub enum PositionError {
    /// position is not of the form TERM:INDEX, for example 3:1042
    Malformed,
}

impl std::error::Error for PositionError {}

impl FromStr for Position {
    type Err = PositionError;

    fn from_str(text: &str) -> Result<Self, PositionError> {
        let (term, index) = text.split_once(':').ok_or(PositionError::Malformed)?;
        let term = term.parse().map_err(|_| PositionError::Malformed)?;
        let index = index.parse().map_err(|_| PositionError::Malformed)?;
        Ok(Self { term: Term(term), index })
    }
}
