use std::time::Duration;

use bytes::Bytes;
use hyper::Method;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use smol_str::{SmolStr, ToSmolStr};

use crate::http::{HttpClient, HttpError};
use crate::platform::{
    CommitOutcome, InstanceList, ListedInstance, Objects, PlatformError, Row, Table, Transaction,
};
use crate::units::ContentHash;

/// A call that takes longer is treated as unanswered; renewals need an answer well within a
/// lease's time to live.
const CALL_TIMEOUT: Duration = Duration::from_millis(1000);
const OBJECT_TIMEOUT: Duration = Duration::from_secs(5);

/// Client of the platform's table, object store and instance list over HTTP.
#[derive(Clone)]
pub struct HttpPlatform {
    client: HttpClient,
}

#[derive(Serialize, Deserialize)]
pub struct ReadQuestion {
    pub keys: Vec<String>,
}

#[derive(Serialize, Deserialize)]
pub struct ReadAnswer {
    pub rows: Vec<Option<Row>>,
}

#[derive(Serialize, Deserialize)]
pub struct ScanQuestion {
    pub prefix: String,
    pub after: String,
    pub limit: usize,
}

#[derive(Serialize, Deserialize)]
pub struct ScanAnswer {
    pub rows: Vec<(String, Row)>,
}

impl HttpPlatform {
    pub fn new(address: impl Into<SmolStr>) -> HttpPlatform {
        HttpPlatform { client: HttpClient::new(address) }
    }

    async fn call<Q: Serialize, A: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        question: &Q,
    ) -> Result<A, PlatformError> {
        self.client.call(method, path, question, CALL_TIMEOUT).await.map_err(|e| self.convert(e))
    }

    fn convert(&self, error: HttpError) -> PlatformError {
        let address = self.client.address().clone();
        match error {
            // A platform that refuses with a status has not applied the call.
            HttpError::Connect { .. } | HttpError::Status { .. } => {
                PlatformError::Unavailable { address, reason: error.to_smolstr() }
            }
            HttpError::Timeout { .. } => {
                // Other pooled connections may have gone silent too.
                self.client.reset();
                PlatformError::Unanswered { address, reason: error.to_smolstr() }
            }
            HttpError::Broken { .. } => {
                PlatformError::Unanswered { address, reason: error.to_smolstr() }
            }
            HttpError::Malformed { reason, .. } => PlatformError::Malformed { address, reason },
        }
    }
}

impl Table for HttpPlatform {
    async fn read(&self, keys: &[String]) -> Result<Vec<Option<Row>>, PlatformError> {
        let question = ReadQuestion { keys: keys.to_vec() };
        let answer: ReadAnswer = self.call(Method::POST, "/table/read", &question).await?;
        if answer.rows.len() != keys.len() {
            return Err(PlatformError::Malformed {
                address: self.client.address().clone(),
                reason: "wrong number of rows".into(),
            });
        }
        Ok(answer.rows)
    }

    async fn scan(
        &self,
        prefix: &str,
        after: &str,
        limit: usize,
    ) -> Result<Vec<(String, Row)>, PlatformError> {
        let question = ScanQuestion { prefix: prefix.into(), after: after.into(), limit };
        let answer: ScanAnswer = self.call(Method::POST, "/table/scan", &question).await?;
        Ok(answer.rows)
    }

    async fn commit(&self, transaction: &Transaction) -> Result<CommitOutcome, PlatformError> {
        self.call(Method::POST, "/table/commit", transaction).await
    }
}

impl Objects for HttpPlatform {
    async fn put(&self, content: Bytes) -> Result<ContentHash, PlatformError> {
        let hash = ContentHash::of_bytes(&content);
        let store = async {
            let path = format!("/objects/{hash}");
            let request = self.client.request(Method::PUT, &path, content)?;
            let response = self.client.send(request, OBJECT_TIMEOUT).await?;
            self.client.read_body(response).await
        };
        store.await.map_err(|e| self.convert(e))?;
        Ok(hash)
    }

    async fn get(&self, hash: ContentHash) -> Result<Option<Bytes>, PlatformError> {
        let fetch = async {
            let path = format!("/objects/{hash}");
            let request = self.client.request(Method::GET, &path, Bytes::new())?;
            let response = self.client.send(request, OBJECT_TIMEOUT).await?;
            self.client.read_body(response).await
        };
        let content = match fetch.await {
            Err(HttpError::Status { status: 404, .. }) => return Ok(None),
            Err(error) => return Err(self.convert(error)),
            Ok(content) => content,
        };
        if ContentHash::of_bytes(&content) != hash {
            return Err(PlatformError::WrongContent { hash: hash.to_smolstr() });
        }
        Ok(Some(content))
    }
}

impl InstanceList for HttpPlatform {
    async fn instances(&self) -> Result<Vec<ListedInstance>, PlatformError> {
        self.call(Method::GET, "/instances", &()).await
    }

    async fn register(&self, instance: &ListedInstance) -> Result<(), PlatformError> {
        let path = format!("/instances/{}", instance.instance);
        self.call(Method::PUT, &path, instance).await
    }
}
