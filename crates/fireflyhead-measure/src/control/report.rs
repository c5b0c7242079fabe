//! Figures of the control plane and their output.

use std::time::Duration;
use std::time::Instant;

use peak_alloc::PeakAlloc;
use serde::Serialize;

#[global_allocator]
static ALLOCATOR: PeakAlloc = PeakAlloc;

/// One measured value at one size.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub(crate) struct Figure {
    /// Section that measured it.
    pub section: &'static str,
    /// What grows, such as `rows`.
    pub variable: &'static str,
    /// Size.
    pub size: usize,
    /// What was measured.
    pub quantity: &'static str,
    /// Value.
    pub value: f64,
    /// Unit of the value.
    pub unit: &'static str,
}

/// All figures of one run.
#[derive(Debug, Default)]
#[derive(Serialize)]
pub(crate) struct Report {
    figures: Vec<Figure>,
}

impl Report {
    /// Adds a figure.
    pub(crate) fn add(&mut self, figure: Figure) {
        self.figures.push(figure);
    }

    /// Prints all figures in columns, followed by the slope of each quantity.
    pub(crate) fn print(&self) {
        println!(
            "{:<11} {:<26} {:>10} {:<10} {:>14} UNIT",
            "SECTION", "QUANTITY", "SIZE", "OF", "VALUE"
        );
        for f in &self.figures {
            println!(
                "{:<11} {:<26} {:>10} {:<10} {:>14.3} {}",
                f.section, f.quantity, f.size, f.variable, f.value, f.unit
            );
        }
        println!("\nslopes (largest against smallest size)");
        for (first, last) in self.ranges() {
            #[allow(clippy::cast_precision_loss)]
            let slope = (last.value - first.value) / (last.size - first.size) as f64;
            println!(
                "{:<11} {:<26} {slope:>14.6} {} per {}",
                first.section, first.quantity, first.unit, first.variable
            );
        }
    }

    /// Smallest and largest size of each quantity that was measured at several sizes.
    fn ranges(&self) -> Vec<(&Figure, &Figure)> {
        let mut ranges: Vec<(&Figure, &Figure)> = Vec::new();
        for f in &self.figures {
            let same = |(first, _): &&mut (&Figure, &Figure)| {
                (first.section, first.quantity) == (f.section, f.quantity)
            };
            match ranges.iter_mut().find(same) {
                Some((_, last)) => *last = f,
                None => ranges.push((f, f)),
            }
        }
        ranges.retain(|(first, last)| last.size > first.size);
        ranges
    }
}

/// Value of `build`, the bytes that it occupies and the time that it took.
pub(crate) fn build<T>(build: impl FnOnce() -> T) -> (T, usize, Duration) {
    let before = ALLOCATOR.current_usage();
    let start = Instant::now();
    let value = build();
    let elapsed = start.elapsed();
    (value, ALLOCATOR.current_usage().saturating_sub(before), elapsed)
}

/// Mean time of one of `count` calls to `f`, in microseconds.
#[allow(clippy::cast_precision_loss)]
pub(crate) fn mean_micros(count: usize, mut f: impl FnMut(usize)) -> f64 {
    let start = Instant::now();
    for i in 0..count {
        f(i);
    }
    start.elapsed().as_secs_f64() * 1e6 / count as f64
}
