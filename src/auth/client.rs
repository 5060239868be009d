//! SCRAM client: the login of a host at an endpoint.

use base64::engine::general_purpose::STANDARD;
use base64::Engine;
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

use super::scram::{attribute, decode_digest, hmac, salted_password, xor};
use super::verifier::ITERATIONS;
use super::{Nonce, ScramError, Secret};

/// Largest iteration count that an endpoint may ask for. It takes about 50 ms of the host's single
/// thread.
const MAX_ITERATIONS: u32 = 100_000;

#[derive(Debug)]
enum State {
    AwaitFirst,
    AwaitFinal { server_signature: Secret },
    Done,
}

/// Client side of one SCRAM exchange.
#[derive(Debug)]
pub struct ScramClient {
    password: Secret,
    nonce: Nonce,
    client_first_bare: String,
    state: State,
}

impl ScramClient {
    /// Starts an exchange for `user`, which may be empty because PostgreSQL uses the name of the
    /// start-up message.
    ///
    /// # Errors
    ///
    /// The password has characters outside printable ASCII.
    pub fn new(user: &str, password: Secret, nonce: Nonce) -> Result<Self, ScramError> {
        let printable = |c: char| c.is_ascii_graphic() || c == ' ';
        if !password.expose().chars().all(printable) {
            return Err(ScramError::UnsupportedPassword);
        }
        let user = user.replace('=', "=3D").replace(',', "=2C");
        let client_first_bare = format!("n={user},r={nonce}");
        Ok(Self { password, nonce, client_first_bare, state: State::AwaitFirst })
    }

    /// The client-first-message, sent as `SASLInitialResponse`.
    pub fn first(&self) -> String {
        format!("n,,{}", self.client_first_bare)
    }

    /// Takes the text of `AuthenticationSASLContinue` and returns the `SASLResponse`.
    ///
    /// # Errors
    ///
    /// The message is malformed, out of order or of another exchange, or asks for an iteration
    /// count that is not supported.
    pub fn on_continue(&mut self, text: &str) -> Result<String, ScramError> {
        if !matches!(self.state, State::AwaitFirst) {
            return Err(ScramError::OutOfOrder);
        }
        self.state = State::Done;
        let mut parts = text.split(',');
        let nonce = attribute('r', parts.next())?;
        if !nonce.starts_with(self.nonce.as_str()) || nonce.len() == self.nonce.as_str().len() {
            return Err(ScramError::OtherExchange);
        }
        let salt = STANDARD.decode(attribute('s', parts.next())?);
        let salt = salt.map_err(|_| ScramError::Malformed)?;
        let iterations = attribute('i', parts.next())?.parse();
        let iterations = iterations.map_err(|_| ScramError::Malformed)?;
        if !(ITERATIONS..=MAX_ITERATIONS).contains(&iterations) {
            return Err(ScramError::Iterations(iterations));
        }
        let client_final_without_proof = format!("c=biws,r={nonce}");
        let auth_message =
            format!("{},{text},{client_final_without_proof}", self.client_first_bare);
        let salted_password = salted_password(&self.password, &salt, iterations);
        let client_key = hmac(&salted_password, b"Client Key");
        let stored_key: [u8; 32] = Sha256::digest(client_key).into();
        let proof = xor(&client_key, &hmac(&stored_key, auth_message.as_bytes()));
        let server_signature =
            hmac(&hmac(&salted_password, b"Server Key"), auth_message.as_bytes());
        self.state =
            State::AwaitFinal { server_signature: Secret::new(STANDARD.encode(server_signature)) };
        Ok(format!("{client_final_without_proof},p={}", STANDARD.encode(proof)))
    }

    /// Takes the text of `AuthenticationSASLFinal`; `Ok` means that the server has proved that it
    /// knows the password.
    ///
    /// # Errors
    ///
    /// The message is malformed or out of order, the server refused the login, or its signature
    /// does not match.
    pub fn on_final(&mut self, text: &str) -> Result<(), ScramError> {
        let State::AwaitFinal { server_signature } =
            std::mem::replace(&mut self.state, State::Done)
        else {
            return Err(ScramError::OutOfOrder);
        };
        if text.starts_with("e=") {
            return Err(ScramError::RefusedByServer);
        }
        let presented = decode_digest(attribute('v', text.split(',').next())?)?;
        let expected = decode_digest(server_signature.expose())?;
        if bool::from(presented.ct_eq(&expected)) {
            Ok(())
        } else {
            Err(ScramError::WrongServerSignature)
        }
    }
}
