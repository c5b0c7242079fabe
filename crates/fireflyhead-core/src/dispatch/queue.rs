//! Weighted fair queueing over table rows.
//!
//! A row holds a lane per adapter. A lane is ready while its adapter can run
//! jobs; only ready lanes take part in the choice, so that a decision never
//! looks at jobs that could not run. Rows are ordered by start tag (start-time
//! fair queueing); a job advances its row's tag by its cost over the row's weight.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::time::Duration;

use crate::types::JobId;
use crate::types::RowId;
use crate::types::Time;

/// Virtual time of one unit of cost at weight 1.
const TAG_SCALE: f64 = 1024.0;

/// Rows kept before rows that hold no state are dropped.
const ROWS_BEFORE_SWEEP: usize = 1024;

/// Lane of a row: the index of its adapter, or `None` for jobs without one.
pub(super) type LaneId = Option<u32>;

/// Position of a job within its row: earliest deadline first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) struct JobKey {
    pub(super) deadline: Time,
    pub(super) seq: u64,
}

/// Place and size of a queued job.
#[derive(Clone, Copy, Debug)]
pub(super) struct Ticket {
    pub(super) id: JobId,
    pub(super) row: RowId,
    /// Class of the row.
    pub(super) class: RowId,
    pub(super) lane: LaneId,
    pub(super) key: JobKey,
    pub(super) submitted: Time,
    pub(super) retry: bool,
    pub(super) cost: u32,
}

#[derive(Debug, Default)]
struct Lane {
    ready: bool,
    cost: u64,
    jobs: BTreeMap<JobKey, JobId>,
    /// The same jobs by time of submission.
    ages: BTreeMap<(Time, u64), JobId>,
}

#[derive(Debug)]
struct Row {
    class: RowId,
    weight: f64,
    tag: u64,
    /// Cost of the jobs in ready lanes.
    ready_cost: u64,
    lanes: HashMap<LaneId, Lane>,
    /// First job of each ready lane.
    heads: BTreeSet<(JobKey, LaneId)>,
    /// Oldest job of each ready lane.
    oldest: BTreeSet<(Time, u64, LaneId)>,
}

/// Jobs in the order of fair shares of their rows.
#[derive(Debug, Default)]
pub(super) struct FairQueue {
    rows: HashMap<RowId, Row>,
    /// Rows with ready jobs, by tag.
    active: BTreeSet<(u64, RowId)>,
    /// The same rows by class.
    by_class: BTreeSet<(RowId, u64, RowId)>,
    active_weight: f64,
    virtual_time: u64,
    ready_cost: u64,
    queued: usize,
    sweep_at: usize,
}

impl FairQueue {
    /// Queued jobs.
    pub(super) fn len(&self) -> usize {
        self.queued
    }

    /// Whether a job could run now.
    pub(super) fn has_ready(&self) -> bool {
        !self.active.is_empty()
    }

    /// Cost of all jobs that could run now.
    pub(super) fn ready_cost(&self) -> u64 {
        self.ready_cost
    }

    /// Cost served before a new job of `row` starts, under fair shares of the active rows.
    pub(super) fn cost_ahead(&self, row: RowId, weight: f64) -> f64 {
        let (own, others) = match self.rows.get(&row) {
            Some(found) if found.ready_cost > 0 => (found.ready_cost as f64, self.active_weight),
            _ => (0.0, self.active_weight + weight),
        };
        (own * others / weight).min(self.ready_cost as f64)
    }

    /// Adds a job; `ready` says whether its lane can run.
    pub(super) fn insert(&mut self, ticket: &Ticket, weight: f64, ready: bool) {
        self.sweep();
        let tag = self.virtual_time;
        let row =
            self.rows.entry(ticket.row).or_insert_with(|| Row::new(ticket.class, weight, tag));
        let was = row.begin_change(ticket.lane);
        let lane = row.lanes.entry(ticket.lane).or_default();
        lane.ready = ready;
        lane.cost += u64::from(ticket.cost);
        lane.jobs.insert(ticket.key, ticket.id);
        lane.ages.insert((ticket.submitted, ticket.key.seq), ticket.id);
        self.queued += 1;
        self.end_change(ticket.row, ticket.lane, was);
    }

    /// Removes a job.
    pub(super) fn remove(&mut self, ticket: &Ticket) {
        let Some(row) = self.rows.get_mut(&ticket.row) else { return };
        let was = row.begin_change(ticket.lane);
        if let Some(lane) = row.lanes.get_mut(&ticket.lane)
            && lane.jobs.remove(&ticket.key).is_some()
        {
            lane.ages.remove(&(ticket.submitted, ticket.key.seq));
            lane.cost -= u64::from(ticket.cost);
            self.queued -= 1;
        }
        self.end_change(ticket.row, ticket.lane, was);
    }

    /// Marks a lane as able or unable to run.
    pub(super) fn set_ready(&mut self, id: RowId, lane_id: LaneId, ready: bool) {
        let Some(row) = self.rows.get_mut(&id) else { return };
        let was = row.begin_change(lane_id);
        if let Some(lane) = row.lanes.get_mut(&lane_id) {
            lane.ready = ready;
        }
        self.end_change(id, lane_id, was);
    }

    /// Whether a job of a class could run now.
    pub(super) fn has_ready_class(&self, class: RowId) -> bool {
        self.first_of(class).is_some()
    }

    /// Job to run next. A job older than `age_bound` goes before the others of its row.
    pub(super) fn peek(&self, now: Time, age_bound: Duration) -> Option<JobId> {
        self.active.first().and_then(|(_, id)| self.peek_row(*id, now, age_bound))
    }

    /// Job of a class to run next.
    pub(super) fn peek_class(&self, class: RowId, now: Time, age_bound: Duration) -> Option<JobId> {
        self.first_of(class).and_then(|id| self.peek_row(id, now, age_bound))
    }

    fn first_of(&self, class: RowId) -> Option<RowId> {
        let first = (class, 0, RowId(0));
        let last = (class, u64::MAX, RowId(u64::MAX));
        self.by_class.range(first..=last).next().map(|(_, _, row)| *row)
    }

    fn peek_row(&self, id: RowId, now: Time, age_bound: Duration) -> Option<JobId> {
        let row = self.rows.get(&id)?;
        if let Some(&(submitted, seq, lane)) = row.oldest.first()
            && now.since(submitted) >= age_bound
        {
            return row.lanes[&lane].ages.get(&(submitted, seq)).copied();
        }
        let (key, lane) = row.heads.first()?;
        row.lanes[lane].jobs.get(key).copied()
    }

    /// Charges a row for a job that is about to start; call before [`FairQueue::remove`].
    pub(super) fn charge(&mut self, id: RowId, cost: u32) {
        // A row that is served for its floor may be ahead of the others.
        let first = self.active.first().map_or(0, |(tag, _)| *tag);
        self.virtual_time = self.virtual_time.max(first);
        let Some(row) = self.rows.get_mut(&id) else { return };
        let active = self.active.remove(&(row.tag, id));
        self.by_class.remove(&(row.class, row.tag, id));
        row.tag = row.tag.saturating_add((f64::from(cost) * TAG_SCALE / row.weight) as u64);
        if active {
            self.active.insert((row.tag, id));
            self.by_class.insert((row.class, row.tag, id));
        }
    }

    /// Puts other weights in force.
    pub(super) fn reweigh(&mut self, weight_of: impl Fn(RowId) -> f64) {
        for (id, row) in &mut self.rows {
            row.weight = weight_of(*id);
        }
        self.active_weight = self.active.iter().map(|(_, id)| self.rows[id].weight).sum();
    }

    /// Restores the row order and the sums after a change of one lane.
    fn end_change(&mut self, id: RowId, lane_id: LaneId, was: RowSums) {
        let Some(row) = self.rows.get_mut(&id) else { return };
        row.end_change(lane_id);
        self.ready_cost = self.ready_cost - was.ready_cost + row.ready_cost;
        match (was.active, !row.heads.is_empty()) {
            (false, true) => {
                row.tag = row.tag.max(self.virtual_time);
                self.active.insert((row.tag, id));
                self.by_class.insert((row.class, row.tag, id));
                self.active_weight += row.weight;
            }
            (true, false) => {
                self.active.remove(&(row.tag, id));
                self.by_class.remove(&(row.class, row.tag, id));
                self.active_weight -= row.weight;
                if self.active.is_empty() {
                    self.active_weight = 0.0;
                }
            }
            _ => {}
        }
    }

    /// Drops rows without jobs whose tag has no effect any more.
    fn sweep(&mut self) {
        if self.rows.len() < self.sweep_at.max(ROWS_BEFORE_SWEEP) {
            return;
        }
        let virtual_time = self.virtual_time;
        self.rows.retain(|_, row| !row.lanes.is_empty() || row.tag > virtual_time);
        self.sweep_at = self.rows.len() * 2;
    }
}

/// Figures of a row before a change.
struct RowSums {
    active: bool,
    ready_cost: u64,
}

impl Row {
    fn new(class: RowId, weight: f64, tag: u64) -> Row {
        Row {
            class,
            weight,
            tag,
            ready_cost: 0,
            lanes: HashMap::new(),
            heads: BTreeSet::new(),
            oldest: BTreeSet::new(),
        }
    }

    /// Takes a lane out of the order of its row.
    fn begin_change(&mut self, lane_id: LaneId) -> RowSums {
        let was = RowSums { active: !self.heads.is_empty(), ready_cost: self.ready_cost };
        if let Some(lane) = self.lanes.get(&lane_id)
            && lane.ready
            && let (Some((key, _)), Some((age, _))) =
                (lane.jobs.first_key_value(), lane.ages.first_key_value())
        {
            self.heads.remove(&(*key, lane_id));
            self.oldest.remove(&(age.0, age.1, lane_id));
            self.ready_cost -= lane.cost;
        }
        was
    }

    /// Puts a lane back into the order of its row, or drops it when empty.
    fn end_change(&mut self, lane_id: LaneId) {
        let Some(lane) = self.lanes.get(&lane_id) else { return };
        match (lane.jobs.first_key_value(), lane.ages.first_key_value()) {
            (Some((key, _)), Some((age, _))) if lane.ready => {
                self.heads.insert((*key, lane_id));
                self.oldest.insert((age.0, age.1, lane_id));
                self.ready_cost += lane.cost;
            }
            (None, _) => {
                self.lanes.remove(&lane_id);
            }
            _ => {}
        }
    }
}
