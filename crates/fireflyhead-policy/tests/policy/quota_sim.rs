//! Nodes with quotas, their network and their store in virtual time, with faults.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BinaryHeap;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use fireflyhead_policy::Name;
use fireflyhead_policy::Time;
use fireflyhead_policy::accounts::Quota;
use fireflyhead_policy::era::Era;
use fireflyhead_policy::message::Datagram;
use fireflyhead_policy::quota::QuotaGrant;
use fireflyhead_policy::quota::QuotaRequest;
use fireflyhead_policy::quota::QuotaSettings;
use fireflyhead_policy::quota::SLOT_COUNT;
use fireflyhead_policy::quota::Slot;
use fireflyhead_policy::quota::borrower::QuotaDenial;
use fireflyhead_policy::quota::borrower::TakenTokens;
use fireflyhead_policy::quota::borrower::Ticket;
use fireflyhead_policy::quota::borrower::TryTake;
use fireflyhead_policy::quota::node::QuotaNode;
use fireflyhead_policy::quota::owner::AccountQuotas;
use fireflyhead_policy::quota::slots::QUOTA_LEASE_TTL;
use fireflyhead_policy::quota::slots::QUOTA_RENEWAL_INTERVAL;
use fireflyhead_policy::quota::slots::SlotCandidate;
use fireflyhead_policy::quota::slots::SlotClaim;
use fireflyhead_schema::codec;
use fireflyhead_schema::messages as wire;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// Interval at which an active node asks for tokens, as in the gateway.
const TICK: Duration = Duration::from_millis(10);
/// Interval of the checks for slots to claim.
const STORE_STEP: Duration = Duration::from_millis(500);
/// Time after which a call to the store without a reply is given up.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Behavior of the network between nodes.
#[derive(Clone, Copy)]
pub(crate) struct Network {
    pub(crate) max_delay: Duration,
    pub(crate) loss: f64,
    pub(crate) duplicates: f64,
}

/// Fault or change of a schedule.
#[derive(Clone, Debug)]
pub(crate) enum Fault {
    /// The process of a node ends, and starts again after a time.
    Restart(usize, Duration),
    /// A node stands still for a time.
    Freeze(usize, Duration),
    /// A node can't reach the store for a time.
    CutFromStore(usize, Duration),
    /// Two nodes can't reach each other for a time.
    CutLink(usize, usize, Duration),
    /// The store is restored from the copy of the begin of the schedule or the last copy.
    Restore,
    /// The keys of the slots are removed, although their leases have not ended.
    RemoveKeys,
    /// The store is copied.
    Copy,
    /// The accounts change; each node learns of it after at most this time.
    Accounts(Vec<(Name, Quota)>, Duration),
}

#[derive(Clone, Debug)]
enum StoreOp {
    Grant,
    Renew(u64),
    Claim(SlotClaim, u64),
}

#[derive(Clone, Debug)]
enum StoreResult {
    Lease(u64),
    NoLease,
    Applied(u64),
    Conflict,
}

#[derive(Clone, Debug)]
enum Event {
    Request { node: usize, account: usize, cost: u64, runs: bool },
    QuotaRequest { to: usize, request: QuotaRequest },
    QuotaGrant { to: usize, grant: QuotaGrant },
    Tick(usize),
    StoreStep { node: usize, process: u64 },
    Call { node: usize, process: u64, op: StoreOp, era: Era, sent: Time },
    Reply { node: usize, process: u64, op: StoreOp, era: Era, sent: Time, result: StoreResult },
    View { node: usize, process: u64, era: Era, changes: Vec<Change> },
    Snapshot { node: usize, process: u64 },
    LeaseCheck,
    Return { node: usize, process: u64, account: usize, taken: TakenTokens },
    Fault(Fault),
    Start(usize),
    Apply { node: usize, version: usize },
}

/// Slot, value, revision and lease of a key.
type Change = (Slot, Option<Vec<u8>>, u64, u64);

#[derive(Clone, Default)]
struct SimStore {
    era: u64,
    revision: u64,
    next_lease: u64,
    leases: BTreeMap<u64, Time>,
    keys: [Option<(Vec<u8>, u64, u64)>; SLOT_COUNT],
}

struct SimNode {
    name: Name,
    address: SocketAddr,
    /// `None` while the process doesn't run.
    quota: Option<QuotaNode>,
    process: u64,
    /// Difference of its clock to the simulated time.
    offset: Duration,
    frozen_until: Time,
    cut_until: Time,
    ticking: bool,
    call_until: Option<Time>,
    renewed_at: Time,
    waiting: HashMap<Ticket, (usize, bool)>,
    version: usize,
}

/// Counts of requests of one account.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Counts {
    pub(crate) admitted: u64,
    pub(crate) refused: u64,
    pub(crate) unknown: u64,
}

pub(crate) struct Sim {
    pub(crate) settings: QuotaSettings,
    pub(crate) network: Network,
    pub(crate) counts: Vec<Counts>,
    /// Time, account and tokens of each request that ran.
    pub(crate) used: Vec<(Time, usize, u64)>,
    /// Share of the admitted requests that don't run.
    pub(crate) not_run: f64,
    /// Number of datagrams between nodes.
    pub(crate) datagrams: u64,
    /// Bytes that each node sent and received, if they are counted.
    pub(crate) bytes: Option<Vec<u64>>,
    pub(crate) rng: ChaCha8Rng,
    accounts: Vec<Name>,
    versions: Vec<Arc<AccountQuotas>>,
    nodes: Vec<SimNode>,
    cuts: Vec<(usize, usize, Time)>,
    store: SimStore,
    copy: SimStore,
    events: BinaryHeap<Reverse<(Time, u64)>>,
    pending: HashMap<u64, Event>,
    next_event: u64,
    next_process: u64,
    now: Time,
}

impl Sim {
    /// Creates running nodes and a store without keys.
    pub(crate) fn new(
        seed: u64,
        settings: QuotaSettings,
        nodes: usize,
        accounts: &[(Name, Quota)],
        network: Network,
    ) -> Sim {
        let mut sim = Sim {
            settings,
            network,
            counts: vec![Counts::default(); accounts.len()],
            used: Vec::new(),
            not_run: 0.0,
            datagrams: 0,
            bytes: None,
            rng: ChaCha8Rng::seed_from_u64(seed),
            accounts: accounts.iter().map(|(name, _)| name.clone()).collect(),
            versions: vec![quotas(accounts)],
            nodes: Vec::new(),
            cuts: Vec::new(),
            store: SimStore { era: 1, next_lease: 1, ..SimStore::default() },
            copy: SimStore { era: 1, next_lease: 1, ..SimStore::default() },
            events: BinaryHeap::new(),
            pending: HashMap::new(),
            next_event: 0,
            next_process: 1,
            now: Time::from_millis(1_000),
        };
        for number in 0..nodes {
            let offset = Duration::from_millis(sim.rng.random_range(0..10_000_000));
            let port = 7_000 + u16::try_from(number).expect("few nodes");
            sim.nodes.push(SimNode {
                name: Name::from(format!("node-{number}")),
                address: SocketAddr::from(([127, 0, 0, 1], port)),
                quota: None,
                process: 0,
                offset,
                frozen_until: Time::default(),
                cut_until: Time::default(),
                ticking: false,
                call_until: None,
                renewed_at: Time::default(),
                waiting: HashMap::new(),
                version: 0,
            });
            sim.start(number);
        }
        sim
    }

    /// Adds a request of a client at the given time.
    pub(crate) fn request(&mut self, at: Duration, node: usize, account: usize, cost: u64) {
        self.push(
            Time::from_millis(1_000) + at,
            Event::Request { node, account, cost, runs: true },
        );
    }

    /// Adds a request that returns its tokens, since it never runs.
    pub(crate) fn futile_request(&mut self, at: Duration, node: usize, account: usize, cost: u64) {
        let event = Event::Request { node, account, cost, runs: false };
        self.push(Time::from_millis(1_000) + at, event);
    }

    /// Adds a fault at the given time.
    pub(crate) fn fault(&mut self, at: Duration, fault: Fault) {
        self.push(Time::from_millis(1_000) + at, Event::Fault(fault));
    }

    /// Returns the nodes that own slots now.
    pub(crate) fn owners(&self) -> Vec<Option<usize>> {
        let owns = |node: &SimNode, slot| {
            node.quota
                .as_ref()
                .is_some_and(|quota| quota.slots.may_grant(self.now + node.offset, slot))
        };
        Slot::all().map(|slot| self.nodes.iter().position(|node| owns(node, slot))).collect()
    }

    /// Runs until the given time.
    pub(crate) fn run(&mut self, until: Duration) {
        let end = Time::from_millis(1_000) + until;
        while let Some(Reverse((at, id))) = self.events.peek().copied()
            && at <= end
        {
            self.events.pop();
            self.now = self.now.max(at);
            let event = self.pending.remove(&id).expect("each event is pending once");
            self.handle(event);
        }
        self.now = end;
    }

    fn push(&mut self, at: Time, event: Event) {
        self.events.push(Reverse((at, self.next_event)));
        self.pending.insert(self.next_event, event);
        self.next_event += 1;
    }

    fn delay(&mut self) -> Duration {
        let micros = u64::try_from(self.network.max_delay.as_micros()).expect("a short delay");
        Duration::from_micros(self.rng.random_range(200..=micros.max(200)))
    }

    fn start(&mut self, number: usize) {
        let process = self.next_process;
        self.next_process += 1;
        let first_seq = u64::from(self.rng.random::<u32>()) << 24;
        let node = &mut self.nodes[number];
        let mut quota = QuotaNode::new(self.settings, &node.name, node.address, process, first_seq);
        let now = self.now + node.offset;
        let version = self.versions.len() - 1;
        quota.owner.set_accounts(now, self.versions[version].clone());
        quota.slots.set_needed(now, true);
        node.quota = Some(quota);
        node.process = process;
        node.version = version;
        node.call_until = None;
        node.renewed_at = Time::default();
        node.ticking = false;
        node.waiting.clear();
        let delay = self.delay();
        self.push(self.now + delay, Event::Snapshot { node: number, process });
        self.push(self.now + delay * 2, Event::StoreStep { node: number, process });
    }

    /// Returns the node at which an event happens.
    fn place(event: &Event) -> Option<usize> {
        match event {
            Event::Request { node, .. }
            | Event::StoreStep { node, .. }
            | Event::Reply { node, .. }
            | Event::View { node, .. }
            | Event::Snapshot { node, .. }
            | Event::Return { node, .. }
            | Event::Apply { node, .. } => Some(*node),
            Event::QuotaRequest { to, .. } | Event::QuotaGrant { to, .. } => Some(*to),
            Event::Tick(node) => Some(*node),
            Event::Call { .. } | Event::LeaseCheck | Event::Fault(_) | Event::Start(_) => None,
        }
    }

    fn handle(&mut self, event: Event) {
        if let Some(node) = Sim::place(&event) {
            let frozen_until = self.nodes[node].frozen_until;
            if frozen_until > self.now {
                self.push(frozen_until, event);
                return;
            }
            if self.nodes[node].quota.is_none() {
                return;
            }
        }
        match event {
            Event::Request { node, account, cost, runs } => self.take(node, account, cost, runs),
            Event::QuotaRequest { to, request } => self.answer(to, &request),
            Event::QuotaGrant { to, grant } => {
                let node = &mut self.nodes[to];
                let now = self.now + node.offset;
                node.quota.as_mut().expect("it runs").borrower.handle_grant(now, &grant);
                self.exchange(to);
            }
            Event::Tick(node) => {
                self.nodes[node].ticking = false;
                self.exchange(node);
            }
            Event::StoreStep { node, process } => self.store_step(node, process),
            Event::Call { node, process, op, era, sent } => {
                self.store_call(node, process, op, era, sent)
            }
            Event::Reply { node, process, op, era, sent, result } => {
                self.store_reply(node, process, &op, era, sent, &result)
            }
            Event::View { node, process, era, changes } => self.view(node, process, era, &changes),
            Event::Snapshot { node, process } => self.snapshot(node, process),
            Event::LeaseCheck => self.expire_leases(),
            Event::Return { node, process, account, taken } => {
                let now = self.now + self.nodes[node].offset;
                let name = self.accounts[account].clone();
                if self.nodes[node].process == process {
                    let quota = self.nodes[node].quota.as_mut().expect("it runs");
                    quota.borrower.give_back(now, name.as_str(), taken);
                    self.exchange(node);
                }
            }
            Event::Fault(fault) => self.apply_fault(fault),
            Event::Start(node) => self.start(node),
            Event::Apply { node, version } => {
                if self.nodes[node].version < version {
                    let state = &mut self.nodes[node];
                    let now = self.now + state.offset;
                    state.version = version;
                    let accounts = self.versions[version].clone();
                    state.quota.as_mut().expect("it runs").owner.set_accounts(now, accounts);
                }
            }
        }
    }

    fn take(&mut self, number: usize, account: usize, cost: u64, runs: bool) {
        let node = &mut self.nodes[number];
        let now = self.now + node.offset;
        let name = &self.accounts[account];
        let Some(Some(quota)) = self.versions[node.version].get(name) else { return };
        let state = node.quota.as_mut().expect("it runs");
        match state.borrower.try_take(now, name, quota, cost) {
            TryTake::Granted(taken) => self.use_tokens(number, account, taken, runs),
            TryTake::Wait(ticket) => {
                node.waiting.insert(ticket, (account, runs));
            }
            TryTake::Denied(denial) => self.count_denial(account, denial),
        }
        self.exchange(number);
    }

    fn use_tokens(&mut self, number: usize, account: usize, taken: TakenTokens, runs: bool) {
        self.counts[account].admitted += 1;
        if !runs || self.not_run > 0.0 && self.rng.random_bool(self.not_run) {
            let delay = Duration::from_millis(self.rng.random_range(0..400));
            let process = self.nodes[number].process;
            self.push(self.now + delay, Event::Return { node: number, process, account, taken });
            return;
        }
        self.used.push((self.now, account, taken.tokens));
    }

    fn count_denial(&mut self, account: usize, denial: QuotaDenial) {
        match denial {
            QuotaDenial::Exceeded { .. } => self.counts[account].refused += 1,
            QuotaDenial::Unknown => self.counts[account].unknown += 1,
            QuotaDenial::TooLarge => panic!("no request of a schedule is larger than the burst"),
        }
    }

    /// Sends the requests for tokens that are due, and takes the results of waits.
    fn exchange(&mut self, number: usize) {
        let node = &mut self.nodes[number];
        let now = self.now + node.offset;
        let state = node.quota.as_mut().expect("it runs");
        let requests = state.exchange(now);
        let resolved = state.borrower.take_resolved(now);
        if state.borrower.is_active() && !node.ticking {
            node.ticking = true;
            self.push(self.now + TICK, Event::Tick(number));
        }
        for (ticket, result) in resolved {
            let (account, runs) = self.nodes[number].waiting.remove(&ticket).expect("it waits");
            match result {
                Ok(taken) => self.use_tokens(number, account, taken, runs),
                Err(denial) => self.count_denial(account, denial),
            }
        }
        for (address, request) in requests {
            let to = usize::from(address.port() - 7_000);
            self.count_bytes(number, to, &Datagram::QuotaRequest(request.clone()));
            self.send(number, to, |to| Event::QuotaRequest { to, request: request.clone() });
        }
    }

    fn answer(&mut self, number: usize, request: &QuotaRequest) {
        let node = &mut self.nodes[number];
        let now = self.now + node.offset;
        if let Some(grant) = node.quota.as_mut().expect("it runs").grant(now, request) {
            let to = self.nodes.iter().position(|n| n.name == request.node).expect("it exists");
            self.count_bytes(number, to, &Datagram::QuotaGrant(grant.clone()));
            self.send(number, to, |to| Event::QuotaGrant { to, grant: grant.clone() });
        }
    }

    fn count_bytes(&mut self, from: usize, to: usize, datagram: &Datagram) {
        if let Some(bytes) = &mut self.bytes {
            let encoded = codec::encode(&wire::Datagram::from(datagram)).expect("it is encoded");
            bytes[from] += encoded.len() as u64;
            bytes[to] += encoded.len() as u64;
        }
    }

    fn send(&mut self, from: usize, to: usize, event: impl Fn(usize) -> Event) {
        self.datagrams += 1;
        let is_cut = |(a, b, until): &(usize, usize, Time)| {
            self.now < *until && ((*a, *b) == (from, to) || (*b, *a) == (from, to))
        };
        if self.cuts.iter().any(is_cut) || self.rng.random_bool(self.network.loss) {
            return;
        }
        let copies = if self.rng.random_bool(self.network.duplicates) { 2 } else { 1 };
        for _ in 0..copies {
            let delay = self.delay();
            self.push(self.now + delay, event(to));
        }
    }

    fn update_owners(&mut self, number: usize) {
        let processes: HashMap<Name, u64> =
            self.nodes.iter().map(|node| (node.name.clone(), node.process)).collect();
        let node = &mut self.nodes[number];
        let now = self.now + node.offset;
        let state = node.quota.as_mut().expect("it runs");
        state.update_owners(now, |name| processes.get(name).copied());
    }

    fn store_step(&mut self, number: usize, process: u64) {
        if self.nodes[number].process != process {
            return;
        }
        self.push(self.now + STORE_STEP, Event::StoreStep { node: number, process });
        let candidates: Vec<SlotCandidate> = self
            .nodes
            .iter()
            .filter(|node| node.quota.is_some() && node.frozen_until <= self.now)
            .map(|node| SlotCandidate { node: node.name.clone(), serving: true })
            .collect();
        let node = &mut self.nodes[number];
        if node.call_until.is_some_and(|until| until > self.now) {
            return;
        }
        let now = self.now + node.offset;
        let state = node.quota.as_mut().expect("it runs");
        let claims = state.slots.claims(now, &candidates);
        let owns_any = Slot::all().any(|slot| state.slots.owns(slot));
        let is_due = self.now.since(node.renewed_at) >= QUOTA_RENEWAL_INTERVAL;
        let op = match (state.slots.lease(), claims.into_iter().next()) {
            (None, Some(_)) => StoreOp::Grant,
            (Some(lease), claim) if is_due && (owns_any || claim.is_some()) => {
                StoreOp::Renew(lease)
            }
            (Some(lease), Some(claim)) => StoreOp::Claim(claim, lease),
            (None | Some(_), None) => return,
        };
        let era = state.slots.era();
        node.call_until = Some(self.now + CALL_TIMEOUT);
        let sent = now;
        if self.nodes[number].cut_until > self.now || self.rng.random_bool(self.network.loss) {
            return;
        }
        let delay = self.delay();
        self.push(self.now + delay, Event::Call { node: number, process, op, era, sent });
    }

    fn store_call(&mut self, node: usize, process: u64, op: StoreOp, era: Era, sent: Time) {
        self.expire_leases();
        let result = match &op {
            StoreOp::Grant => {
                let lease = self.store.next_lease;
                self.store.next_lease += 1;
                self.set_lease(lease);
                StoreResult::Lease(lease)
            }
            StoreOp::Renew(lease) if self.store.leases.contains_key(lease) => {
                self.set_lease(*lease);
                StoreResult::Lease(*lease)
            }
            StoreOp::Claim(claim, lease) if self.store.leases.contains_key(lease) => {
                let key = &mut self.store.keys[claim.slot.index()];
                match key.as_ref().map_or(0, |(_, revision, _)| *revision) {
                    revision if revision == claim.expected_revision => {
                        self.store.revision += 1;
                        let value = claim.record.encode().into_bytes();
                        *key = Some((value.clone(), self.store.revision, *lease));
                        let change = (claim.slot, Some(value), self.store.revision, *lease);
                        self.publish(vec![change]);
                        StoreResult::Applied(self.store.revision)
                    }
                    _ => StoreResult::Conflict,
                }
            }
            StoreOp::Renew(_) | StoreOp::Claim(..) => StoreResult::NoLease,
        };
        if self.rng.random_bool(self.network.loss) {
            return;
        }
        let is_restored = Era::new(self.store.era) != era;
        if is_restored && !matches!(op, StoreOp::Grant) {
            let delay = self.delay();
            self.push(self.now + delay, Event::Snapshot { node, process });
            return;
        }
        let era = Era::new(self.store.era);
        let delay = self.delay();
        self.push(self.now + delay, Event::Reply { node, process, op, era, sent, result });
    }

    fn store_reply(
        &mut self,
        number: usize,
        process: u64,
        op: &StoreOp,
        era: Era,
        sent: Time,
        result: &StoreResult,
    ) {
        let node = &mut self.nodes[number];
        if node.process != process {
            return;
        }
        node.call_until = None;
        let now = self.now + node.offset;
        let slots = &mut node.quota.as_mut().expect("it runs").slots;
        if !slots.enter_era(now, era) {
            return;
        }
        match (op, result) {
            (StoreOp::Grant, StoreResult::Lease(lease)) => {
                slots.record_lease(*lease, QUOTA_LEASE_TTL, sent);
                node.renewed_at = sent - node.offset;
            }
            (StoreOp::Renew(_), StoreResult::Lease(lease)) => {
                if slots.lease() == Some(*lease) {
                    slots.record_lease(*lease, QUOTA_LEASE_TTL, sent);
                    node.renewed_at = sent - node.offset;
                }
            }
            (StoreOp::Claim(claim, lease), StoreResult::Applied(revision)) => {
                slots.record_claim(now, claim, *revision, *lease);
            }
            (_, StoreResult::NoLease) => slots.lose_lease(),
            (_, StoreResult::Lease(_) | StoreResult::Applied(_) | StoreResult::Conflict) => {}
        }
        self.update_owners(number);
    }

    fn set_lease(&mut self, lease: u64) {
        let end = self.now + QUOTA_LEASE_TTL;
        self.store.leases.insert(lease, end);
        self.push(end, Event::LeaseCheck);
    }

    fn expire_leases(&mut self) {
        let now = self.now;
        self.store.leases.retain(|_, end| *end > now);
        let mut changes = Vec::new();
        for slot in Slot::all() {
            let key = &mut self.store.keys[slot.index()];
            if key.as_ref().is_some_and(|(_, _, lease)| !self.store.leases.contains_key(lease)) {
                *key = None;
                self.store.revision += 1;
                changes.push((slot, None, self.store.revision, 0));
            }
        }
        self.publish(changes);
    }

    /// Sends changes to all nodes. A node that misses some reads everything later.
    fn publish(&mut self, changes: Vec<Change>) {
        if changes.is_empty() {
            return;
        }
        let era = Era::new(self.store.era);
        for node in 0..self.nodes.len() {
            let process = self.nodes[node].process;
            let delay = Duration::from_millis(self.rng.random_range(1..1_200));
            if self.nodes[node].cut_until > self.now {
                let later = self.nodes[node].cut_until.since(self.now) + delay;
                self.push(self.now + later, Event::Snapshot { node, process });
            } else {
                let changes = changes.clone();
                self.push(self.now + delay, Event::View { node, process, era, changes });
            }
        }
    }

    fn view(&mut self, number: usize, process: u64, era: Era, changes: &[Change]) {
        let node = &mut self.nodes[number];
        if node.process != process {
            return;
        }
        let now = self.now + node.offset;
        let slots = &mut node.quota.as_mut().expect("it runs").slots;
        if slots.enter_era(now, era) {
            for (slot, value, revision, lease) in changes {
                slots.apply(now, *slot, value.as_deref(), *revision, *lease);
            }
            self.update_owners(number);
        }
    }

    fn snapshot(&mut self, number: usize, process: u64) {
        let node = &mut self.nodes[number];
        if node.process != process {
            return;
        }
        if node.cut_until > self.now {
            let again = node.cut_until;
            self.push(again, Event::Snapshot { node: number, process });
            return;
        }
        let now = self.now + node.offset;
        let slots = &mut node.quota.as_mut().expect("it runs").slots;
        slots.enter_era(now, Era::new(self.store.era));
        let listed: Vec<_> = Slot::all()
            .filter_map(|slot| {
                let (value, revision, lease) = self.store.keys[slot.index()].as_ref()?;
                Some((slot, value.as_slice(), *revision, *lease))
            })
            .collect();
        slots.apply_snapshot(now, &listed);
        self.update_owners(number);
    }

    fn apply_fault(&mut self, fault: Fault) {
        match fault {
            Fault::Restart(node, pause) => {
                self.nodes[node].quota = None;
                self.nodes[node].process = 0;
                self.nodes[node].frozen_until = Time::default();
                self.push(self.now + pause, Event::Start(node));
            }
            Fault::Freeze(node, time) => self.nodes[node].frozen_until = self.now + time,
            Fault::CutFromStore(node, time) => self.nodes[node].cut_until = self.now + time,
            Fault::CutLink(a, b, time) => self.cuts.push((a, b, self.now + time)),
            Fault::RemoveKeys => {
                let mut changes = Vec::new();
                for slot in Slot::all() {
                    if self.store.keys[slot.index()].take().is_some() {
                        self.store.revision += 1;
                        changes.push((slot, None, self.store.revision, 0));
                    }
                }
                self.publish(changes);
            }
            Fault::Copy => self.copy = self.store.clone(),
            Fault::Restore => {
                let era = self.store.era + 1;
                self.store = SimStore { era, ..self.copy.clone() };
                let leases: Vec<u64> = self.store.leases.keys().copied().collect();
                leases.into_iter().for_each(|lease| self.set_lease(lease));
                for node in 0..self.nodes.len() {
                    let process = self.nodes[node].process;
                    let delay = Duration::from_millis(self.rng.random_range(1..2_000));
                    self.push(self.now + delay, Event::Snapshot { node, process });
                }
            }
            Fault::Accounts(accounts, spread) => {
                self.versions.push(quotas(&accounts));
                let version = self.versions.len() - 1;
                for node in 0..self.nodes.len() {
                    let delay = self.rng.random_range(0.0..1.0);
                    let event = Event::Apply { node, version };
                    self.push(self.now + spread.mul_f64(delay), event);
                }
            }
        }
    }
}

fn quotas(accounts: &[(Name, Quota)]) -> Arc<AccountQuotas> {
    Arc::new(accounts.iter().map(|(name, quota)| (name.clone(), Some(*quota))).collect())
}
