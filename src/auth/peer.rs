//! Mutual authentication of hosts by the fleet's shared secret.
//!
//! Each side sends an HMAC over key material that both ends of the TLS connection export. An
//! attacker in the middle has two connections with different key material, so it can't relay a
//! proof. The dialing side sends its proof first: otherwise anyone could dial a host, receive a
//! proof and use it to guess the secret offline.

use hmac::{Hmac, Mac};
use sha2::Sha256;

use super::Secret;

/// Length of a proof in bytes.
const PROOF_BYTES: usize = 32;

/// Label of the TLS keying material exporter (RFC 5705). It is specific to this protocol, so that
/// no other use of the connection exports the same bytes.
pub const EXPORT_LABEL: &[u8] = b"EXPORTER-medlarstile-peer";

/// Key material exported from one TLS connection.
pub type ChannelBinding = [u8; 32];

/// Which side of a connection makes a proof. It is part of the HMAC input, so that a proof can't be
/// reflected to its sender.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProofSide {
    /// The host that dialed.
    Dialer,
    /// The host that was dialed.
    Acceptor,
}

/// Proof by one side that it knows the fleet's secret: an HMAC-SHA-256.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PeerProof(pub [u8; PROOF_BYTES]);

impl PeerProof {
    /// Computes the proof of `side` over the claims that it makes about itself.
    pub fn compute(
        secret: &Secret,
        binding: &ChannelBinding,
        side: ProofSide,
        claims: &[&str],
    ) -> PeerProof {
        PeerProof(compute_mac(secret, binding, side, claims).finalize().into_bytes().into())
    }

    /// Whether the proof matches; compares in constant time.
    pub fn verify(
        &self,
        secret: &Secret,
        binding: &ChannelBinding,
        side: ProofSide,
        claims: &[&str],
    ) -> bool {
        compute_mac(secret, binding, side, claims).verify_slice(&self.0).is_ok()
    }
}

fn compute_mac(
    secret: &Secret,
    binding: &ChannelBinding,
    side: ProofSide,
    claims: &[&str],
) -> Hmac<Sha256> {
    let key = secret.expose().as_bytes();
    let mut mac = Hmac::<Sha256>::new_from_slice(key).expect("HMAC takes keys of any length");
    mac.update(binding);
    mac.update(match side {
        ProofSide::Dialer => b"dialer",
        ProofSide::Acceptor => b"acceptor",
    });
    for claim in claims {
        // The length prefix makes the boundaries between claims unambiguous.
        mac.update(&u64::try_from(claim.len()).unwrap_or(u64::MAX).to_be_bytes());
        mac.update(claim.as_bytes());
    }
    mac
}
