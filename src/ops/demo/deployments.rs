//! The two deployments of the demo: sizes, table and workloads, scaled down to one machine.

use std::fmt::Write;

use fireflyhead_policy::table::COLUMNS;

/// What a request asks for, and whether it may run more than once.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RequestType {
    /// Call of the plain service that must not run twice.
    NonIdempotent,
    /// Call of the plain service that may run twice.
    Idempotent,
    /// Streamed generation with an adapter on an engine; may run twice.
    Generation,
}

/// Requests of one class with their arrival rate.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Workload {
    /// Name of the class in the table.
    pub class: &'static str,
    /// Path of the requests; the table matches its prefix.
    pub path: &'static str,
    /// What the requests ask for.
    pub request_type: RequestType,
    /// Mean arrival rate of the Poisson process, in requests per second.
    pub requests_per_s: f64,
}

/// Sizes, table and workloads of a deployment.
#[derive(Clone, Debug, PartialEq)]
pub struct Deployment {
    /// Name, one of [`NAMES`].
    pub name: &'static str,
    /// Name of the service whose upstreams are the engines.
    pub engine_service: &'static str,
    /// Number of engines.
    pub engines: usize,
    /// Number of adapters that one engine holds at once.
    pub adapter_slots: u32,
    /// Name of the plain service, whose upstreams run no models.
    pub plain_service: &'static str,
    /// Number of upstreams of the plain service.
    pub plain_upstreams: usize,
    /// Number of adapters.
    pub adapters: usize,
    /// Exponent of the Zipf distribution of requests over the adapters.
    pub zipf_exponent: f64,
    /// Load of all classes.
    pub workloads: Vec<Workload>,
    /// Class rows of the table as CSV text; the column order is that of [`COLUMNS`].
    class_rows: &'static str,
}

/// Names of all deployments.
pub const NAMES: [&str; 2] = ["bluebonnet", "magnolia"];

impl Deployment {
    /// Returns the deployment called `name`; `None` if there is none.
    pub fn from_name(name: &str) -> Option<Deployment> {
        match name {
            "bluebonnet" => Some(bluebonnet()),
            "magnolia" => Some(magnolia()),
            _ => None,
        }
    }

    /// Returns the operators' table as CSV text.
    ///
    /// All adapters belong to the class of the first generation workload.
    pub fn table_csv(&self) -> String {
        let generation =
            self.workloads.iter().find(|workload| workload.request_type == RequestType::Generation);
        let class = generation.map_or("", |workload| workload.class);
        let mut csv = format!("{}\n{}", COLUMNS.join(","), self.class_rows);
        for index in 0..self.adapters {
            // A write to a string can't fail.
            let _written = writeln!(csv, "adapter,a{index},{class},,,v1,,,,,,,,,");
        }
        csv
    }
}

fn bluebonnet() -> Deployment {
    let workload = |class, path, request_type, requests_per_s| Workload {
        class,
        path,
        request_type,
        requests_per_s,
    };
    Deployment {
        name: "bluebonnet",
        engine_service: "verse-models",
        engines: 6,
        adapter_slots: 8,
        plain_service: "order-desk",
        plain_upstreams: 3,
        adapters: 300,
        zipf_exponent: 1.2,
        workloads: vec![
            workload("place-order", "/orders/new", RequestType::NonIdempotent, 20.0),
            workload("order-status", "/status/7", RequestType::Idempotent, 30.0),
            workload("verse-drafts", "/verse-drafts/x", RequestType::Generation, 30.0),
            workload("background-drafts", "/background-drafts/x", RequestType::Generation, 10.0),
        ],
        class_rows: "\
class,place-order,,order-desk,POST /orders,,urgent,4,0.3,,,300,4000,0.2,false
class,order-status,,order-desk,GET /status,,urgent,2,0.2,,,300,4000,0.2,true
class,verse-drafts,,verse-models,,,standard,4,0.4,,,1000,15000,0.2,true
class,background-drafts,,verse-models,,,background,1,0.1,,,2000,20000,0.2,true
",
    }
}

fn magnolia() -> Deployment {
    let workload = |class, path, request_type, requests_per_s| Workload {
        class,
        path,
        request_type,
        requests_per_s,
    };
    Deployment {
        name: "magnolia",
        engine_service: "pew-scribe",
        engines: 3,
        adapter_slots: 8,
        plain_service: "chapel-portal",
        plain_upstreams: 3,
        adapters: 300,
        zipf_exponent: 1.2,
        workloads: vec![
            workload("bookings", "/bookings/new", RequestType::NonIdempotent, 12.0),
            workload("job-status", "/jobs/7", RequestType::Idempotent, 30.0),
            workload("quick-estimates", "/quick-estimates/x", RequestType::Generation, 10.0),
            workload("long-write-ups", "/long-write-ups/x", RequestType::Generation, 5.0),
        ],
        class_rows: "\
class,bookings,,chapel-portal,POST /bookings,,urgent,4,0.3,,,300,2000,0.2,false
class,job-status,,chapel-portal,GET /jobs,,urgent,4,0.3,,,300,2000,0.2,true
class,quick-estimates,,pew-scribe,,,standard,4,0.3,,,2000,20000,0.2,true
class,long-write-ups,,pew-scribe,,,background,1,0.1,,,5000,25000,0.2,true
",
    }
}
