//! TLS and QUIC settings of the link between hosts.
//!
//! Each host makes a certificate when it starts. Nothing is derived from the certificate: a peer is
//! known by the proof that it makes over the connection's key material, see `auth/peer.rs`. The
//! signature in the handshake is checked, so the key material is shared with the holder of the
//! certificate's key.

use std::sync::Arc;
use std::time::Duration;

use quinn_proto::crypto::rustls::{QuicClientConfig, QuicServerConfig};
use quinn_proto::{ClientConfig, IdleTimeout, ServerConfig, TransportConfig, VarInt};
use rustls::client::danger::{HandshakeSignatureValid, ServerCertVerified, ServerCertVerifier};
use rustls::crypto::{verify_tls12_signature, verify_tls13_signature, CryptoProvider};
use rustls::pki_types::{CertificateDer, PrivateKeyDer, PrivatePkcs8KeyDer, ServerName, UnixTime};
use rustls::{DigitallySignedStruct, Error, SignatureScheme};

/// Name in the certificates; no host looks at it.
pub(super) const SERVER_NAME: &str = "medlarstile";

/// Protocol name, so that another version of the link can't be mistaken for this one.
const ALPN: &[u8] = b"medlarstile-peer/1";

/// A peer that is silent for this time is lost. Open peers ask each other every 500 ms, so a
/// healthy connection is never silent that long.
const IDLE_LIMIT_MS: u32 = 2_000;

/// First estimate of the round trip, which decides how soon a lost first datagram is repeated.
/// Failure domains are up to 1.5 ms apart.
const INITIAL_RTT: Duration = Duration::from_millis(20);

/// Settings for dialing and for being dialed.
pub(super) struct QuicConfigs {
    pub client: ClientConfig,
    pub server: Arc<ServerConfig>,
}

/// Makes a certificate and the settings that use it.
///
/// # Errors
///
/// The finding of the library that made the certificate or refused it.
pub(super) fn quic_configs() -> Result<QuicConfigs, String> {
    let named = vec![SERVER_NAME.to_owned()];
    let made = rcgen::generate_simple_self_signed(named).map_err(|error| error.to_string())?;
    let key = PrivateKeyDer::from(PrivatePkcs8KeyDer::from(made.signing_key.serialize_der()));
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let transport = Arc::new(transport());
    let server =
        server_tls(&provider, made.cert.der().clone(), key).map_err(|error| error.to_string())?;
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
        .max_idle_timeout(Some(IdleTimeout::from(VarInt::from_u32(IDLE_LIMIT_MS))))
        .initial_rtt(INITIAL_RTT)
        // Each side opens one stream and sends everything on it, in order.
        .max_concurrent_bidi_streams(VarInt::from_u32(1))
        .max_concurrent_uni_streams(VarInt::from_u32(0))
        .datagram_receive_buffer_size(None)
        // One datagram per system call; the rate does not justify more.
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
    // A resumed connection would save one signature and needs state; connections are few.
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

/// Accepts any certificate and checks only that the other end holds its key.
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
