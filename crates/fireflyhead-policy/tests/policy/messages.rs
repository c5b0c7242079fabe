//! Datagrams: what is encoded is decoded again, and foreign bytes are refused.

use std::time::Duration;

use bytes::Bytes;
use fireflyhead_policy::Name;
use fireflyhead_policy::dispatch::JobId;
use fireflyhead_policy::message::AdmissionDecision;
use fireflyhead_policy::message::AdmissionRequest;
use fireflyhead_policy::message::AdmissionResponse;
use fireflyhead_policy::message::Datagram;
use fireflyhead_policy::message::Heartbeat;
use fireflyhead_policy::message::HolderMessage;
use fireflyhead_policy::message::NodeState;
use fireflyhead_policy::message::ProgressEvent;
use fireflyhead_policy::message::ProgressReport;
use fireflyhead_policy::message::UpstreamLoad;
use fireflyhead_policy::protocol::Item;
use fireflyhead_policy::readers::Feed;
use fireflyhead_schema::codec;
use fireflyhead_schema::messages as wire;
use proptest::prelude::*;

use crate::setup::adapter_job;
use crate::setup::ms;
use crate::setup::placement;

fn decode(bytes: &[u8]) -> Option<Datagram> {
    let datagram: wire::Datagram = codec::decode(bytes).ok()?;
    Datagram::try_from(datagram).ok()
}

fn encode(datagram: &Datagram) -> Vec<u8> {
    codec::encode(&wire::Datagram::from(datagram)).expect("it can be encoded")
}

fn load() -> UpstreamLoad {
    UpstreamLoad {
        upstream: Name::from("engine-1"),
        all_nodes: true,
        in_flight: 7,
        pending_prompt_tokens: 1_200,
        queued_prompt_tokens: 9_000,
        late_streams_permille: 120,
        available_adapter_slots: 3,
        adapters: vec![(Name::from("a1"), 2)],
    }
}

fn beat(placements: bool) -> Datagram {
    let address = "127.0.0.1:7380".parse().expect("an address");
    Datagram::Heartbeat(Box::new(Heartbeat {
        node: Name::from("node-1"),
        incarnation: 1_773_335_973_543,
        seq: 9,
        zone: Name::from("zone-1"),
        caller_address: address,
        peer_address: address,
        state: NodeState::Ready,
        capacity: 250,
        adapter_loads_in_progress: 1,
        upstream_loads: vec![load()],
        placements: placements.then(|| vec![placement("engine-1", &["a1", "a2"], 3)]),
    }))
}

fn progress(event: ProgressEvent) -> HolderMessage {
    HolderMessage::ProgressReport(ProgressReport { upstream: Name::from("engine-1"), event })
}

fn all() -> Vec<Datagram> {
    let id = JobId(u64::MAX - 1);
    let messages = vec![
        HolderMessage::AdmissionRequest(AdmissionRequest::new(
            ms(700),
            &Name::from("engine-1"),
            &adapter_job(4, ms(500), "a1", 900),
        )),
        progress(ProgressEvent::FirstOutput(id)),
        progress(ProgressEvent::Ended(id)),
        progress(ProgressEvent::EngineFull(id)),
        progress(ProgressEvent::LongestPause { permille: 1_400 }),
        progress(ProgressEvent::Running {
            job: id,
            adapter: None,
            time_left: Duration::from_secs(2),
        }),
    ];
    let replies = [
        AdmissionDecision::Granted,
        AdmissionDecision::Queued,
        AdmissionDecision::Denied { retry_after: Duration::from_millis(300) },
        AdmissionDecision::NotHolder,
    ];
    let answers =
        replies.map(|reply| AdmissionResponse { job: id, decision: reply, load: load() }).to_vec();
    let items = vec![
        Item { key: Name::from("k"), value: Some(Bytes::from("v")), revision: 7, lease: 2 },
        Item { key: Name::from("gone"), value: None, revision: 8, lease: 0 },
    ];
    vec![
        beat(true),
        beat(false),
        Datagram::HolderMessages { node: Name::from("node-1"), messages },
        Datagram::AdmissionResponses { holder: Name::from("node-2"), responses: answers },
        Datagram::Feed(Feed {
            from: 5,
            to: 8,
            since_outage: Some(Duration::from_millis(900)),
            items,
        }),
    ]
}

/// Guards against a field that is lost between two nodes.
#[test]
fn every_datagram_comes_back() {
    for datagram in all() {
        assert_eq!(decode(&encode(&datagram)).as_ref(), Some(&datagram));
    }
}

/// Guards against a weight that is no number, which would break the order of a queue.
#[test]
fn questions_with_a_broken_weight_are_refused() {
    for weight in [f64::NAN, f64::INFINITY] {
        let mut ask =
            AdmissionRequest::new(ms(0), &Name::from("engine-1"), &adapter_job(1, ms(0), "a1", 1));
        ask.weight = weight;
        let messages = vec![HolderMessage::AdmissionRequest(ask)];
        let datagram = Datagram::HolderMessages { node: Name::from("node-1"), messages };
        assert_eq!(decode(&encode(&datagram)), None);
    }
}

proptest! {
    /// Guards against a node that is brought down by foreign or damaged datagrams.
    #[test]
    fn foreign_bytes_are_no_fault(bytes in prop::collection::vec(any::<u8>(), 0..400)) {
        decode(&bytes);
    }

    /// The same for real datagrams with some bytes changed or cut off.
    #[test]
    fn damaged_datagrams_are_no_fault(
        which in 0_usize..5,
        changes in prop::collection::vec((any::<prop::sample::Index>(), any::<u8>()), 0..6),
        cut in any::<prop::sample::Index>(),
    ) {
        let mut bytes = encode(&all()[which]);
        for (at, byte) in changes {
            let at = at.index(bytes.len());
            bytes[at] = byte;
        }
        let keep = cut.index(bytes.len() + 1);
        decode(&bytes[..keep]);
    }
}
