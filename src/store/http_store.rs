use std::time::Duration;

use bytes::Bytes;
use hyper::Method;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use smol_str::{SmolStr, ToSmolStr};

use crate::http::{HttpClient, HttpError};
use crate::store::{
    CommitOutcome, InstanceList, ListedInstance, ObjectStore, Row, StoreError, Table, Transaction,
};
use crate::units::ContentHash;

/// A call that takes longer has an unknown outcome. Lease renewals need a response well within a
/// lease's time to live.
const CALL_TIMEOUT: Duration = Duration::from_millis(1000);
const OBJECT_TIMEOUT: Duration = Duration::from_secs(5);

/// Client of the platform's table, object store and instance list over HTTP.
#[derive(Clone)]
pub struct HttpStore {
    client: HttpClient,
}

/// Request body of `/table/read`.
#[derive(Serialize, Deserialize)]
pub struct ReadRequest {
    pub keys: Vec<String>,
}

/// Response body of `/table/read`, with a row or `None` for each key.
#[derive(Serialize, Deserialize)]
pub struct ReadResponse {
    pub rows: Vec<Option<Row>>,
}

/// Request body of `/table/scan`.
#[derive(Serialize, Deserialize)]
pub struct ScanRequest {
    pub prefix: String,
    pub after: String,
    pub limit: usize,
}

/// Response body of `/table/scan`, with keys and rows.
#[derive(Serialize, Deserialize)]
pub struct ScanResponse {
    pub rows: Vec<(String, Row)>,
}

impl HttpStore {
    pub fn new(address: impl Into<SmolStr>) -> HttpStore {
        HttpStore { client: HttpClient::new(address) }
    }

    async fn call<Q: Serialize, A: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        payload: &Q,
    ) -> Result<A, StoreError> {
        self.client
            .call(method, path, payload, CALL_TIMEOUT)
            .await
            .map_err(|e| self.to_store_error(e))
    }

    fn to_store_error(&self, error: HttpError) -> StoreError {
        let address = self.client.address().clone();
        match error {
            // The platform does not apply a call that it rejects with an error status.
            HttpError::Connect { .. } | HttpError::Status { .. } => {
                StoreError::Unavailable { address, reason: error.to_smolstr() }
            }
            HttpError::Timeout { .. } => {
                // Other pooled connections may be unresponsive too.
                self.client.reset();
                StoreError::Unanswered { address, reason: error.to_smolstr() }
            }
            HttpError::Broken { .. } => {
                StoreError::Unanswered { address, reason: error.to_smolstr() }
            }
            HttpError::Malformed { reason, .. } => StoreError::Malformed { address, reason },
        }
    }
}

impl Table for HttpStore {
    async fn read(&self, keys: &[String]) -> Result<Vec<Option<Row>>, StoreError> {
        let payload = ReadRequest { keys: keys.to_vec() };
        let reply: ReadResponse = self.call(Method::POST, "/table/read", &payload).await?;
        if reply.rows.len() != keys.len() {
            return Err(StoreError::Malformed {
                address: self.client.address().clone(),
                reason: "unexpected number of rows".into(),
            });
        }
        Ok(reply.rows)
    }

    async fn scan(
        &self,
        prefix: &str,
        after: &str,
        limit: usize,
    ) -> Result<Vec<(String, Row)>, StoreError> {
        let payload = ScanRequest { prefix: prefix.into(), after: after.into(), limit };
        let reply: ScanResponse = self.call(Method::POST, "/table/scan", &payload).await?;
        Ok(reply.rows)
    }

    async fn commit(&self, transaction: &Transaction) -> Result<CommitOutcome, StoreError> {
        self.call(Method::POST, "/table/commit", transaction).await
    }
}

impl ObjectStore for HttpStore {
    async fn put(&self, content: Bytes) -> Result<ContentHash, StoreError> {
        let hash = ContentHash::of_bytes(&content);
        let store = async {
            let path = format!("/objects/{hash}");
            let request = self.client.request(Method::PUT, &path, content)?;
            let response = self.client.send(request, OBJECT_TIMEOUT).await?;
            self.client.read_body(response).await
        };
        store.await.map_err(|e| self.to_store_error(e))?;
        Ok(hash)
    }

    async fn get(&self, hash: ContentHash) -> Result<Option<Bytes>, StoreError> {
        let fetch = async {
            let path = format!("/objects/{hash}");
            let request = self.client.request(Method::GET, &path, Bytes::new())?;
            let response = self.client.send(request, OBJECT_TIMEOUT).await?;
            self.client.read_body(response).await
        };
        let content = match fetch.await {
            Err(HttpError::Status { status: 404, .. }) => return Ok(None),
            Err(error) => return Err(self.to_store_error(error)),
            Ok(content) => content,
        };
        if ContentHash::of_bytes(&content) != hash {
            return Err(StoreError::WrongContent { hash: hash.to_smolstr() });
        }
        Ok(Some(content))
    }
}

impl InstanceList for HttpStore {
    async fn instances(&self) -> Result<Vec<ListedInstance>, StoreError> {
        self.call(Method::GET, "/instances", &()).await
    }

    async fn register(&self, instance: &ListedInstance) -> Result<(), StoreError> {
        let path = format!("/instances/{}", instance.instance);
        self.call(Method::PUT, &path, instance).await
    }
}
