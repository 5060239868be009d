//! What the routes table stores of a key: enough to check a login, not enough to log in.

use std::fmt;
use std::str::FromStr;

use base64::engine::general_purpose::STANDARD;
use base64::Engine;
use displaydoc::Display;
use rand::CryptoRng;
use sha2::{Digest, Sha256};

use super::scram::{hmac, salted_password};
use super::Secret;

/// PBKDF2 iterations of every verifier, PostgreSQL's default.
///
/// One count for all accounts, because a first message with another count would tell a caller
/// without a key whether an account exists.
pub const ITERATIONS: u32 = 4_096;

/// Salt length in bytes, PostgreSQL's length.
const SALT_BYTES: usize = 16;

/// Why a text is not a verifier.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum VerifierError {
    /// a verifier is written SCRAM-SHA-256$4096:SALT$STOREDKEY:SERVERKEY with base64 parts
    Shape,
    /// verifier has {0} iterations, 4096 are required
    Iterations(u32),
}

impl std::error::Error for VerifierError {}

/// The salt of a client account, shared by all its keys.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display)]
#[display("{}", STANDARD.encode(_0))]
pub struct Salt([u8; SALT_BYTES]);

impl Salt {
    /// A fresh salt.
    pub fn random(rng: &mut impl CryptoRng) -> Self {
        let mut bytes = [0; SALT_BYTES];
        rng.fill_bytes(&mut bytes);
        Self(bytes)
    }

    /// The salt that an account without keys is answered with.
    ///
    /// It is stable per account and unpredictable without `secret`, so that neither one nor several
    /// attempts show whether the account exists. All hosts need the same `secret`.
    pub fn for_unknown(secret: &Secret, account: &str) -> Self {
        let digest = hmac(secret.expose().as_bytes(), account.as_bytes());
        let mut bytes = [0; SALT_BYTES];
        bytes.copy_from_slice(&digest[..SALT_BYTES]);
        Self(bytes)
    }

    /// The bytes of the salt.
    pub fn as_bytes(&self) -> &[u8] {
        &self.0
    }
}

impl FromStr for Salt {
    type Err = VerifierError;

    fn from_str(text: &str) -> Result<Self, VerifierError> {
        decode(text).map(Self)
    }
}

/// A SCRAM-SHA-256 verifier; `Debug` hides its keys.
#[derive(Clone, PartialEq, Eq)]
pub struct Verifier {
    salt: Salt,
    pub(super) stored_key: [u8; 32],
    pub(super) server_key: [u8; 32],
}

impl Verifier {
    /// The verifier of `key` under `salt`.
    pub fn derive(key: &Secret, salt: Salt) -> Self {
        let salted = salted_password(key, salt.as_bytes(), ITERATIONS);
        let client_key = hmac(&salted, b"Client Key");
        let stored_key = Sha256::digest(client_key).into();
        Self { salt, stored_key, server_key: hmac(&salted, b"Server Key") }
    }

    /// A verifier that no key matches: its stored key is random, not a digest of a known key.
    pub(super) fn unmatched(salt: Salt, seed: &[u8]) -> Self {
        let stored_key = hmac(salt.as_bytes(), seed);
        Self { salt, stored_key, server_key: stored_key }
    }

    /// The salt of the first server message.
    pub fn salt(&self) -> Salt {
        self.salt
    }

    /// Eight hexadecimal digits that differ between keys, part of the key id.
    pub fn fingerprint(&self) -> String {
        let digest = Sha256::digest(self.stored_key);
        digest[..4].iter().map(|byte| format!("{byte:02x}")).collect()
    }

    /// PostgreSQL's text form, for the routes table.
    pub fn text(&self) -> Secret {
        let stored = STANDARD.encode(self.stored_key);
        let server = STANDARD.encode(self.server_key);
        Secret::new(format!("SCRAM-SHA-256${ITERATIONS}:{}${stored}:{server}", self.salt))
    }
}

impl fmt::Debug for Verifier {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Verifier(***)")
    }
}

impl FromStr for Verifier {
    type Err = VerifierError;

    fn from_str(text: &str) -> Result<Self, VerifierError> {
        let rest = text.strip_prefix("SCRAM-SHA-256$").ok_or(VerifierError::Shape)?;
        let (parameters, keys) = rest.split_once('$').ok_or(VerifierError::Shape)?;
        let (iterations, salt) = parameters.split_once(':').ok_or(VerifierError::Shape)?;
        let (stored, server) = keys.split_once(':').ok_or(VerifierError::Shape)?;
        match iterations.parse() {
            Ok(ITERATIONS) => {}
            Ok(other) => return Err(VerifierError::Iterations(other)),
            Err(_) => return Err(VerifierError::Shape),
        }
        let salt = salt.parse()?;
        Ok(Self { salt, stored_key: decode(stored)?, server_key: decode(server)? })
    }
}

fn decode<const N: usize>(text: &str) -> Result<[u8; N], VerifierError> {
    let bytes = STANDARD.decode(text).map_err(|_| VerifierError::Shape)?;
    bytes.try_into().map_err(|_| VerifierError::Shape)
}
