//! Keys of client accounts.

use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use base64::Engine;
use rand::CryptoRng;

use super::{Secret, Verifier};
use crate::types::{IdError, KeyId};

/// Length of a key in bytes.
const KEY_BYTES: usize = 32;

/// A new key: 32 random bytes in base64url, which needs no escaping in connection strings.
pub fn generate_key(rng: &mut impl CryptoRng) -> Secret {
    let mut bytes = [0; KEY_BYTES];
    rng.fill_bytes(&mut bytes);
    Secret::new(URL_SAFE_NO_PAD.encode(bytes))
}

/// The id of a key: the operator's label, a dot and the verifier's fingerprint.
///
/// Sessions are checked against the table by key id alone. With the fingerprint in the id, a label
/// that is withdrawn and issued again never revives the sessions of the withdrawn key, also on a
/// host that skips the version in between.
///
/// # Errors
///
/// The label is not an identifier, or too long for the fingerprint to fit.
pub fn key_id(label: &str, verifier: &Verifier) -> Result<KeyId, IdError> {
    format!("{label}.{}", verifier.fingerprint()).parse()
}
