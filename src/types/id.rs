//! Identifiers of the things that the proxy talks about.

use compact_str::CompactString;
use derive_more::{AsRef, Display, From, FromStr, Into};
use displaydoc::Display as DocDisplay;
use serde::{Deserialize, Serialize};

/// Longest text identifier in bytes, the limit of PostgreSQL identifiers.
const MAX_ID_BYTES: usize = 63;

/// Why a text is not an identifier.
#[derive(Debug, Clone, PartialEq, Eq, DocDisplay)]
pub enum IdError {
    /// identifier is empty
    Empty,
    /// identifier has {0} bytes, at most 63 are allowed (255 in object names)
    TooLong(usize),
    /// identifier has the character {0:?}, allowed are letters, digits, '_', '-' and '.' ('/' in object names)
    Character(char),
}

impl std::error::Error for IdError {}

fn check_id(text: &str) -> Result<CompactString, IdError> {
    check_text(text, MAX_ID_BYTES, "_-.")
}

fn check_text(text: &str, max_bytes: usize, marks: &str) -> Result<CompactString, IdError> {
    if text.is_empty() {
        return Err(IdError::Empty);
    }
    if text.len() > max_bytes {
        return Err(IdError::TooLong(text.len()));
    }
    let refused = |c: &char| !(c.is_ascii_alphanumeric() || marks.contains(*c));
    match text.chars().find(refused) {
        Some(c) => Err(IdError::Character(c)),
        None => Ok(CompactString::from(text)),
    }
}

macro_rules! text_id {
    ($($(#[$doc:meta])* $name:ident;)*) => {$(
        $(#[$doc])*
        #[derive(
            Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Display, AsRef, Into, Serialize,
            Deserialize,
        )]
        #[serde(try_from = "CompactString")]
        #[as_ref(str)]
        pub struct $name(CompactString);

        impl $name {
            /// The identifier as text.
            pub fn as_str(&self) -> &str {
                self.0.as_str()
            }
        }

        impl std::str::FromStr for $name {
            type Err = IdError;

            fn from_str(text: &str) -> Result<Self, IdError> {
                check_id(text).map(Self)
            }
        }

        impl TryFrom<CompactString> for $name {
            type Error = IdError;

            fn try_from(text: CompactString) -> Result<Self, IdError> {
                text.parse()
            }
        }
    )*};
}

text_id! {
    /// A process of the proxy.
    HostId;
    /// A set of hosts and endpoints that fail together and can be cut off together.
    FailureDomain;
    /// A client account: the unit of keys, rates and fairness.
    AccountId;
    /// A database server that belongs to one group.
    EndpointId;
    /// A database group: one log, one primary, several replicas.
    GroupId;
    /// The name that joins the routes table to the pools table.
    PoolName;
    /// A row of the routes table.
    RouteName;
    /// The database name that a caller asks for.
    DatabaseName;
    /// A key of a client account; the name, never the key itself.
    KeyId;
    /// The person or program that edits the tables.
    EditorName;
    /// A table of the platform's table service.
    TableName;
    /// The key of a row, or the beginning of keys, within one table of the table service.
    RowKey;
}

/// Longest name of an object in bytes.
const MAX_OBJECT_NAME_BYTES: usize = 255;

/// The name of an object in the object store, or the beginning of names; parts are split by `/`.
#[derive(
    Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Display, AsRef, Into, Serialize, Deserialize,
)]
#[serde(try_from = "CompactString")]
#[as_ref(str)]
pub struct ObjectName(CompactString);

impl ObjectName {
    /// The name as text.
    pub fn as_str(&self) -> &str {
        self.0.as_str()
    }
}

impl std::str::FromStr for ObjectName {
    type Err = IdError;

    fn from_str(text: &str) -> Result<Self, IdError> {
        check_text(text, MAX_OBJECT_NAME_BYTES, "_-./").map(Self)
    }
}

impl TryFrom<CompactString> for ObjectName {
    type Error = IdError;

    fn try_from(text: CompactString) -> Result<Self, IdError> {
        text.parse()
    }
}

impl AccountId {
    /// The account of open routes, written `*`. `FromStr` refuses it, so no caller can log in as it.
    pub const OPEN: AccountId = AccountId(CompactString::const_new("*"));

    /// Whether this is the account of open routes.
    pub fn is_open(&self) -> bool {
        *self == Self::OPEN
    }
}

macro_rules! number_id {
    ($($(#[$doc:meta])* $name:ident($inner:ty);)*) => {$(
        $(#[$doc])*
        #[derive(
            Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display, FromStr, From, Into,
            Serialize, Deserialize,
        )]
        pub struct $name(pub $inner);
    )*};
}

number_id! {
    /// A caller's connection, unique within one host incarnation.
    SessionId(u64);
    /// A request of a caller, unique within one host incarnation.
    RequestId(u64);
    /// A connection to an endpoint, unique within one host incarnation.
    ConnectionId(u64);
    /// One attempt to change a row of the platform, recognised when read back.
    AttemptId(u64);
    /// One run of a host process; a restart gets another number.
    Incarnation(u64);
    /// One of the equal parts into which every account's rate and burst are divided.
    ShareSlot(u32);
    /// A call to the platform, unique within one worker.
    CallId(u64);
}
