//! Metrics of a host, sent to a statsd server.
//!
//! Metrics are sent over a non-blocking UDP socket. While the server is unreachable they are lost,
//! without any delay for the host.

use std::net::{SocketAddr, UdpSocket};

use cadence::{Counted, Gauged, StatsdClient, UdpMetricSink};

use crate::core::broker::{Broker, Outcome};

/// Prefix of all metric names.
const PREFIX: &str = "medlarstile";

/// Sends the metrics of one host. Without a configured server it does nothing.
pub struct Metrics {
    client: Option<StatsdClient>,
}

impl Metrics {
    /// Creates a sender of metrics to `server`.
    ///
    /// # Errors
    ///
    /// The UDP socket could not be opened.
    pub fn new(server: Option<SocketAddr>) -> std::io::Result<Self> {
        let Some(server) = server else { return Ok(Self { client: None }) };
        let unspecified = if server.is_ipv4() { "0.0.0.0:0" } else { "[::]:0" };
        let socket = UdpSocket::bind(unspecified)?;
        socket.set_nonblocking(true)?;
        let sink = UdpMetricSink::from(server, socket)
            .map_err(|error| std::io::Error::other(error.to_string()))?;
        Ok(Self { client: Some(StatsdClient::from_sink(PREFIX, sink)) })
    }

    /// Counts a request that ended, as `requests.released` or `requests.failed.<SQLSTATE>`.
    pub fn request_ended(&self, outcome: &Outcome) {
        let Some(client) = &self.client else { return };
        let sent = match outcome {
            Outcome::Release { .. } => client.count("requests.released", 1),
            Outcome::Fail(error) => {
                client.count(&format!("requests.failed.{}", error.kind.answer().sqlstate), 1)
            }
        };
        if let Err(error) = sent {
            tracing::debug!("host: could not send a metric: {error}");
        }
    }

    /// Sends the number of sessions, and the number of waiting requests of each group.
    pub fn report(&self, broker: &Broker) {
        let Some(client) = &self.client else { return };
        let sessions = client.gauge("sessions", broker.session_count() as u64);
        let groups = broker.groups().map(|(group, state)| {
            client.gauge(&format!("groups.{group}.waiting"), state.waiting() as u64)
        });
        for error in std::iter::once(sessions).chain(groups).filter_map(Result::err) {
            tracing::debug!("host: could not send a metric: {error}");
        }
    }
}
