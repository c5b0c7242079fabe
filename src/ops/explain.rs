//! Asks a node what it would do with a request.

use std::net::SocketAddr;
use std::time::Duration;

use fireflyhead_gateway::explain::EXPLAIN_PATH;
use fireflyhead_gateway::explain::ExplainQuery;
use fireflyhead_gateway::explain::ExplainReport;
use reqwest::Client;
use reqwest::Url;

/// Longest time for a node's answer.
const TIMEOUT: Duration = Duration::from_secs(3);

/// Reason why there is no explanation.
#[derive(Debug)]
#[derive(displaydoc::Display)]
pub enum ExplainError {
    /// {0}
    InvalidFlag(String),
    /// no node answers at {0}: {1}
    Absent(SocketAddr, String),
    /// the node at {0} can't explain the request: {1}
    NotExplained(SocketAddr, String),
}

impl std::error::Error for ExplainError {}

/// Flags of the command, as they were given.
#[derive(Clone, Copy, Debug, Default)]
pub struct Flags<'a> {
    /// Metrics address of the node.
    pub node: Option<&'a str>,
    /// Route.
    pub route: Option<&'a str>,
    /// Base model and adapter, separated by a slash.
    pub model: Option<&'a str>,
    /// Tokens of the prompt and of the output, separated by a comma.
    pub tokens: Option<&'a str>,
    /// Shared parts of the prompt, separated by commas.
    pub prefix: Option<&'a str>,
    /// Client account.
    pub account: Option<&'a str>,
}

/// Parses the flags into the address of the node and the query.
///
/// # Errors
/// Returns [`ExplainError::InvalidFlag`] with the name of the flag.
pub fn parse(flags: Flags<'_>) -> Result<(SocketAddr, ExplainQuery), ExplainError> {
    let invalid = |text: String| ExplainError::InvalidFlag(text);
    let missing = |flag: &str| invalid(format!("--{flag} is missing"));
    let node = flags.node.ok_or_else(|| missing("node"))?;
    let address = node.parse().map_err(|_| {
        invalid(format!("--node `{node}` is not an address such as 127.0.0.1:8083"))
    })?;
    let route = flags.route.filter(|route| !route.is_empty()).ok_or_else(|| missing("route"))?;
    let (model, adapter) = match flags.model {
        None => (None, None),
        Some(text) => {
            let (model, adapter) = match text.split_once('/') {
                Some((model, adapter)) => (model, Some(adapter)),
                None => (text, None),
            };
            if model.is_empty() || adapter.is_some_and(str::is_empty) {
                return Err(invalid(format!("--model `{text}` is not BASE or BASE/ADAPTER")));
            }
            (Some(model.to_owned()), adapter.map(str::to_owned))
        }
    };
    let (prompt, output) = match flags.tokens {
        None => (0, 0),
        Some(text) => text
            .split_once(',')
            .and_then(|(prompt, output)| Some((prompt.parse().ok()?, output.parse().ok()?)))
            .ok_or_else(|| invalid(format!("--tokens `{text}` is not PROMPT,OUTPUT")))?,
    };
    let query = ExplainQuery {
        route: route.to_owned(),
        model,
        adapter,
        prompt,
        output,
        prefix: flags.prefix.map(str::to_owned),
        account: flags.account.map(str::to_owned),
    };
    Ok((address, query))
}

/// Asks the node at `address`.
///
/// # Errors
/// No node answers there, or it doesn't know the route or account.
pub async fn fetch(
    address: SocketAddr,
    query: &ExplainQuery,
) -> Result<ExplainReport, ExplainError> {
    let absent = |error: reqwest::Error| {
        let cause = std::error::Error::source(&error).map(ToString::to_string);
        ExplainError::Absent(address, cause.unwrap_or_else(|| error.to_string()))
    };
    let client = Client::builder().no_proxy().timeout(TIMEOUT).build().map_err(absent)?;
    let invalid = |e: &dyn std::fmt::Display| ExplainError::InvalidFlag(e.to_string());
    let base = format!("http://{address}{EXPLAIN_PATH}");
    let url = Url::parse_with_params(&base, parameters(query)).map_err(|e| invalid(&e))?;
    let response = client.get(url).send().await.map_err(absent)?;
    let status = response.status();
    let text = response.text().await.map_err(absent)?;
    if !status.is_success() {
        return Err(ExplainError::NotExplained(address, format!("{status}: {text}")));
    }
    serde_json::from_str(&text)
        .map_err(|error| ExplainError::NotExplained(address, error.to_string()))
}

/// Returns the parameters of the query that are set.
fn parameters(query: &ExplainQuery) -> Vec<(&'static str, String)> {
    let ExplainQuery { route, model, adapter, prompt, output, prefix, account } = query.clone();
    let optional =
        [("model", model), ("adapter", adapter), ("prefix", prefix), ("account", account)];
    [("route", route), ("prompt", prompt.to_string()), ("output", output.to_string())]
        .into_iter()
        .chain(optional.into_iter().filter_map(|(name, value)| Some((name, value?))))
        .collect()
}
