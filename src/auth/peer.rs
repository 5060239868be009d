//! Proof between hosts that both know the fleet's secret.
//!
//! The proof is an HMAC over key material that both ends of one TLS connection derive. A host in
//! the middle has two connections with different key material and can't pass a proof on. The side
//! that dials proves first, so that nobody gets a proof to guess the secret from by dialing.

use hmac::{Hmac, Mac};
use sha2::Sha256;

use super::Secret;

/// Bytes of a proof.
const PROOF_BYTES: usize = 32;

/// Label of the key material, so that no other use of the connection yields the same bytes.
pub const EXPORT_LABEL: &[u8] = b"EXPORTER-medlarstile-peer";

/// Key material of one TLS connection.
pub type ChannelBinding = [u8; 32];

/// Which side of a connection a proof is made by. The sides differ, so that a proof can't be sent
/// back to its maker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProofSide {
    /// The host that dialed.
    Dialer,
    /// The host that was dialed.
    Acceptor,
}

/// What one side proves with.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PeerProof(pub [u8; PROOF_BYTES]);

impl PeerProof {
    /// The proof of `side` over the texts that it says about itself.
    pub fn make(
        secret: &Secret,
        binding: &ChannelBinding,
        side: ProofSide,
        said: &[&str],
    ) -> PeerProof {
        PeerProof(mac(secret, binding, side, said).finalize().into_bytes().into())
    }

    /// Whether the proof is right; takes the same time for every wrong proof.
    pub fn holds(
        &self,
        secret: &Secret,
        binding: &ChannelBinding,
        side: ProofSide,
        said: &[&str],
    ) -> bool {
        mac(secret, binding, side, said).verify_slice(&self.0).is_ok()
    }
}

fn mac(secret: &Secret, binding: &ChannelBinding, side: ProofSide, said: &[&str]) -> Hmac<Sha256> {
    let key = secret.expose().as_bytes();
    let mut mac = Hmac::<Sha256>::new_from_slice(key).expect("HMAC takes keys of any length");
    mac.update(binding);
    mac.update(match side {
        ProofSide::Dialer => b"dialer",
        ProofSide::Acceptor => b"acceptor",
    });
    for text in said {
        // The length keeps two texts apart.
        mac.update(&u64::try_from(text.len()).unwrap_or(u64::MAX).to_be_bytes());
        mac.update(text.as_bytes());
    }
    mac
}
