//! The two deployments: sizes, tables and classes of work.
//!
//! Assumptions: token counts and service times are chosen by class, with an
//! exponential-like spread drawn per request. Shares are fractions of the capacity of the
//! class's service in the steady scenario. The urgent class on the engines has work only
//! in the scenario that floods it, because in normal operation all urgent work goes to the
//! plain service.

use std::fmt::Write;
use std::time::Duration;

use fireflyhead_core::table::COLUMNS;
use fireflyhead_core::types::Rank;

/// Adapters in each deployment.
pub const ADAPTERS: usize = 3_000;
/// Adapter slots of one engine.
pub const SLOTS: usize = 8;
/// Availability zones of a region.
pub const ZONES: usize = 3;

/// Class of work: its table row and its demand.
#[derive(Clone, Debug)]
pub struct ClassSpec {
    /// Name of the class row.
    pub name: &'static str,
    /// Whether the engines do the work.
    pub engine: bool,
    /// Call that belongs to the class; empty for engines.
    pub call: &'static str,
    /// Urgency.
    pub rank: Rank,
    /// Weight in fair queueing.
    pub weight: f64,
    /// Guaranteed share.
    pub floor: f64,
    /// Target for the time to first token, in milliseconds.
    pub target_ms: u64,
    /// Deadline to start, in milliseconds.
    pub deadline_ms: u64,
    /// Whether requests may run twice.
    pub idempotent: bool,
    /// Steady demand as a fraction of the capacity of the service.
    pub share: f64,
    /// Mean number of generated tokens; for plain services the mean service time in milliseconds.
    pub work: f64,
    /// Whether requests are governed by the rows of their adapters.
    pub by_adapter: bool,
}

/// Deployment of the model.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// Name.
    pub name: &'static str,
    /// Entry nodes.
    pub entries: usize,
    /// Service of the model workers.
    pub model_service: &'static str,
    /// Model workers.
    pub workers: usize,
    /// Plain service.
    pub plain_service: &'static str,
    /// Instances of the plain service.
    pub instances: usize,
    /// Loads a second that the weight store allows.
    pub loads_per_second: f64,
    /// Classes of work.
    pub classes: Vec<ClassSpec>,
}

/// Loads in flight that the weight store serves without slowing down.
pub const MAX_LOADS_IN_FLIGHT: usize = 8;
/// Duration of one load while the weight store is not overloaded.
pub const LOAD_TIME: Duration = Duration::from_millis(250);

impl Deployment {
    /// All deployments.
    pub fn all() -> Vec<Deployment> {
        vec![bluebonnet(), magnolia()]
    }

    /// Adapter slots of all engines.
    pub fn slots(&self) -> usize {
        self.workers * SLOTS
    }

    /// Service of a class.
    pub fn service_of(&self, class: &ClassSpec) -> &'static str {
        if class.engine { self.model_service } else { self.plain_service }
    }

    /// Operators' table as CSV text.
    pub fn table_csv(&self) -> String {
        let mut csv = COLUMNS.join(",") + "\n";
        for class in &self.classes {
            let service = self.service_of(class);
            let ClassSpec { name, call, weight, floor, target_ms, deadline_ms, .. } = class;
            let (rank, idempotent) = (class.rank.as_str(), class.idempotent);
            // Writing to a string can't fail.
            let _ = writeln!(
                csv,
                "class,{name},,{service},{call},,{rank},{weight},{floor},,,{target_ms},{deadline_ms},0.2,{idempotent}"
            );
        }
        let default = self.classes.iter().find(|class| class.by_adapter);
        let default = default.map_or("", |class| class.name);
        for i in 0..ADAPTERS {
            let _ = writeln!(csv, "adapter,{},{default},,,v1,,,,,,,,,", adapter_name(i));
        }
        csv
    }
}

/// Name of the adapter with index `i`.
pub fn adapter_name(i: usize) -> String {
    format!("adapter-{i:04}")
}

fn engine_class(name: &'static str, rank: Rank, floor: f64, share: f64, work: f64) -> ClassSpec {
    let (target_ms, deadline_ms) = match rank {
        Rank::Urgent => (530, 5_000),
        Rank::Standard => (2_000, 20_000),
        Rank::Background => (10_000, 60_000),
    };
    let (weight, call) = (1.0, "");
    ClassSpec {
        name,
        engine: true,
        call,
        rank,
        weight,
        floor,
        target_ms,
        deadline_ms,
        idempotent: true,
        share,
        work,
        by_adapter: false,
    }
}

fn plain_class(
    name: &'static str,
    call: &'static str,
    rank: Rank,
    floor: f64,
    share: f64,
) -> ClassSpec {
    let (target_ms, deadline_ms) = match rank {
        Rank::Urgent => (530, 5_000),
        Rank::Standard => (1_000, 10_000),
        Rank::Background => (5_000, 60_000),
    };
    ClassSpec {
        name,
        engine: false,
        call,
        rank,
        weight: 1.0,
        floor,
        target_ms,
        deadline_ms,
        idempotent: !call.starts_with("POST"),
        share,
        work: if call.starts_with("POST") { 80.0 } else { 30.0 },
        by_adapter: false,
    }
}

fn bluebonnet() -> Deployment {
    Deployment {
        name: "bluebonnet",
        entries: 6,
        model_service: "verse-models",
        workers: 18,
        plain_service: "order-desk",
        instances: 3,
        loads_per_second: 4.0,
        classes: vec![
            ClassSpec {
                by_adapter: true,
                ..engine_class("verse-drafts", Rank::Standard, 0.4, 0.65, 200.0)
            },
            engine_class("background-drafts", Rank::Background, 0.1, 0.25, 200.0),
            engine_class("express-drafts", Rank::Urgent, 0.0, 0.0, 200.0),
            ClassSpec {
                weight: 3.0,
                ..plain_class("orders", "POST /orders", Rank::Urgent, 0.3, 0.3)
            },
            ClassSpec {
                weight: 2.0,
                ..plain_class("status", "GET /orders", Rank::Urgent, 0.2, 0.2)
            },
            plain_class("desk-other", "* /", Rank::Standard, 0.1, 0.2),
            plain_class("desk-export", "GET /export", Rank::Background, 0.05, 0.1),
        ],
    }
}

fn magnolia() -> Deployment {
    Deployment {
        name: "magnolia",
        entries: 6,
        model_service: "pew-scribe",
        workers: 9,
        plain_service: "chapel-portal",
        instances: 3,
        loads_per_second: 2.5,
        classes: vec![
            ClassSpec {
                by_adapter: true,
                ..engine_class("estimates", Rank::Standard, 0.2, 0.3, 100.0)
            },
            engine_class("care-notes", Rank::Standard, 0.2, 0.35, 200.0),
            ClassSpec {
                deadline_ms: 300_000,
                ..engine_class("write-ups", Rank::Background, 0.15, 0.25, 500.0)
            },
            engine_class("urgent-notes", Rank::Urgent, 0.0, 0.0, 200.0),
            ClassSpec {
                weight: 2.0,
                ..plain_class("bookings", "POST /bookings", Rank::Urgent, 0.3, 0.25)
            },
            ClassSpec {
                weight: 2.0,
                ..plain_class("job-status", "GET /jobs", Rank::Urgent, 0.3, 0.3)
            },
            plain_class("portal-other", "* /", Rank::Standard, 0.1, 0.15),
            plain_class("portal-export", "GET /export", Rank::Background, 0.05, 0.1),
        ],
    }
}
