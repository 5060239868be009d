//! Newtypes for identifiers and names.

use compact_str::CompactString;
use derive_more::{AsRef, Display, From, FromStr, Into};
use displaydoc::Display as DocDisplay;
use serde::{Deserialize, Serialize};

/// Longest text identifier in bytes, the same limit as for PostgreSQL identifiers.
const MAX_ID_BYTES: usize = 63;
/// Longest name of another system in bytes. Keys of the platform's rows have at most 200, and those of
/// this project have a prefix of up to 6 before a name.
const MAX_EXTERNAL_BYTES: usize = 194;

/// Error when parsing an identifier.
#[derive(Debug, Clone, PartialEq, Eq, DocDisplay)]
pub enum IdError {
    /// identifier is empty
    Empty,
    /// identifier has {0} bytes, at most 63 are allowed (255 in object names)
    TooLong(usize),
    /// name has {0} bytes, at most 194 are allowed
    ExternalTooLong(usize),
    /// name has the character {0:?}, which separates fields or is not printed
    Separator(char),
    /// name is reserved
    Reserved,
    /// identifier has the character {0:?}, allowed are letters, digits, '_', '-' and '.' ('/' in object names)
    Character(char),
}

impl std::error::Error for IdError {}

fn validate_id(text: &str) -> Result<CompactString, IdError> {
    validate_text(text, MAX_ID_BYTES, "_-.")
}

fn validate_text(
    text: &str,
    max_bytes: usize,
    punctuation: &str,
) -> Result<CompactString, IdError> {
    if text.is_empty() {
        return Err(IdError::Empty);
    }
    if text.len() > max_bytes {
        return Err(IdError::TooLong(text.len()));
    }
    let disallowed = |c: &char| !(c.is_ascii_alphanumeric() || punctuation.contains(*c));
    match text.chars().find(disallowed) {
        Some(c) => Err(IdError::Character(c)),
        None => Ok(CompactString::from(text)),
    }
}

/// Checks a name that another system has chosen. It is a single field of a line, a part of a row's key
/// and a value of a log line, but never a file name or a word of a statement.
fn validate_external(text: &str) -> Result<CompactString, IdError> {
    if text.is_empty() {
        return Err(IdError::Empty);
    }
    if text.len() > MAX_EXTERNAL_BYTES {
        return Err(IdError::ExternalTooLong(text.len()));
    }
    if text == AccountId::OPEN.as_str() {
        return Err(IdError::Reserved);
    }
    match text.chars().find(|c| c.is_whitespace() || c.is_control()) {
        Some(c) => Err(IdError::Separator(c)),
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
            /// Returns the identifier as text.
            pub fn as_str(&self) -> &str {
                self.0.as_str()
            }

            /// Accepts a name that another system has chosen, which may have other characters and be
            /// longer than one in this project's tables and settings, which `FromStr` parses.
            ///
            /// # Errors
            ///
            /// The name is empty, reserved or longer than 194 bytes, or has a blank or a control
            /// character.
            pub fn from_external(text: &str) -> Result<Self, IdError> {
                validate_external(text).map(Self)
            }
        }

        impl std::str::FromStr for $name {
            type Err = IdError;

            fn from_str(text: &str) -> Result<Self, IdError> {
                validate_id(text).map(Self)
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
    /// Id of a host, which is one process of the proxy.
    HostId;
    /// Name of a failure domain: a set of hosts and endpoints that fail together and can be cut off
    /// together.
    FailureDomain;
    /// Id of a client account, which has its own keys, rate limit and share in fair queueing.
    AccountId;
    /// Id of an endpoint: a database server that belongs to one group.
    EndpointId;
    /// Id of a database group: endpoints with one log, one primary and several replicas.
    GroupId;
    /// Name of a pool, by which rows of the routes table refer to rows of the pools table.
    PoolName;
    /// Name of a row of the routes table.
    RouteName;
    /// Database name in a caller's start-up message.
    DatabaseName;
    /// Name of a client account's key; never the secret itself.
    KeyId;
    /// Name of the person or program that edits the tables.
    EditorName;
    /// Name of a table of the platform's table service.
    TableName;
    /// Key of a row, or a prefix of keys, within one table of the table service.
    RowKey;
}

/// Longest object name in bytes.
const MAX_OBJECT_NAME_BYTES: usize = 255;

/// Name of an object in the object store, or a prefix of names; its parts are separated by `/`.
#[derive(
    Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Display, AsRef, Into, Serialize, Deserialize,
)]
#[serde(try_from = "CompactString")]
#[as_ref(str)]
pub struct ObjectName(CompactString);

impl ObjectName {
    /// Returns the name as text.
    pub fn as_str(&self) -> &str {
        self.0.as_str()
    }
}

impl std::str::FromStr for ObjectName {
    type Err = IdError;

    fn from_str(text: &str) -> Result<Self, IdError> {
        validate_text(text, MAX_OBJECT_NAME_BYTES, "_-./").map(Self)
    }
}

impl TryFrom<CompactString> for ObjectName {
    type Error = IdError;

    fn try_from(text: CompactString) -> Result<Self, IdError> {
        text.parse()
    }
}

impl AccountId {
    /// Account of open routes, written `*`. `FromStr` rejects this text, so no caller can log in
    /// with this account.
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
    /// Number of a caller's connection, unique within one host incarnation.
    SessionId(u64);
    /// Number of a caller's request, unique within one host incarnation.
    RequestId(u64);
    /// Number of a connection to an endpoint, unique within one host incarnation.
    ConnectionId(u64);
    /// Number of a prepared statement, unique within one connection to an endpoint.
    PreparedId(u64);
    /// Id of one attempt to change a row of the platform. It is stored in the row, so that the
    /// writer recognises its own write when it reads the row back.
    AttemptId(u64);
    /// Number of one run of a host process; each restart gets another number.
    Incarnation(u64);
    /// Number of a share slot: one of the equal parts into which every account's rate and burst are
    /// divided.
    ShareSlot(u32);
    /// Number of a call to the platform, unique within one worker.
    CallId(u64);
}
