use std::rc::Rc;

use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::body::Body;
use hyper::header::{AUTHORIZATION, ETAG, HeaderMap, IF_MATCH};
use hyper::{Method, Request, Response};
use rand::RngCore;
use serde_json::{Value, json};

use crate::clock::Clock;
use crate::config::admin_error::{AdminError, json_response};
use crate::config::{
    ConfigError, ConfigPeers, Configuration, EntryEdit, Finding, ServiceState, check_document,
};
use crate::http::ResponseBody;
use crate::store::{ObjectStore, Table};
use crate::units::{EndpointId, KeyHash, OrganisationId, Version, ZoneId};

/// Error type of bodies read through `Limited`.
type BodyError = Box<dyn std::error::Error + Send + Sync>;

const PATH_PREFIX: &str = "/admin/v1/";
const MAX_BODY_BYTES: usize = 16 << 20;
const MAX_HISTORY_ENTRIES: u64 = 100;

/// HTTP handler of the operators' API under `/admin/v1/`. Every request must carry a team's
/// credential.
pub struct Admin<T: Table, O: ObjectStore, C: Clock, W: ConfigPeers> {
    configuration: Rc<Configuration<T, O, C, W>>,
}

impl<T: Table, O: ObjectStore, C: Clock, W: ConfigPeers> Admin<T, O, C, W> {
    /// Creates a handler that reads and edits `configuration`.
    pub fn new(configuration: Rc<Configuration<T, O, C, W>>) -> Self {
        Admin { configuration }
    }

    /// Handles one request. Errors are returned as error responses.
    pub async fn handle<B>(&self, request: Request<B>) -> Response<ResponseBody>
    where
        B: Body<Data = Bytes, Error: Into<BodyError>>,
    {
        self.dispatch(request).await.unwrap_or_else(AdminError::into_response)
    }

    /// Returns the error response for a request without a valid team credential. Handlers of other
    /// paths under `/admin/v1/` call this first.
    pub fn refusal(&self, headers: &HeaderMap) -> Option<Response<ResponseBody>> {
        self.credential(headers).err().map(AdminError::into_response)
    }

    async fn dispatch<B>(&self, request: Request<B>) -> Result<Response<ResponseBody>, AdminError>
    where
        B: Body<Data = Bytes, Error: Into<BodyError>>,
    {
        let (parts, body) = request.into_parts();
        let credential = self.credential(&parts.headers)?;
        let path = parts.uri.path().strip_prefix(PATH_PREFIX).ok_or(AdminError::UnknownPath)?;
        let segments: Vec<&str> = path.split('/').collect();
        match (&parts.method, segments.as_slice()) {
            (&Method::GET, ["document"]) => Ok(self.text(None)?),
            (&Method::GET, ["sections", name]) => Ok(self.text(Some(name))?),
            (&Method::GET, ["history"]) => self.history().await,
            (&Method::GET, ["version"]) => Ok(json_response(&self.version())),
            (&Method::POST, ["check"]) => check(&read_text(body).await?),
            (&Method::PUT, ["sections", name]) => {
                let base = base_version(&parts.headers)?;
                let text = read_text(body).await?;
                let edited = self.configuration.edit(credential, name, base, &text).await?;
                Ok(json_response(&json!({ "version": edited })))
            }
            (&Method::POST, ["organisations", organisation, "keys", name]) => {
                self.create_key(credential, OrganisationId::new(*organisation), name).await
            }
            (method, segments) => {
                let edit = parse_entry_edit(method, segments).ok_or(AdminError::UnknownPath)?;
                let version = self.configuration.apply_entry_edit(credential, &edit).await?;
                Ok(json_response(&json!({ "version": version })))
            }
        }
    }

    fn credential<'a>(&self, headers: &'a HeaderMap) -> Result<&'a str, AdminError> {
        let value = headers.get(AUTHORIZATION).and_then(|value| value.to_str().ok());
        let credential =
            value.and_then(|v| v.strip_prefix("Bearer ")).ok_or(AdminError::NoCredential)?;
        self.configuration.authorise(credential, None)?;
        Ok(credential)
    }

    /// Returns the document or one section, with the version as entity tag.
    fn text(&self, section: Option<&str>) -> Result<Response<ResponseBody>, ConfigError> {
        let active = self.configuration.current();
        let text = match section {
            None => active.text.as_str(),
            Some(name) => active
                .text
                .section(name)
                .ok_or_else(|| ConfigError::UnknownSection { section: name.into() })?,
        };
        let mut response = Response::new(ResponseBody::full(text.to_owned()));
        if let Ok(tag) = format!("\"{}\"", active.version).parse() {
            response.headers_mut().insert(ETAG, tag);
        }
        Ok(response)
    }

    fn version(&self) -> Value {
        let active = self.configuration.current();
        json!({
            "version": active.version,
            "hash": active.content_hash(),
            "confirmed": self.configuration.is_confirmed(),
        })
    }

    async fn history(&self) -> Result<Response<ResponseBody>, AdminError> {
        let rows = self.configuration.history(MAX_HISTORY_ENTRIES).await?;
        let entries = rows.iter().map(|row| {
            json!({
                "version": row.change.version,
                "team": row.team,
                "section": row.change.section,
                "removed_bytes": row.change.removed_bytes,
                "inserted_bytes": row.change.inserted.len(),
                "attempt": row.attempt,
            })
        });
        Ok(json_response(&json!({ "changes": entries.collect::<Vec<_>>() })))
    }

    /// Generates a key and adds its hash to the document. Only this response contains the key
    /// itself.
    async fn create_key(
        &self,
        credential: &str,
        organisation: OrganisationId,
        name: &str,
    ) -> Result<Response<ResponseBody>, AdminError> {
        let key = new_key();
        let sha256 = KeyHash::of_key(&key);
        let edit = EntryEdit::AddKey { organisation, name: name.into(), sha256 };
        let version = self.configuration.apply_entry_edit(credential, &edit).await?;
        Ok(json_response(&json!({ "version": version, "key": key })))
    }
}

/// Generates a key of 256 random bits in hexadecimal.
fn new_key() -> String {
    let mut bytes = [0; 32];
    rand::rng().fill_bytes(&mut bytes);
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn parse_entry_edit(method: &Method, segments: &[&str]) -> Option<EntryEdit> {
    let edit = match (method, segments) {
        (&Method::DELETE, ["organisations", organisation, "keys", name]) => {
            let organisation = OrganisationId::new(*organisation);
            EntryEdit::WithdrawKey { organisation, name: (*name).into() }
        }
        (&Method::POST, ["zones", zone, state @ ("in" | "out")]) => {
            let state = if *state == "in" { ServiceState::In } else { ServiceState::Out };
            EntryEdit::SetZone { zone: ZoneId::new(*zone), state }
        }
        (&Method::POST, ["endpoints", endpoint, action @ ("drain" | "return")]) => {
            let state = if *action == "return" { ServiceState::In } else { ServiceState::Out };
            EntryEdit::SetEndpoint { endpoint: EndpointId::new(*endpoint), state }
        }
        _ => return None,
    };
    Some(edit)
}

fn check(text: &str) -> Result<Response<ResponseBody>, AdminError> {
    let (_, findings) = check_document(text);
    if findings.iter().any(Finding::is_error) {
        return Err(ConfigError::Invalid { findings }.into());
    }
    Ok(json_response(&json!({ "findings": findings })))
}

fn base_version(headers: &HeaderMap) -> Result<Version, AdminError> {
    let tag = headers.get(IF_MATCH).and_then(|value| value.to_str().ok());
    let version = tag.and_then(|tag| tag.trim().trim_matches('"').parse().ok());
    version.ok_or(AdminError::BaseVersionMissing)
}

async fn read_text<B>(body: B) -> Result<String, AdminError>
where
    B: Body<Data = Bytes, Error: Into<BodyError>>,
{
    let collected = Limited::new(body, MAX_BODY_BYTES).collect().await;
    let bytes = collected.map_err(|_| AdminError::UnreadableBody)?.to_bytes();
    String::from_utf8(bytes.into()).map_err(|_| AdminError::UnreadableBody)
}
