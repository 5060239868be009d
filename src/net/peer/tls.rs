//! TLS and QUIC settings of the connections between hosts.
//!
//! Each host creates a self-signed certificate when it starts. The certificate does not identify
//! the host: a peer is authenticated by its proof over the connection's key material, see
//! `auth/peer.rs`. The signature in the handshake is verified, so the key material is shared only
//! with the holder of the certificate's private key.

use std::sync::Arc;
use std::time::Duration;

use quinn_proto::crypto::rustls::{QuicClientConfig, QuicServerConfig};
use quinn_proto::{ClientConfig, IdleTimeout, ServerConfig, TransportConfig, VarInt};
use rustls::client::danger::{HandshakeSignatureValid, ServerCertVerified, ServerCertVerifier};
use rustls::crypto::{verify_tls12_signature, verify_tls13_signature, CryptoProvider};
use rustls::pki_types::{CertificateDer, PrivateKeyDer, PrivatePkcs8KeyDer, ServerName, UnixTime};
use rustls::{DigitallySignedStruct, Error, SignatureScheme};

/// Server name in the certificates; no host verifies it.
pub(super) const SERVER_NAME: &str = "medlarstile";

/// ALPN protocol with its version, so that hosts with different versions don't connect.
const ALPN: &[u8] = b"medlarstile-peer/1";

/// A connection without a datagram for this time is lost. Open peers send requests to each other
/// every 500 ms, so a working connection is never idle that long.
const IDLE_TIMEOUT_MS: u32 = 2_000;

/// Initial estimate of the round-trip time; it determines how soon a lost first datagram is sent
/// again. The latency between failure domains is up to 1.5 ms.
const INITIAL_RTT: Duration = Duration::from_millis(20);

/// QUIC settings for outgoing and incoming connections.
pub(super) struct QuicConfigs {
    pub client: ClientConfig,
    pub server: Arc<ServerConfig>,
}

/// Creates a self-signed certificate and the QUIC settings that use it.
///
/// # Errors
///
/// The error of the library that creates the certificate or of the one that rejects it.
pub(super) fn quic_configs() -> Result<QuicConfigs, String> {
    let subject_names = vec![SERVER_NAME.to_owned()];
    let certified_key =
        rcgen::generate_simple_self_signed(subject_names).map_err(|error| error.to_string())?;
    let key =
        PrivateKeyDer::from(PrivatePkcs8KeyDer::from(certified_key.signing_key.serialize_der()));
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let transport = Arc::new(transport());
    let server = server_tls(&provider, certified_key.cert.der().clone(), key)
        .map_err(|error| error.to_string())?;
    let server = QuicServerConfig::try_from(server).map_err(|error| error.to_string())?;
    let mut server = ServerConfig::with_crypto(Arc::new(server));
    server.transport_config(Arc::clone(&transport));
    server.migration(false);
    let client = client_tls(&provider).map_err(|error| error.to_string())?;
    let client = QuicClientConfig::try_from(client).map_err(|error| error.to_string())?;
    let mut client = ClientConfig::new(Arc::new(client));
    client.transport_config(transport);
    Ok(QuicConfigs { client, server: Arc::new(server) })
}

fn transport() -> TransportConfig {
    let mut transport = TransportConfig::default();
    transport
        .max_idle_timeout(Some(IdleTimeout::from(VarInt::from_u32(IDLE_TIMEOUT_MS))))
        .initial_rtt(INITIAL_RTT)
        // Each side opens one stream and sends everything on it, in order.
        .max_concurrent_bidi_streams(VarInt::from_u32(1))
        .max_concurrent_uni_streams(VarInt::from_u32(0))
        .datagram_receive_buffer_size(None)
        // One datagram per system call: the rate of datagrams is too low to gain from batches.
        .enable_segmentation_offload(false);
    transport
}

fn server_tls(
    provider: &Arc<CryptoProvider>,
    certificate: CertificateDer<'static>,
    key: PrivateKeyDer<'static>,
) -> Result<rustls::ServerConfig, Error> {
    let mut config = rustls::ServerConfig::builder_with_provider(Arc::clone(provider))
        .with_protocol_versions(&[&rustls::version::TLS13])?
        .with_no_client_auth()
        .with_single_cert(vec![certificate], key)?;
    config.alpn_protocols = vec![ALPN.to_vec()];
    // Resumption would save one signature per connection but needs state; connections are rare.
    config.send_tls13_tickets = 0;
    Ok(config)
}

fn client_tls(provider: &Arc<CryptoProvider>) -> Result<rustls::ClientConfig, Error> {
    let mut config = rustls::ClientConfig::builder_with_provider(Arc::clone(provider))
        .with_protocol_versions(&[&rustls::version::TLS13])?
        .dangerous()
        .with_custom_certificate_verifier(Arc::new(AnyCertificate(Arc::clone(provider))))
        .with_no_client_auth();
    config.alpn_protocols = vec![ALPN.to_vec()];
    config.resumption = rustls::client::Resumption::disabled();
    Ok(config)
}

/// Accepts any certificate and verifies only that the peer holds its private key.
#[derive(Debug)]
struct AnyCertificate(Arc<CryptoProvider>);

impl ServerCertVerifier for AnyCertificate {
    fn verify_server_cert(
        &self,
        _: &CertificateDer<'_>,
        _: &[CertificateDer<'_>],
        _: &ServerName<'_>,
        _: &[u8],
        _: UnixTime,
    ) -> Result<ServerCertVerified, Error> {
        Ok(ServerCertVerified::assertion())
    }

    fn verify_tls12_signature(
        &self,
        message: &[u8],
        certificate: &CertificateDer<'_>,
        signed: &DigitallySignedStruct,
    ) -> Result<HandshakeSignatureValid, Error> {
        let algorithms = &self.0.signature_verification_algorithms;
        verify_tls12_signature(message, certificate, signed, algorithms)
    }

    fn verify_tls13_signature(
        &self,
        message: &[u8],
        certificate: &CertificateDer<'_>,
        signed: &DigitallySignedStruct,
    ) -> Result<HandshakeSignatureValid, Error> {
        let algorithms = &self.0.signature_verification_algorithms;
        verify_tls13_signature(message, certificate, signed, algorithms)
    }

    fn supported_verify_schemes(&self) -> Vec<SignatureScheme> {
        self.0.signature_verification_algorithms.supported_schemes()
    }
}
