//! The SCRAM exchange follows RFC 7677, identifies the key that was used, and never prints it.

use medlarstile::auth::{
    generate_key, key_id, Nonce, Salt, ScramClient, ScramError, ScramServer, Secret, ServerStep,
    Verifier,
};
use medlarstile::types::KeyId;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use yare::parameterized;

const CLIENT_FIRST: &str = "n,,n=user,r=rOprNGfwEbeRWgbNEkqO";
const SERVER_FIRST: &str =
    "r=rOprNGfwEbeRWgbNEkqO%hvYDpWUa2RaTCAfuxFIlj)hNlF$k0,s=W22ZaJ0SNY7soEsUEjb6gQ==,i=4096";
const CLIENT_FINAL: &str = "c=biws,r=rOprNGfwEbeRWgbNEkqO%hvYDpWUa2RaTCAfuxFIlj)hNlF$k0,p=dHzbZapWIk4jUhN+Ute9ytag9zjfMHgsqmmiz7AndVQ=";
const SERVER_FINAL: &str = "v=6rriTRBi23WpRR/wtup+mMhUZUn/dB5nLTJRsjl95G4=";

fn rfc_server() -> ScramServer {
    let salt: Salt = "W22ZaJ0SNY7soEsUEjb6gQ==".parse().expect("salt of the RFC");
    let verifier = Verifier::derive(&Secret::new("pencil"), salt);
    let nonce = "%hvYDpWUa2RaTCAfuxFIlj)hNlF$k0".parse().expect("nonce of the RFC");
    ScramServer::new(vec![(id("k"), verifier)], salt, nonce)
}

fn rfc_client() -> ScramClient {
    let nonce = "rOprNGfwEbeRWgbNEkqO".parse().expect("nonce of the RFC");
    ScramClient::new("user", Secret::new("pencil"), nonce).expect("printable password")
}

fn id(text: &str) -> KeyId {
    text.parse().expect("valid key id")
}

/// Runs one login with `password`.
fn login(
    mut server: ScramServer,
    password: &Secret,
    rng: &mut ChaCha8Rng,
) -> Result<KeyId, ScramError> {
    let mut client = ScramClient::new("", password.clone(), Nonce::random(rng))?;
    let ServerStep::Continue(first) = server.on_message(&client.first())? else {
        panic!("accepted without a proof");
    };
    let ServerStep::Accepted { key, message } = server.on_message(&client.on_continue(&first)?)?
    else {
        panic!("asked for a third message");
    };
    client.on_final(&message).map(|()| key)
}

/// Guards against a deviation from RFC 7677 that client and server have in common, which logins
/// between the two don't show.
#[test]
fn follows_the_example_of_rfc_7677() {
    let (mut server, mut client) = (rfc_server(), rfc_client());
    assert_eq!(client.first(), CLIENT_FIRST);
    assert_eq!(server.on_message(CLIENT_FIRST), Ok(ServerStep::Continue(SERVER_FIRST.into())));
    assert_eq!(client.on_continue(SERVER_FIRST), Ok(CLIENT_FINAL.into()));
    let accepted = ServerStep::Accepted { key: id("k"), message: SERVER_FINAL.into() };
    assert_eq!(server.on_message(CLIENT_FINAL), Ok(accepted));
    assert_eq!(client.on_final(SERVER_FINAL), Ok(()));
    assert_eq!(server.on_message(CLIENT_FINAL), Err(ScramError::OutOfOrder));
}

/// Guards against a login that is attributed to another key, and against a login with a withdrawn
/// key.
#[test]
fn finds_the_key_that_was_used() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let salt = Salt::random(&mut rng);
    let keys: Vec<Secret> = (0..3).map(|_| generate_key(&mut rng)).collect();
    let verifier = |n: usize| Verifier::derive(&keys[n], salt);
    let candidates = vec![(id("k0"), verifier(0)), (id("k1"), verifier(1))];
    for (n, expected) in [(0, Ok(id("k0"))), (1, Ok(id("k1"))), (2, Err(ScramError::WrongKey))] {
        let server = ScramServer::new(candidates.clone(), salt, Nonce::random(&mut rng));
        assert_eq!(login(server, &keys[n], &mut rng), expected);
    }
}

/// Guards against a server-first-message that shows whether an account exists.
#[test]
fn unknown_accounts_get_a_stable_salt_and_fail_last() {
    let mut rng = ChaCha8Rng::seed_from_u64(2);
    let secret = Secret::new("fleet secret");
    let salt = Salt::for_unknown_account(&secret, "nobody");
    assert_eq!(salt, Salt::for_unknown_account(&secret, "nobody"));
    assert_ne!(salt, Salt::for_unknown_account(&secret, "somebody"));
    assert_ne!(salt, Salt::for_unknown_account(&Secret::new("other"), "nobody"));
    let server = ScramServer::new(Vec::new(), salt, Nonce::random(&mut rng));
    let key = generate_key(&mut rng);
    assert_eq!(login(server, &key, &mut rng), Err(ScramError::WrongKey));
}

/// Guards against accepting a client-first-message that is malformed or asks for an unsupported
/// feature.
#[parameterized(
    channel_binding = { "p=tls-server-end-point,,n=,r=abc", ScramError::Unsupported },
    identity = { "n,a=other,n=,r=abc", ScramError::Unsupported },
    extension = { "n,,m=1,n=,r=abc", ScramError::Unsupported },
    empty = { "", ScramError::Malformed },
    no_nonce = { "n,,n=user", ScramError::Malformed },
    empty_nonce = { "n,,n=user,r=", ScramError::Malformed },
    unknown_flag = { "x,,n=user,r=abc", ScramError::Malformed },
)]
fn refuses_first_messages(text: &str, expected: ScramError) {
    assert_eq!(rfc_server().on_message(text), Err(expected));
}

/// Guards against accepting replayed, altered or truncated client-final-messages.
#[parameterized(
    proof = { "p=dHz", "p=eHz", ScramError::WrongKey },
    nonce = { "$k0,", "$k1,", ScramError::OtherExchange },
    header = { "biws", "eSws", ScramError::OtherExchange },
    no_proof = { ",p=", ",q=", ScramError::Malformed },
    short_proof = { "dHzbZapWIk4j", "", ScramError::Malformed },
)]
fn refuses_final_messages(from: &str, to: &str, expected: ScramError) {
    let mut server = rfc_server();
    server.on_message(CLIENT_FIRST).expect("first message of the RFC");
    assert_eq!(server.on_message(&CLIENT_FINAL.replace(from, to)), Err(expected));
}

/// Guards against a login at a server that does not know the password.
#[parameterized(
    other_nonce = { "r=x,s=W22ZaJ0SNY7soEsUEjb6gQ==,i=4096", SERVER_FINAL, ScramError::OtherExchange },
    few_iterations = { &SERVER_FIRST.replace("4096", "1"), SERVER_FINAL, ScramError::Iterations(1) },
    many_iterations = { &SERVER_FIRST.replace("4096", "4000000"), SERVER_FINAL, ScramError::Iterations(4_000_000) },
    signature = { SERVER_FIRST, "v=AAriTRBi23WpRR/wtup+mMhUZUn/dB5nLTJRsjl95G4=", ScramError::WrongServerSignature },
    refused = { SERVER_FIRST, "e=invalid-proof", ScramError::RefusedByServer },
)]
fn client_refuses(first: &str, last: &str, expected: ScramError) {
    let mut client = rfc_client();
    let outcome = client.on_continue(first).and_then(|_| client.on_final(last));
    assert_eq!(outcome, Err(expected));
}

/// Guards against keys or verifiers in logs, error messages and timeline records.
#[test]
fn secrets_are_not_printed() {
    let mut rng = ChaCha8Rng::seed_from_u64(3);
    let key = generate_key(&mut rng);
    assert_eq!(key.expose().len(), 43);
    let verifier = Verifier::derive(&key, Salt::random(&mut rng));
    let stored =
        verifier.text().expose().rsplit_once('$').expect("verifier text").1[..43].to_owned();
    let server = ScramServer::new(
        vec![(id("k"), verifier.clone())],
        verifier.salt(),
        Nonce::random(&mut rng),
    );
    let client = ScramClient::new("", key.clone(), Nonce::random(&mut rng)).expect("printable");
    let prints = format!("{key:?} {key} {verifier:?} {server:?} {client:?} {:?}", verifier.text());
    assert!(!prints.contains(key.expose()) && !prints.contains(&stored), "{prints}");
}

/// Guards against verifier texts that PostgreSQL would not write, and against two keys with the
/// same label that get the same id.
#[test]
fn verifiers_read_back_and_name_their_key() {
    let mut rng = ChaCha8Rng::seed_from_u64(4);
    let salt = Salt::random(&mut rng);
    let verifiers = [1, 2].map(|_| Verifier::derive(&generate_key(&mut rng), salt));
    let text = verifiers[0].text();
    assert_eq!(text.expose().parse().as_ref(), Ok(&verifiers[0]));
    assert!(text.expose().replace("$4096:", "$4095:").parse::<Verifier>().is_err());
    assert!(text.expose()[1..].parse::<Verifier>().is_err());
    assert_ne!(key_id("spring", &verifiers[0]), key_id("spring", &verifiers[1]));
}
