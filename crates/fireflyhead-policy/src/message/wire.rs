//! Conversion of messages to and from the generated wire types.
//!
//! The wire types keep the names of `schema/messages.proto`. Where a name differs:
//!
//! | wire type | message |
//! |---|---|
//! | `Beat` | [`Heartbeat`] |
//! | `ActiveBeat` | [`Heartbeat`] with an [`Activity`] |
//! | `Placed` | [`PlacedAdapter`] |
//! | `Want`, `Wants` | [`AdapterRequest`], [`Datagram::AdapterRequests`] |
//! | `Ask` | [`AdmissionRequest`] |
//! | `Answer`, `Answers` | [`AdmissionResponse`], [`Datagram::AdmissionResponses`] |
//! | `Reply` | [`AdmissionDecision`] |
//! | `Progress` | [`ProgressReport`] |
//! | `Crash`, `Evidence` | [`CrashReport`], [`Datagram::CrashReports`] |
//! | `Departure`, `Departures` | [`Departure`], [`Datagram::Departures`] |
//! | `SizedAsk` | [`AdmissionRequest`] with output tokens |
//!
//! Some fields and events differ in name as well; the conversions below pair them.

mod quota;

use std::net::SocketAddr;
use std::time::Duration;

use fireflyhead_schema::messages as wire;

use crate::Name;
use crate::config_exchange::ConfigNotice;
use crate::config_exchange::ConfigPart;
use crate::config_exchange::ConfigRequest;
use crate::config_exchange::ConfigStamp;
use crate::config_exchange::MAX_PARTS_IN_FLIGHT;
use crate::dispatch::JobId;
use crate::era::Era;
use crate::message::Activity;
use crate::message::AdapterRequest;
use crate::message::AdmissionDecision;
use crate::message::AdmissionRequest;
use crate::message::AdmissionResponse;
use crate::message::Datagram;
use crate::message::Departure;
use crate::message::EngineModel;
use crate::message::Heartbeat;
use crate::message::HolderMessage;
use crate::message::NodeState;
use crate::message::PlacedAdapter;
use crate::message::Placement;
use crate::message::ProgressEvent;
use crate::message::ProgressReport;
use crate::message::RequestLimit;
use crate::message::UpstreamLoad;
use crate::protocol::Item;
use crate::quarantine::CrashId;
use crate::quarantine::CrashReport;
use crate::quarantine::MAX_PARTS_PER_CRASH;
use crate::quarantine::MAX_REPORTS;
use crate::quarantine::PartId;
use crate::readers::Feed;
use crate::request_limit::RequestRate;

/// Reason why a datagram could not be converted from its wire type.
#[derive(Clone, Debug, PartialEq)]
#[derive(displaydoc::Display)]
pub enum WireError {
    /// a datagram, or a message in it, is empty
    Empty,
    /// `{0}` is not a socket address
    Address(String),
    /// {0} is not a node state
    State(i32),
    /// {0} is not an admission decision
    Decision(i32),
    /// {0} is not a finite weight or floor
    Weight(f64),
    /// {0} is not a quota slot
    Slot(u32),
}

impl std::error::Error for WireError {}

impl From<&Datagram> for wire::Datagram {
    fn from(datagram: &Datagram) -> wire::Datagram {
        let body = match datagram {
            Datagram::Heartbeat(heartbeat) => {
                let beat = wire::Beat::from(heartbeat.as_ref());
                match heartbeat.activity {
                    None => wire::datagram::Body::Beat(beat),
                    Some(activity) => wire::datagram::Body::ActiveBeat(wire::ActiveBeat {
                        beat: Some(beat),
                        serving: activity.serving,
                        utilisation_permille: activity.utilisation_permille,
                        requests_per_s: activity.requests_per_s,
                        fleet_loading: activity.fleet_adapter_loads,
                    }),
                }
            }
            Datagram::AdapterRequests(requests) => {
                let wants = requests.iter().map(wire::Want::from).collect();
                wire::datagram::Body::Wants(wire::Wants { wants })
            }
            Datagram::HolderMessages { node, messages } => {
                let node = node.to_string();
                let messages = messages.iter().map(wire::HolderMessage::from).collect();
                wire::datagram::Body::ToHolder(wire::HolderMessages { node, messages })
            }
            Datagram::Feed(feed) if feed.era == Era::FIRST => {
                wire::datagram::Body::Feed(feed.into())
            }
            Datagram::Feed(feed) => wire::datagram::Body::EraFeed(wire::EraFeed {
                era: feed.era.number(),
                feed: Some(feed.into()),
            }),
            Datagram::AdmissionResponses { holder, responses } => {
                let holder = holder.to_string();
                let answers = responses.iter().map(wire::Answer::from).collect();
                wire::datagram::Body::Answers(wire::Answers { answers, holder })
            }
            Datagram::CrashReports(reports) => {
                let crashes = reports.iter().take(MAX_REPORTS).map(wire::Crash::from).collect();
                wire::datagram::Body::Evidence(wire::Evidence { crashes })
            }
            Datagram::Departures(departures) => {
                let departures = departures.iter().map(wire::Departure::from).collect();
                wire::datagram::Body::Departures(wire::Departures { departures })
            }
            Datagram::QuotaRequest(request) => wire::datagram::Body::QuotaRequests(request.into()),
            Datagram::QuotaGrant(grant) => wire::datagram::Body::QuotaGrants(grant.into()),
            Datagram::ConfigNotice(notice) => wire::datagram::Body::ConfigNotices(notice.into()),
            Datagram::ConfigRequest(request) => {
                wire::datagram::Body::ConfigRequests(request.into())
            }
            Datagram::ConfigPart(part) => wire::datagram::Body::ConfigParts(part.into()),
            Datagram::EngineModels(models) => {
                let models = models.iter().map(wire::EngineModel::from).collect();
                wire::datagram::Body::EngineModels(wire::EngineModels { models })
            }
            Datagram::RequestLimits(limits) => {
                let limits = limits.iter().map(wire::RequestLimit::from).collect();
                wire::datagram::Body::RequestLimits(wire::RequestLimits { limits })
            }
        };
        wire::Datagram { body: Some(body) }
    }
}

impl TryFrom<wire::Datagram> for Datagram {
    type Error = WireError;

    fn try_from(datagram: wire::Datagram) -> Result<Datagram, WireError> {
        match datagram.body {
            Some(wire::datagram::Body::Beat(beat)) => {
                Ok(Datagram::Heartbeat(Box::new(beat.try_into()?)))
            }
            Some(wire::datagram::Body::ActiveBeat(active)) => {
                let activity = Activity {
                    serving: active.serving,
                    utilisation_permille: active.utilisation_permille,
                    requests_per_s: active.requests_per_s,
                    fleet_adapter_loads: active.fleet_loading,
                };
                let heartbeat = Heartbeat::try_from(active.beat.ok_or(WireError::Empty)?)?;
                let heartbeat = Heartbeat { activity: Some(activity), ..heartbeat };
                Ok(Datagram::Heartbeat(Box::new(heartbeat)))
            }
            Some(wire::datagram::Body::Wants(wants)) => Ok(Datagram::AdapterRequests(
                wants.wants.into_iter().map(AdapterRequest::from).collect(),
            )),
            Some(wire::datagram::Body::ToHolder(wire::HolderMessages { node, messages })) => {
                let messages = messages.into_iter().map(HolderMessage::try_from);
                Ok(Datagram::HolderMessages {
                    node: Name::from(node),
                    messages: messages.collect::<Result<_, _>>()?,
                })
            }
            Some(wire::datagram::Body::Answers(wire::Answers { answers, holder })) => {
                let responses = answers.into_iter().map(AdmissionResponse::try_from);
                Ok(Datagram::AdmissionResponses {
                    holder: Name::from(holder),
                    responses: responses.collect::<Result<_, _>>()?,
                })
            }
            Some(wire::datagram::Body::Feed(feed)) => Ok(Datagram::Feed(feed.into())),
            Some(wire::datagram::Body::EraFeed(wire::EraFeed { era, feed })) => {
                let feed = Feed::from(feed.ok_or(WireError::Empty)?);
                Ok(Datagram::Feed(Feed { era: Era::new(era), ..feed }))
            }
            Some(wire::datagram::Body::Evidence(wire::Evidence { crashes })) => {
                let reports = crashes.into_iter().take(MAX_REPORTS).map(CrashReport::from);
                Ok(Datagram::CrashReports(reports.collect()))
            }
            Some(wire::datagram::Body::Departures(wire::Departures { departures })) => {
                Ok(Datagram::Departures(departures.into_iter().map(Departure::from).collect()))
            }
            Some(wire::datagram::Body::QuotaRequests(request)) => {
                Ok(Datagram::QuotaRequest(request.try_into()?))
            }
            Some(wire::datagram::Body::QuotaGrants(grant)) => {
                Ok(Datagram::QuotaGrant(grant.try_into()?))
            }
            Some(wire::datagram::Body::ConfigNotices(notice)) => {
                Ok(Datagram::ConfigNotice(notice.try_into()?))
            }
            Some(wire::datagram::Body::ConfigRequests(request)) => {
                Ok(Datagram::ConfigRequest(request.try_into()?))
            }
            Some(wire::datagram::Body::ConfigParts(part)) => {
                Ok(Datagram::ConfigPart(part.try_into()?))
            }
            Some(wire::datagram::Body::EngineModels(wire::EngineModels { models })) => {
                Ok(Datagram::EngineModels(models.into_iter().map(EngineModel::from).collect()))
            }
            Some(wire::datagram::Body::RequestLimits(wire::RequestLimits { limits })) => {
                Ok(Datagram::RequestLimits(limits.into_iter().map(RequestLimit::from).collect()))
            }
            None => Err(WireError::Empty),
        }
    }
}

impl From<&ConfigStamp> for wire::ConfigStamp {
    fn from(stamp: &ConfigStamp) -> wire::ConfigStamp {
        let ConfigStamp { version, era, digest, bytes } = *stamp;
        wire::ConfigStamp { version, era: era.number(), digest, bytes }
    }
}

impl TryFrom<Option<wire::ConfigStamp>> for ConfigStamp {
    type Error = WireError;

    fn try_from(stamp: Option<wire::ConfigStamp>) -> Result<ConfigStamp, WireError> {
        let wire::ConfigStamp { version, era, digest, bytes } = stamp.ok_or(WireError::Empty)?;
        Ok(ConfigStamp { version, era: Era::new(era), digest, bytes })
    }
}

impl From<&ConfigNotice> for wire::ConfigNotice {
    fn from(notice: &ConfigNotice) -> wire::ConfigNotice {
        wire::ConfigNotice { node: notice.node.to_string(), stamp: Some((&notice.stamp).into()) }
    }
}

impl TryFrom<wire::ConfigNotice> for ConfigNotice {
    type Error = WireError;

    fn try_from(notice: wire::ConfigNotice) -> Result<ConfigNotice, WireError> {
        Ok(ConfigNotice { node: Name::from(notice.node), stamp: notice.stamp.try_into()? })
    }
}

impl From<&ConfigRequest> for wire::ConfigRequest {
    fn from(request: &ConfigRequest) -> wire::ConfigRequest {
        wire::ConfigRequest {
            node: request.node.to_string(),
            stamp: Some((&request.stamp).into()),
            parts: request.parts.clone(),
        }
    }
}

impl TryFrom<wire::ConfigRequest> for ConfigRequest {
    type Error = WireError;

    fn try_from(request: wire::ConfigRequest) -> Result<ConfigRequest, WireError> {
        Ok(ConfigRequest {
            node: Name::from(request.node),
            stamp: request.stamp.try_into()?,
            parts: request.parts.into_iter().take(MAX_PARTS_IN_FLIGHT).collect(),
        })
    }
}

impl From<&ConfigPart> for wire::ConfigPart {
    fn from(part: &ConfigPart) -> wire::ConfigPart {
        wire::ConfigPart {
            node: part.node.to_string(),
            stamp: Some((&part.stamp).into()),
            key: part.key.to_string(),
            revision: part.revision,
            index: part.index,
            data: part.data.clone(),
        }
    }
}

impl TryFrom<wire::ConfigPart> for ConfigPart {
    type Error = WireError;

    fn try_from(part: wire::ConfigPart) -> Result<ConfigPart, WireError> {
        Ok(ConfigPart {
            node: Name::from(part.node),
            stamp: part.stamp.try_into()?,
            key: Name::from(part.key),
            revision: part.revision,
            index: part.index,
            data: part.data,
        })
    }
}

impl From<&EngineModel> for wire::EngineModel {
    fn from(model: &EngineModel) -> wire::EngineModel {
        wire::EngineModel {
            upstream: model.upstream.to_string(),
            born: model.incarnation,
            base_percent: model.base_percent,
            newest_percent: model.newest_percent,
            age_ms: u32::try_from(model.age.as_millis()).unwrap_or(u32::MAX),
        }
    }
}

impl From<wire::EngineModel> for EngineModel {
    fn from(model: wire::EngineModel) -> EngineModel {
        EngineModel {
            upstream: Name::from(model.upstream),
            incarnation: model.born,
            base_percent: model.base_percent,
            newest_percent: model.newest_percent,
            age: Duration::from_millis(u64::from(model.age_ms)),
        }
    }
}

impl From<&RequestLimit> for wire::RequestLimit {
    fn from(limit: &RequestLimit) -> wire::RequestLimit {
        wire::RequestLimit {
            upstream: limit.upstream.to_string(),
            born: limit.incarnation,
            thousandths: limit.rate.map(RequestRate::thousandths),
        }
    }
}

impl From<wire::RequestLimit> for RequestLimit {
    fn from(limit: wire::RequestLimit) -> RequestLimit {
        RequestLimit {
            upstream: Name::from(limit.upstream),
            incarnation: limit.born,
            rate: limit.thousandths.map(RequestRate::from_thousandths),
        }
    }
}

impl From<&Departure> for wire::Departure {
    fn from(departure: &Departure) -> wire::Departure {
        wire::Departure { upstream: departure.upstream.to_string(), born: departure.incarnation }
    }
}

impl From<wire::Departure> for Departure {
    fn from(departure: wire::Departure) -> Departure {
        Departure { upstream: Name::from(departure.upstream), incarnation: departure.born }
    }
}

impl From<&CrashReport> for wire::Crash {
    fn from(report: &CrashReport) -> wire::Crash {
        let hashes =
            |parts: &[PartId]| parts.iter().take(MAX_PARTS_PER_CRASH).map(|part| part.0).collect();
        wire::Crash {
            crash: report.crash.0,
            age_ms: u64::try_from(report.age.as_millis()).unwrap_or(u64::MAX),
            suspects: hashes(&report.suspects),
            cleared: hashes(&report.cleared),
        }
    }
}

impl From<wire::Crash> for CrashReport {
    fn from(crash: wire::Crash) -> CrashReport {
        let parts =
            |hashes: Vec<u64>| hashes.into_iter().take(MAX_PARTS_PER_CRASH).map(PartId).collect();
        CrashReport {
            crash: CrashId(crash.crash),
            age: Duration::from_millis(crash.age_ms),
            suspects: parts(crash.suspects),
            cleared: parts(crash.cleared),
        }
    }
}

impl From<&HolderMessage> for wire::HolderMessage {
    fn from(message: &HolderMessage) -> wire::HolderMessage {
        let body = match message {
            HolderMessage::AdmissionRequest(request) if request.is_limited() => {
                wire::holder_message::Body::SizedAsk(wire::SizedAsk {
                    ask: Some(request.into()),
                    output_tokens: request.output_tokens,
                    give_up_us: request.give_up.map(micros),
                })
            }
            HolderMessage::AdmissionRequest(request) => {
                wire::holder_message::Body::Ask(request.into())
            }
            HolderMessage::ProgressReport(progress) => {
                wire::holder_message::Body::Progress(progress.into())
            }
        };
        wire::HolderMessage { body: Some(body) }
    }
}

impl TryFrom<wire::HolderMessage> for HolderMessage {
    type Error = WireError;

    fn try_from(message: wire::HolderMessage) -> Result<HolderMessage, WireError> {
        match message.body {
            Some(wire::holder_message::Body::Ask(ask)) => {
                Ok(HolderMessage::AdmissionRequest(ask.try_into()?))
            }
            Some(wire::holder_message::Body::SizedAsk(wire::SizedAsk {
                ask,
                output_tokens,
                give_up_us,
            })) => {
                let request = AdmissionRequest::try_from(ask.ok_or(WireError::Empty)?)?;
                let request = AdmissionRequest {
                    output_tokens,
                    give_up: give_up_us.map(Duration::from_micros),
                    ..request
                };
                Ok(HolderMessage::AdmissionRequest(request))
            }
            Some(wire::holder_message::Body::Progress(progress)) => {
                Ok(HolderMessage::ProgressReport(progress.try_into()?))
            }
            None => Err(WireError::Empty),
        }
    }
}

/// Returns the whole microseconds of `duration`, or the maximum if they don't fit.
fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}

impl From<&AdmissionRequest> for wire::Ask {
    fn from(request: &AdmissionRequest) -> wire::Ask {
        wire::Ask {
            upstream: request.upstream.to_string(),
            job: request.job.0,
            route: request.route.to_string(),
            weight: request.weight,
            floor: request.floor,
            model: request.model.to_string(),
            adapter: request.adapter.as_ref().map(Name::to_string),
            priority: u32::from(request.priority),
            waited_us: micros(request.waited),
            objective_us: micros(request.objective),
            leaves_us: micros(request.first_output_deadline),
            deadline_us: micros(request.deadline),
            prompt_tokens: request.prompt_tokens,
        }
    }
}

impl TryFrom<wire::Ask> for AdmissionRequest {
    type Error = WireError;

    fn try_from(ask: wire::Ask) -> Result<AdmissionRequest, WireError> {
        let weight = |weight: f64| match weight.is_finite() {
            true => Ok(weight),
            false => Err(WireError::Weight(weight)),
        };
        Ok(AdmissionRequest {
            upstream: Name::from(ask.upstream),
            job: JobId(ask.job),
            route: Name::from(ask.route),
            weight: weight(ask.weight)?,
            floor: weight(ask.floor)?,
            model: Name::from(ask.model),
            adapter: ask.adapter.map(Name::from),
            priority: u8::try_from(ask.priority).unwrap_or(u8::MAX),
            waited: Duration::from_micros(ask.waited_us),
            objective: Duration::from_micros(ask.objective_us),
            first_output_deadline: Duration::from_micros(ask.leaves_us),
            deadline: Duration::from_micros(ask.deadline_us),
            prompt_tokens: ask.prompt_tokens,
            output_tokens: 0,
            give_up: None,
        })
    }
}

impl From<&AdmissionResponse> for wire::Answer {
    fn from(response: &AdmissionResponse) -> wire::Answer {
        let (reply, retry_after) = match response.decision {
            AdmissionDecision::Granted => (wire::Reply::Granted, Duration::ZERO),
            AdmissionDecision::Queued => (wire::Reply::Queued, Duration::ZERO),
            AdmissionDecision::Denied { retry_after } => (wire::Reply::Denied, retry_after),
            AdmissionDecision::NotHolder => (wire::Reply::NotHolder, Duration::ZERO),
        };
        wire::Answer {
            job: response.job.0,
            reply: reply.into(),
            retry_after_us: micros(retry_after),
            load: Some((&response.load).into()),
        }
    }
}

impl TryFrom<wire::Answer> for AdmissionResponse {
    type Error = WireError;

    fn try_from(answer: wire::Answer) -> Result<AdmissionResponse, WireError> {
        let retry_after = Duration::from_micros(answer.retry_after_us);
        let decision = match wire::Reply::try_from(answer.reply) {
            Ok(wire::Reply::Granted) => AdmissionDecision::Granted,
            Ok(wire::Reply::Queued) => AdmissionDecision::Queued,
            Ok(wire::Reply::Denied) => AdmissionDecision::Denied { retry_after },
            Ok(wire::Reply::NotHolder) => AdmissionDecision::NotHolder,
            Ok(wire::Reply::Unspecified) | Err(_) => return Err(WireError::Decision(answer.reply)),
        };
        let load = answer.load.ok_or(WireError::Empty)?;
        Ok(AdmissionResponse { job: JobId(answer.job), decision, load: load.into() })
    }
}

impl From<&ProgressReport> for wire::Progress {
    fn from(report: &ProgressReport) -> wire::Progress {
        let event = match &report.event {
            ProgressEvent::FirstOutput(job) => wire::progress::Event::Output(job.0),
            ProgressEvent::Ended(job) => wire::progress::Event::Ended(job.0),
            ProgressEvent::EngineFull(job) => wire::progress::Event::Full(job.0),
            ProgressEvent::LongestPause { permille } => wire::progress::Event::Paused(*permille),
            ProgressEvent::Pace { percent } => wire::progress::Event::Pace(*percent),
            ProgressEvent::Running { job, adapter, time_left } => {
                wire::progress::Event::Running(wire::Running {
                    job: job.0,
                    adapter: adapter.as_ref().map(Name::to_string),
                    left_us: micros(*time_left),
                })
            }
        };
        wire::Progress { upstream: report.upstream.to_string(), event: Some(event) }
    }
}

impl TryFrom<wire::Progress> for ProgressReport {
    type Error = WireError;

    fn try_from(progress: wire::Progress) -> Result<ProgressReport, WireError> {
        let event = match progress.event.ok_or(WireError::Empty)? {
            wire::progress::Event::Output(job) => ProgressEvent::FirstOutput(JobId(job)),
            wire::progress::Event::Ended(job) => ProgressEvent::Ended(JobId(job)),
            wire::progress::Event::Full(job) => ProgressEvent::EngineFull(JobId(job)),
            wire::progress::Event::Paused(permille) => ProgressEvent::LongestPause { permille },
            wire::progress::Event::Pace(percent) => ProgressEvent::Pace { percent },
            wire::progress::Event::Running(wire::Running { job, adapter, left_us }) => {
                ProgressEvent::Running {
                    job: JobId(job),
                    adapter: adapter.map(Name::from),
                    time_left: Duration::from_micros(left_us),
                }
            }
        };
        Ok(ProgressReport { upstream: Name::from(progress.upstream), event })
    }
}

impl From<&Feed> for wire::Feed {
    fn from(feed: &Feed) -> wire::Feed {
        let item = |item: &Item| wire::FeedItem {
            key: item.key.to_string(),
            value: item.value.clone(),
            revision: item.revision,
            lease: item.lease,
        };
        wire::Feed {
            from: feed.from,
            to: feed.to,
            back_us: feed.since_outage.map(micros),
            items: feed.items.iter().map(item).collect(),
        }
    }
}

impl From<wire::Feed> for Feed {
    fn from(feed: wire::Feed) -> Feed {
        let item = |item: wire::FeedItem| Item {
            key: Name::from(item.key),
            value: item.value,
            revision: item.revision,
            lease: item.lease,
        };
        Feed {
            era: Era::FIRST,
            from: feed.from,
            to: feed.to,
            since_outage: feed.back_us.map(Duration::from_micros),
            items: feed.items.into_iter().map(item).collect(),
        }
    }
}

impl From<&Heartbeat> for wire::Beat {
    fn from(heartbeat: &Heartbeat) -> wire::Beat {
        wire::Beat {
            node: heartbeat.node.to_string(),
            incarnation: heartbeat.incarnation,
            seq: heartbeat.seq,
            zone: heartbeat.zone.to_string(),
            caller: heartbeat.caller_address.to_string(),
            peer: heartbeat.peer_address.to_string(),
            state: wire::NodeState::from(heartbeat.state).into(),
            capacity: heartbeat.capacity,
            loading: heartbeat.adapter_loads_in_progress,
            loads: heartbeat.upstream_loads.iter().map(wire::UpstreamLoad::from).collect(),
            unchanged: heartbeat.placements.is_none(),
            placements: heartbeat.placements.iter().flatten().map(wire::Placement::from).collect(),
        }
    }
}

impl TryFrom<wire::Beat> for Heartbeat {
    type Error = WireError;

    fn try_from(beat: wire::Beat) -> Result<Heartbeat, WireError> {
        let state = wire::NodeState::try_from(beat.state);
        let state = state.map_err(|_| WireError::State(beat.state))?;
        Ok(Heartbeat {
            node: Name::from(beat.node),
            incarnation: beat.incarnation,
            seq: beat.seq,
            zone: Name::from(beat.zone),
            caller_address: address(beat.caller)?,
            peer_address: address(beat.peer)?,
            state: state.try_into()?,
            capacity: beat.capacity,
            adapter_loads_in_progress: beat.loading,
            upstream_loads: beat.loads.into_iter().map(UpstreamLoad::from).collect(),
            placements: (!beat.unchanged)
                .then(|| beat.placements.into_iter().map(Placement::from).collect()),
            activity: None,
        })
    }
}

fn address(text: String) -> Result<SocketAddr, WireError> {
    text.parse().map_err(|_| WireError::Address(text))
}

impl From<NodeState> for wire::NodeState {
    fn from(state: NodeState) -> wire::NodeState {
        match state {
            NodeState::Starting => wire::NodeState::Starting,
            NodeState::Ready => wire::NodeState::Ready,
            NodeState::Leaving => wire::NodeState::Leaving,
        }
    }
}

impl TryFrom<wire::NodeState> for NodeState {
    type Error = WireError;

    fn try_from(state: wire::NodeState) -> Result<NodeState, WireError> {
        match state {
            wire::NodeState::Starting => Ok(NodeState::Starting),
            wire::NodeState::Ready => Ok(NodeState::Ready),
            wire::NodeState::Leaving => Ok(NodeState::Leaving),
            wire::NodeState::Unspecified => Err(WireError::State(state.into())),
        }
    }
}

impl From<&UpstreamLoad> for wire::UpstreamLoad {
    fn from(load: &UpstreamLoad) -> wire::UpstreamLoad {
        let usage = |(adapter, requests): &(Name, u32)| wire::AdapterUse {
            adapter: adapter.to_string(),
            requests: *requests,
        };
        wire::UpstreamLoad {
            upstream: load.upstream.to_string(),
            in_flight: load.in_flight,
            pending_tokens: load.pending_prompt_tokens,
            queued_tokens: load.queued_prompt_tokens,
            late_permille: load.late_streams_permille,
            total: load.all_nodes,
            idle_places: load.available_adapter_slots,
            adapters: load.adapters.iter().map(usage).collect(),
        }
    }
}

impl From<wire::UpstreamLoad> for UpstreamLoad {
    fn from(load: wire::UpstreamLoad) -> UpstreamLoad {
        let usage = |usage: wire::AdapterUse| (Name::from(usage.adapter), usage.requests);
        UpstreamLoad {
            upstream: Name::from(load.upstream),
            in_flight: load.in_flight,
            pending_prompt_tokens: load.pending_tokens,
            queued_prompt_tokens: load.queued_tokens,
            late_streams_permille: load.late_permille,
            all_nodes: load.total,
            available_adapter_slots: load.idle_places,
            adapters: load.adapters.into_iter().map(usage).collect(),
        }
    }
}

impl From<&Placement> for wire::Placement {
    fn from(placement: &Placement) -> wire::Placement {
        let placed = |placed: &PlacedAdapter| wire::Placed {
            adapter: placed.adapter.to_string(),
            version: placed.version,
            ready: placed.ready,
        };
        wire::Placement {
            upstream: placement.upstream.to_string(),
            model: placement.model.to_string(),
            born: placement.incarnation,
            fence: placement.fencing_token,
            open: placement.holder_active,
            adapters: placement.adapters.iter().map(placed).collect(),
        }
    }
}

impl From<wire::Placement> for Placement {
    fn from(placement: wire::Placement) -> Placement {
        let placed = |placed: wire::Placed| PlacedAdapter {
            adapter: Name::from(placed.adapter),
            version: placed.version,
            ready: placed.ready,
        };
        Placement {
            upstream: Name::from(placement.upstream),
            model: Name::from(placement.model),
            incarnation: placement.born,
            fencing_token: placement.fence,
            holder_active: placement.open,
            adapters: placement.adapters.into_iter().map(placed).collect(),
        }
    }
}

impl From<&AdapterRequest> for wire::Want {
    fn from(request: &AdapterRequest) -> wire::Want {
        wire::Want {
            node: request.node.to_string(),
            upstream: request.upstream.to_string(),
            model: request.model.to_string(),
            adapter: request.adapter.to_string(),
            waiting: request.waiting,
            priority: u32::from(request.priority),
        }
    }
}

impl From<wire::Want> for AdapterRequest {
    fn from(want: wire::Want) -> AdapterRequest {
        AdapterRequest {
            node: Name::from(want.node),
            upstream: Name::from(want.upstream),
            model: Name::from(want.model),
            adapter: Name::from(want.adapter),
            waiting: want.waiting,
            priority: u8::try_from(want.priority).unwrap_or(u8::MAX),
            is_first: false,
        }
    }
}
