//! The two deployments that the demo shows: sizes, table and traffic, scaled to one machine.

use std::fmt::Write;

use fireflyhead_policy::table::COLUMNS;

/// Work of one kind of request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Work {
    /// Call of the plain service that may not be repeated.
    Order,
    /// Call of the plain service that may be repeated.
    Status,
    /// Generation by an adapter.
    Draft,
}

/// Kind of request with its share of the traffic.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Kind {
    /// Class of work in the table.
    pub class: &'static str,
    /// Path prefix of its requests.
    pub path: &'static str,
    /// What it does.
    pub work: Work,
    /// Requests a second.
    pub per_second: f64,
}

/// Sizes and traffic of a deployment.
#[derive(Clone, Debug, PartialEq)]
pub struct Deployment {
    /// Name.
    pub name: &'static str,
    /// Service of the engines.
    pub engines_service: &'static str,
    /// Number of engines.
    pub engines: usize,
    /// Adapters that one engine holds.
    pub adapter_slots: u32,
    /// Plain service.
    pub desk_service: &'static str,
    /// Instances of the plain service.
    pub desks: usize,
    /// Number of adapters.
    pub adapters: usize,
    /// Exponent of the adapters' popularity.
    pub zipf: f64,
    /// Traffic.
    pub kinds: Vec<Kind>,
    classes: &'static str,
}

/// Names of all deployments.
pub const NAMES: [&str; 2] = ["bluebonnet", "magnolia"];

impl Deployment {
    /// Deployment called `name`.
    pub fn from_name(name: &str) -> Option<Deployment> {
        match name {
            "bluebonnet" => Some(bluebonnet()),
            "magnolia" => Some(magnolia()),
            _ => None,
        }
    }

    /// The operators' table.
    pub fn table_csv(&self) -> String {
        let drafts = self.kinds.iter().find(|kind| kind.work == Work::Draft);
        let class = drafts.map_or("", |kind| kind.class);
        let mut csv = format!("{}\n{}", COLUMNS.join(","), self.classes);
        for index in 0..self.adapters {
            // A write to a string can't fail.
            let _written = writeln!(csv, "adapter,a{index},{class},,,v1,,,,,,,,,");
        }
        csv
    }
}

fn bluebonnet() -> Deployment {
    let kind = |class, path, work, per_second| Kind { class, path, work, per_second };
    Deployment {
        name: "bluebonnet",
        engines_service: "verse-models",
        engines: 6,
        adapter_slots: 8,
        desk_service: "order-desk",
        desks: 3,
        adapters: 300,
        zipf: 1.2,
        kinds: vec![
            kind("place-order", "/orders/new", Work::Order, 20.0),
            kind("order-status", "/status/7", Work::Status, 30.0),
            kind("verse-drafts", "/verse-drafts/x", Work::Draft, 30.0),
            kind("background-drafts", "/background-drafts/x", Work::Draft, 10.0),
        ],
        classes: "\
class,place-order,,order-desk,POST /orders,,urgent,4,0.3,,,300,4000,0.2,false
class,order-status,,order-desk,GET /status,,urgent,2,0.2,,,300,4000,0.2,true
class,verse-drafts,,verse-models,,,standard,4,0.4,,,1000,15000,0.2,true
class,background-drafts,,verse-models,,,background,1,0.1,,,2000,20000,0.2,true
",
    }
}

fn magnolia() -> Deployment {
    let kind = |class, path, work, per_second| Kind { class, path, work, per_second };
    Deployment {
        name: "magnolia",
        engines_service: "pew-scribe",
        engines: 3,
        adapter_slots: 8,
        desk_service: "chapel-portal",
        desks: 3,
        adapters: 300,
        zipf: 1.2,
        kinds: vec![
            kind("bookings", "/bookings/new", Work::Order, 12.0),
            kind("job-status", "/jobs/7", Work::Status, 30.0),
            kind("quick-estimates", "/quick-estimates/x", Work::Draft, 10.0),
            kind("long-write-ups", "/long-write-ups/x", Work::Draft, 5.0),
        ],
        classes: "\
class,bookings,,chapel-portal,POST /bookings,,urgent,4,0.3,,,300,2000,0.2,false
class,job-status,,chapel-portal,GET /jobs,,urgent,4,0.3,,,300,2000,0.2,true
class,quick-estimates,,pew-scribe,,,standard,4,0.3,,,2000,20000,0.2,true
class,long-write-ups,,pew-scribe,,,background,1,0.1,,,5000,25000,0.2,true
",
    }
}
