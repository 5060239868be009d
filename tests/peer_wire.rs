//! Encoding of messages between hosts: every field is preserved, and no input causes a panic.

use bytes::BytesMut;
use medlarstile::auth::{PeerProof, ProofSide, Secret};
use medlarstile::core::limit::{GrantId, TokenRequest, Transfer};
use medlarstile::core::peer::{Envelope, Hello, MessageNumber, PeerMessage};
use medlarstile::core::promotion::{GroupRecord, Phase};
use medlarstile::core::proxy::evacuation::EvacuationOrder;
use medlarstile::core::proxy::failover::Claim;
use medlarstile::core::proxy::follow::{HostRow, TablesRead};
use medlarstile::core::proxy::lease::{ClaimRows, Echo, Knowledge};
use medlarstile::core::view::{Member, Statement};
use medlarstile::types::{
    AccountId, AttemptId, DurationMs, EndpointId, FailureDomain, GroupId, HostId, Incarnation,
    MilliCores, MilliTokens, Position, RowVersion, TableVersion, Term, Timestamp,
};
use medlarstile::wire::peer_frame::{
    put_frame, read_message, take_frame, PeerFault, MAX_MESSAGE_BYTES,
};
use rand::{Rng, RngCore, SeedableRng};
use rand_chacha::ChaCha8Rng;
use yare::parameterized;

fn hello_message() -> PeerMessage {
    let hello = Hello {
        host: "h1".parse().expect("an id"),
        incarnation: Incarnation(u64::MAX),
        failure_domain: "fd1".parse().expect("an id"),
    };
    PeerMessage::Hello(hello, PeerProof([7; 32]))
}

fn statement_message() -> PeerMessage {
    let member = Member { host: "h2".parse().expect("an id"), incarnation: Incarnation(9) };
    let (version, age) = (Some(TableVersion(3)), Some(DurationMs(1_200)));
    PeerMessage::Statement(Statement { member, version, age })
}

fn request_message() -> PeerMessage {
    PeerMessage::TokensRequest(TokenRequest {
        account: AccountId::OPEN,
        amount: MilliTokens(5_000),
        incarnation: Incarnation(4),
        sequence: 17,
        settled: vec![GrantId { incarnation: Incarnation(9), sequence: 3 }],
    })
}

fn grant_message() -> PeerMessage {
    PeerMessage::TokensGrant(Transfer {
        account: "north".parse().expect("an id"),
        amount: MilliTokens(5_000),
        grant: GrantId { incarnation: Incarnation(9), sequence: 4 },
        to_incarnation: Incarnation(4),
        request: 17,
        left: MilliTokens(1),
        spare_per_s: MilliTokens(2),
    })
}

fn records_message() -> PeerMessage {
    let record = GroupRecord {
        term: Term(4),
        primary: Some("e1".parse().expect("an id")),
        start: Position { term: Term(3), index: 1_042 },
        attempt: AttemptId(u64::MAX),
        phase: Phase::Promoted,
    };
    PeerMessage::Records(vec![("group".parse().expect("an id"), record)])
}

fn demand_message() -> PeerMessage {
    let account = "north".parse().expect("an id");
    PeerMessage::Demand([(account, MilliTokens(1_500))].into(), Some(TableVersion(7)))
}

fn knowledge_message() -> PeerMessage {
    PeerMessage::Knowledge(Knowledge {
        sent_at: Timestamp(u64::MAX),
        echo: Some(Echo { sent_at: Timestamp(5), held_us: 6 }),
        newest: RowVersion(8),
        complete: RowVersion(7),
        age_us: 9,
    })
}

fn claims_message() -> PeerMessage {
    let claim = Claim {
        holder: "h1".parse().expect("an id"),
        attempt: AttemptId(3),
        leader: None,
        chosen: Some("e1".parse().expect("an id")),
        term: Term(2),
    };
    let rows = vec![("db".parse().expect("an id"), RowVersion(12), claim)];
    PeerMessage::Claims(ClaimRows { after: RowVersion(1), complete: RowVersion(12), rows })
}

fn host_rows_message() -> PeerMessage {
    let row = HostRow {
        address: "10.0.0.1:7000".parse().expect("an address"),
        incarnation: Incarnation(3),
        processor: MilliCores(250),
    };
    PeerMessage::HostRows(vec![("h1".parse().expect("an id"), RowVersion(12), row)])
}

fn evacuations_message() -> PeerMessage {
    let order = |name: &str, is_evacuated| EvacuationOrder {
        failure_domain: name.parse().expect("a failure domain"),
        version: RowVersion(12),
        is_evacuated,
    };
    PeerMessage::Evacuations(vec![order("north", true), order("south", false)])
}

/// Messages with names that the platform may use and this project's tables may not.
fn external_messages() -> Vec<PeerMessage> {
    let name = "eu/bad-tölz:1";
    let host = HostId::from_external(name).expect("a name");
    let group = GroupId::from_external(name).expect("a name");
    let endpoint = EndpointId::from_external(name).expect("a name");
    let account = AccountId::from_external(name).expect("a name");
    let failure_domain = FailureDomain::from_external(name).expect("a name");
    let (incarnation, version) = (Incarnation(3), RowVersion(12));
    let hello = Hello { host: host.clone(), incarnation, failure_domain: failure_domain.clone() };
    let claim = Claim {
        holder: host,
        attempt: AttemptId(3),
        leader: Some(endpoint.clone()),
        chosen: Some(endpoint),
        term: Term(2),
    };
    let rows = vec![(group.clone(), version, claim)];
    let order = EvacuationOrder { failure_domain, version, is_evacuated: true };
    vec![
        PeerMessage::Hello(hello, PeerProof([7; 32])),
        PeerMessage::Demand([(account, MilliTokens(1_500))].into(), None),
        PeerMessage::ClaimConfirmed(group, version),
        PeerMessage::Claims(ClaimRows { after: RowVersion(1), complete: version, rows }),
        PeerMessage::Evacuations(vec![order]),
    ]
}

fn frame(message: PeerMessage) -> BytesMut {
    let (number, answers) = (MessageNumber(300), Some(MessageNumber(299)));
    let mut out = BytesMut::new();
    put_frame(&mut out, &Envelope { number, answers, message }).expect("a short message");
    out
}

/// Guards against a field that is lost or swapped with another one in the conversion to the wire
/// type and back.
#[parameterized(
    hello = { hello_message() },
    statement_request = { PeerMessage::StatementRequest },
    statement = { statement_message() },
    tables_request = { PeerMessage::TablesRequest },
    announce = { PeerMessage::Announce(TableVersion(8)) },
    request = { request_message() },
    grant = { grant_message() },
    records = { records_message() },
    demand = { demand_message() },
    configuration_request = { PeerMessage::ConfigurationRequest },
    configuration = { PeerMessage::Configuration("{}".into()) },
    knowledge = { knowledge_message() },
    claims_request = { PeerMessage::ClaimsRequest(RowVersion(4)) },
    claims = { claims_message() },
    tables_read = { PeerMessage::TablesRead(TablesRead { rows: RowVersion(4), age_ms: DurationMs(9) }) },
    host_rows_request = { PeerMessage::HostRowsRequest(RowVersion(4)) },
    host_rows = { host_rows_message() },
    evacuations = { evacuations_message() },
    claim_confirmed = { PeerMessage::ClaimConfirmed("db".parse().expect("an id"), RowVersion(9)) },
    external_host = { external_messages().swap_remove(0) },
    external_account = { external_messages().swap_remove(1) },
    external_group = { external_messages().swap_remove(2) },
    external_endpoint = { external_messages().swap_remove(3) },
    external_domain = { external_messages().swap_remove(4) },
)]
fn keeps_every_field(message: PeerMessage) {
    let expected = format!("{message:?}");
    let mut input = frame(message);
    let bytes = take_frame(&mut input, MAX_MESSAGE_BYTES).expect("short").expect("complete");
    let read = read_message(&bytes).expect("a message");
    assert_eq!(format!("{:?}", read.message), expected);
    assert_eq!((read.number, read.answers), (MessageNumber(300), Some(MessageNumber(299))));
    assert!(input.is_empty());
    let mut with_trailing_byte = bytes.to_vec();
    with_trailing_byte.push(0);
    assert_eq!(read_message(&with_trailing_byte).err(), Some(PeerFault::TrailingBytes));
}

/// Guards against a frame that is taken before it is complete, or that is so long that it exhausts
/// the memory.
#[test]
fn waits_for_whole_frames_and_refuses_long_ones() {
    let whole = frame(statement_message());
    for length in 0..whole.len() {
        let mut part = BytesMut::from(&whole[..length]);
        assert_eq!(take_frame(&mut part, MAX_MESSAGE_BYTES), Ok(None));
    }
    let mut long = BytesMut::from(&[0xff, 0xff, 0xff, 0xff][..]);
    assert!(matches!(take_frame(&mut long, 512), Err(PeerFault::TooLong(_, 512))));
}

/// Guards against input of a peer that causes a panic: reads random bytes, and valid messages in
/// which random bytes are changed.
#[test]
fn no_bytes_panic() {
    let mut rng = ChaCha8Rng::seed_from_u64(11);
    let valid: Vec<BytesMut> = [
        hello_message(),
        statement_message(),
        request_message(),
        grant_message(),
        records_message(),
    ]
    .map(frame)
    .into();
    let mut refused = 0;
    for round in 0..200_000 {
        let mut bytes = if round % 2 == 0 {
            let mut bytes = vec![0; rng.random_range(0..200)];
            rng.fill_bytes(&mut bytes);
            bytes
        } else {
            valid[rng.random_range(0..valid.len())][4..].to_vec()
        };
        for _ in 0..rng.random_range(0..4) {
            let index = rng.random_range(0..bytes.len().max(1));
            if let Some(byte) = bytes.get_mut(index) {
                *byte = rng.random();
            }
        }
        refused += usize::from(read_message(&bytes).is_err());
    }
    assert!(refused > 100_000, "only {refused} refused");
}

/// Guards against a proof that is valid for another connection, side, secret or claim.
#[parameterized(
    same = { "a secret of tests", 1, ProofSide::Dialer, &["h1", "4"], true },
    other_secret = { "another secret", 1, ProofSide::Dialer, &["h1", "4"], false },
    other_connection = { "a secret of tests", 2, ProofSide::Dialer, &["h1", "4"], false },
    reflected = { "a secret of tests", 1, ProofSide::Acceptor, &["h1", "4"], false },
    other_claim = { "a secret of tests", 1, ProofSide::Dialer, &["h2", "4"], false },
    shifted_claim = { "a secret of tests", 1, ProofSide::Dialer, &["h14", ""], false },
)]
fn a_proof_is_bound(secret: &str, binding: u8, side: ProofSide, claims: &[&str], holds: bool) {
    let own = Secret::new("a secret of tests");
    let proof = PeerProof::compute(&own, &[1; 32], ProofSide::Dialer, &["h1", "4"]);
    assert_eq!(proof.verify(&Secret::new(secret), &[binding; 32], side, claims), holds);
}
