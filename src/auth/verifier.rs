//! SCRAM verifiers, which the routes table stores instead of keys. A verifier suffices to check a
//! login, but not to log in.

use std::fmt;
use std::str::FromStr;

use base64::engine::general_purpose::STANDARD;
use base64::Engine;
use displaydoc::Display;
use rand::CryptoRng;
use sha2::{Digest, Sha256};

use super::scram::{hmac, salted_password};
use super::Secret;

/// PBKDF2 iteration count of every verifier, the default of PostgreSQL.
///
/// All accounts use the same count, because the server sends it before it has checked a key. If
/// counts differed, a caller without a key could find out whether an account exists.
pub const ITERATIONS: u32 = 4_096;

/// Length of a salt in bytes, the same as in PostgreSQL.
const SALT_BYTES: usize = 16;

/// Error of parsing a [`Verifier`] or a [`Salt`]. The messages complete the sentence "allowed is"
/// of a table fault.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum VerifierError {
    /// a verifier of the form SCRAM-SHA-256$4096:SALT$STOREDKEY:SERVERKEY with base64 parts
    Syntax,
    /// a verifier with 4096 iterations, not {0}
    Iterations(u32),
}

impl std::error::Error for VerifierError {}

/// The salt of a client account, shared by all its keys.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display)]
#[display("{}", STANDARD.encode(_0))]
pub struct Salt([u8; SALT_BYTES]);

impl Salt {
    /// Generates a salt.
    pub fn random(rng: &mut impl CryptoRng) -> Self {
        let mut bytes = [0; SALT_BYTES];
        rng.fill_bytes(&mut bytes);
        Self(bytes)
    }

    /// The salt sent for an account that has no keys or doesn't exist.
    ///
    /// It is the same for every login of an account and unpredictable without `secret`, so that a
    /// caller can't find out by one or several attempts whether the account exists. All hosts need
    /// the same `secret`.
    pub fn for_unknown_account(secret: &Secret, account: &str) -> Self {
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
    /// Derives the verifier of `key` with `salt`.
    pub fn derive(key: &Secret, salt: Salt) -> Self {
        let salted = salted_password(key, salt.as_bytes(), ITERATIONS);
        let client_key = hmac(&salted, b"Client Key");
        let stored_key = Sha256::digest(client_key).into();
        Self { salt, stored_key, server_key: hmac(&salted, b"Server Key") }
    }

    /// A dummy verifier that no known key matches: its stored key is a pseudorandom value derived
    /// from `seed`, not the digest of a client key.
    pub(super) fn dummy(salt: Salt, seed: &[u8]) -> Self {
        let stored_key = hmac(salt.as_bytes(), seed);
        Self { salt, stored_key, server_key: stored_key }
    }

    /// The salt, which the server-first-message contains.
    pub fn salt(&self) -> Salt {
        self.salt
    }

    /// Eight hexadecimal digits of a digest of the stored key, part of the key id.
    pub fn fingerprint(&self) -> String {
        let digest = Sha256::digest(self.stored_key);
        digest[..4].iter().map(|byte| format!("{byte:02x}")).collect()
    }

    /// The verifier in PostgreSQL's text form, as the routes table stores it.
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
        let rest = text.strip_prefix("SCRAM-SHA-256$").ok_or(VerifierError::Syntax)?;
        let (parameters, keys) = rest.split_once('$').ok_or(VerifierError::Syntax)?;
        let (iterations, salt) = parameters.split_once(':').ok_or(VerifierError::Syntax)?;
        let (stored_key, server_key) = keys.split_once(':').ok_or(VerifierError::Syntax)?;
        match iterations.parse() {
            Ok(ITERATIONS) => {}
            Ok(other) => return Err(VerifierError::Iterations(other)),
            Err(_) => return Err(VerifierError::Syntax),
        }
        let salt = salt.parse()?;
        Ok(Self { salt, stored_key: decode(stored_key)?, server_key: decode(server_key)? })
    }
}

fn decode<const N: usize>(text: &str) -> Result<[u8; N], VerifierError> {
    let bytes = STANDARD.decode(text).map_err(|_| VerifierError::Syntax)?;
    bytes.try_into().map_err(|_| VerifierError::Syntax)
}
