use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::Method;
use hyper::header::{AUTHORIZATION, ETAG, HeaderName, HeaderValue, IF_MATCH};
use serde::Deserialize;
use serde_json::Value;
use smol_str::{SmolStr, ToSmolStr};

use crate::cmd::{CmdError, Credential, Options, Refusal};
use crate::http::{HttpClient, HttpError};
use crate::usage_error::UsageError;

/// The gateway takes up to about 20 s for an edit whose outcome it has to resolve.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(30);
const MAX_ANSWER_BYTES: usize = 64 << 20;

/// Client of one instance's admin API.
pub struct GatewayClient {
    client: HttpClient,
    credential: Credential,
}

/// A text with the version it belongs to.
pub struct VersionedText {
    pub version: u64,
    pub text: String,
}

#[derive(Deserialize)]
struct ErrorBody {
    error: Refusal,
}

impl GatewayClient {
    /// Creates a client from the address and the credential in the options.
    pub fn from_options(options: &Options) -> Result<GatewayClient, CmdError> {
        let client = HttpClient::new(options.gateway()?);
        Ok(GatewayClient { client, credential: options.credential()? })
    }

    /// Creates a client for another instance with the same credential.
    pub(super) fn with_address(&self, address: SmolStr) -> GatewayClient {
        GatewayClient { client: HttpClient::new(address), credential: self.credential.clone() }
    }

    /// Reads a JSON response below `/admin/v1/`.
    pub async fn get_json(&self, path: &str) -> Result<Value, CmdError> {
        let (_, body) = self.call(Method::GET, path, None, Bytes::new()).await?;
        self.parse(&body)
    }

    /// Reads a section, or the whole document.
    pub async fn get_text(&self, section: Option<&str>) -> Result<VersionedText, CmdError> {
        let path = section.map_or_else(|| "document".into(), |name| format!("sections/{name}"));
        let (tag, body) = self.call(Method::GET, &path, None, Bytes::new()).await?;
        let version = tag.and_then(|tag| tag.trim_matches('"').parse().ok());
        let text = String::from_utf8(body.into()).ok();
        match (version, text) {
            (Some(version), Some(text)) => Ok(VersionedText { version, text }),
            _ => Err(self.malformed("a text without its version")),
        }
    }

    /// Puts a section's text and returns the accepted version.
    pub async fn put_section(
        &self,
        section: &str,
        base: u64,
        text: String,
    ) -> Result<Value, CmdError> {
        let path = format!("sections/{section}");
        let (_, body) = self.call(Method::PUT, &path, Some(base), text.into()).await?;
        self.parse(&body)
    }

    /// Edits one entry: a key, an availability zone or an endpoint.
    pub async fn edit(&self, method: Method, path: &str) -> Result<Value, CmdError> {
        let (_, body) = self.call(method, path, None, Bytes::new()).await?;
        self.parse(&body)
    }

    async fn call(
        &self,
        method: Method,
        path: &str,
        base: Option<u64>,
        body: Bytes,
    ) -> Result<(Option<String>, Bytes), CmdError> {
        let is_read = method == Method::GET;
        let path = format!("/admin/v1/{path}");
        let mut request = self
            .client
            .request(method, &path, body)
            .map_err(|_| UsageError::InvalidPath { path: path.into() })?;
        let mut set = |name: HeaderName, value: String| {
            let value =
                HeaderValue::from_str(&value).map_err(|_| UsageError::MalformedCredential)?;
            request.headers_mut().insert(name, value);
            Ok::<_, CmdError>(())
        };
        set(AUTHORIZATION, format!("Bearer {}", self.credential.0))?;
        if let Some(base) = base {
            set(IF_MATCH, format!("\"{base}\""))?;
        }
        let failed = |source: HttpError| {
            if is_read || source.is_unsent() {
                CmdError::Unreachable { source }
            } else {
                CmdError::Broken { source }
            }
        };
        let response = self.client.send(request, REQUEST_TIMEOUT).await.map_err(failed)?;
        let status = response.status();
        let tag = response.headers().get(ETAG).and_then(|tag| tag.to_str().ok());
        let tag = tag.map(str::to_owned);
        let address = self.client.address();
        let body = tokio::time::timeout(
            REQUEST_TIMEOUT,
            Limited::new(response.into_body(), MAX_ANSWER_BYTES).collect(),
        )
        .await
        .map_err(|_| failed(HttpError::Timeout { address: address.clone() }))?
        .map_err(|e| {
            failed(HttpError::Broken { address: address.clone(), reason: e.to_smolstr() })
        })?
        .to_bytes();
        if status.is_success() {
            return Ok((tag, body));
        }
        match serde_json::from_slice::<ErrorBody>(&body) {
            Ok(answer) => Err(answer.error.into()),
            Err(_) => Err(self.malformed(&format!("status {status} without an error"))),
        }
    }

    fn parse(&self, body: &[u8]) -> Result<Value, CmdError> {
        serde_json::from_slice(body).map_err(|_| self.malformed("an answer that is not JSON"))
    }

    pub(super) fn malformed(&self, reason: &str) -> CmdError {
        let address = self.client.address().clone();
        CmdError::Unreachable { source: HttpError::Malformed { address, reason: reason.into() } }
    }
}
