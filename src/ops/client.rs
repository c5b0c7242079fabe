//! Client of a node's operator listener.

use std::time::Duration;

use fireflyhead_node::operators::api::EditAccepted;
use fireflyhead_node::operators::api::EditBody;
use fireflyhead_node::operators::api::EditEntry;
use fireflyhead_node::operators::api::EditRefused;
use fireflyhead_node::operators::api::NodeEntry;
use fireflyhead_node::operators::api::StatusBody;
use fireflyhead_node::operators::api::TableBody;
use fireflyhead_node::operators::api::UpstreamEntry;
use fireflyhead_schema::settings::Secret;
use reqwest::Method;
use reqwest::RequestBuilder;
use reqwest::Response;
use reqwest::StatusCode;
use serde::de::DeserializeOwned;

/// Time after which a call to a node is given up.
const CALL_TIMEOUT: Duration = Duration::from_secs(20);

/// Failure of a call to a node.
#[derive(Debug)]
#[derive(displaydoc::Display)]
pub enum ClientError {
    /// no answer from {url}: {source}
    Transport {
        /// URL of the call.
        url: String,
        /// Cause.
        source: reqwest::Error,
    },
    /// the node refused the operator token; set FIREFLYHEAD_OPERATOR_TOKEN to the token of the nodes
    Unauthorized,
    /// the node answered with status {status}: {body}
    Status {
        /// HTTP status.
        status: StatusCode,
        /// Text of the answer.
        body: String,
    },
    /// the edit was refused: {0}
    Refused(Box<EditRefused>),
}

impl std::error::Error for ClientError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            ClientError::Transport { source, .. } => Some(source),
            _ => None,
        }
    }
}

/// Client of one node.
#[derive(Clone, Debug)]
pub struct OperatorClient {
    url: String,
    token: Secret,
    http: reqwest::Client,
}

impl OperatorClient {
    /// Client of the node whose operator listener is at `url`.
    pub fn new(url: &str, token: Secret) -> OperatorClient {
        let http = reqwest::Client::builder()
            .no_proxy()
            .timeout(CALL_TIMEOUT)
            .build()
            .expect("a client without TLS needs nothing of the host");
        OperatorClient { url: url.trim_end_matches('/').to_owned(), token, http }
    }

    /// Table in force.
    ///
    /// # Errors
    /// No answer, or an error status.
    pub async fn table(&self) -> Result<TableBody, ClientError> {
        self.get("/op/v1/table").await
    }

    /// Recent edits, the newest last.
    ///
    /// # Errors
    /// No answer, or an error status.
    pub async fn history(&self) -> Result<Vec<EditEntry>, ClientError> {
        self.get("/op/v1/table/history").await
    }

    /// State of the node.
    ///
    /// # Errors
    /// No answer, or an error status.
    pub async fn status(&self) -> Result<StatusBody, ClientError> {
        self.get("/op/v1/status").await
    }

    /// All nodes.
    ///
    /// # Errors
    /// No answer, or an error status.
    pub async fn nodes(&self) -> Result<Vec<NodeEntry>, ClientError> {
        self.get("/op/v1/nodes").await
    }

    /// All upstreams.
    ///
    /// # Errors
    /// No answer, or an error status.
    pub async fn upstreams(&self) -> Result<Vec<UpstreamEntry>, ClientError> {
        self.get("/op/v1/upstreams").await
    }

    /// Starts a planned stop of the node.
    ///
    /// # Errors
    /// No answer, or an error status.
    pub async fn drain(&self) -> Result<(), ClientError> {
        let answer = self.send(self.request(Method::POST, "/op/v1/drain")).await?;
        expect_success(answer).await.map(drop)
    }

    /// Applies an edit.
    ///
    /// # Errors
    /// No answer, or a refusal that names conflicts or invalid cells.
    pub async fn edit(&self, edit: &EditBody) -> Result<EditAccepted, ClientError> {
        let answer = self.send(self.request(Method::POST, "/op/v1/table/edits").json(edit)).await?;
        let status = answer.status();
        let refused = matches!(
            status,
            StatusCode::CONFLICT
                | StatusCode::UNPROCESSABLE_ENTITY
                | StatusCode::SERVICE_UNAVAILABLE
        );
        if !refused {
            return parse(expect_success(answer).await?).await;
        }
        let body = answer.text().await.unwrap_or_default();
        match serde_json::from_str::<EditRefused>(&body) {
            Ok(refusal) => Err(ClientError::Refused(Box::new(refusal))),
            Err(_) => Err(ClientError::Status { status, body }),
        }
    }

    fn request(&self, method: Method, path: &str) -> RequestBuilder {
        let request = self.http.request(method, format!("{}{path}", self.url));
        request.bearer_auth(self.token.expose())
    }

    async fn send(&self, request: RequestBuilder) -> Result<Response, ClientError> {
        let url = self.url.clone();
        request.send().await.map_err(|source| ClientError::Transport { url, source })
    }

    async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, ClientError> {
        let answer = self.send(self.request(Method::GET, path)).await?;
        parse(expect_success(answer).await?).await
    }
}

async fn expect_success(answer: Response) -> Result<Response, ClientError> {
    match answer.status() {
        status if status.is_success() => Ok(answer),
        StatusCode::UNAUTHORIZED => Err(ClientError::Unauthorized),
        status => {
            let body = answer.text().await.unwrap_or_default();
            Err(ClientError::Status { status, body })
        }
    }
}

async fn parse<T: DeserializeOwned>(answer: Response) -> Result<T, ClientError> {
    let url = answer.url().to_string();
    answer.json().await.map_err(|source| ClientError::Transport { url, source })
}
