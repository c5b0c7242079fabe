//! Rejection of the requests that wait in a node that is about to stop.

use std::time::Duration;

use crate::message::ProgressEvent;

use super::DispatchDecision;
use super::Dispatcher;
use super::JobId;
use super::RejectReason;

impl Dispatcher {
    /// Rejects all waiting requests, and from now on each new one, unless an upstream may have
    /// executed them: these can't be rejected, and a further attempt may still serve them. The
    /// requests that were sent stay in progress.
    pub fn stop(&mut self) -> Vec<(JobId, DispatchDecision)> {
        self.stopped = true;
        let mut rejected: Vec<JobId> =
            self.waiting.extract_not_executed().map(|job| job.id).collect();
        for (id, upstream) in self.pending_admissions.extract_not_executed() {
            self.report_progress(&upstream, ProgressEvent::Ended(id));
            rejected.push(id);
        }
        rejected.into_iter().map(|id| (id, Dispatcher::stopped_rejection())).collect()
    }

    /// Returns the rejection of a request by a node that is about to stop. The other nodes can
    /// serve the request at once.
    pub(super) fn stopped_rejection() -> DispatchDecision {
        DispatchDecision::Reject { reason: RejectReason::Stopping, retry_after: Duration::ZERO }
    }
}
