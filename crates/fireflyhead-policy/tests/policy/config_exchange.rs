//! Exchange of the configuration between nodes: loss, delay, repetition and restarts.

use std::time::Duration;

use bytes::Bytes;
use fireflyhead_policy::Name;
use fireflyhead_policy::Time;
use fireflyhead_policy::config_exchange::ConfigExchange;
use fireflyhead_policy::config_exchange::ConfigNotice;
use fireflyhead_policy::config_exchange::ConfigPart;
use fireflyhead_policy::config_exchange::ConfigRequest;
use fireflyhead_policy::config_exchange::MAX_CONFIG_BYTES;
use fireflyhead_policy::config_exchange::MAX_PART_BYTES;
use fireflyhead_policy::config_exchange::MAX_PARTS_IN_FLIGHT;
use fireflyhead_policy::config_exchange::NOTICE_INTERVAL;
use fireflyhead_policy::config_exchange::NoticeOutcome;
use fireflyhead_policy::config_exchange::PartOutcome;
use fireflyhead_policy::config_exchange::RequestOutcome;
use fireflyhead_policy::era::Era;
use fireflyhead_policy::protocol::Item;
use proptest::prelude::*;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rand::seq::SliceRandom;

use crate::setup::ms;

/// Step of the simulated time.
const STEP: Duration = Duration::from_millis(10);

fn name(n: usize) -> Name {
    Name::from(format!("node-{n}"))
}

/// Returns the item of a version. Its bytes depend on the version and the position.
fn item(version: u64, size: usize) -> Item {
    let value: Vec<u8> = (0..size).map(|n| (n as u64 * 31 + version) as u8).collect();
    Item { key: Name::from("config"), value: Some(Bytes::from(value)), revision: version, lease: 0 }
}

fn node_with(n: usize, version: u64, size: usize) -> ConfigExchange {
    let mut node = ConfigExchange::new(name(n));
    node.set_own(version, Era::FIRST, &item(version, size));
    node
}

#[derive(Clone)]
enum Message {
    Notice(ConfigNotice),
    Request(ConfigRequest),
    Part(ConfigPart),
}

/// Network of nodes. A message is lost, repeated and delayed at random.
struct Network {
    nodes: Vec<ConfigExchange>,
    now: Time,
    next_notice: Vec<Time>,
    /// Messages under way, by the time of their arrival.
    messages: Vec<(Time, usize, Message)>,
    loss: f64,
    max_delay_ms: u64,
    /// Bytes of parts per second that the link of a node carries.
    link_rate: f64,
    /// Time at which the parts sent so far have crossed the link of each node.
    link_free_at: Vec<Time>,
    /// Number of parts that were sent.
    parts_sent: usize,
    rng: StdRng,
}

impl Network {
    fn new(count: usize, size: usize, seed: u64) -> Network {
        Network {
            nodes: (0..count).map(|n| node_with(n, 1, size)).collect(),
            now: ms(10_000),
            next_notice: vec![ms(10_000); count],
            messages: Vec::new(),
            loss: 0.0,
            max_delay_ms: 5,
            link_rate: f64::INFINITY,
            link_free_at: vec![ms(10_000); count],
            parts_sent: 0,
            rng: StdRng::seed_from_u64(seed),
        }
    }

    fn versions(&self) -> Vec<u64> {
        self.nodes.iter().map(|node| node.version().unwrap_or(0)).collect()
    }

    fn send(&mut self, target: &Name, message: Message) {
        let Some(target) = (0..self.nodes.len()).find(|n| name(*n) == *target) else { return };
        let copies = if self.rng.random_bool(0.1 * f64::from(self.loss > 0.0)) { 2 } else { 1 };
        for _ in 0..copies {
            if !self.rng.random_bool(self.loss) {
                let delay = Duration::from_millis(self.rng.random_range(0..=self.max_delay_ms));
                let sent = match &message {
                    Message::Part(part) => self.cross_link(target, part.data.len()),
                    Message::Notice(_) | Message::Request(_) => self.now,
                };
                self.messages.push((sent + delay, target, message.clone()));
            }
        }
    }

    /// Returns the time at which a part that is sent now has crossed the link of node `n`.
    fn cross_link(&mut self, n: usize, bytes: usize) -> Time {
        self.parts_sent += 1;
        let time = Duration::from_secs_f64(bytes as f64 / self.link_rate);
        self.link_free_at[n] = self.link_free_at[n].max(self.now) + time;
        self.link_free_at[n]
    }

    fn send_notice(&mut self, n: usize) {
        let Some(notice) = self.nodes[n].notice() else { return };
        let mut others: Vec<usize> = (0..self.nodes.len()).filter(|other| *other != n).collect();
        others.shuffle(&mut self.rng);
        for other in others.into_iter().take(3) {
            self.send(&name(other), Message::Notice(notice.clone()));
        }
    }

    fn receive(&mut self, n: usize, message: Message) {
        match message {
            Message::Notice(notice) => {
                let outcome = self.nodes[n].handle_notice(self.now, &notice);
                if outcome == NoticeOutcome::Older {
                    self.reply_with_notice(n, &notice.node);
                }
            }
            Message::Request(request) => match self.nodes[n].handle_request(self.now, &request) {
                RequestOutcome::Parts(parts) => {
                    assert!(parts.len() <= MAX_PARTS_IN_FLIGHT);
                    parts
                        .into_iter()
                        .for_each(|part| self.send(&request.node, Message::Part(part)));
                }
                RequestOutcome::Notice(_) => self.reply_with_notice(n, &request.node),
                RequestOutcome::Nothing => {}
            },
            Message::Part(part) => match self.nodes[n].handle_part(self.now, &part) {
                PartOutcome::Whole(stamp, whole) => {
                    let size = whole.value.as_ref().map_or(0, Bytes::len);
                    assert_eq!(whole, item(stamp.version, size), "the item is as it was written");
                    self.nodes[n].set_own(stamp.version, stamp.era, &whole);
                }
                PartOutcome::Pending => {}
                PartOutcome::Corrupt(stamp) => panic!("corrupt: {stamp:?}"),
            },
        }
    }

    fn reply_with_notice(&mut self, n: usize, target: &Name) {
        if let Some(notice) = self.nodes[n].notice() {
            self.send(target, Message::Notice(notice));
        }
    }

    /// Delivers what is due, and makes each node send what is due.
    fn step(&mut self) {
        self.now = self.now + STEP;
        let now = self.now;
        let due: Vec<_> = self.messages.extract_if(.., |(at, _, _)| *at <= now).collect();
        let mut due: Vec<_> = due.into_iter().map(|(_, n, message)| (n, message)).collect();
        due.shuffle(&mut self.rng);
        for (n, message) in due {
            let before = self.nodes[n].version();
            self.receive(n, message);
            assert!(self.nodes[n].version() >= before, "a node went back");
        }
        for n in 0..self.nodes.len() {
            if self.nodes[n].take_unannounced() || now >= self.next_notice[n] {
                self.next_notice[n] = now + NOTICE_INTERVAL;
                self.send_notice(n);
            }
            if let Some((target, request)) = self.nodes[n].due_request(now) {
                assert!(request.parts.len() <= MAX_PARTS_IN_FLIGHT);
                self.send(&target, Message::Request(request));
            }
        }
    }

    fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.step();
        }
    }
}

proptest! {
    /// Guards against nodes that return to an earlier version, and against nodes in contact that never
    /// get the newest one: messages are lost, repeated, delayed past later ones, processes start again
    /// with the version of an old copy, and new versions appear at any node.
    #[test]
    fn nodes_in_contact_get_the_newest_version_and_never_go_back(
        seed in any::<u64>(),
        count in 2..8_usize,
        size in prop_oneof![1..100_usize, 1..4 * MAX_PART_BYTES],
        loss in 0.0..0.6,
        max_delay_ms in 1..1_500_u64,
    ) {
        let mut network = Network::new(count, size, seed);
        (network.loss, network.max_delay_ms) = (loss, max_delay_ms);
        let mut newest = 1;
        for _ in 0..300 {
            network.step();
            let n = network.rng.random_range(0..count);
            if network.rng.random_bool(0.02) {
                newest += network.rng.random_range(1..3_u64);
                network.nodes[n].set_own(newest, Era::FIRST, &item(newest, size));
            }
            if network.rng.random_bool(0.01) {
                network.nodes[n] = match network.rng.random_bool(0.5) {
                    true => ConfigExchange::new(name(n)),
                    false => node_with(n, 1, size),
                };
            }
        }
        (network.loss, network.max_delay_ms) = (0.0, 5);
        let known = network.versions().into_iter().max().unwrap_or_default();
        // The last node with a version may have started again while its parts were under way.
        let delay = Duration::from_millis(max_delay_ms);
        network.run(delay);
        let wanted = network.versions().into_iter().max().unwrap_or_default();
        prop_assert!(wanted >= known);
        network.run(Duration::from_secs(4) - delay);
        prop_assert_eq!(network.versions(), vec![wanted; count]);
    }
}

/// Guards against a third of the nodes that the store refuses lacking a version for longer than the bound
/// of 3 s, of which the readers of the store need up to 2 s.
#[test]
fn sixty_nodes_have_a_new_version_within_a_second() {
    for seed in 0..50 {
        let mut network = Network::new(60, 30_000, seed);
        network.run(Duration::from_secs(2));
        for n in 0..40 {
            network.nodes[n].set_own(2, Era::FIRST, &item(2, 30_000));
        }
        network.run(Duration::from_millis(1_000));
        assert_eq!(network.versions(), vec![2; 60], "seed {seed}");
    }
}

/// Guards against a configuration of the largest size that floods a node, or that takes too long.
#[test]
fn the_largest_configuration_is_received_with_few_parts_in_flight() {
    let mut network = Network::new(2, 10, 1);
    network.run(Duration::from_secs(1));
    network.nodes[0].set_own(2, Era::FIRST, &item(2, MAX_CONFIG_BYTES));
    network.run(Duration::from_millis(1_000));
    assert_eq!(network.versions(), vec![2; 2]);
    let mut large = node_with(0, 1, MAX_CONFIG_BYTES + 1);
    assert_eq!(large.notice(), None);
    assert!(large.due_request(ms(0)).is_none());
}

/// Guards against parts that are requested again while they are under way: a link of 10 Mbit/s that half
/// belongs to the reply of the store needs longer for eight parts than a lost one is waited for.
#[test]
fn parts_that_take_long_are_not_requested_again() {
    let mut network = Network::new(2, 10, 1);
    network.run(Duration::from_secs(1));
    network.link_rate = 10e6 / 8.0 / 2.0;
    network.nodes[0].set_own(2, Era::FIRST, &item(2, MAX_CONFIG_BYTES));
    network.run(Duration::from_millis(2_500));
    assert_eq!(network.versions(), vec![2; 2]);
    assert_eq!(network.parts_sent, MAX_CONFIG_BYTES.div_ceil(MAX_PART_BYTES));
}

/// Guards against a node that gets no version while large ones follow each other faster than its link
/// carries one: each of them made it begin anew.
#[test]
fn versions_in_quick_succession_do_not_keep_a_node_from_getting_one() {
    let mut network = Network::new(3, 10, 1);
    network.run(Duration::from_secs(1));
    network.link_rate = 10e6 / 8.0;
    let mut written = Vec::new();
    for version in 2..22 {
        let now = network.now;
        written.push((version, now));
        for n in 0..2 {
            network.nodes[n].set_own(version, Era::FIRST, &item(version, MAX_CONFIG_BYTES));
        }
        network.run(Duration::from_millis(500));
        let known = network.nodes[2].version().unwrap_or_default();
        let missing = written.iter().find(|(version, _)| *version > known);
        let age = missing.map(|(_, at)| network.now.since(*at)).unwrap_or_default();
        assert!(age <= Duration::from_secs(3), "version {version}: has {known}, {age:?} behind");
    }
    network.run(Duration::from_secs(3));
    assert_eq!(network.versions(), vec![21; 3]);
}

/// Guards against a node that waits for a peer which was killed or no longer has the version.
#[test]
fn another_node_is_asked_when_the_first_one_is_silent_or_has_changed() {
    let mut node = node_with(0, 1, 10);
    let mut sources: Vec<ConfigExchange> = (1..3).map(|n| node_with(n, 2, 10)).collect();
    for source in &sources {
        let notice = source.notice().expect("a notice");
        assert_eq!(node.handle_notice(ms(0), &notice), NoticeOutcome::Newer);
    }
    let (first, request) = node.due_request(ms(0)).expect("a request");
    assert!(node.due_request(ms(199)).is_none(), "nothing is lost yet");
    assert_eq!(node.next_due(), Some(ms(200)));
    assert_eq!(node.due_request(ms(200)), Some((first.clone(), request)));
    for at in [400, 600, 800] {
        assert!(node.due_request(ms(at)).is_some_and(|(target, _)| target == first));
    }
    let (second, request) = node.due_request(ms(1_000)).expect("a request");
    assert_ne!(second, first);
    // The second one has a newer version by now.
    let source =
        sources.iter_mut().find(|source| source.notice().is_some_and(|n| n.node == second));
    let source = source.expect("the second source");
    source.set_own(3, Era::FIRST, &item(3, 20));
    assert!(
        matches!(source.handle_request(ms(1_000), &request), RequestOutcome::Notice(stamp) if stamp.version == 3)
    );
    node.handle_notice(ms(1_001), &source.notice().expect("a notice"));
    let (target, request) = node.due_request(ms(1_001)).expect("a request");
    assert_eq!((target, request.stamp.version), (second, 3));
}

/// Guards against an endless exchange of a configuration that this build can't parse, and against one
/// damaged part that keeps a sound configuration away for good.
#[test]
fn an_unusable_configuration_is_not_requested_again_and_a_damaged_one_is() {
    let mut node = node_with(0, 1, 10);
    let mut source = node_with(1, 2, 10);
    let notice = source.notice().expect("a notice");
    node.handle_notice(ms(0), &notice);
    let (_, request) = node.due_request(ms(0)).expect("a request");
    let RequestOutcome::Parts(parts) = source.handle_request(ms(0), &request) else {
        panic!("no parts")
    };
    let damaged = ConfigPart { data: Bytes::from(vec![7; 10]), ..parts[0].clone() };
    assert!(matches!(node.handle_part(ms(1), &damaged), PartOutcome::Corrupt(_)));
    assert!(node.due_request(ms(1)).is_none());
    node.handle_notice(ms(500), &notice);
    assert!(node.due_request(ms(500)).is_some());
    assert!(matches!(node.handle_part(ms(501), &parts[0]), PartOutcome::Whole(..)));
    node.record_unusable(notice.stamp);
    node.handle_notice(ms(1_000), &notice);
    assert!(node.due_request(ms(1_000)).is_none());
    assert_eq!(node.handle_part(ms(1_001), &parts[0]), PartOutcome::Pending);
}
