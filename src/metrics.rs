//! Metrics of a host for a statsd server, through `cadence`.
//!
//! Metrics are sent over a non-blocking UDP socket; a server that is away costs nothing and what
//! is sent meanwhile is lost.

use std::net::{SocketAddr, UdpSocket};

use cadence::{Counted, Gauged, StatsdClient, UdpMetricSink};

use crate::core::broker::{Broker, Outcome};

/// Prefix of every metric.
const PREFIX: &str = "medlarstile";

/// Sender of the metrics of one host; without a server it does nothing.
pub struct Metrics {
    client: Option<StatsdClient>,
}

impl Metrics {
    /// Sends to `server` from now on.
    ///
    /// # Errors
    ///
    /// The system refused a UDP socket.
    pub fn new(server: Option<SocketAddr>) -> std::io::Result<Self> {
        let Some(server) = server else { return Ok(Self { client: None }) };
        let any = if server.is_ipv4() { "0.0.0.0:0" } else { "[::]:0" };
        let socket = UdpSocket::bind(any)?;
        socket.set_nonblocking(true)?;
        let sink = UdpMetricSink::from(server, socket)
            .map_err(|error| std::io::Error::other(error.to_string()))?;
        Ok(Self { client: Some(StatsdClient::from_sink(PREFIX, sink)) })
    }

    /// Counts the end of a request: `requests.released`, or `requests.failed` with the kind's
    /// SQLSTATE behind it.
    pub fn request_ended(&self, outcome: &Outcome) {
        let Some(client) = &self.client else { return };
        let sent = match outcome {
            Outcome::Release { .. } => client.count("requests.released", 1),
            Outcome::Fail(error) => {
                client.count(&format!("requests.failed.{}", error.kind.answer().sqlstate), 1)
            }
        };
        if let Err(error) = sent {
            tracing::debug!("host: a metric was not sent: {error}");
        }
    }

    /// Reports the sessions, and for each group the requests that wait.
    pub fn report(&self, broker: &Broker) {
        let Some(client) = &self.client else { return };
        let sessions = client.gauge("sessions", broker.session_count() as u64);
        let groups = broker.groups().map(|(group, state)| {
            client.gauge(&format!("groups.{group}.waiting"), state.waiting() as u64)
        });
        for error in std::iter::once(sessions).chain(groups).filter_map(Result::err) {
            tracing::debug!("host: a metric was not sent: {error}");
        }
    }
}
