//! Offers the workload of a deployment to its nodes and collects how every request ended.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use anyhow::Context;
use anyhow::Result;
use indicatif::ProgressBar;
use indicatif::ProgressStyle;
use tokio::task::JoinSet;
use tokio::time::Instant;

use crate::ops::demo::deployment::Plan;
use crate::ops::demo::deployment::Work;
use crate::ops::demo::fleet::Fleet;
use crate::ops::demo::workload::Caller;
use crate::ops::demo::workload::Ended;
use crate::ops::demo::workload::Generator;
use crate::ops::demo::workload::Record;

/// Time between two updates of the progress display.
const PROGRESS_INTERVAL: Duration = Duration::from_millis(100);

/// Counts of a run in progress.
#[derive(Debug, Default)]
pub struct Progress {
    offered: AtomicUsize,
    answered: AtomicUsize,
    not_run: AtomicUsize,
    other: AtomicUsize,
}

impl Progress {
    fn end(&self, ended: Ended) {
        let count = match ended {
            Ended::Answered => &self.answered,
            Ended::NotRun => &self.not_run,
            Ended::Unknown | Ended::Nothing => &self.other,
        };
        count.fetch_add(1, Ordering::Relaxed);
    }

    fn text(&self) -> String {
        let get = |count: &AtomicUsize| count.load(Ordering::Relaxed);
        let (offered, answered) = (get(&self.offered), get(&self.answered));
        let (not_run, other) = (get(&self.not_run), get(&self.other));
        let running = offered.saturating_sub(answered + not_run + other);
        format!("offered {offered}, answered {answered}, not run {not_run}, running {running}")
    }
}

/// Offers requests for `load` to the nodes whose caller listeners are at `bases`.
///
/// The callers of each availability zone prefer another node. The result has
/// one record for every request offered.
///
/// # Errors
/// The HTTP client can't be set up.
pub async fn drive(
    plan: &Arc<Plan>,
    fleet: &Fleet,
    bases: &[String],
    load: Duration,
    seed: u64,
    progress: &Arc<Progress>,
) -> Result<Vec<Record>> {
    let callers = (0..plan.zones.len())
        .map(|zone| {
            let mut own = bases.to_vec();
            own.rotate_left(zone % bases.len().max(1));
            Caller::new(plan.clone(), own).map(Arc::new)
        })
        .collect::<Result<Vec<_>, _>>()
        .context("cannot set up the HTTP client")?;
    let records = Arc::new(Mutex::new(Vec::new()));
    let mut running = JoinSet::new();
    let start = Instant::now();
    for (at, req) in Generator::new(plan, seed).take_while(|(at, _)| *at < load) {
        tokio::time::sleep_until(start + at).await;
        let draft = matches!(req.kind.work, Work::Draft { .. });
        let stalled = draft && !fleet.has_loaded(&plan.model(req.adapter));
        let index = usize::try_from(req.number).unwrap_or(0) % callers.len();
        let (caller, records) = (callers[index].clone(), records.clone());
        let progress = progress.clone();
        progress.offered.fetch_add(1, Ordering::Relaxed);
        running.spawn(async move {
            let record = caller.run(&req, stalled).await;
            progress.end(record.ended);
            records.lock().unwrap_or_else(PoisonError::into_inner).push(record);
        });
    }
    while let Some(ended) = running.join_next().await {
        ended.context("a caller of the demo failed")?;
    }
    let records = std::mem::take(&mut *records.lock().unwrap_or_else(PoisonError::into_inner));
    Ok(records)
}

/// Shows `progress` on the terminal until the result is dropped.
pub fn show(progress: &Arc<Progress>, load: Duration) -> Display {
    let bar = ProgressBar::new(u64::try_from(load.as_millis()).unwrap_or(u64::MAX));
    let style = ProgressStyle::with_template("{elapsed:>4} {bar:30} {msg}");
    bar.set_style(style.unwrap_or_else(|_| ProgressStyle::default_bar()));
    let (shown, progress) = (bar.clone(), progress.clone());
    let task = tokio::spawn(async move {
        loop {
            tokio::time::sleep(PROGRESS_INTERVAL).await;
            let elapsed = u64::try_from(shown.elapsed().as_millis()).unwrap_or(u64::MAX);
            shown.set_position(elapsed.min(shown.length().unwrap_or(elapsed)));
            shown.set_message(progress.text());
        }
    });
    Display { bar, task }
}

/// Progress display.
pub struct Display {
    bar: ProgressBar,
    task: tokio::task::JoinHandle<()>,
}

impl Drop for Display {
    fn drop(&mut self) {
        self.task.abort();
        self.bar.finish_and_clear();
    }
}
