use std::ffi::OsString;
use std::path::PathBuf;
use std::time::Duration;

use bytes::Bytes;
use hyper::Method;
use hyper::header::{AUTHORIZATION, HeaderValue};
use serde::Serialize;
use serde_json::Value;
use smol_str::SmolStr;
use tokio::time::Instant;

use crate::bench::fleet_document::BEARER_CREDENTIAL;
use crate::bench::relay::{BlockedPaths, Relay};
use crate::bench::starter::Starter;
use crate::bench::{BenchError, FleetBuilder, FleetDocument, Process};
use crate::http::HttpClient;

const READY_TIMEOUT: Duration = Duration::from_secs(30);
/// Added for each gateway, because they start one after the other and each reads the document.
const READY_TIMEOUT_PER_GATEWAY: Duration = Duration::from_secs(1);
const READY_POLL: Duration = Duration::from_millis(50);
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// A running fleet of gateways and stand-ins. Dropping it kills its processes and removes its files
/// unless `ALMONDROAD_KEEP_FILES` is set.
pub struct Fleet {
    pub platform: Process,
    pub prefill: Vec<Process>,
    pub decode: Vec<Process>,
    pub plain: Vec<Process>,
    pub gateways: Vec<Process>,
    pub document: FleetDocument,
    /// Blocked network paths; they have an effect only in a relayed fleet.
    pub blocked_paths: BlockedPaths,
    pub(super) _relays: Vec<Relay>,
    pub(super) builder: FleetBuilder,
    pub(super) directory: PathBuf,
}

impl Fleet {
    /// Addresses at which the gateways accept callers.
    pub fn addresses(&self) -> Vec<SmolStr> {
        self.gateways.iter().map(|gateway| gateway.address().clone()).collect()
    }

    /// All engines, prefill engines first.
    pub fn engines(&self) -> impl Iterator<Item = &Process> {
        self.prefill.iter().chain(&self.decode)
    }

    /// Names of all engines, as the document has them.
    pub fn engine_names(&self) -> impl Iterator<Item = String> + '_ {
        self.engines().map(|engine| engine.name().to_string())
    }

    /// Returns the process of the named engine.
    pub fn engine(&self, name: &str) -> Option<&Process> {
        self.engines().find(|engine| engine.name() == name)
    }

    /// Number of slots of each decode endpoint.
    pub fn slots(&self) -> u32 {
        self.builder.slots
    }

    /// Addresses of all gateways except the one at `index`.
    pub fn addresses_without(&self, index: usize) -> Vec<SmolStr> {
        let mut addresses = self.addresses();
        addresses.remove(index);
        addresses
    }

    pub fn directory(&self) -> &PathBuf {
        &self.directory
    }

    /// Starts a new process under the name of a gateway that has exited, as the platform does when
    /// it replaces an instance.
    pub async fn replace_gateway(&mut self, index: usize) -> Result<(), BenchError> {
        let start = Starter { builder: &self.builder, directory: &self.directory };
        self.gateways[index] = start.gateway(index, self.platform.address(), None).await?;
        Ok(())
    }

    /// Restarts a stand-in that has exited with the same settings and address, as the platform
    /// does. `command` is `engine` or `plain`.
    pub async fn restart_standin(
        &self,
        ended: &Process,
        command: &str,
    ) -> Result<Process, BenchError> {
        let file = self.directory.join(format!("{}.json", ended.name()));
        let arguments: Vec<OsString> = vec![
            command.into(),
            "--settings".into(),
            file.into(),
            "--listen".into(),
            ended.address().as_str().into(),
        ];
        let log = self.directory.join(format!("{}.log", ended.name()));
        Process::start(ended.name(), &self.builder.programs.standin, arguments, &log).await
    }

    /// Sets the faults that a stand-in injects.
    pub async fn set_faults(
        &self,
        standin: &Process,
        faults: &impl Serialize,
    ) -> Result<(), BenchError> {
        let client = HttpClient::new(standin.address().clone());
        let path = "/standin/faults";
        let _: Value = client.call(Method::POST, path, faults, CALL_TIMEOUT).await?;
        Ok(())
    }

    /// Reads the statistics of a stand-in.
    pub async fn stats<T: serde::de::DeserializeOwned>(
        &self,
        standin: &Process,
    ) -> Result<T, BenchError> {
        let client = HttpClient::new(standin.address().clone());
        Ok(client.call(Method::GET, "/standin/stats", &(), CALL_TIMEOUT).await?)
    }

    pub async fn status(&self, gateway: &SmolStr) -> Result<Value, BenchError> {
        Fleet::status_of(gateway).await
    }

    /// Reads the status of a gateway without a reference to its fleet.
    pub async fn status_of(gateway: &SmolStr) -> Result<Value, BenchError> {
        let body = call_admin(gateway, Method::GET, "status", Bytes::new()).await?;
        Ok(serde_json::from_slice(&body).unwrap_or_default())
    }

    /// Waits until the gateways have the version in force and confirmed. Returns `false` if the
    /// deadline passes first.
    pub async fn wait_for_version(
        &self,
        gateways: &[SmolStr],
        version: Option<u64>,
        deadline: Instant,
    ) -> bool {
        for gateway in gateways {
            while !self.status(gateway).await.is_ok_and(|status| {
                status["version"].as_u64() >= version && status["is_confirmed"] == true
            }) {
                if Instant::now() > deadline {
                    return false;
                }
                tokio::time::sleep(READY_POLL).await;
            }
        }
        true
    }

    /// Sends an admin request with the credential of the fleet's team.
    pub async fn admin(
        &self,
        gateway: &SmolStr,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<Bytes, BenchError> {
        call_admin(gateway, method, path, body).await
    }

    /// Waits until every gateway has a confirmed document, knows all others and sees a holder for
    /// each shard.
    pub(super) async fn wait_until_ready(&self) -> Result<(), BenchError> {
        let ready = async {
            for gateway in &self.gateways {
                while !self.is_ready(gateway.address()).await {
                    tokio::time::sleep(READY_POLL).await;
                }
            }
        };
        let waited_for = "every gateway to be ready and every shard to have a holder";
        let limit = READY_TIMEOUT + READY_TIMEOUT_PER_GATEWAY * self.gateways.len() as u32;
        tokio::time::timeout(limit, ready)
            .await
            .map_err(|_| BenchError::FleetNotReady { waited_for })
    }

    async fn is_ready(&self, gateway: &SmolStr) -> bool {
        let Ok(status) = self.status(gateway).await else { return false };
        let count = |member: &str| status[member].as_array().map_or(0, Vec::len);
        let shards = crate::gateway::BUDGET_SHARDS as usize + self.builder.slices as usize;
        status["is_confirmed"] == true
            && count("instances") == self.gateways.len()
            && count("holders") >= shards
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        if std::env::var_os("ALMONDROAD_KEEP_FILES").is_none() {
            let _ = std::fs::remove_dir_all(&self.directory);
        }
    }
}

async fn call_admin(
    gateway: &SmolStr,
    method: Method,
    path: &str,
    body: Bytes,
) -> Result<Bytes, BenchError> {
    let client = HttpClient::new(gateway.clone());
    let mut request = client.request(method, &format!("/admin/v1/{path}"), body)?;
    let credential = HeaderValue::from_static(BEARER_CREDENTIAL);
    request.headers_mut().insert(AUTHORIZATION, credential);
    let response = client.send(request, CALL_TIMEOUT).await?;
    Ok(client.read_body(response).await?)
}
