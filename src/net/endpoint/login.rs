//! Login of the host at an endpoint.

use bytes::Bytes;
use compact_str::CompactString;
use rand::SeedableRng;
use rand_chacha::ChaCha20Rng;
use stakker::CX;

use super::EndpointConnection;
use crate::auth::{Nonce, ScramClient};
use crate::error::{Error, ErrorKind};
use crate::wire::pg::{self, AuthRequest};

impl EndpointConnection {
    pub(super) fn send_startup(&mut self, cx: CX![]) {
        let parameters = [
            ("user", self.target.credentials.user.as_str()),
            ("database", self.target.database.as_str()),
            ("application_name", "medlarstile"),
            ("client_encoding", "UTF8"),
        ];
        pg::put_startup(&mut self.stream.output, &parameters);
        self.send(cx);
    }

    pub(super) fn answer_auth(&mut self, cx: CX![]) {
        let Some(request) = self.pending_auth.take() else { return };
        let result = self.put_auth_answer(request);
        match result {
            Ok(()) => self.send(cx),
            Err(error) => self.connection_lost(cx, error.to_string()),
        }
    }

    /// Appends the answer to an authentication request to the output.
    pub(super) fn put_auth_answer(&mut self, request: AuthRequest) -> Result<(), Error> {
        let credentials = &self.target.credentials;
        match request {
            AuthRequest::Ok => Ok(()),
            AuthRequest::CleartextPassword => {
                pg::put_password(&mut self.stream.output, credentials.password.expose());
                Ok(())
            }
            AuthRequest::Sasl(_) => {
                let nonce = Nonce::random(&mut ChaCha20Rng::from_os_rng());
                let client = ScramClient::new("", credentials.password.clone(), nonce)?;
                pg::put_sasl_initial(&mut self.stream.output, client.first().as_bytes());
                self.scram = Some(client);
                Ok(())
            }
            AuthRequest::SaslContinue(data) => {
                let client = self.scram.as_mut().ok_or_else(unexpected_auth)?;
                let answer = client.on_continue(&text(&data)?)?;
                pg::put_sasl_response(&mut self.stream.output, answer.as_bytes());
                Ok(())
            }
            AuthRequest::SaslFinal(data) => {
                let mut client = self.scram.take().ok_or_else(unexpected_auth)?;
                Ok(client.on_final(&text(&data)?)?)
            }
            AuthRequest::Other => Err(unexpected_auth()),
        }
    }
}

fn text(data: &Bytes) -> Result<CompactString, Error> {
    let text = std::str::from_utf8(data);
    let malformed = |_| Error::new(ErrorKind::BadMessage, "SASL message is not UTF-8");
    text.map(CompactString::from).map_err(malformed)
}

fn unexpected_auth() -> Error {
    Error::new(ErrorKind::BadMessage, "the endpoint sent an unsupported authentication request")
}
