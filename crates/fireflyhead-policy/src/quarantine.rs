//! Requests that crash upstreams, and those that are refused for it.
//!
//! Handles a fault in which every engine that begins a response to a request with a certain part
//! in its prompt crashes. Such requests arrive at any node, each with other parts, so that every
//! retry and every new request crashes one more engine. Likewise, a single request may crash every
//! upstream that runs it, and come again under another id at any node. The content of a request as a
//! whole is therefore treated as one more part.
//!
//! Evidence is a set of crashes. The suspects of a crash are the parts of the requests that were at
//! the upstream without output. A part that later begins a response is cleared of the crash. A part
//! that remains suspect in several crashes is quarantined. A sound part that shares all crashes with
//! the deadly one is refused only in combination with it, and a request of a quarantined group is
//! let through from time to time, so that a wrong verdict is corrected.
//!
//! Nodes exchange the crashes. Merging them is idempotent and independent of their order, so that
//! nodes that have received the same crashes reach the same verdict.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::fmt;
use std::time::Duration;

use crate::Name;
use crate::Time;
use crate::rendezvous;

/// Number of crashes that are kept.
pub const MAX_CRASHES: usize = 32;
/// Number of crashes in one message.
pub const MAX_REPORTS: usize = 16;
/// Number of parts that are kept for a crash, suspect or cleared.
pub const MAX_PARTS_PER_CRASH: usize = 16;
/// Number of these that prompt parts, or the contents of requests, are given in any case. Each request
/// has a content of its own, so that contents would displace the prompt parts.
const MIN_PARTS_OF_KIND: usize = MAX_PARTS_PER_CRASH / 2;
/// Age at which a crash no longer counts, unless one of its suspects is suspect in a newer crash.
pub const MAX_CRASH_AGE: Duration = Duration::from_secs(600);
/// Age at which a crash no longer counts in any case.
pub const MAX_EVIDENCE_AGE: Duration = Duration::from_secs(3_600);
/// Age at which a crash without suspects is no longer sent at intervals. It is kept, because a node
/// that was cut off may not know yet that its parts are cleared.
const MAX_CLEARED_AGE: Duration = Duration::from_secs(60);
/// Number of crashes after which a part is quarantined.
const MIN_CRASHES: usize = 3;
/// Number of crashes after which a part is quarantined if it was cleared of another crash, or if
/// all crashes happened within [`MIN_SPAN`] or [`MIN_CONTENT_SPAN`].
const MIN_CRASHES_IN_DOUBT: usize = 5;
/// Time between the first and the last crash of a part, below which the crashes may have a common
/// cause, such as the loss of a rack.
const MIN_SPAN: Duration = Duration::from_millis(250);
/// The same for the content of a request. Several upstreams seldom run the same request at a time, so
/// that only crashes at the same moment are in doubt.
const MIN_CONTENT_SPAN: Duration = Duration::from_millis(20);
/// Time after the last output for a part during which it is not quarantined. If many engines crash
/// at once, the next output clears the part.
const RECENT_OUTPUT: Duration = Duration::from_secs(1);
/// Shortest time from the last crash of a group to a trial. It doubles with each failed trial.
const TRIAL_INTERVAL: Duration = Duration::from_secs(60);
/// Largest number of times that the interval is doubled; more would exceed [`MAX_CRASH_AGE`].
const MAX_TRIAL_DOUBLINGS: u32 = 3;
/// Time for which a broken connection waits for proof that the engine crashed.
const CONFIRM_TIMEOUT: Duration = Duration::from_secs(10);
/// Number of engines with broken connections that wait for proof.
const MAX_UNCONFIRMED: usize = 256;
/// Number of parts for which the time of the last output is kept.
const MAX_OUTPUTS: usize = 4_096;
/// Time for which the output of a part is kept when there are many parts. A crash is known to all
/// nodes earlier.
const MIN_OUTPUT_AGE: Duration = Duration::from_secs(10);
/// Shortest and longest time after which a caller may send a refused request again.
const RETRY_AFTER_RANGE: (Duration, Duration) = (Duration::from_secs(1), TRIAL_INTERVAL);

/// Upper bits of the ids of contents. The id of one in 65,536 prompt parts has them too, and is
/// quarantined after crashes within a shorter time.
const CONTENT_TAG: u64 = 0xc0de << CONTENT_BITS;
/// Number of lower bits of a content's id that its hash takes.
const CONTENT_BITS: u32 = 48;

/// Part of a prompt, or the content of a request as a whole. All nodes compute the same id for it.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct PartId(pub u64);

impl PartId {
    /// Returns the id of `part` of the prompts of `service`.
    pub fn new(service: &str, part: &str) -> PartId {
        PartId(rendezvous::weight(service, part))
    }

    /// Returns whether this is the content of a request.
    fn is_content(self) -> bool {
        self.0 >> CONTENT_BITS == CONTENT_TAG >> CONTENT_BITS
    }
}

/// Content of a request: two attempts of a caller to get the same have the same one under different
/// request ids.
#[derive(Clone, Copy, Debug)]
pub struct RequestContent<'a> {
    /// Host that the request is for.
    pub host: &'a str,
    /// Method.
    pub method: &'a str,
    /// Path and query.
    pub target: &'a str,
    /// Account of the caller; empty if there are no accounts.
    pub account: &'a str,
    /// Base model; empty for a plain service.
    pub model: &'a str,
    /// Adapter; empty for the base model or a plain service.
    pub adapter: &'a str,
    /// Body.
    pub body: &'a [u8],
}

impl RequestContent<'_> {
    /// Returns the id of the content.
    pub fn id(&self) -> PartId {
        let RequestContent { host, method, target, account, model, adapter, body } = *self;
        let texts = [host, method, target, account, model, adapter];
        let fields = texts.iter().map(|text| text.as_bytes()).chain([body]);
        let hash = rendezvous::hash_fields(fields);
        PartId(CONTENT_TAG | hash >> (u64::BITS - CONTENT_BITS))
    }
}

impl fmt::Display for PartId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// Crash of one start of an engine. All nodes compute the same id for it.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct CrashId(pub u64);

impl CrashId {
    /// Returns the id of the crash of the engine `upstream` that was started at `incarnation`.
    pub fn new(upstream: &str, incarnation: u64) -> CrashId {
        CrashId(rendezvous::weight(upstream, &incarnation.to_string()))
    }
}

impl fmt::Display for CrashId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// What a node knows of a crash, as sent to other nodes. The age is a duration because the clocks
/// of hosts differ.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CrashReport {
    /// Id of the crash.
    pub crash: CrashId,
    /// Time since the crash.
    pub age: Duration,
    /// Parts that may have caused the crash.
    pub suspects: Vec<PartId>,
    /// Parts that have begun a response since the crash.
    pub cleared: Vec<PartId>,
}

/// Crash with the parts of the requests that had no output.
#[derive(Clone, Debug, Eq, PartialEq)]
struct Crash {
    at: Time,
    /// Parts, and whether each is cleared.
    parts: BTreeMap<PartId, bool>,
}

impl Crash {
    fn suspects(&self) -> impl Iterator<Item = PartId> {
        self.parts.iter().filter(|(_, cleared)| !**cleared).map(|(part, _)| *part)
    }

    fn has_suspect(&self, part: PartId) -> bool {
        self.parts.get(&part) == Some(&false)
    }
}

/// Engine whose connection broke before the output of a request.
#[derive(Clone, Debug)]
struct Unconfirmed {
    upstream: Name,
    at: Time,
    parts: BTreeSet<PartId>,
    /// Whether a connection attempt to the engine is in progress.
    probing: bool,
    /// Whether a connection was accepted after the break.
    accepted: bool,
}

/// Result of a connection attempt to an engine whose connections broke.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ProbeResult {
    /// The connection was refused: no process listens at the address.
    Refused,
    /// The connection was accepted.
    Accepted,
    /// There was no reply.
    NoReply,
}

/// Parts that are suspect in the same crashes. A request with all of them is refused.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Group {
    /// Parts, sorted; never empty.
    pub parts: Vec<PartId>,
    /// Crashes, sorted.
    pub crashes: Vec<CrashId>,
    /// Time of the last crash.
    last: Time,
    /// Time from the last crash to the next trial.
    trial_wait: Duration,
}

impl Group {
    fn matches(&self, parts: &[PartId]) -> bool {
        self.parts.iter().all(|part| parts.contains(part))
    }
}

/// Decision on a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// The request may be sent.
    Serve,
    /// The request may be sent once, to find out whether its parts still crash engines.
    Trial,
    /// The request is refused.
    Refuse {
        /// Time after which a retry may succeed.
        retry_after: Duration,
    },
}

/// Change of the quarantined groups.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Change {
    /// Requests with all of these parts are refused from now on.
    Quarantined(Vec<PartId>),
    /// These parts are no longer quarantined together.
    Released(Vec<PartId>),
}

/// Evidence on prompt parts that crash engines, and the verdicts that follow from it.
#[derive(Debug, Default)]
pub struct Quarantine {
    crashes: BTreeMap<CrashId, Crash>,
    unconfirmed: HashMap<CrashId, Unconfirmed>,
    /// Time at which each part last began a response at this node.
    outputs: HashMap<PartId, Time>,
    groups: Vec<Group>,
    /// Time of the last trial of each group, by its first part.
    trials: HashMap<PartId, Time>,
    /// Crashes that the other nodes should learn of at once.
    unsent: BTreeSet<CrashId>,
    changes: Vec<Change>,
}

impl Quarantine {
    /// Records that the connection of a request with `parts` broke before there was output.
    /// Returns the id of the crash to be confirmed by a connection attempt, unless one is in
    /// progress or the crash is known.
    pub fn record_break(
        &mut self,
        now: Time,
        upstream: &Name,
        incarnation: u64,
        parts: &[PartId],
    ) -> Option<CrashId> {
        let id = CrashId::new(upstream.as_str(), incarnation);
        if self.crashes.contains_key(&id) {
            self.add_suspects(now, id, now, parts.iter().copied());
            return None;
        }
        if !self.unconfirmed.contains_key(&id) && self.unconfirmed.len() >= MAX_UNCONFIRMED {
            return None;
        }
        let unconfirmed = self.unconfirmed.entry(id).or_insert_with(|| Unconfirmed {
            upstream: upstream.clone(),
            at: now,
            parts: BTreeSet::new(),
            probing: false,
            accepted: false,
        });
        // The engine still has this start, so that the earlier break was no crash.
        if std::mem::take(&mut unconfirmed.accepted) {
            unconfirmed.at = now;
            unconfirmed.parts.clear();
        }
        unconfirmed.parts.extend(parts);
        (!std::mem::replace(&mut unconfirmed.probing, true)).then_some(id)
    }

    /// Applies the result of a connection attempt. Returns the crash if it is thereby confirmed.
    pub fn record_probe(
        &mut self,
        now: Time,
        id: CrashId,
        result: ProbeResult,
    ) -> Option<CrashReport> {
        match result {
            ProbeResult::Refused => self.confirm(now, id),
            // The engine may have been restarted already, which its entry then shows.
            ProbeResult::Accepted | ProbeResult::NoReply => {
                if let Some(unconfirmed) = self.unconfirmed.get_mut(&id) {
                    unconfirmed.probing = false;
                    unconfirmed.accepted = result == ProbeResult::Accepted;
                }
                None
            }
        }
    }

    /// Drops what is known of broken connections of an engine that drains or was removed.
    pub fn forget_upstream(&mut self, upstream: &str) {
        self.unconfirmed.retain(|_, unconfirmed| unconfirmed.upstream.as_str() != upstream);
    }

    /// Records that an engine is listed as started at `incarnation`. Returns the crash of its
    /// previous start if that is thereby confirmed.
    pub fn record_start(
        &mut self,
        now: Time,
        upstream: &str,
        incarnation: u64,
    ) -> Option<CrashReport> {
        let current = CrashId::new(upstream, incarnation);
        let (id, _) = self.unconfirmed.iter().find(|(id, unconfirmed)| {
            unconfirmed.upstream.as_str() == upstream
                && **id != current
                && now.since(unconfirmed.at) < CONFIRM_TIMEOUT
        })?;
        self.confirm(now, *id)
    }

    fn confirm(&mut self, now: Time, id: CrashId) -> Option<CrashReport> {
        let Unconfirmed { at, parts, .. } = self.unconfirmed.remove(&id)?;
        self.add_suspects(now, id, at, parts.into_iter());
        self.unsent.insert(id);
        self.crashes.get(&id).map(|crash| report(now, id, crash))
    }

    /// Records that a response to a request with `parts` has begun.
    pub fn record_output(&mut self, now: Time, parts: &[PartId]) {
        if self.outputs.len() >= MAX_OUTPUTS {
            self.outputs.retain(|_, at| now.since(*at) < MIN_OUTPUT_AGE);
        }
        let mut changed = false;
        for part in parts {
            if self.outputs.len() < MAX_OUTPUTS || self.outputs.contains_key(part) {
                self.outputs.insert(*part, now);
            }
            changed |= self.clear(*part, now);
        }
        if changed {
            self.evaluate(now);
        }
    }

    /// Clears `part`, which began a response at `at`, of the crashes until then; returns whether it
    /// was suspect. Other nodes learn of it at once if the part is suspect in several crashes.
    fn clear(&mut self, part: PartId, at: Time) -> bool {
        let suspected: Vec<CrashId> = self
            .crashes
            .iter()
            .filter(|(_, crash)| crash.at <= at && crash.has_suspect(part))
            .map(|(id, _)| *id)
            .collect();
        for id in &suspected {
            if let Some(crash) = self.crashes.get_mut(id) {
                crash.parts.insert(part, true);
            }
        }
        if suspected.len() >= 2 {
            self.unsent.extend(&suspected);
        }
        !suspected.is_empty()
    }

    /// Merges the crashes that another node reported.
    pub fn merge(&mut self, now: Time, reports: &[CrashReport]) {
        let mut recent: BTreeSet<PartId> = self
            .crashes
            .values()
            .filter(|crash| now.since(crash.at) < MAX_CRASH_AGE)
            .flat_map(Crash::suspects)
            .collect();
        for report in reports.iter().filter(|report| report.age < MAX_CRASH_AGE) {
            recent.extend(&report.suspects);
        }
        for report in reports.iter().take(MAX_REPORTS) {
            let limit = match report.suspects.iter().any(|part| recent.contains(part)) {
                true => MAX_EVIDENCE_AGE,
                false => MAX_CRASH_AGE,
            };
            if report.age >= limit {
                continue;
            }
            let suspects = report.suspects.iter().take(MAX_PARTS_PER_CRASH).copied();
            self.add_parts(report.crash, now - report.age, suspects.map(|part| (part, false)));
            let cleared = report.cleared.iter().take(MAX_PARTS_PER_CRASH).copied();
            self.add_parts(report.crash, now - report.age, cleared.map(|part| (part, true)));
            if let Some(unconfirmed) = self.unconfirmed.remove(&report.crash) {
                let parts = unconfirmed.parts.into_iter();
                self.add_parts(report.crash, unconfirmed.at, parts.map(|part| (part, false)));
                self.unsent.insert(report.crash);
            }
        }
        for report in reports.iter().take(MAX_REPORTS) {
            self.apply_outputs(report.crash);
        }
        self.bound_crashes();
        self.evaluate(now);
    }

    fn add_suspects(
        &mut self,
        now: Time,
        id: CrashId,
        at: Time,
        parts: impl Iterator<Item = PartId>,
    ) {
        let known = self.crashes.get(&id).map(|crash| crash.parts.len());
        self.add_parts(id, at, parts.map(|part| (part, false)));
        if self.crashes.get(&id).map(|crash| crash.parts.len()) != known {
            self.unsent.insert(id);
        }
        self.apply_outputs(id);
        self.bound_crashes();
        self.evaluate(now);
    }

    /// Adds parts to a crash; a part that is cleared stays cleared, and the earliest time counts.
    fn add_parts(&mut self, id: CrashId, at: Time, parts: impl Iterator<Item = (PartId, bool)>) {
        let crash = self.crashes.entry(id).or_insert(Crash { at, parts: BTreeMap::new() });
        crash.at = crash.at.min(at);
        for (part, cleared) in parts {
            *crash.parts.entry(part).or_insert(false) |= cleared;
        }
        if crash.parts.len() > MAX_PARTS_PER_CRASH {
            self.bound_parts(id);
        }
    }

    /// Clears the parts of a crash that have begun a response at this node since then.
    fn apply_outputs(&mut self, id: CrashId) {
        let Some(crash) = self.crashes.get(&id) else { return };
        let at = crash.at;
        let outputs: Vec<(PartId, Time)> = crash
            .suspects()
            .filter_map(|part| Some((part, *self.outputs.get(&part)?)))
            .filter(|(_, output)| *output >= at)
            .collect();
        for (part, output) in outputs {
            self.clear(part, output);
        }
    }

    /// Keeps [`MAX_PARTS_PER_CRASH`] suspects of a crash and as many cleared parts: those that are
    /// suspect in most other crashes, and among equals those without output at this node. Prompt parts
    /// and contents have [`MIN_PARTS_OF_KIND`] each.
    fn bound_parts(&mut self, id: CrashId) {
        let Some(crash) = self.crashes.get(&id) else { return };
        let mut ranked: Vec<(bool, usize, bool, u64, PartId)> = crash
            .parts
            .iter()
            .map(|(part, cleared)| {
                let others = self.crashes.values().filter(|other| other.has_suspect(*part)).count();
                // Another order for each crash, so that no part is dropped from all of them.
                let order = part.0 ^ id.0;
                (*cleared, usize::MAX - others, self.outputs.contains_key(part), order, *part)
            })
            .collect();
        ranked.sort_unstable();
        let mut dropped = Vec::new();
        for class in ranked.chunk_by(|a, b| a.0 == b.0) {
            let (contents, prompt_parts): (Vec<PartId>, Vec<PartId>) =
                class.iter().map(|(.., part)| *part).partition(|part| part.is_content());
            let kept_contents = (MAX_PARTS_PER_CRASH - prompt_parts.len().min(MIN_PARTS_OF_KIND))
                .min(contents.len());
            let kept_prompt_parts = MAX_PARTS_PER_CRASH - kept_contents;
            dropped.extend(contents.into_iter().skip(kept_contents));
            dropped.extend(prompt_parts.into_iter().skip(kept_prompt_parts));
        }
        if let Some(crash) = self.crashes.get_mut(&id) {
            dropped.iter().for_each(|part| {
                crash.parts.remove(part);
            });
        }
    }

    /// Keeps [`MAX_CRASHES`] crashes: those with a part that is suspect in many crashes, and among
    /// equals the newest.
    fn bound_crashes(&mut self) {
        while self.crashes.len() > MAX_CRASHES {
            let mut counts: HashMap<PartId, usize> = HashMap::new();
            for part in self.crashes.values().flat_map(Crash::suspects) {
                *counts.entry(part).or_insert(0) += 1;
            }
            let least = self.crashes.iter().min_by_key(|(id, crash)| {
                let most = crash.suspects().map(|part| counts[&part]).max().unwrap_or(0);
                (most, crash.at, **id)
            });
            let Some((id, _)) = least else { return };
            let id = *id;
            self.crashes.remove(&id);
        }
    }

    /// Drops outdated evidence and decides anew.
    pub fn refresh(&mut self, now: Time) {
        let mut newest: HashMap<PartId, Time> = HashMap::new();
        for crash in self.crashes.values() {
            for part in crash.suspects() {
                let at = newest.entry(part).or_insert(crash.at);
                *at = crash.at.max(*at);
            }
        }
        self.crashes.retain(|_, crash| {
            let last = crash.suspects().map(|part| newest[&part]).max().unwrap_or(crash.at);
            now.since(last) < MAX_CRASH_AGE && now.since(crash.at) < MAX_EVIDENCE_AGE
        });
        self.unconfirmed.retain(|_, unconfirmed| now.since(unconfirmed.at) < CONFIRM_TIMEOUT);
        self.trials.retain(|_, at| now.since(*at) < MAX_CRASH_AGE);
        self.evaluate(now);
    }

    /// Decides which groups of parts are quarantined, and notes the changes.
    fn evaluate(&mut self, now: Time) {
        let groups = self.find_groups(now);
        let parts_of = |groups: &[Group]| -> BTreeSet<Vec<PartId>> {
            groups.iter().map(|group| group.parts.clone()).collect()
        };
        let (old, new) = (parts_of(&self.groups), parts_of(&groups));
        self.changes.extend(new.difference(&old).cloned().map(Change::Quarantined));
        self.changes.extend(old.difference(&new).cloned().map(Change::Released));
        self.groups = groups;
    }

    /// Returns the groups that explain the crashes: repeatedly the part that is suspect in most of
    /// the crashes that are not explained yet, with the parts that are suspect in the same ones.
    fn find_groups(&self, now: Time) -> Vec<Group> {
        let mut groups = Vec::new();
        let mut explained: BTreeSet<CrashId> = BTreeSet::new();
        loop {
            let mut crashes_of: BTreeMap<PartId, Vec<CrashId>> = BTreeMap::new();
            for (id, crash) in self.crashes.iter().filter(|(id, _)| !explained.contains(*id)) {
                for part in crash.suspects() {
                    crashes_of.entry(part).or_default().push(*id);
                }
            }
            let best = crashes_of
                .iter()
                .filter(|(part, crashes)| self.is_guilty(now, **part, crashes))
                .max_by_key(|(part, crashes)| (crashes.len(), std::cmp::Reverse(**part)));
            let Some((_, crashes)) = best else { return groups };
            let parts = crashes_of.iter().filter(|(_, others)| *others == crashes);
            let parts = parts.map(|(part, _)| *part).collect();
            explained.extend(crashes);
            groups.push(self.group(parts, crashes.clone()));
        }
    }

    /// Returns whether the crashes in which `part` is suspect are enough to quarantine it.
    fn is_guilty(&self, now: Time, part: PartId, crashes: &[CrashId]) -> bool {
        let recent_output =
            self.outputs.get(&part).is_some_and(|at| now.since(*at) < RECENT_OUTPUT);
        if recent_output || crashes.len() < MIN_CRASHES {
            return false;
        }
        let times = self.times(crashes);
        let min_span = if part.is_content() { MIN_CONTENT_SPAN } else { MIN_SPAN };
        let short = times.last().is_some_and(|last| last.since(times[0]) < min_span);
        let was_cleared = self.crashes.values().any(|crash| crash.parts.get(&part) == Some(&true));
        !(short || was_cleared) || crashes.len() >= MIN_CRASHES_IN_DOUBT
    }

    /// Returns the times of crashes, earliest first.
    fn times(&self, crashes: &[CrashId]) -> Vec<Time> {
        let mut times: Vec<Time> =
            crashes.iter().filter_map(|id| Some(self.crashes.get(id)?.at)).collect();
        times.sort_unstable();
        times
    }

    fn group(&self, parts: Vec<PartId>, crashes: Vec<CrashId>) -> Group {
        let times = self.times(&crashes);
        let failed_trials =
            times.windows(2).filter(|pair| pair[1].since(pair[0]) >= TRIAL_INTERVAL).count();
        let doublings = u32::try_from(failed_trials).unwrap_or(u32::MAX).min(MAX_TRIAL_DOUBLINGS);
        Group {
            parts,
            crashes,
            last: times.last().copied().unwrap_or_default(),
            trial_wait: TRIAL_INTERVAL * (1 << doublings),
        }
    }

    /// Decides on a request with `parts`. `runs_trials` tells whether this node runs the trials of
    /// the group with the given first part.
    pub fn check(
        &mut self,
        now: Time,
        parts: &[PartId],
        runs_trials: impl Fn(PartId) -> bool,
    ) -> Verdict {
        let Some(group) = self.groups.iter().find(|group| group.matches(parts)) else {
            return Verdict::Serve;
        };
        let first = group.parts[0];
        let last_trial = self.trials.get(&first).copied().unwrap_or_default();
        let next_trial = (group.last + group.trial_wait).max(last_trial + TRIAL_INTERVAL);
        let is_suspect =
            |part: &PartId| self.crashes.values().any(|crash| crash.has_suspect(*part));
        let mut others = parts.iter().filter(|part| !group.parts.contains(part));
        if now >= next_trial && !others.any(is_suspect) && runs_trials(first) {
            self.trials.insert(first, now);
            return Verdict::Trial;
        }
        let (least, most) = RETRY_AFTER_RANGE;
        Verdict::Refuse { retry_after: next_trial.since(now).clamp(least, most) }
    }

    /// Returns whether a request with `parts` is to be refused, without starting a trial.
    pub fn is_refused(&self, parts: &[PartId]) -> bool {
        self.groups.iter().any(|group| group.matches(parts))
    }

    /// Returns the quarantined groups.
    pub fn groups(&self) -> &[Group] {
        &self.groups
    }

    /// Returns the crashes of each quarantined group, with the first part of the group.
    pub fn group_reports(&self, now: Time) -> Vec<(PartId, Vec<CrashReport>)> {
        let reports = |group: &Group| {
            let crashes = group.crashes.iter();
            crashes.filter_map(|id| Some(report(now, *id, self.crashes.get(id)?))).collect()
        };
        self.groups.iter().map(|group| (group.parts[0], reports(group))).collect()
    }

    /// Returns the number of crashes that are kept.
    pub fn crash_count(&self) -> usize {
        self.crashes.len()
    }

    /// Returns the changes of the groups since the last call.
    pub fn take_changes(&mut self) -> Vec<Change> {
        std::mem::take(&mut self.changes)
    }

    /// Returns whether there are crashes that the other nodes should learn of at once.
    pub fn has_unsent(&self) -> bool {
        !self.unsent.is_empty()
    }

    /// Returns up to [`MAX_REPORTS`] of the crashes that the other nodes should learn of at once, and
    /// forgets that they should learn of these.
    pub fn take_unsent(&mut self, now: Time) -> Vec<CrashReport> {
        self.unsent.retain(|id| self.crashes.contains_key(id));
        let mut reports = Vec::new();
        while reports.len() < MAX_REPORTS
            && let Some(id) = self.unsent.pop_first()
        {
            reports.extend(self.crashes.get(&id).map(|crash| report(now, id, crash)));
        }
        reports
    }

    /// Returns the crashes for a periodic message: those of the quarantined groups and the newest
    /// others.
    pub fn reports(&self, now: Time) -> Vec<CrashReport> {
        let grouped: BTreeSet<CrashId> =
            self.groups.iter().flat_map(|group| group.crashes.iter().copied()).collect();
        let mut crashes: Vec<(&CrashId, &Crash)> = self
            .crashes
            .iter()
            .filter(|(_, crash)| {
                crash.suspects().next().is_some() || now.since(crash.at) < MAX_CLEARED_AGE
            })
            .collect();
        crashes
            .sort_by_key(|(id, crash)| (!grouped.contains(*id), std::cmp::Reverse(crash.at), **id));
        let reports = crashes.into_iter().map(|(id, crash)| report(now, *id, crash));
        reports.take(MAX_REPORTS).collect()
    }
}

fn report(now: Time, id: CrashId, crash: &Crash) -> CrashReport {
    CrashReport {
        crash: id,
        age: now.since(crash.at),
        suspects: crash.suspects().collect(),
        cleared: crash.parts.iter().filter(|(_, cleared)| **cleared).map(|(p, _)| *p).collect(),
    }
}
