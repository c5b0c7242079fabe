//! The two deployments that the demo can show: sizes, table and traffic.

use std::fmt::Write;

use fireflyhead_core::table::COLUMNS;
use fireflyhead_core::types::Rank;

/// Deployment by name.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Deployment {
    /// Verse drafts and orders.
    #[default]
    Bluebonnet,
    /// Estimates, notes and bookings.
    Magnolia,
}

impl Deployment {
    /// Names of all deployments.
    pub const NAMES: [&'static str; 2] = ["bluebonnet", "magnolia"];

    /// Deployment with the name `name`.
    pub fn from_name(name: &str) -> Option<Deployment> {
        match name {
            "bluebonnet" => Some(Deployment::Bluebonnet),
            "magnolia" => Some(Deployment::Magnolia),
            _ => None,
        }
    }

    /// Name of the deployment.
    pub const fn as_str(self) -> &'static str {
        match self {
            Deployment::Bluebonnet => "bluebonnet",
            Deployment::Magnolia => "magnolia",
        }
    }

    /// Sizes and traffic of the deployment.
    pub fn plan(self) -> Plan {
        match self {
            Deployment::Bluebonnet => bluebonnet(),
            Deployment::Magnolia => magnolia(),
        }
    }
}

/// Work of one kind of request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Work {
    /// Non-idempotent call of the plain service.
    Order,
    /// Idempotent call of the plain service.
    Status,
    /// Completion of so many tokens, streamed.
    Draft {
        /// Tokens of the answer.
        tokens: u32,
    },
}

/// Kind of request with its share of the traffic.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Kind {
    /// Class of work in the table.
    pub class: &'static str,
    /// Rank of the class.
    pub rank: Rank,
    /// What it does.
    pub work: Work,
    /// Requests per second.
    pub per_second: f64,
}

/// Sizes and traffic of a deployment.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// Name of the deployment.
    pub name: &'static str,
    /// Availability zones.
    pub zones: [&'static str; 3],
    /// Service of the model workers.
    pub model_service: &'static str,
    /// Number of model workers.
    pub workers: usize,
    /// Adapter slots of each worker.
    pub slots: usize,
    /// Name of the plain service.
    pub plain_service: &'static str,
    /// Instances of the plain service.
    pub instances: usize,
    /// Path of orders at the plain service.
    pub orders_path: &'static str,
    /// Prefix of the adapters' names.
    pub adapter_prefix: &'static str,
    /// Number of adapters.
    pub adapters: usize,
    /// Exponent of the adapters' popularity.
    pub zipf: f64,
    /// Loads per second of the weight store.
    pub loads_per_second: f64,
    /// Traffic.
    pub kinds: Vec<Kind>,
    /// Class rows of the table.
    pub classes: &'static str,
}

fn bluebonnet() -> Plan {
    let kind = |class, rank, work, per_second| Kind { class, rank, work, per_second };
    Plan {
        name: "bluebonnet",
        zones: ["tx-central-a", "tx-central-b", "tx-central-c"],
        model_service: "verse-models",
        workers: 18,
        slots: 8,
        plain_service: "order-desk",
        instances: 3,
        orders_path: "/orders",
        adapter_prefix: "verse",
        adapters: 3_000,
        zipf: 1.1,
        loads_per_second: 4.0,
        kinds: vec![
            kind("place-order", Rank::Urgent, Work::Order, 20.0),
            kind("order-status", Rank::Urgent, Work::Status, 30.0),
            kind("verse-drafts", Rank::Standard, Work::Draft { tokens: 24 }, 12.0),
            kind("background-drafts", Rank::Background, Work::Draft { tokens: 32 }, 4.0),
        ],
        classes: "\
class,place-order,,order-desk,POST /orders,,urgent,4,0.3,,,530,5000,0.2,false
class,order-status,,order-desk,GET /,,urgent,2,0.2,,,530,5000,0.2,true
class,verse-drafts,,verse-models,,,standard,4,0.4,,,5000,20000,0.2,true
class,background-drafts,,verse-models,,,background,1,0.1,,,20000,60000,0.2,true
",
    }
}

fn magnolia() -> Plan {
    let kind = |class, rank, work, per_second| Kind { class, rank, work, per_second };
    Plan {
        name: "magnolia",
        zones: ["piedmont-a", "piedmont-b", "piedmont-c"],
        model_service: "pew-scribe",
        workers: 9,
        slots: 8,
        plain_service: "chapel-portal",
        instances: 3,
        orders_path: "/bookings",
        adapter_prefix: "chapel",
        adapters: 3_000,
        zipf: 1.1,
        loads_per_second: 2.5,
        kinds: vec![
            kind("bookings", Rank::Urgent, Work::Order, 12.0),
            kind("job-status", Rank::Urgent, Work::Status, 30.0),
            kind("quick-estimates", Rank::Standard, Work::Draft { tokens: 12 }, 4.0),
            kind("care-notes", Rank::Standard, Work::Draft { tokens: 24 }, 3.0),
            kind("long-write-ups", Rank::Background, Work::Draft { tokens: 64 }, 2.0),
        ],
        classes: "\
class,bookings,,chapel-portal,POST /bookings,,urgent,4,0.3,,,530,5000,0.2,false
class,job-status,,chapel-portal,GET /,,urgent,4,0.3,,,530,5000,0.2,true
class,quick-estimates,,pew-scribe,,,standard,4,0.3,,,5000,20000,0.2,true
class,care-notes,,pew-scribe,,,standard,2,0.2,,,5000,20000,0.2,true
class,long-write-ups,,pew-scribe,,,background,1,0.1,,,20000,120000,0.2,true
",
    }
}

impl Plan {
    /// Adapter of popularity rank `index`, the most popular being 0, as `adapter@version`.
    pub fn model(&self, index: usize) -> String {
        format!("{}-{index:04}@v1", self.adapter_prefix)
    }

    /// The operators' table.
    pub fn table_csv(&self) -> String {
        let class = self.kinds.iter().find(|kind| matches!(kind.work, Work::Draft { .. }));
        let class = class.map_or("", |kind| kind.class);
        let mut csv = format!("{}\n{}", COLUMNS.join(","), self.classes);
        for index in 0..self.adapters {
            let name = format!("{}-{index:04}", self.adapter_prefix);
            writeln!(csv, "adapter,{name},{class},,,v1,,,,,,,,,").expect("a write to memory");
        }
        csv
    }
}
