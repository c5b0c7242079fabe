//! Runs of jobs at an upstream, and the entry's orders for them.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use fireflyhead_core::dispatch::DispatchInput;
use fireflyhead_core::dispatch::RunResult;
use fireflyhead_core::types::JobId;
use fireflyhead_schema::messages;
use fireflyhead_schema::messages::End;
use fireflyhead_schema::messages::Outcome;
use fireflyhead_schema::messages::peer_frame::Body;
use kameo::actor::ActorRef;
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

use crate::dispatchers::CONNECTION_SILENT;
use crate::dispatchers::actor::DispatcherActor;
use crate::dispatchers::actor::DispatcherMsg;
use crate::upstream::RunEnd;
use crate::upstream::RunNote;
use crate::upstream::RunRequest;
use crate::upstream::UpstreamClient;

/// Passes the entry's orders on to the actor.
pub(super) async fn follow_orders(
    me: ActorRef<DispatcherActor>,
    job: JobId,
    mut orders: mpsc::Receiver<Body>,
    ended: CancellationToken,
) {
    loop {
        let order = tokio::select! {
            () = ended.cancelled() => return,
            order = orders.recv() => order,
        };
        let msg = match order {
            Some(Body::Permit(messages::Permit { granted })) => {
                DispatcherMsg::Input(DispatchInput::Permit { job, granted })
            }
            Some(Body::Cancel(_)) | None => DispatcherMsg::EntryCancelled(job),
            Some(_) => continue,
        };
        let last = matches!(msg, DispatcherMsg::EntryCancelled(_));
        if me.tell(msg).try_send().is_err() || last {
            return;
        }
    }
}

/// One run of a job.
pub(super) struct Run {
    pub(super) me: ActorRef<DispatcherActor>,
    pub(super) client: UpstreamClient,
    pub(super) job: JobId,
    pub(super) queued_ms: u32,
    pub(super) request: Arc<RunRequest>,
    pub(super) frames: mpsc::Sender<Body>,
    pub(super) cancel: CancellationToken,
    pub(super) by_entry: Arc<AtomicBool>,
    pub(super) idempotent: bool,
}

impl Run {
    pub(super) async fn execute(self) {
        let started = AtomicBool::new(false);
        let job = self.job;
        let note = |note| {
            let input = match note {
                RunNote::Started => {
                    started.store(true, Ordering::Release);
                    DispatchInput::Started { job }
                }
                RunNote::Tokens(tokens) => DispatchInput::Progress { job, tokens },
            };
            let _stopped = self.me.tell(DispatcherMsg::Input(input)).try_send();
        };
        let end =
            self.client.run(&self.request, self.queued_ms, &self.frames, &note, &self.cancel).await;
        let restarted = end == RunEnd::Cancelled
            && !self.by_entry.load(Ordering::Acquire)
            && self.cancel.is_cancelled();
        // What was passed on or may have had an effect is not queued again by the dispatcher.
        let end = match end {
            RunEnd::Cancelled
                if restarted && (started.load(Ordering::Acquire) || !self.idempotent) =>
            {
                RunEnd::Failed { sent: true, reason: "the upstream restarted".to_owned() }
            }
            end => end,
        };
        let result = match &end {
            RunEnd::Answered { .. } => RunResult::Ok,
            RunEnd::Failed { sent, .. } => RunResult::Failed { sent: *sent },
            RunEnd::WrongAdapter | RunEnd::Silent => RunResult::Failed { sent: true },
            RunEnd::Cancelled => RunResult::Cancelled,
        };
        // The slot is free from now on, even if the entry reads slowly.
        if result == RunResult::Cancelled && !restarted {
            self.by_entry.store(true, Ordering::Release);
        }
        let _stopped = self.me.tell(DispatcherMsg::Ended { job, result }).try_send();
        if let Some(frame) = end_frame(&self.request, &end) {
            let _gone = self.frames.send(Body::End(frame)).await;
        }
    }
}

/// Last frame of a run; `None` if the entry expects none.
fn end_frame(request: &RunRequest, end: &RunEnd) -> Option<End> {
    let (outcome, status, code) = match end {
        RunEnd::Answered { status } => (Outcome::Answered, *status, ""),
        RunEnd::Failed { sent: false, reason } => {
            tracing::warn!(%reason, "request did not reach the upstream");
            (Outcome::NotRun, 503, "upstream_failed")
        }
        RunEnd::Failed { sent: true, reason } => {
            tracing::warn!(%reason, "run failed");
            (Outcome::Unknown, 502, "upstream_failed")
        }
        RunEnd::Silent => {
            tracing::warn!("the connection to the upstream fell silent");
            (Outcome::Unknown, 502, CONNECTION_SILENT)
        }
        RunEnd::WrongAdapter => {
            tracing::warn!("the upstream answered with another adapter or version");
            (Outcome::Unknown, 502, "wrong_adapter")
        }
        RunEnd::Cancelled => return None,
    };
    Some(End {
        outcome: outcome.into(),
        status: status.into(),
        adapter: request.adapter.as_ref().map(messages::AdapterKey::from),
        code: code.to_owned(),
    })
}
