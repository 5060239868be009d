//! SCRAM-SHA-256 (RFC 5802, RFC 7677) as PostgreSQL uses it, and the keys of client accounts.
//!
//! This module does no I/O: [`ScramServer`] and [`ScramClient`] take the text of a message and
//! return the text of the next one. Keys are held in [`Secret`], which prints as `***`.

mod client;
mod key;
mod peer;
mod scram;
mod secret;
mod server;
mod verifier;

pub use client::ScramClient;
pub use key::{generate_key, key_id};
pub use peer::{ChannelBinding, PeerProof, ProofSide, EXPORT_LABEL};
pub use scram::{Nonce, ScramError, MECHANISM};
pub use secret::Secret;
pub use server::{ScramServer, ServerStep};
pub use verifier::{Salt, Verifier, VerifierError, ITERATIONS};
