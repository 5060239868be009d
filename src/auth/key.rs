//! Keys of client accounts.

use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use base64::Engine;
use rand::CryptoRng;

use super::{Secret, Verifier};
use crate::types::{IdError, KeyId};

/// Length of a key in bytes.
const KEY_BYTES: usize = 32;

/// Generates a key: 32 random bytes in base64url, which needs no escaping in connection strings.
pub fn generate_key(rng: &mut impl CryptoRng) -> Secret {
    let mut bytes = [0; KEY_BYTES];
    rng.fill_bytes(&mut bytes);
    Secret::new(URL_SAFE_NO_PAD.encode(bytes))
}

/// The id of a key: the operator's label, a dot and the verifier's fingerprint.
///
/// Sessions are checked against the routes table by key id alone. If an operator withdraws a key
/// and issues another one under the same label, a host may skip the table version in between. The
/// fingerprint makes the ids differ, so that the sessions of the withdrawn key still lose access.
///
/// # Errors
///
/// The label has characters that an identifier may not have, or the id would be too long.
pub fn key_id(label: &str, verifier: &Verifier) -> Result<KeyId, IdError> {
    format!("{label}.{}", verifier.fingerprint()).parse()
}
