//! Cost of the choice of an upstream.

use std::time::Duration;

use fireflyhead_core::placement::Observation;
use fireflyhead_core::placement::PlaceRequest;
use fireflyhead_core::placement::Placement;
use fireflyhead_core::placement::PlacementConfig;
use fireflyhead_core::types::AdapterKey;
use fireflyhead_core::types::Name;
use fireflyhead_core::types::Rank;
use fireflyhead_core::types::Time;
use fireflyhead_core::types::UpstreamInfo;
use fireflyhead_core::types::UpstreamKind;

use crate::control::report;
use crate::control::report::Figure;
use crate::control::report::Report;

/// Numbers of workers: today's sizes up to the size to design for.
const WORKERS: [usize; 4] = [9, 18, 170, 1_700];
/// Adapters in use at one entry.
const ADAPTERS: usize = 5_000;
/// Choices over which the mean is taken.
const CHOICES: usize = 20_000;

fn worker(i: usize) -> UpstreamInfo {
    UpstreamInfo {
        name: Name::from(format!("worker-{i}")),
        service: Name::from("models"),
        zone: Name::from(format!("zone-{}", i % 6)),
        address: Name::from(format!("127.0.0.1:{}", 10_000 + i)),
        kind: UpstreamKind::Engine { slots: 8 },
        fencing: true,
        leaving: false,
    }
}

fn request(i: usize) -> PlaceRequest {
    PlaceRequest {
        service: Name::from("models"),
        adapter: Some(AdapterKey::new(format!("adapter-{:06}", i * 7 % ADAPTERS), "v1")),
        rank: Rank::Standard,
        prefix: Some(i as u64 % 50),
    }
}

/// Measures choices among growing numbers of workers.
#[allow(clippy::cast_precision_loss)]
pub(crate) fn measure(report: &mut Report) {
    for workers in WORKERS {
        let mut add = |quantity, value, unit| {
            report.add(Figure {
                section: "placement",
                variable: "workers",
                size: workers,
                quantity,
                value,
                unit,
            });
        };
        let (mut placement, bytes, _) = report::build(|| {
            let mut placement = Placement::new(PlacementConfig::default(), 1);
            placement.set_upstreams(&Name::from("models"), (0..workers).map(worker).collect());
            placement
        });
        add("memory of the worker list", bytes as f64, "B");
        let mut now = Time::default();
        let ((), grown, _) = report::build(|| {
            let choose = report::mean_micros(CHOICES, |i| {
                now = now + Duration::from_millis(20);
                let req = request(i);
                let chosen = placement.choose(now, &req);
                let seen = Observation::Delay(Duration::from_millis(5));
                placement.observe(now, &chosen[0], req.adapter.as_ref(), seen);
            });
            add("choose and observe", choose, "us");
        });
        add("memory of 5,000 adapters", grown as f64, "B");
    }
}
