use std::path::PathBuf;

use smol_str::{SmolStr, ToSmolStr, format_smolstr};

use crate::bench::fleet_document::{EndpointKind, KEY_MARKER};
use crate::bench::relay::BlockedPaths;
use crate::bench::starter::{Starter, start_relays, write};
use crate::bench::{
    BenchError, Deployment, Fleet, FleetDocument, PlacedEndpoint, Process, Programs,
};
use crate::standin::{EngineSettings, PlainSettings, PlatformSettings};

const ENDPOINTS_PER_SLICE: usize = 64;

/// Configures and starts a fleet of processes on loopback.
#[derive(Clone, Debug)]
pub struct FleetBuilder {
    pub(super) programs: Programs,
    pub(super) deployment: Deployment,
    pub(super) gateways: usize,
    pub(super) engines: (usize, usize),
    pub(super) plain_services: usize,
    pub(super) slices: u32,
    pub(super) unfenced_slices: u32,
    pub(super) slots: u32,
    pub(super) engine: EngineSettings,
    pub(super) platform: PlatformSettings,
    pub(super) plain: PlainSettings,
    pub(super) rates: Vec<(u64, u64)>,
    pub(super) idle_organisations: usize,
    pub(super) repeated_endpoints: usize,
    pub(super) log_level: &'static str,
    pub(super) is_relayed: bool,
    pub(super) has_region_in_each_zone: bool,
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
            has_region_in_each_zone: false,
        }
    }

    pub fn gateways(mut self, gateways: usize) -> FleetBuilder {
        self.gateways = gateways;
        self
    }

    /// Sets the numbers of prefill and decode endpoints.
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

    /// Sets how many of the first slices have engines that don't check fencing numbers.
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

    /// Sets rate and burst of each organisation, in the deployment's order.
    pub fn rates(mut self, rates: Vec<(u64, u64)>) -> FleetBuilder {
        self.rates = rates;
        self
    }

    /// Sets the number of organisations in the document that send no requests.
    pub fn idle_organisations(mut self, idle_organisations: usize) -> FleetBuilder {
        self.idle_organisations = idle_organisations;
        self
    }

    /// Sets the number of additional document entries for the existing engines, in separate slices.
    /// They simulate many endpoints without load with a few processes.
    pub fn repeated_endpoints(mut self, repeated_endpoints: usize) -> FleetBuilder {
        self.repeated_endpoints = repeated_endpoints;
        self
    }

    pub fn log_level(mut self, level: &'static str) -> FleetBuilder {
        self.log_level = level;
        self
    }

    /// Routes the gateways' connections to each other and to the platform through relays, so that
    /// network paths can be blocked.
    pub fn relayed(mut self) -> FleetBuilder {
        self.is_relayed = true;
        self
    }

    /// Makes each zone a separate region with the name of the zone.
    pub fn region_in_each_zone(mut self) -> FleetBuilder {
        self.has_region_in_each_zone = true;
        self
    }

    /// Starts all processes and waits until every gateway is ready.
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
        let blocked_paths = BlockedPaths::default();
        let mut relays = Vec::new();
        for i in 0..self.gateways {
            if !self.is_relayed {
                gateways.push(start.gateway(i, platform.address(), None).await?);
                continue;
            }
            let (to_platform, to_gateway) = start_relays(i, platform.address(), &blocked_paths)
                .await
                .map_err(BenchError::Relay)?;
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
            blocked_paths,
            _relays: relays,
            builder: self.clone(),
            directory: directory.clone(),
        };
        fleet.wait_until_ready().await?;
        Ok(fleet)
    }

    /// Assigns a zone to an endpoint: the endpoints of each kind are spread over the slices and
    /// then over the zones.
    pub(super) fn place(
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
            has_region_in_each_zone: self.has_region_in_each_zone,
        }
    }
}

/// Returns engine settings under which the prefill of 1,000 tokens costs about as much as 50 output
/// tokens of a lightly loaded engine, and a full engine stays below the target between tokens.
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
