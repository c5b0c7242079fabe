//! Configuration, inputs and effects of a dispatcher.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::types::AdapterKey;
use crate::types::Job;
use crate::types::JobId;
use crate::types::Name;
use crate::types::Rank;
use crate::types::RefuseReason;
use crate::types::Time;
use crate::types::UpstreamKind;

/// Settings of one dispatcher.
#[derive(Clone, Debug)]
pub struct DispatcherConfig {
    /// Name of the upstream.
    pub upstream: Name,
    /// Service of the upstream; its class rows set the floors. Empty: all class rows count.
    pub service: Name,
    /// Engine or plain service.
    pub kind: UpstreamKind,
    /// Upper bound of the concurrency limit.
    pub max_in_flight: usize,
    /// Whether the upstream rejects orders with an old fencing number.
    pub fencing: bool,
    /// Queued jobs over all ranks; each rank may use a third.
    pub max_queue: usize,
    /// Whether this node stands in for a dead owner: loaded adapters only, no orders.
    pub caretaker: bool,
    /// Until then adapters that this dispatcher did not load itself stay loaded.
    pub pinned_until: Time,
    /// Age from which the oldest job of a row goes before all others of the row.
    pub age_bound: Duration,
    /// Floor of a lower rank for which the table sets none, as a share of the capacity.
    pub min_floor: f64,
    /// Share of the concurrency limit that is kept free for each higher rank.
    pub headroom: f64,
    /// Time to first output at the upstream above which the concurrency limit shrinks.
    pub latency_target: Duration,
    /// Longest lag of load reports.
    pub report_lag: Duration,
    /// Slots that may be kept free for load requests that wait for a grant.
    pub max_load_requests: usize,
    /// Slots that one-off cold adapters may use.
    pub probation_slots: usize,
    /// Half-life of the request frequency by which adapters are evicted.
    pub frequency_half_life: Duration,
    /// Age that one waiting request of weight 1 is worth in the order of loads.
    pub waiter_value: Duration,
    /// Time after which a job without an answer to its permit request is redirected.
    pub permit_timeout: Duration,
    /// Backoff after the first failed load of an adapter; doubles with each further failure.
    pub load_backoff: Duration,
}

impl Default for DispatcherConfig {
    fn default() -> DispatcherConfig {
        DispatcherConfig {
            upstream: Name::from(""),
            service: Name::from(""),
            kind: UpstreamKind::Service,
            max_in_flight: 32,
            fencing: true,
            max_queue: 30_000,
            caretaker: false,
            pinned_until: Time::default(),
            age_bound: Duration::from_secs(10),
            min_floor: 0.02,
            headroom: 0.05,
            latency_target: Duration::from_millis(400),
            report_lag: Duration::from_secs(3),
            max_load_requests: 2,
            probation_slots: 1,
            frequency_half_life: Duration::from_secs(180),
            waiter_value: Duration::from_secs(4),
            permit_timeout: Duration::from_secs(5),
            load_backoff: Duration::from_millis(500),
        }
    }
}

/// Load figures that an upstream reports, some time after the fact.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct LoadReport {
    /// Number that differs for every start of the upstream.
    pub boot_id: u64,
    /// Adapters loaded.
    pub loaded: Vec<AdapterKey>,
    /// Requests running.
    pub running: u32,
    /// Requests waiting inside the upstream.
    pub waiting: u32,
}

/// End of a job's run at the upstream.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum RunResult {
    /// The response is complete.
    Ok,
    /// The run failed; the entry has been told.
    Failed {
        /// Whether bytes of the request may have reached the upstream.
        sent: bool,
    },
    /// The run was cancelled.
    Cancelled,
}

/// Event that a dispatcher reacts to.
#[derive(Clone, Debug)]
pub enum DispatchInput {
    /// An entry sends a job. Ids must be unique among unfinished jobs.
    Submit(Job),
    /// The caller no longer wants the job.
    Cancel(JobId),
    /// Answer to `RequestPermit`. A job without a permit is forgotten: its home knows the outcome.
    Permit {
        /// Job that the permit was requested for.
        job: JobId,
        /// Whether the job may run.
        granted: bool,
    },
    /// First output of a job arrived.
    Started {
        /// Running job.
        job: JobId,
    },
    /// More output of a job arrived.
    Progress {
        /// Running job.
        job: JobId,
        /// Tokens generated since the last report.
        tokens: u32,
    },
    /// The run of a job ended. Each `Run` is followed by exactly one `Finished`.
    Finished {
        /// Job that ran.
        job: JobId,
        /// How the run ended.
        result: RunResult,
    },
    /// The load scheduler of the weight store granted a load.
    LoadGranted {
        /// Adapter to load.
        adapter: AdapterKey,
    },
    /// The load scheduler of the weight store refused a load.
    LoadDenied {
        /// Adapter that was requested.
        adapter: AdapterKey,
        /// Time after which the load may be requested again.
        retry_after: Duration,
    },
    /// The upstream answered a load order.
    LoadDone {
        /// Adapter of the order.
        adapter: AdapterKey,
        /// Whether the adapter is loaded now.
        ok: bool,
    },
    /// The upstream answered an unload order.
    UnloadDone {
        /// Adapter of the order.
        adapter: AdapterKey,
        /// Whether the adapter is unloaded now.
        ok: bool,
    },
    /// Load figures of the upstream.
    Report(LoadReport),
    /// Ownership is uncertain: no load or unload orders until `OrdersAllowed(true)`.
    OrdersAllowed(bool),
    /// The upstream is leaving: redirect queued jobs, finish running jobs.
    Drain,
    /// Time has passed; see [`super::Dispatcher::next_tick`].
    Tick,
}

/// Action that the owner of a dispatcher carries out.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum DispatchEffect {
    /// Ask the job's home for a permit; non-idempotent jobs only.
    RequestPermit {
        /// Job that is next to run.
        job: JobId,
    },
    /// Send the job to the upstream.
    Run {
        /// Job to run.
        job: JobId,
    },
    /// Tell the entry that the job did not run here and never will.
    Refuse {
        /// Job refused.
        job: JobId,
        /// Why.
        reason: RefuseReason,
        /// Time after which the caller may try again, with jitter.
        retry_after: Duration,
    },
    /// Tell the entry to try another upstream; the job did not run here and never will.
    Redirect {
        /// Job to send elsewhere.
        job: JobId,
    },
    /// Stop the run of a job; `Finished` must follow. Without a preceding `Cancel` the upstream has
    /// restarted: nothing is reported to the entry, and after `Finished` with
    /// [`RunResult::Cancelled`] the job is queued again. If output has been passed on in the
    /// meantime, the run ends with [`RunResult::Failed`] instead.
    CancelRun {
        /// Running job.
        job: JobId,
    },
    /// Ask the load scheduler for a load; a repeated request updates `rank` and `waiting`.
    RequestLoad {
        /// Adapter wanted.
        adapter: AdapterKey,
        /// Rank of the most urgent demand; a retry counts as the next lower rank.
        rank: Rank,
        /// Waiting jobs with this demand.
        waiting: u32,
    },
    /// Withdraw a load request, or return a grant that is not used.
    CancelLoadRequest {
        /// Adapter no longer wanted.
        adapter: AdapterKey,
    },
    /// Order the upstream to load an adapter.
    Load {
        /// Adapter to load.
        adapter: AdapterKey,
    },
    /// Order the upstream to unload an adapter.
    Unload {
        /// Adapter to unload.
        adapter: AdapterKey,
    },
}
