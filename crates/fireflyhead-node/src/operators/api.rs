//! JSON bodies of the operators' interface, used by the listener and by the client.

use fireflyhead_core::table::Conflict;
use fireflyhead_core::table::RowChange;
use serde::Deserialize;
use serde::Serialize;

/// Table in force at a node.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct TableBody {
    /// Version.
    pub version: u64,
    /// CSV text.
    pub csv: String,
}

/// Edit of the table.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct EditBody {
    /// Id chosen by the author; an edit sent twice takes effect once.
    pub id: String,
    /// One line for the history.
    pub summary: String,
    /// Changed rows with the cells that the author read.
    pub changes: Vec<RowChange>,
}

/// Answer to an accepted edit.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct EditAccepted {
    /// Version that contains the edit.
    pub version: u64,
}

/// Invalid cell of an edited table.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct CellError {
    /// Line of the text.
    pub line: u64,
    /// Column; empty if the whole line is meant.
    pub column: String,
    /// What is wrong.
    pub reason: String,
}

/// Answer to a refused edit; nothing was changed.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct EditRefused {
    /// Stable code: `conflict`, `invalid_table`, `store_unavailable` or `outcome_unknown`.
    pub code: String,
    /// One sentence.
    pub message: String,
    /// Rows changed by someone else.
    #[serde(default)]
    pub conflicts: Vec<Conflict>,
    /// Invalid cells.
    #[serde(default)]
    pub errors: Vec<CellError>,
}

/// Accepted edit in the history.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct EditEntry {
    /// Id chosen by the author.
    pub id: String,
    /// Version that the edit gave.
    pub version: u64,
    /// One line.
    pub summary: String,
}

/// Node as listed by another node.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct NodeEntry {
    /// Name.
    pub id: String,
    /// Number that differs for every start.
    pub incarnation: u64,
    /// Availability zone.
    pub zone: String,
    /// Address for callers.
    pub caller_address: String,
    /// `alive`, `suspect`, `leaving` or `dead`.
    pub state: String,
    /// Table version in force there; `None` if the node did not answer.
    pub table_version: Option<u64>,
}

/// Upstream with its owner and load.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct UpstreamEntry {
    /// Name.
    pub name: String,
    /// Service that it belongs to.
    pub service: String,
    /// Availability zone.
    pub zone: String,
    /// Address.
    pub address: String,
    /// Whether it is leaving.
    pub leaving: bool,
    /// Node that dispatches to it.
    pub owner: Option<String>,
    /// Fencing number of the owner.
    pub fencing: u64,
    /// Requests running.
    pub in_flight: u32,
    /// Requests queued.
    pub queued: u32,
}

impl std::fmt::Display for EditRefused {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(&self.message)?;
        for conflict in &self.conflicts {
            write!(f, "\n  {conflict}")?;
        }
        for error in &self.errors {
            write!(f, "\n  line {}, column `{}`: {}", error.line, error.column, error.reason)?;
        }
        Ok(())
    }
}

/// State of the node that answers.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct StatusBody {
    /// Name.
    pub id: String,
    /// Number that differs for every start.
    pub incarnation: u64,
    /// Availability zone.
    pub zone: String,
    /// Whether the node serves callers.
    pub ready: bool,
    /// Whether the node is stopping.
    pub draining: bool,
    /// Whether the key-value service answers.
    pub store_reachable: bool,
    /// Table version in force.
    pub table_version: u64,
    /// Upstreams that this node owns.
    pub owned_upstreams: u32,
    /// Requests accepted since the start.
    pub accepted: u64,
    /// Of these, answered.
    pub answered: u64,
    /// Of these, not run.
    pub not_run: u64,
    /// Of these, with an unknown outcome.
    pub outcome_unknown: u64,
    /// Of these, still in flight.
    pub in_flight: u64,
}
