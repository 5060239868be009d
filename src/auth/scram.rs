//! Types and functions that both sides of the SCRAM exchange use.

use std::str::FromStr;

use base64::engine::general_purpose::STANDARD;
use base64::Engine;
use compact_str::CompactString;
use displaydoc::Display;
use hmac::{Hmac, Mac};
use rand::CryptoRng;
use sha2::Sha256;

use super::Secret;
use crate::error::{Error, ErrorKind};

/// The SASL mechanism that hosts offer; the variant with channel binding is not offered.
pub const MECHANISM: &str = "SCRAM-SHA-256";

/// Number of random bytes in a nonce, the same as in libpq.
const NONCE_BYTES: usize = 18;

/// Why an exchange failed. No variant contains a key, proof or nonce.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum ScramError {
    /// SCRAM message is malformed
    Malformed,
    /// SCRAM message arrived out of order
    OutOfOrder,
    /// channel binding, authorization identities and mandatory extensions are not supported
    Unsupported,
    /// SCRAM nonce or header does not belong to this exchange
    OtherExchange,
    /// no key of the client account matches
    WrongKey,
    /// server asks for {0} iterations; 4096 to 100000 are allowed
    Iterations(u32),
    /// server failed to prove that it knows the password
    WrongServerSignature,
    /// server ended the exchange with an error
    RefusedByServer,
    /// password has characters outside printable ASCII, which need SASLprep and are not supported
    UnsupportedPassword,
}

impl std::error::Error for ScramError {}

impl ScramError {
    /// Kind of the error that the caller gets.
    pub fn kind(&self) -> ErrorKind {
        match self {
            ScramError::WrongKey => ErrorKind::WrongKey,
            ScramError::Unsupported => ErrorKind::FeatureNotSupported,
            _ => ErrorKind::BadMessage,
        }
    }
}

impl From<ScramError> for Error {
    fn from(error: ScramError) -> Error {
        Error::new(error.kind(), compact_str::format_compact!("{error}"))
    }
}

/// Client or server part of the nonce of an exchange: printable ASCII without commas.
#[derive(Debug, Clone, PartialEq, Eq, derive_more::Display)]
pub struct Nonce(CompactString);

impl Nonce {
    /// Generates a nonce.
    pub fn random(rng: &mut impl CryptoRng) -> Self {
        let mut bytes = [0; NONCE_BYTES];
        rng.fill_bytes(&mut bytes);
        Self(STANDARD.encode(bytes).into())
    }

    /// The nonce as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl FromStr for Nonce {
    type Err = ScramError;

    fn from_str(text: &str) -> Result<Self, ScramError> {
        let allowed = |c: char| c.is_ascii_graphic() && c != ',';
        if text.is_empty() || !text.chars().all(allowed) {
            return Err(ScramError::Malformed);
        }
        Ok(Self(text.into()))
    }
}

/// HMAC-SHA-256 of `message` with `key`.
pub(super) fn hmac(key: &[u8], message: &[u8]) -> [u8; 32] {
    let mut mac = Hmac::<Sha256>::new_from_slice(key).expect("HMAC takes keys of any length");
    mac.update(message);
    mac.finalize().into_bytes().into()
}

/// `Hi(password, salt, iterations)` of RFC 5802, which is PBKDF2.
pub(super) fn salted_password(password: &Secret, salt: &[u8], iterations: u32) -> [u8; 32] {
    let password = password.expose().as_bytes();
    pbkdf2::pbkdf2_hmac_array::<Sha256, 32>(password, salt, iterations)
}

/// Bitwise exclusive or of two digests.
pub(super) fn xor(left: &[u8; 32], right: &[u8; 32]) -> [u8; 32] {
    std::array::from_fn(|i| left[i] ^ right[i])
}

/// The value of the attribute `name` in `text`, for example `abc` of `r` in `r=abc`.
pub(super) fn attribute(name: char, text: Option<&str>) -> Result<&str, ScramError> {
    let value = text.and_then(|text| text.strip_prefix(name)?.strip_prefix('='));
    value.ok_or(ScramError::Malformed)
}

/// Decodes base64 of exactly 32 bytes.
pub(super) fn decode_digest(text: &str) -> Result<[u8; 32], ScramError> {
    let bytes = STANDARD.decode(text).map_err(|_| ScramError::Malformed)?;
    bytes.try_into().map_err(|_| ScramError::Malformed)
}
