use std::rc::Rc;
use std::time::Duration;

use smol_str::SmolStr;

use crate::clock::unix_time_s;
use crate::gateway::Node;
use crate::http::HttpClient;
use crate::once::{
    ClaimRow, ClaimState, PlainAnswer, PlainRequest, StoredAnswer, StoredBody, forward,
};
use crate::serve::{Outcome, ServeError};
use crate::store::{CommitOutcome, ObjectStore, Row, StoreError, Table, Transaction};
use crate::units::OrganisationId;

/// Longest time that the service may take; afterwards the outcome is unknown.
const CALL_TIMEOUT: Duration = Duration::from_secs(30);
const MAX_CLAIM_TRIES: u32 = 3;
const CLAIM_RETRY_DELAY: Duration = Duration::from_millis(200);
/// Tries, in the background, to store an answer or to remove a claim that was never used.
const MAX_BACKGROUND_TRIES: u32 = 120;
const BACKGROUND_DELAY: Duration = Duration::from_millis(1000);
const MAX_INLINE_BYTES: usize = 32 << 10;

/// Makes a call that must run at most once. The claim is in the table before the call leaves;
/// only the attempt that it names makes the call, and only once.
pub async fn call_at_most_once(
    node: &Rc<Node>,
    organisation: &OrganisationId,
    service: &SmolStr,
    idempotency_key: &str,
    request: &PlainRequest,
) -> Result<PlainAnswer, ServeError> {
    let clients = node.service_latency.healthy_first(node.plain_clients(service));
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
    match claim.make().await? {
        Claimed::Own { revision } => claim.call(&clients, request, revision).await,
        Claimed::Other(row) => answer_repeat(node, &claim.row, row).await,
    }
}

#[derive(Clone)]
struct Claim {
    node: Rc<Node>,
    table_key: String,
    row: ClaimRow,
}

enum Claimed {
    Own { revision: u64 },
    Other(ClaimRow),
}

impl Claim {
    /// Inserts the row. A lost answer is resolved by reading the row: the write is only sent
    /// again on condition that the row does not exist, under the same attempt id.
    async fn make(&self) -> Result<Claimed, ServeError> {
        let transaction =
            Transaction::default().require(&self.table_key, None).put(&self.table_key, self.text());
        let mut may_be_written = false;
        for _ in 0..MAX_CLAIM_TRIES {
            match self.node.platform.commit(&transaction).await {
                Ok(CommitOutcome::Applied { revision }) => return Ok(Claimed::Own { revision }),
                Ok(CommitOutcome::Conflict { .. }) => {}
                Err(StoreError::Unavailable { .. }) if !may_be_written => {
                    return Err(ServeError::TableUnavailable);
                }
                Err(_) => may_be_written = true,
            }
            match self.read().await {
                Ok(Some((row, revision))) if row.attempt == self.row.attempt => {
                    return Ok(Claimed::Own { revision });
                }
                Ok(Some((row, _))) => return Ok(Claimed::Other(row)),
                Ok(None) | Err(_) => tokio::time::sleep(CLAIM_RETRY_DELAY).await,
            }
        }
        // The call was not made and never will be under this attempt, so the claim may go.
        self.remove_in_background();
        Err(ServeError::TableUnavailable)
    }

    /// Makes the call. Only a connection that was refused lets another endpoint be tried.
    async fn call(
        &self,
        clients: &[HttpClient],
        request: &PlainRequest,
        revision: u64,
    ) -> Result<PlainAnswer, ServeError> {
        for client in clients {
            match forward(client, request, CALL_TIMEOUT).await {
                Ok(answer) => {
                    self.store(&answer, revision).await;
                    return Ok(answer);
                }
                Err(error) if error.is_unsent() => {
                    log::debug!(target: "once", "call not sent: {error}");
                    self.node.service_latency.note_failure(client.address());
                }
                Err(error) => {
                    log::warn!(target: "once", "outcome of {} is unknown: {error}", self.table_key);
                    client.reset();
                    self.node.service_latency.note_failure(client.address());
                    return Err(ServeError::CallUnresolved);
                }
            }
        }
        if self.remove(revision).await.is_err() {
            self.remove_in_background();
        }
        Err(ServeError::ServiceUnavailable { outcome: Outcome::NotRun })
    }

    /// Stores the answer for repeats; goes on in the background while the table is down.
    async fn store(&self, answer: &PlainAnswer, revision: u64) {
        if self.try_store(answer, revision).await {
            return;
        }
        let (claim, answer) = (self.clone(), answer.clone());
        tokio::task::spawn_local(async move {
            for _ in 0..MAX_BACKGROUND_TRIES {
                tokio::time::sleep(BACKGROUND_DELAY).await;
                if claim.try_store(&answer, revision).await {
                    return;
                }
            }
            log::error!(target: "once", "answer of {} could not be stored", claim.table_key);
        });
    }

    async fn try_store(&self, answer: &PlainAnswer, revision: u64) -> bool {
        let body = match String::from_utf8(answer.body.to_vec()) {
            Ok(text) if text.len() <= MAX_INLINE_BYTES => StoredBody::Inline(text),
            _ => match self.node.platform.put(answer.body.clone()).await {
                Ok(hash) => StoredBody::Object(hash),
                Err(_) => return false,
            },
        };
        let stored =
            StoredAnswer { status: answer.status, content_type: answer.content_type.clone(), body };
        let row = ClaimRow { state: ClaimState::Done(stored), ..self.row.clone() };
        let text = serde_json::to_string(&row).unwrap_or_default();
        let transaction = Transaction::default()
            .require(&self.table_key, Some(revision))
            .put(&self.table_key, text);
        // A conflict means that an earlier try took effect: nobody else writes a claimed row.
        self.node.platform.commit(&transaction).await.is_ok()
    }

    async fn remove(&self, revision: u64) -> Result<(), StoreError> {
        let transaction =
            Transaction::default().require(&self.table_key, Some(revision)).delete(&self.table_key);
        self.node.platform.commit(&transaction).await.map(|_| ())
    }

    /// Removes the claim if its write took effect, now or late.
    fn remove_in_background(&self) {
        let claim = self.clone();
        tokio::task::spawn_local(async move {
            for _ in 0..MAX_BACKGROUND_TRIES {
                tokio::time::sleep(BACKGROUND_DELAY).await;
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

    fn text(&self) -> String {
        serde_json::to_string(&self.row).unwrap_or_default()
    }
}

/// Answers a repeat from the row of the first call.
async fn answer_repeat(
    node: &Node,
    asked: &ClaimRow,
    row: ClaimRow,
) -> Result<PlainAnswer, ServeError> {
    if row.request_hash != asked.request_hash {
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
    Ok(PlainAnswer { status: stored.status, content_type: stored.content_type, body })
}
