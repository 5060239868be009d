//! SCRAM server: the login of a caller at a host.

use base64::engine::general_purpose::STANDARD;
use base64::Engine;
use sha2::{Digest, Sha256};
use subtle::{ConditionallySelectable, ConstantTimeEq};

use super::scram::{attribute, decode_digest, hmac, xor};
use super::verifier::{Salt, Verifier, ITERATIONS};
use super::{Nonce, ScramError};
use crate::types::KeyId;

/// Next step after a message of the caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ServerStep {
    /// Send `AuthenticationSASLContinue` with this text.
    Continue(String),
    /// Send `AuthenticationSASLFinal` with `message`; the caller has proved that it has `key`.
    Accepted {
        /// The key that the caller used.
        key: KeyId,
        /// Text of the final message.
        message: String,
    },
}

#[derive(Debug)]
enum State {
    AwaitFirst,
    AwaitFinal { gs2_header: String, nonce: String, first_messages: String },
    Done,
}

/// Server side of one SCRAM exchange.
#[derive(Debug)]
pub struct ScramServer {
    candidates: Vec<(KeyId, Verifier)>,
    salt: Salt,
    nonce: Nonce,
    state: State,
}

impl ScramServer {
    /// Starts an exchange in which the caller may prove that it has any one of the keys
    /// `candidates`.
    ///
    /// All keys of an account share one salt, because the server-first-message contains the salt
    /// before the server knows which key the caller uses; the check of the tables rejects other
    /// rows. Without candidates the exchange uses `fallback_salt` (see
    /// [`Salt::for_unknown_account`]) and fails in the last step.
    pub fn new(candidates: Vec<(KeyId, Verifier)>, fallback_salt: Salt, nonce: Nonce) -> Self {
        let salt = candidates.first().map_or(fallback_salt, |(_, verifier)| verifier.salt());
        Self { candidates, salt, nonce, state: State::AwaitFirst }
    }

    /// Takes the caller's next message. After an error the exchange is over.
    ///
    /// # Errors
    ///
    /// The message is malformed, out of order or of another exchange, uses an extension that is not
    /// supported, or no key matches.
    pub fn on_message(&mut self, text: &str) -> Result<ServerStep, ScramError> {
        match std::mem::replace(&mut self.state, State::Done) {
            State::AwaitFirst => self.on_first(text),
            State::AwaitFinal { gs2_header, nonce, first_messages } => {
                self.on_final(text, &gs2_header, &nonce, &first_messages)
            }
            State::Done => Err(ScramError::OutOfOrder),
        }
    }

    fn on_first(&mut self, text: &str) -> Result<ServerStep, ScramError> {
        let (gs2_header, client_first_bare) = split_client_first(text)?;
        let mut parts = client_first_bare.split(',');
        let user_name = parts.next();
        if user_name.is_some_and(|part| part.starts_with("m=")) {
            return Err(ScramError::Unsupported);
        }
        attribute('n', user_name)?;
        let client_nonce: Nonce = attribute('r', parts.next())?.parse()?;
        let nonce = format!("{client_nonce}{}", self.nonce);
        let server_first = format!("r={nonce},s={},i={ITERATIONS}", self.salt);
        let first_messages = format!("{client_first_bare},{server_first}");
        self.state = State::AwaitFinal { gs2_header: gs2_header.to_owned(), nonce, first_messages };
        Ok(ServerStep::Continue(server_first))
    }

    fn on_final(
        &self,
        text: &str,
        gs2_header: &str,
        nonce: &str,
        first_messages: &str,
    ) -> Result<ServerStep, ScramError> {
        let (client_final_without_proof, proof) =
            text.rsplit_once(",p=").ok_or(ScramError::Malformed)?;
        let mut parts = client_final_without_proof.split(',');
        let binding = attribute('c', parts.next())?;
        if binding != STANDARD.encode(gs2_header) || attribute('r', parts.next())? != nonce {
            return Err(ScramError::OtherExchange);
        }
        let proof = decode_digest(proof)?;
        let auth_message = format!("{first_messages},{client_final_without_proof}");
        let (key, verifier) = self.find_candidate(auth_message.as_bytes(), &proof)?;
        let signature = hmac(&verifier.server_key, auth_message.as_bytes());
        let message = format!("v={}", STANDARD.encode(signature));
        Ok(ServerStep::Accepted { key: key.clone(), message })
    }

    /// The candidate that `proof` was made with. Every candidate is tried, so that the time does
    /// not depend on which one matches. Without candidates one check runs against a dummy verifier,
    /// so that an account without keys takes as long as an account with one key.
    fn find_candidate(
        &self,
        auth_message: &[u8],
        proof: &[u8; 32],
    ) -> Result<&(KeyId, Verifier), ScramError> {
        let mut found_index = u64::MAX;
        for (index, (_, verifier)) in self.candidates.iter().enumerate() {
            let matches = proof_matches(verifier, auth_message, proof);
            found_index.conditional_assign(&(index as u64), matches);
        }
        if self.candidates.is_empty() {
            proof_matches(&Verifier::dummy(self.salt, auth_message), auth_message, proof);
        }
        let found = usize::try_from(found_index).ok().and_then(|index| self.candidates.get(index));
        found.ok_or(ScramError::WrongKey)
    }
}

fn proof_matches(verifier: &Verifier, auth_message: &[u8], proof: &[u8; 32]) -> subtle::Choice {
    let client_signature = hmac(&verifier.stored_key, auth_message);
    let client_key = xor(proof, &client_signature);
    Sha256::digest(client_key).as_slice().ct_eq(&verifier.stored_key)
}

/// Splits a client-first-message into its GS2 header (`n,,` or `y,,`) and the
/// client-first-message-bare.
fn split_client_first(text: &str) -> Result<(&str, &str), ScramError> {
    if text.starts_with("p=") {
        return Err(ScramError::Unsupported);
    }
    let mut parts = text.splitn(3, ',');
    let (flag, identity, client_first_bare) = (parts.next(), parts.next(), parts.next());
    let client_first_bare = client_first_bare.ok_or(ScramError::Malformed)?;
    match (flag, identity) {
        (Some("n" | "y"), Some("")) => {
            Ok((&text[..text.len() - client_first_bare.len()], client_first_bare))
        }
        (Some("n" | "y"), Some(_)) => Err(ScramError::Unsupported),
        _ => Err(ScramError::Malformed),
    }
}
