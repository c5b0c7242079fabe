//! Stand-in of the platform's store: items, watches, transactions and leases.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::http::Message;
use crate::json;
use crate::json::Json;

/// Items of one page of a range.
const PAGE_ITEMS: usize = 500;
/// Age from which changes are no longer available to watches.
const HISTORY: Duration = Duration::from_secs(20);
/// Time that the store takes for an answer.
const ANSWER_TIME: Duration = Duration::from_millis(4);

#[derive(Clone)]
struct Item {
    value: Vec<u8>,
    revision: u64,
    created: u64,
    lease: u64,
}

/// Change of an item; no value for a removal.
struct Change {
    key: String,
    value: Option<Vec<u8>>,
    revision: u64,
    created: u64,
    lease: u64,
    at: Instant,
}

struct State {
    revision: u64,
    /// Newest revision whose change is no longer available.
    dropped: u64,
    items: BTreeMap<String, Item>,
    changes: Vec<Change>,
    leases: HashMap<u64, (Duration, Instant)>,
    next_lease: u64,
}

impl State {
    fn put(&mut self, key: &str, value: Vec<u8>, lease: u64) {
        let revision = self.revision;
        let created = self.items.get(key).map_or(revision, |item| item.created);
        self.items
            .insert(key.to_owned(), Item { value: value.clone(), revision, created, lease });
        let value = Some(value);
        let at = Instant::now();
        self.changes.push(Change { key: key.to_owned(), value, revision, created, lease, at });
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            let (revision, key) = (self.revision, key.to_owned());
            let at = Instant::now();
            self.changes.push(Change { key, value: None, revision, created: 0, lease: 0, at });
        }
    }

    fn end_lease(&mut self, id: u64) -> bool {
        let existed = self.leases.remove(&id).is_some();
        let keys: Vec<String> = self
            .items
            .iter()
            .filter(|(_, item)| item.lease == id)
            .map(|(key, _)| key.clone())
            .collect();
        if !keys.is_empty() {
            self.revision += 1;
            keys.iter().for_each(|key| self.remove(key));
        }
        existed
    }
}

/// Hook that sees each call before it is answered, with the number of its page for a range.
type Hook = Box<dyn Fn(&Message) + Send + Sync>;

pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
    hook: Mutex<Option<Arc<Hook>>>,
}

impl Store {
    /// Starts a store on a free port.
    pub fn start() -> (Arc<Store>, SocketAddr) {
        let state = State {
            revision: 1,
            dropped: 0,
            items: BTreeMap::new(),
            changes: Vec::new(),
            leases: HashMap::new(),
            next_lease: 100,
        };
        let store = Arc::new(Store {
            state: Mutex::new(state),
            changed: Condvar::new(),
            hook: Mutex::new(None),
        });
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let served = Arc::clone(&store);
        http::serve(listener, move |request, stream| {
            let hook = served.hook.lock().unwrap().clone();
            if let Some(hook) = hook {
                hook(&request);
            }
            thread::sleep(ANSWER_TIME);
            let (status, body) = served.answer(&request);
            let kind = [("Content-Type", "application/json".to_owned())];
            http::respond(stream, status, &kind, body.as_bytes())
        });
        let expiring = Arc::clone(&store);
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(20));
                expiring.expire();
            }
        });
        (store, address)
    }

    /// Sets a hook that runs before each answer.
    #[allow(dead_code)]
    pub fn set_hook(&self, hook: impl Fn(&Message) + Send + Sync + 'static) {
        *self.hook.lock().unwrap() = Some(Arc::new(Box::new(hook)));
    }

    /// Writes an item as the operator or a worker.
    pub fn write(&self, key: &str, value: &str) -> u64 {
        let mut state = self.state.lock().unwrap();
        state.revision += 1;
        state.put(key, value.as_bytes().to_vec(), 0);
        self.changed.notify_all();
        state.revision
    }

    fn expire(&self) {
        let mut state = self.state.lock().unwrap();
        let now = Instant::now();
        let ended: Vec<u64> =
            state.leases.iter().filter(|(_, (_, end))| *end <= now).map(|(id, _)| *id).collect();
        let old = state.changes.iter().take_while(|c| now - c.at >= HISTORY).count();
        if let Some(last) = state.changes.drain(..old).last() {
            state.dropped = last.revision;
        }
        for id in ended {
            state.end_lease(id);
            self.changed.notify_all();
        }
    }

    fn answer(&self, request: &Message) -> (&'static str, String) {
        let path = request.path().to_owned();
        let last = path.rsplit('/').next().unwrap_or("").parse::<u64>().unwrap_or(0);
        match (request.method(), path.as_str()) {
            ("GET", "/api/kv-range") => self.range(request),
            ("GET", "/api/kv-watch") => self.watch(request),
            ("POST", "/api/kv-txn") => self.transaction(request),
            ("POST", "/api/kv-lease") => self.grant(request),
            ("POST", path) if path.starts_with("/api/kv-keep/") => self.renew(last),
            ("DELETE", path) if path.starts_with("/api/kv-lease-end/") => {
                let existed = self.state.lock().unwrap().end_lease(last);
                self.changed.notify_all();
                (if existed { "200 OK" } else { "404 Not Found" }, "{}".to_owned())
            }
            _ => ("404 Not Found", "{}".to_owned()),
        }
    }

    fn range(&self, request: &Message) -> (&'static str, String) {
        let (prefix, after) = (request.query("pathPrefix"), request.query("after"));
        let state = self.state.lock().unwrap();
        let mut found = state
            .items
            .iter()
            .filter(|(key, _)| key.starts_with(&prefix) && (after.is_empty() || **key > after));
        let page: Vec<String> = found
            .by_ref()
            .take(PAGE_ITEMS)
            .map(|(key, item)| {
                item_json(key, Some(&item.value), item.revision, item.created, item.lease)
            })
            .collect();
        let more = found.next().is_some();
        let (items, revision) = (page.join(","), state.revision);
        ("200 OK", format!("{{\"items\":[{items}],\"morePages\":{more},\"asOf\":{revision}}}"))
    }

    fn watch(&self, request: &Message) -> (&'static str, String) {
        let prefix = request.query("pathPrefix");
        let after: u64 = request.query("after").parse().unwrap_or(0);
        let wait: u64 = request.query("waitMs").parse().unwrap_or(0);
        let end = Instant::now() + Duration::from_millis(wait.min(30_000));
        let mut state = self.state.lock().unwrap();
        loop {
            if after < state.dropped {
                return ("410 Gone", "{}".to_owned());
            }
            let events: Vec<String> = state
                .changes
                .iter()
                .filter(|change| change.revision > after && change.key.starts_with(&prefix))
                .map(|c| item_json(&c.key, c.value.as_deref(), c.revision, c.created, c.lease))
                .collect();
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let (events, revision) = (events.join(","), state.revision);
                return ("200 OK", format!("{{\"events\":[{events}],\"asOf\":{revision}}}"));
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
    }

    fn transaction(&self, request: &Message) -> (&'static str, String) {
        let body = Json::parse(&String::from_utf8_lossy(&request.body)).unwrap_or(Json::Null);
        let mut state = self.state.lock().unwrap();
        let fails = body.list("precondition").iter().any(|row| {
            state.items.get(&row.text("key")).map_or(0, |i| i.revision) != row.number("revision")
        });
        if fails {
            let items: Vec<String> = body
                .list("precondition")
                .iter()
                .filter_map(|row| {
                    let key = row.text("key");
                    let i = state.items.get(&key)?;
                    Some(item_json(&key, Some(&i.value), i.revision, i.created, i.lease))
                })
                .collect();
            return ("412 Precondition Failed", format!("{{\"items\":[{}]}}", items.join(",")));
        }
        let missing = body.list("writes").iter().any(|write| {
            let lease = write.number("lease");
            lease != 0 && !state.leases.contains_key(&lease)
        });
        if missing {
            return ("404 Not Found", "{}".to_owned());
        }
        state.revision += 1;
        for write in body.list("writes") {
            let value = json::from_base64(&write.text("value"));
            state.put(&write.text("key"), value, write.number("lease"));
        }
        for key in body.list("remove") {
            if let Json::Str(key) = key {
                state.remove(key);
            }
        }
        self.changed.notify_all();
        ("200 OK", format!("{{\"revision\":{}}}", state.revision))
    }

    fn grant(&self, request: &Message) -> (&'static str, String) {
        let body = Json::parse(&String::from_utf8_lossy(&request.body)).unwrap_or(Json::Null);
        let ttl = body.number("ttlMs").max(1_000);
        let mut state = self.state.lock().unwrap();
        state.next_lease += 1;
        let id = state.next_lease;
        let ttl_time = Duration::from_millis(ttl);
        state.leases.insert(id, (ttl_time, Instant::now() + ttl_time));
        ("200 OK", format!("{{\"lease\":{id},\"ttlMs\":{ttl}}}"))
    }

    fn renew(&self, id: u64) -> (&'static str, String) {
        let mut state = self.state.lock().unwrap();
        match state.leases.get_mut(&id) {
            Some((ttl, end)) => {
                *end = Instant::now() + *ttl;
                ("200 OK", format!("{{\"ttlMs\":{}}}", ttl.as_millis()))
            }
            None => ("404 Not Found", "{}".to_owned()),
        }
    }
}

fn item_json(key: &str, value: Option<&[u8]>, revision: u64, created: u64, lease: u64) -> String {
    match value {
        Some(value) => format!(
            "{{\"key\":\"{key}\",\"value\":\"{}\",\"revision\":{revision},\"createRev\":{created},\"lease\":{lease}}}",
            json::to_base64(value)
        ),
        None => format!("{{\"key\":\"{key}\",\"revision\":{revision},\"tombstone\":true}}"),
    }
}
