use std::rc::Rc;
use std::time::Duration;

use smol_str::SmolStr;

use crate::clock::unix_time_s;
use crate::gateway::Node;
use crate::http::HttpClient;
use crate::once::{
    ClaimRow, ClaimState, PlainRequest, PlainResponse, StoredBody, StoredResponse, forward,
};
use crate::serve::{Outcome, ServeError};
use crate::store::{CommitOutcome, ObjectStore, Row, StoreError, Table, Transaction};
use crate::units::OrganisationId;

/// Timeout of the call. After it the outcome is unknown.
const CALL_TIMEOUT: Duration = Duration::from_secs(30);
const MAX_CLAIM_TRIES: u32 = 3;
const CLAIM_RETRY_DELAY: Duration = Duration::from_millis(200);
/// Attempts in the background to store a response or to remove an unused claim.
const MAX_BACKGROUND_TRIES: u32 = 120;
const BACKGROUND_RETRY_DELAY: Duration = Duration::from_millis(1000);
const MAX_INLINE_BYTES: usize = 32 << 10;

/// Makes a call that must run at most once. The claim is written to the table before the call is
/// sent. Only the attempt named in the claim sends the call, and only once.
pub async fn call_at_most_once(
    node: &Rc<Node>,
    organisation: &OrganisationId,
    service: &SmolStr,
    idempotency_key: &str,
    request: &PlainRequest,
) -> Result<PlainResponse, ServeError> {
    let clients = node.service_latency.order_by_health(node.plain_clients(service));
    if clients.is_empty() {
        return Err(ServeError::ServiceUnavailable { outcome: Outcome::NotRun });
    }
    let claim = Claim {
        node: Rc::clone(node),
        table_key: ClaimRow::table_key(organisation, idempotency_key),
        row: ClaimRow {
            attempt: node.running_attempts.next_id(),
            request_hash: request.content_hash(),
            claimed_at_unix_s: unix_time_s(),
            state: ClaimState::Claimed,
        },
    };
    match claim.insert().await? {
        Insertion::Own { revision } => claim.call(&clients, request, revision).await,
        Insertion::Other(row) => replay_response(node, &claim.row, row).await,
    }
}

/// The claim row of one call, with the access to the table that holds it.
#[derive(Clone)]
struct Claim {
    node: Rc<Node>,
    table_key: String,
    row: ClaimRow,
}

/// Whether this attempt or another one owns the claim.
enum Insertion {
    Own { revision: u64 },
    Other(ClaimRow),
}

impl Claim {
    /// Inserts the claim row. If the answer to the write is lost, the row is read back. The write
    /// is retried only on condition that the row does not exist, and with the same attempt id.
    async fn insert(&self) -> Result<Insertion, ServeError> {
        let transaction = Transaction::default()
            .require(&self.table_key, None)
            .put(&self.table_key, self.row_json());
        let mut may_be_written = false;
        for _ in 0..MAX_CLAIM_TRIES {
            match self.node.platform.commit(&transaction).await {
                Ok(CommitOutcome::Applied { revision }) => return Ok(Insertion::Own { revision }),
                Ok(CommitOutcome::Conflict { .. }) => {}
                Err(StoreError::Unavailable { .. }) if !may_be_written => {
                    return Err(ServeError::TableUnavailable);
                }
                Err(_) => may_be_written = true,
            }
            match self.read().await {
                Ok(Some((row, revision))) if row.attempt == self.row.attempt => {
                    return Ok(Insertion::Own { revision });
                }
                Ok(Some((row, _))) => return Ok(Insertion::Other(row)),
                Ok(None) | Err(_) => tokio::time::sleep(CLAIM_RETRY_DELAY).await,
            }
        }
        // The call was not sent and never will be under this attempt id, so the claim can be
        // removed.
        self.remove_in_background();
        Err(ServeError::TableUnavailable)
    }

    /// Sends the call. Another endpoint is tried only if the connection was refused.
    async fn call(
        &self,
        clients: &[HttpClient],
        request: &PlainRequest,
        revision: u64,
    ) -> Result<PlainResponse, ServeError> {
        for client in clients {
            match forward(client, request, CALL_TIMEOUT).await {
                Ok(response) => {
                    self.store(&response, revision).await;
                    return Ok(response);
                }
                Err(error) if error.is_unsent() => {
                    log::debug!(target: "once", "call not sent: {error}");
                    self.node.service_latency.record_failure(client.address());
                }
                Err(error) => {
                    log::warn!(target: "once", "outcome of {} is unknown: {error}", self.table_key);
                    client.reset();
                    self.node.service_latency.record_failure(client.address());
                    return Err(ServeError::CallUnresolved);
                }
            }
        }
        if self.remove(revision).await.is_err() {
            self.remove_in_background();
        }
        Err(ServeError::ServiceUnavailable { outcome: Outcome::NotRun })
    }

    /// Stores the response for repeats of the call. Retries in the background while the table is
    /// unavailable.
    async fn store(&self, response: &PlainResponse, revision: u64) {
        if self.try_store(response, revision).await {
            return;
        }
        let (claim, response) = (self.clone(), response.clone());
        tokio::task::spawn_local(async move {
            for _ in 0..MAX_BACKGROUND_TRIES {
                tokio::time::sleep(BACKGROUND_RETRY_DELAY).await;
                if claim.try_store(&response, revision).await {
                    return;
                }
            }
            log::error!(target: "once", "cannot store the response of {}", claim.table_key);
        });
    }

    async fn try_store(&self, response: &PlainResponse, revision: u64) -> bool {
        let body = match String::from_utf8(response.body.to_vec()) {
            Ok(text) if text.len() <= MAX_INLINE_BYTES => StoredBody::Inline(text),
            _ => match self.node.platform.put(response.body.clone()).await {
                Ok(hash) => StoredBody::Object(hash),
                Err(_) => return false,
            },
        };
        let stored = StoredResponse {
            status: response.status,
            content_type: response.content_type.clone(),
            body,
        };
        let row = ClaimRow { state: ClaimState::Done(stored), ..self.row.clone() };
        let text = serde_json::to_string(&row).unwrap_or_default();
        let transaction = Transaction::default()
            .require(&self.table_key, Some(revision))
            .put(&self.table_key, text);
        // A conflict means that an earlier attempt succeeded, because no one else writes a claimed
        // row.
        self.node.platform.commit(&transaction).await.is_ok()
    }

    async fn remove(&self, revision: u64) -> Result<(), StoreError> {
        let transaction =
            Transaction::default().require(&self.table_key, Some(revision)).delete(&self.table_key);
        self.node.platform.commit(&transaction).await.map(|_| ())
    }

    /// Removes the claim in the background, whether its write has been applied already or is
    /// applied late.
    fn remove_in_background(&self) {
        let claim = self.clone();
        tokio::task::spawn_local(async move {
            for _ in 0..MAX_BACKGROUND_TRIES {
                tokio::time::sleep(BACKGROUND_RETRY_DELAY).await;
                if let Ok(Some((row, revision))) = claim.read().await
                    && (row.attempt != claim.row.attempt || claim.remove(revision).await.is_ok())
                {
                    return;
                }
            }
        });
    }

    async fn read(&self) -> Result<Option<(ClaimRow, u64)>, StoreError> {
        let rows = self.node.platform.read(std::slice::from_ref(&self.table_key)).await?;
        let Some(Row { value, revision }) = rows.into_iter().next().flatten() else {
            return Ok(None);
        };
        let row = serde_json::from_str(&value).map_err(|error| StoreError::Malformed {
            address: self.table_key.as_str().into(),
            reason: error.to_string().into(),
        })?;
        Ok(Some((row, revision)))
    }

    fn row_json(&self) -> String {
        serde_json::to_string(&self.row).unwrap_or_default()
    }
}

/// Answers a repeated call from the row of the first one.
async fn replay_response(
    node: &Node,
    new_row: &ClaimRow,
    row: ClaimRow,
) -> Result<PlainResponse, ServeError> {
    if row.request_hash != new_row.request_hash {
        return Err(ServeError::IdempotencyKeyReused);
    }
    let ClaimState::Done(stored) = row.state else { return Err(ServeError::CallUnresolved) };
    let body = match stored.body {
        StoredBody::Inline(text) => text.into(),
        StoredBody::Object(hash) => match node.platform.get(hash).await {
            Ok(Some(body)) => body,
            _ => return Err(ServeError::CallUnresolved),
        },
    };
    Ok(PlainResponse { status: stored.status, content_type: stored.content_type, body })
}
