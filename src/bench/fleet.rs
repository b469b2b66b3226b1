use std::ffi::OsString;
use std::io;
use std::path::PathBuf;
use std::time::Duration;

use bytes::Bytes;
use hyper::Method;
use hyper::header::{AUTHORIZATION, HeaderValue};
use serde::Serialize;
use serde_json::{Value, json};
use smol_str::{SmolStr, ToSmolStr, format_smolstr};

use crate::bench::fleet_document::{BEARER_CREDENTIAL, EndpointKind, KEY_MARKER, MODEL};
use crate::bench::relay::{Callers, Cuts, Relay, gateway_ip};
use crate::bench::{
    BenchError, Deployment, FleetDocument, Node, PlacedEndpoint, Process, Programs,
};
use crate::http::HttpClient;
use crate::standin::{EngineRole, EngineSettings, PlainSettings, PlatformSettings};

const READY_TIMEOUT: Duration = Duration::from_secs(30);
/// Added for each gateway: they start one after the other and each reads the document.
const READY_TIMEOUT_PER_GATEWAY: Duration = Duration::from_secs(1);
const ENDPOINTS_PER_SLICE: usize = 64;
const READY_POLL: Duration = Duration::from_millis(50);
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Settings of a fleet of processes on loopback.
#[derive(Clone, Debug)]
pub struct FleetBuilder {
    programs: Programs,
    deployment: Deployment,
    gateways: usize,
    engines: (usize, usize),
    plain_services: usize,
    slices: u32,
    unfenced_slices: u32,
    slots: u32,
    engine: EngineSettings,
    platform: PlatformSettings,
    plain: PlainSettings,
    rates: Vec<(u64, u64)>,
    idle_organisations: usize,
    repeated_endpoints: usize,
    log_level: &'static str,
    is_relayed: bool,
}

/// A running fleet. Dropping it kills its processes and removes its files.
pub struct Fleet {
    pub platform: Process,
    pub prefill: Vec<Process>,
    pub decode: Vec<Process>,
    pub plain: Vec<Process>,
    pub gateways: Vec<Process>,
    pub document: FleetDocument,
    /// Paths of a relayed fleet.
    pub cuts: Cuts,
    _relays: Vec<Relay>,
    builder: FleetBuilder,
    directory: PathBuf,
}

impl FleetBuilder {
    pub fn new(programs: Programs, deployment: Deployment) -> FleetBuilder {
        FleetBuilder {
            programs,
            deployment,
            gateways: deployment.gateways(),
            engines: deployment.engines(),
            plain_services: deployment.plain_services(),
            slices: 3,
            unfenced_slices: 0,
            slots: 20,
            engine: engine_settings(),
            platform: PlatformSettings::default(),
            plain: PlainSettings { key_marker: Some(KEY_MARKER.into()), ..Default::default() },
            rates: vec![(1_000_000, 4_000_000); deployment.organisations().len()],
            idle_organisations: 0,
            repeated_endpoints: 0,
            log_level: "warn",
            is_relayed: false,
        }
    }

    pub fn gateways(mut self, gateways: usize) -> FleetBuilder {
        self.gateways = gateways;
        self
    }

    /// Number of prefill and of decode endpoints.
    pub fn engines(mut self, prefill: usize, decode: usize) -> FleetBuilder {
        self.engines = (prefill, decode);
        self
    }

    pub fn plain_services(mut self, plain_services: usize) -> FleetBuilder {
        self.plain_services = plain_services;
        self
    }

    pub fn slices(mut self, slices: u32) -> FleetBuilder {
        self.slices = slices;
        self
    }

    /// Slices, counted from the first, whose engines check no fencing number.
    pub fn unfenced_slices(mut self, unfenced_slices: u32) -> FleetBuilder {
        self.unfenced_slices = unfenced_slices;
        self
    }

    pub fn slots(mut self, slots: u32) -> FleetBuilder {
        self.slots = slots;
        self
    }

    pub fn engine(mut self, change: impl FnOnce(&mut EngineSettings)) -> FleetBuilder {
        change(&mut self.engine);
        self
    }

    pub fn plain(mut self, change: impl FnOnce(&mut PlainSettings)) -> FleetBuilder {
        change(&mut self.plain);
        self
    }

    /// Rate and burst of each organisation, in the deployment's order.
    pub fn rates(mut self, rates: Vec<(u64, u64)>) -> FleetBuilder {
        self.rates = rates;
        self
    }

    /// Organisations in the document besides the deployment's own.
    pub fn idle_organisations(mut self, idle_organisations: usize) -> FleetBuilder {
        self.idle_organisations = idle_organisations;
        self
    }

    /// Entries of the document that name the engines again, in slices of their own, so that a
    /// few processes stand for many endpoints without load.
    pub fn repeated_endpoints(mut self, repeated_endpoints: usize) -> FleetBuilder {
        self.repeated_endpoints = repeated_endpoints;
        self
    }

    pub fn log_level(mut self, level: &'static str) -> FleetBuilder {
        self.log_level = level;
        self
    }

    /// Gateways reach each other and the platform through relays, so that paths can be cut.
    pub fn relayed(mut self) -> FleetBuilder {
        self.is_relayed = true;
        self
    }

    /// Starts all processes and waits until every gateway serves.
    pub async fn start(self) -> Result<Fleet, BenchError> {
        let directory =
            std::env::temp_dir().join(format!("almondroad-{:016x}", rand::random::<u64>()));
        std::fs::create_dir_all(&directory)
            .map_err(|source| BenchError::Write { path: directory.clone(), source })?;
        let started = self.clone().start_in(directory.clone()).await;
        if started.is_err() && std::env::var_os("ALMONDROAD_KEEP_FILES").is_none() {
            let _ = std::fs::remove_dir_all(&directory);
        }
        started
    }

    async fn start_in(self, directory: PathBuf) -> Result<Fleet, BenchError> {
        let start = Starter { builder: &self, directory: &directory };
        let platform = start.standin("platform", "platform", &self.platform).await?;
        let mut endpoints = Vec::new();
        let mut prefill = Vec::new();
        for i in 0..self.engines.0 {
            let kind = EndpointKind::Prefill { slice: i as u32 % self.slices };
            prefill.push(start.engine("prefill", i, kind, &mut endpoints).await?);
        }
        let mut decode = Vec::new();
        for i in 0..self.engines.1 {
            let kind = EndpointKind::Decode { slice: i as u32 % self.slices };
            decode.push(start.engine("decode", i, kind, &mut endpoints).await?);
        }
        let mut plain = Vec::new();
        for i in 0..self.plain_services {
            let name = format_smolstr!("orders-{i}");
            let process = start.standin(&name, "plain", &self.plain).await?;
            endpoints.push(self.place(name, &process, i, EndpointKind::Plain));
            plain.push(process);
        }
        self.repeat_endpoints(&mut endpoints);
        let document = self.document(endpoints);
        write(&directory.join("document.jsonc"), &document.text())?;
        let mut gateways = Vec::new();
        let cuts = Cuts::default();
        let mut relays = Vec::new();
        for i in 0..self.gateways {
            if !self.is_relayed {
                gateways.push(start.gateway(i, platform.address(), None).await?);
                continue;
            }
            let (to_platform, to_gateway) =
                start_relays(i, platform.address(), &cuts).await.map_err(BenchError::Relay)?;
            let platform = to_platform.address().to_smolstr();
            gateways.push(start.gateway(i, &platform, Some(&to_gateway)).await?);
            relays.extend([to_platform, to_gateway]);
        }
        let fleet = Fleet {
            platform,
            prefill,
            decode,
            plain,
            gateways,
            document,
            cuts,
            _relays: relays,
            builder: self.clone(),
            directory: directory.clone(),
        };
        fleet.wait_until_ready().await?;
        Ok(fleet)
    }

    /// Spreads endpoints of each kind over the slices and then over the zones.
    fn place(
        &self,
        name: SmolStr,
        process: &Process,
        index: usize,
        kind: EndpointKind,
    ) -> PlacedEndpoint {
        let zone = match kind {
            EndpointKind::Plain => index,
            _ => index + index / self.slices as usize,
        };
        let zones = self.deployment.zones();
        PlacedEndpoint {
            name,
            address: process.address().clone(),
            zone: zones[zone % zones.len()].into(),
            kind,
        }
    }

    fn repeat_endpoints(&self, endpoints: &mut Vec<PlacedEndpoint>) {
        let engines: Vec<PlacedEndpoint> =
            endpoints.iter().filter(|e| e.kind != EndpointKind::Plain).cloned().collect();
        for (i, engine) in engines.iter().cycle().take(self.repeated_endpoints).enumerate() {
            let slice = self.slices + (i / ENDPOINTS_PER_SLICE) as u32;
            let kind = match engine.kind {
                EndpointKind::Prefill { .. } => EndpointKind::Prefill { slice },
                _ => EndpointKind::Decode { slice },
            };
            let name = format_smolstr!("repeated-{i}");
            endpoints.push(PlacedEndpoint { name, kind, ..engine.clone() });
        }
    }

    fn document(&self, endpoints: Vec<PlacedEndpoint>) -> FleetDocument {
        FleetDocument {
            deployment: self.deployment,
            endpoints,
            slots: self.slots,
            pieces: self.engine.pieces,
            tokens_per_piece: self.engine.tokens_per_piece,
            prefill_us_per_token: (self.engine.prefill_per_token_ms * 1000.0) as u64,
            kv_bytes_per_token: self.engine.kv_bytes_per_token,
            link_bytes_per_s: self.engine.link_bytes_per_s,
            rates: self.rates.clone(),
            checks_fencing: self.engine.checks_fencing,
            unfenced_slices: self.unfenced_slices,
            idle_organisations: self.idle_organisations,
        }
    }
}

/// Engines whose prefill of a prompt of a thousand tokens costs as much as some fifty output
/// tokens of a lightly loaded engine, and that stay under the target between tokens when full.
fn engine_settings() -> EngineSettings {
    EngineSettings {
        pieces: 1000,
        tokens_per_piece: 64,
        slots: 20,
        token_base_ms: 20.0,
        token_per_running_ms: 1.0,
        prefill_base_ms: 5.0,
        prefill_per_token_ms: 0.1,
        kv_bytes_per_token: 100_000,
        link_bytes_per_s: 5_000_000_000,
        key_marker: Some(KEY_MARKER.into()),
        cold_ms: 0,
        ..EngineSettings::default()
    }
}

struct Starter<'a> {
    builder: &'a FleetBuilder,
    directory: &'a PathBuf,
}

impl Starter<'_> {
    async fn standin(
        &self,
        name: &str,
        command: &str,
        settings: &impl Serialize,
    ) -> Result<Process, BenchError> {
        let file = self.directory.join(format!("{name}.json"));
        write(&file, &serde_json::to_string_pretty(settings).unwrap_or_default())?;
        let arguments: Vec<OsString> = vec![command.into(), "--settings".into(), file.into()];
        let log = self.directory.join(format!("{name}.log"));
        Process::start(name, &self.builder.programs.standin, arguments, &log).await
    }

    async fn engine(
        &self,
        role: &str,
        index: usize,
        kind: EndpointKind,
        endpoints: &mut Vec<PlacedEndpoint>,
    ) -> Result<Process, BenchError> {
        let name = format_smolstr!("{role}-{index}");
        let settings = EngineSettings {
            role: match kind {
                EndpointKind::Prefill { .. } => EngineRole::Prefill,
                _ => EngineRole::Decode,
            },
            models: vec![MODEL.into()],
            checks_fencing: self.builder.engine.checks_fencing
                && index as u32 % self.builder.slices >= self.builder.unfenced_slices,
            slots: self.builder.slots,
            ..self.builder.engine.clone()
        };
        let process = self.standin(&name, "engine", &settings).await?;
        endpoints.push(self.builder.place(name, &process, index, kind));
        Ok(process)
    }

    async fn gateway(
        &self,
        index: usize,
        platform: &SmolStr,
        relay: Option<&Relay>,
    ) -> Result<Process, BenchError> {
        let deployment = self.builder.deployment;
        let zones = deployment.zones();
        let name = format!("gateway-{index}");
        let mut settings = json!({
            "instance": name,
            "region": deployment.region(),
            "zone": zones[index % zones.len()],
            "platform_address": platform,
            "first_document_file": self.directory.join("document.jsonc"),
            "log": { "level": self.builder.log_level },
        });
        if let Some(relay) = relay {
            settings["peer_listen"] = format!("{}:0", gateway_ip(index)).into();
            settings["peer_advertise"] = relay.address().to_string().into();
        }
        let file = self.directory.join(format!("{name}.json"));
        write(&file, &settings.to_string())?;
        let log = self.directory.join(format!("{name}.log"));
        let arguments: Vec<OsString> = vec!["--settings".into(), file.into()];
        let process =
            Process::start(&name, &self.builder.programs.gateway, arguments, &log).await?;
        if let Some((relay, address)) = relay.zip(process.peer_address()) {
            relay.forward_to(address);
        }
        Ok(process)
    }
}

/// Relays from one gateway to the platform and from its peers to it.
async fn start_relays(
    index: usize,
    platform: &SmolStr,
    cuts: &Cuts,
) -> Result<(Relay, Relay), io::Error> {
    let gateway = Node::Gateway(index);
    let to_platform = Relay::start(Callers::Only(gateway), Node::Platform, cuts).await?;
    to_platform.forward_to(platform.parse().map_err(io::Error::other)?);
    let to_gateway = Relay::start(Callers::Gateways, gateway, cuts).await?;
    Ok((to_platform, to_gateway))
}

impl Fleet {
    /// Addresses of the gateways for callers.
    pub fn addresses(&self) -> Vec<SmolStr> {
        self.gateways.iter().map(|gateway| gateway.address().clone()).collect()
    }

    /// Names of the engines in the document.
    pub fn engine_names(&self) -> impl Iterator<Item = String> + '_ {
        let engines = self.prefill.iter().chain(&self.decode);
        engines.map(|engine| engine.name().to_string())
    }

    /// The process of the engine with this name.
    pub fn engine(&self, name: &str) -> Option<&Process> {
        self.prefill.iter().chain(&self.decode).find(|engine| engine.name() == name)
    }

    /// Slots of each decode endpoint.
    pub fn slots(&self) -> u32 {
        self.builder.slots
    }

    /// Addresses of all gateways but one.
    pub fn addresses_without(&self, index: usize) -> Vec<SmolStr> {
        let mut addresses = self.addresses();
        addresses.remove(index);
        addresses
    }

    pub fn directory(&self) -> &PathBuf {
        &self.directory
    }

    /// Starts another process under the name of a gateway that has ended, as the platform does
    /// when it replaces an instance.
    pub async fn replace_gateway(&mut self, index: usize) -> Result<(), BenchError> {
        let start = Starter { builder: &self.builder, directory: &self.directory };
        self.gateways[index] = start.gateway(index, self.platform.address(), None).await?;
        Ok(())
    }

    /// Starts a stand-in that has ended again, with its settings and on its address, as the
    /// platform does. `command` is `engine` or `plain`.
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

    /// Sets the faults of a stand-in.
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

    /// What a stand-in saw.
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

    /// The status of a gateway of any fleet that an experiment started.
    pub async fn status_of(gateway: &SmolStr) -> Result<Value, BenchError> {
        let body = call_admin(gateway, Method::GET, "status", Bytes::new()).await?;
        Ok(serde_json::from_slice(&body).unwrap_or_default())
    }

    /// Sends an operator's request, with the credential of the fleet's team.
    pub async fn admin(
        &self,
        gateway: &SmolStr,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<Bytes, BenchError> {
        call_admin(gateway, method, path, body).await
    }

    /// Waits until every gateway has the document in force, knows all others, and all shards
    /// have holders.
    async fn wait_until_ready(&self) -> Result<(), BenchError> {
        let ready = async {
            for gateway in &self.gateways {
                while !self.is_ready(gateway.address()).await {
                    tokio::time::sleep(READY_POLL).await;
                }
            }
        };
        let waited_for = "every gateway serving with all shards held";
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

fn write(path: &PathBuf, text: &str) -> Result<(), BenchError> {
    std::fs::write(path, text).map_err(|source| BenchError::Write { path: path.clone(), source })
}
