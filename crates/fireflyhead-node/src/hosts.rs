//! Host list of the platform: polls it and publishes the upstreams.

#[cfg(test)]
mod tests;

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use fireflyhead_core::hostlist::Host;
use fireflyhead_core::hostlist::HostKind;
use fireflyhead_core::hostlist::HostList;
use fireflyhead_core::hostlist::HostListConfig;
use fireflyhead_core::types::Name;
use fireflyhead_core::types::UpstreamInfo;
use fireflyhead_core::types::UpstreamKind;
use futures::StreamExt;
use serde::Deserialize;
use tokio::task::JoinHandle;
use tokio::time::MissedTickBehavior;

use crate::context::NodeContext;

/// Largest host list, in bytes.
const MAX_LIST_BYTES: usize = 8 << 20;
/// Longest time of one read besides the connection timeout.
const READ_TIMEOUT: Duration = Duration::from_secs(2);

/// Kind of a host in the list.
#[derive(Clone, Copy, Debug)]
#[derive(Deserialize)]
#[serde(rename_all = "lowercase")]
enum ListedKind {
    Node,
    Engine,
    Service,
}

/// State of a host in the list.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize)]
#[serde(rename_all = "lowercase")]
enum ListedState {
    Live,
    Leaving,
}

/// Host in the list.
#[derive(Clone, Debug)]
#[derive(Deserialize)]
struct Listed {
    name: String,
    address: String,
    zone: String,
    service: String,
    kind: ListedKind,
    state: ListedState,
    #[serde(default)]
    slots: usize,
    #[serde(default)]
    fencing: bool,
    #[serde(default)]
    boot_id: String,
}

impl From<Listed> for Host {
    fn from(listed: Listed) -> Host {
        let kind = match listed.kind {
            ListedKind::Node => HostKind::Node,
            ListedKind::Engine => HostKind::Upstream(UpstreamKind::Engine { slots: listed.slots }),
            ListedKind::Service => HostKind::Upstream(UpstreamKind::Service),
        };
        Host {
            name: Name::from(listed.name),
            address: Name::from(listed.address),
            zone: Name::from(listed.zone),
            service: Name::from(listed.service),
            kind,
            leaving: listed.state == ListedState::Leaving,
            fencing: listed.fencing,
            boot_id: Name::from(listed.boot_id),
        }
    }
}

/// Reason for which the host list was not read.
#[derive(Debug)]
#[derive(displaydoc::Display)]
enum ReadError {
    /// the host list was not read: {0}
    Http(reqwest::Error),
    /// the host list is longer than 8 MiB
    TooLarge,
    /// the host list is malformed: {0}
    Malformed(serde_json::Error),
}

/// Starts the task that polls the host list until the runtime ends or it is aborted.
pub fn spawn(cx: NodeContext) -> JoinHandle<()> {
    tokio::spawn(poll(cx))
}

async fn poll(cx: NodeContext) {
    let client = reqwest::Client::builder()
        .connect_timeout(cx.settings.connect_timeout)
        .timeout(cx.settings.connect_timeout + READ_TIMEOUT)
        .build();
    let client = match client {
        Ok(client) => client,
        Err(error) => {
            tracing::error!(%error, "the client of the host list was not built");
            return;
        }
    };
    let mut list = HostList::new(HostListConfig::default());
    let mut timer = tokio::time::interval(cx.settings.host_list_interval);
    timer.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        timer.tick().await;
        match read(&client, &cx.settings.host_list_url).await {
            Ok(hosts) => {
                list.update(cx.clock.now(), hosts);
                publish(&cx, &list);
            }
            Err(error) => tracing::warn!(%error, "the last known host list stays in force"),
        }
    }
}

async fn read(client: &reqwest::Client, url: &str) -> Result<Vec<Host>, ReadError> {
    let response = client.get(url).send().await.map_err(ReadError::Http)?;
    let response = response.error_for_status().map_err(ReadError::Http)?;
    let mut body = Vec::new();
    let mut chunks = response.bytes_stream();
    while let Some(chunk) = chunks.next().await {
        let chunk = chunk.map_err(ReadError::Http)?;
        if body.len() + chunk.len() > MAX_LIST_BYTES {
            return Err(ReadError::TooLarge);
        }
        body.extend_from_slice(&chunk);
    }
    parse(&body)
}

fn parse(body: &[u8]) -> Result<Vec<Host>, ReadError> {
    let listed: Vec<Listed> = serde_json::from_slice(body).map_err(ReadError::Malformed)?;
    Ok(listed.into_iter().map(Host::from).collect())
}

fn publish(cx: &NodeContext, list: &HostList) {
    let upstreams: HashMap<Name, UpstreamInfo> =
        list.upstreams().map(|upstream| (upstream.name.clone(), upstream)).collect();
    cx.upstreams.send_if_modified(|published| {
        let changed = **published != upstreams;
        if changed {
            *published = Arc::new(upstreams);
        }
        changed
    });
}
