//! Tests of the datagrams.

use fireflyhead_core::membership::Message;
use fireflyhead_core::membership::MessageBody;
use fireflyhead_core::membership::Rumor;
use fireflyhead_core::membership::RumorBody;
use fireflyhead_core::types::Member;
use fireflyhead_core::types::MemberState;
use fireflyhead_core::types::Name;
use fireflyhead_core::types::NodeRef;
use fireflyhead_core::types::UpstreamAdvert;
use hmac::Mac;
use proptest::prelude::*;

use crate::probe::DatagramError;
use crate::probe::Decoder;
use crate::probe::Encoder;
use crate::probe::MAC_BYTES;
use crate::probe::MAX_DATAGRAM_BYTES;
use crate::probe::mac;

const KEY: &[u8] = b"key of the test";

fn node(incarnation: u64) -> NodeRef {
    NodeRef { id: Name::from("node-1"), incarnation }
}

fn probe(sequence: u64) -> Message {
    Message { body: MessageBody::Probe { sequence }, members: Vec::new(), rumors: Vec::new() }
}

fn member() -> impl Strategy<Value = Member> {
    let state =
        prop_oneof![Just(MemberState::Alive), Just(MemberState::Leaving), Just(MemberState::Dead),];
    ("[a-z0-9-]{1,30}", any::<u64>(), "[a-z-]{0,20}", "[0-9.:]{0,21}", state).prop_map(
        |(id, incarnation, zone, address, state)| Member {
            node: NodeRef { id: Name::from(id), incarnation },
            zone: Name::from(zone),
            caller_address: Name::from(address.as_str()),
            peer_address: Name::from(address),
            state,
        },
    )
}

fn rumor() -> impl Strategy<Value = Rumor> {
    let advert = ("[a-z0-9-]{1,40}", any::<[u32; 3]>(), any::<(u32, u32, u32, bool)>()).prop_map(
        |(upstream, queue_delay_ms, (in_flight, queued, load_delay_ms, full))| {
            let upstream = Name::from(upstream);
            let advert = UpstreamAdvert { queue_delay_ms, in_flight, queued, load_delay_ms, full };
            RumorBody::Advert { upstream, advert }
        },
    );
    let body = prop_oneof![
        any::<u64>().prop_map(RumorBody::TableVersion),
        any::<bool>().prop_map(RumorBody::StoreReachable),
        advert,
    ];
    (any::<u64>(), any::<u64>(), body).prop_map(|(incarnation, sequence, body)| Rumor {
        from: node(incarnation),
        sequence,
        body,
    })
}

fn message() -> impl Strategy<Value = Message> {
    let body = prop_oneof![
        any::<u64>().prop_map(|sequence| MessageBody::Probe { sequence }),
        any::<(u64, u64)>().prop_map(|(sequence, tick_ms)| MessageBody::Ack { sequence, tick_ms }),
        any::<(u64, u64)>().prop_map(|(sequence, incarnation)| MessageBody::Indirect {
            sequence,
            target: node(incarnation),
        }),
    ];
    let members = prop::collection::vec(member(), 0..30);
    let rumors = prop::collection::vec(rumor(), 0..30);
    (body, members, rumors).prop_map(|(body, members, rumors)| Message { body, members, rumors })
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against values that change on the wire and datagrams above the budget.
    #[test]
    fn messages_survive_the_wire_within_the_budget(message in message()) {
        let bytes = Encoder::new(KEY, node(1)).encode(&message).expect("it fits when cut");
        prop_assert!(bytes.len() <= MAX_DATAGRAM_BYTES);
        let (from, decoded) = Decoder::new(KEY).decode(&bytes).expect("it is valid");
        prop_assert_eq!(from, node(1));
        prop_assert_eq!(&decoded.body, &message.body);
        prop_assert!(message.members.starts_with(&decoded.members));
        prop_assert!(message.rumors.starts_with(&decoded.rumors));
        // Rumors are left out only when no member is left.
        prop_assert!(decoded.members.is_empty() || decoded.rumors == message.rumors);
    }

    /// Guards against forged and damaged datagrams, and against panics on them.
    #[test]
    fn other_bytes_are_rejected(
        message in message(),
        at in any::<prop::sample::Index>(),
        flip in 1_u8..,
        noise in prop::collection::vec(any::<u8>(), 0..1_400),
    ) {
        let mut bytes = Encoder::new(KEY, node(1)).encode(&message).expect("it fits when cut");
        let other = Decoder::new(b"another key").decode(&bytes);
        prop_assert_eq!(other.err(), Some(DatagramError::Mac));
        let at = at.index(bytes.len());
        bytes[at] ^= flip;
        prop_assert_eq!(Decoder::new(KEY).decode(&bytes).err(), Some(DatagramError::Mac));
        prop_assert!(Decoder::new(KEY).decode(&noise).is_err());
    }

    /// Guards against a peer whose bytes are authentic but make the decoder panic or
    /// claim memory beyond the limit.
    #[test]
    fn authentic_noise_is_rejected_or_small(
        mut body in prop::collection::vec(prop_oneof![Just(0_u8), Just(1), 250_u8.., any::<u8>()], 0..900),
    ) {
        let code = mac(KEY).chain_update(&body).finalize().into_bytes();
        body.extend(&code[..MAC_BYTES]);
        if let Ok((from, message)) = Decoder::new(KEY).decode(&body) {
            let names = message.members.iter().map(|member| member.zone.as_str().len());
            prop_assert!(from.id.as_str().len() + names.sum::<usize>() <= body.len());
        }
    }

    /// Guards against a datagram that takes effect twice or is lost by reordering.
    #[test]
    fn each_datagram_is_accepted_once(order in prop::collection::vec(0_usize..100, 1..300)) {
        let mut encoder = Encoder::new(KEY, node(1));
        let sent: Vec<Vec<u8>> =
            (0..100).map(|n| encoder.encode(&probe(n)).expect("it fits")).collect();
        let mut decoder = Decoder::new(KEY);
        let mut seen = [false; 100];
        for at in order {
            let fresh = decoder.decode(&sent[at]).is_ok();
            prop_assert_eq!(fresh, !std::mem::replace(&mut seen[at], true));
        }
    }
}

/// Guards against recorded datagrams of an earlier incarnation or from long ago.
#[test]
fn old_datagrams_are_rejected() {
    let mut old = Encoder::new(KEY, node(1));
    let mut new = Encoder::new(KEY, node(2));
    let (first, second) =
        (old.encode(&probe(1)).expect("fits"), old.encode(&probe(2)).expect("fits"));
    let early = new.encode(&probe(1)).expect("fits");
    let mut decoder = Decoder::new(KEY);
    assert!(decoder.decode(&first).is_ok());
    for n in 0..200 {
        assert!(decoder.decode(&new.encode(&probe(n)).expect("fits")).is_ok());
    }
    assert_eq!(decoder.decode(&second).err(), Some(DatagramError::Replayed));
    assert_eq!(decoder.decode(&early).err(), Some(DatagramError::Replayed));
}

/// Guards against a length field that reserves memory which the datagram does not hold.
#[test]
fn lengths_beyond_the_limit_are_rejected() {
    // Present sender whose name claims 63 MiB.
    let mut body = vec![1, 252, 0, 0, 0xF0, 0x03];
    let code = mac(KEY).chain_update(&body).finalize().into_bytes();
    body.extend(&code[..MAC_BYTES]);
    assert_eq!(Decoder::new(KEY).decode(&body).err(), Some(DatagramError::Malformed));
}
