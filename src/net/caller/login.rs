//! Login of a caller: start-up packets, TLS and the SCRAM exchange.

use stakker::CX;

use super::message::{startup_request, CallerInput};
use super::Caller;
use crate::auth::ServerStep;
use crate::error::{Error, ErrorKind};
use crate::wire::pg::{self, FirstPacket, Frame};

impl Caller {
    /// Handles the next packet before login; `false` if it is incomplete.
    pub(super) fn read_first_packet(&mut self, cx: CX![]) -> Result<bool, Error> {
        match pg::next_first_packet(&mut self.stream.input)? {
            None => return Ok(false),
            Some(FirstPacket::SslRequest) => self.fire(cx, CallerInput::SslRequest),
            Some(FirstPacket::GssRequest) => {
                self.stream.output.extend_from_slice(b"N");
                self.send(cx);
            }
            Some(FirstPacket::Cancel(key)) => {
                self.cancel_key = Some(key);
                self.fire(cx, CallerInput::CancelRequest);
            }
            Some(FirstPacket::Startup(parameters)) => {
                self.startup_message = Some(startup_request(&parameters)?);
                self.fire(cx, CallerInput::Startup);
            }
        }
        Ok(true)
    }

    /// Reads the next SASL message; `false` if it is incomplete.
    pub(super) fn read_sasl_frame(&mut self, cx: CX![]) -> Result<bool, Error> {
        let limit = self.options.max_message_bytes;
        let Some(frame) = pg::next_frame(&mut self.stream.input, limit)? else { return Ok(false) };
        if frame.tag != b'p' {
            let detail =
                format!("unexpected message type {:?} during login", char::from(frame.tag));
            return Err(Error::new(ErrorKind::BadMessage, detail));
        }
        self.sasl_frame = Some(frame);
        self.fire(cx, CallerInput::SaslMessage);
        Ok(true)
    }

    /// Accepts TLS if it is configured and not in use yet.
    pub(super) fn answer_ssl(&mut self, cx: CX![]) {
        let Some(config) = self.options.tls.clone().filter(|_| !self.stream.is_tls()) else {
            self.stream.output.extend_from_slice(b"N");
            return self.send(cx);
        };
        self.stream.output.extend_from_slice(b"S");
        self.send(cx);
        if let Err(error) = self.stream.start_tls(&config) {
            self.connection_lost(cx, &error.to_string());
        }
    }

    /// Runs one step of the SCRAM exchange and sends its answer.
    pub(super) fn check_sasl_message(&mut self, cx: CX![]) {
        let Some(frame) = self.sasl_frame.take() else { return };
        match self.scram_step(&frame) {
            Ok(ServerStep::Continue(text)) => {
                pg::put_sasl_continue(&mut self.stream.output, text.as_bytes());
                self.send(cx);
            }
            Ok(ServerStep::Accepted { key, message }) => {
                pg::put_sasl_final(&mut self.stream.output, message.as_bytes());
                self.proven_key = Some(key);
                self.scram = None;
                self.fire(cx, CallerInput::Authenticated);
            }
            Err(error) => {
                tracing::info!(
                    "caller: login of {} from {} failed",
                    self.session,
                    self.peer_address
                );
                self.fail(cx, error);
            }
        }
    }

    pub(super) fn scram_step(&mut self, frame: &Frame) -> Result<ServerStep, Error> {
        let unexpected = || Error::new(ErrorKind::BadMessage, "unexpected SASL message");
        let scram = self.scram.as_mut().ok_or_else(unexpected)?;
        let data = if self.sasl_started {
            pg::sasl_response(frame)?
        } else {
            self.sasl_started = true;
            let (mechanism, data) = pg::sasl_initial(frame)?;
            if mechanism != pg::SCRAM_MECHANISM {
                let detail = format!("SASL mechanism {mechanism:?} was not offered");
                return Err(Error::new(ErrorKind::BadMessage, detail));
            }
            data
        };
        let text = std::str::from_utf8(&data);
        let text =
            text.map_err(|_| Error::new(ErrorKind::BadMessage, "SASL message is not UTF-8"))?;
        Ok(scram.on_message(text)?)
    }
}
