use std::ffi::OsString;
use std::io;
use std::path::PathBuf;

use serde::Serialize;
use serde_json::json;
use smol_str::{SmolStr, format_smolstr};

use crate::bench::fleet_document::{EndpointKind, MODEL};
use crate::bench::relay::{AllowedClients, BlockedPaths, Relay, gateway_ip};
use crate::bench::{BenchError, FleetBuilder, Node, PlacedEndpoint, Process};
use crate::standin::{EngineRole, EngineSettings};

/// Starts the processes of a fleet, each with a settings file and a log file in `directory`.
pub(super) struct Starter<'a> {
    pub builder: &'a FleetBuilder,
    pub directory: &'a PathBuf,
}

impl Starter<'_> {
    pub async fn standin(
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

    pub async fn engine(
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

    pub async fn gateway(
        &self,
        index: usize,
        platform: &SmolStr,
        relay: Option<&Relay>,
    ) -> Result<Process, BenchError> {
        let deployment = self.builder.deployment;
        let zones = deployment.zones();
        let zone = zones[index % zones.len()];
        let region = if self.builder.has_region_in_each_zone { zone } else { deployment.region() };
        let name = format!("gateway-{index}");
        let mut settings = json!({
            "instance": name,
            "region": region,
            "zone": zone,
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

/// Starts the relays of one gateway: from it to the platform, and from its peers to it.
pub(super) async fn start_relays(
    index: usize,
    platform: &SmolStr,
    blocked_paths: &BlockedPaths,
) -> Result<(Relay, Relay), io::Error> {
    let gateway = Node::Gateway(index);
    let to_platform =
        Relay::start(AllowedClients::Only(gateway), Node::Platform, blocked_paths).await?;
    to_platform.forward_to(platform.parse().map_err(io::Error::other)?);
    let to_gateway = Relay::start(AllowedClients::Gateways, gateway, blocked_paths).await?;
    Ok((to_platform, to_gateway))
}

pub(super) fn write(path: &PathBuf, text: &str) -> Result<(), BenchError> {
    std::fs::write(path, text).map_err(|source| BenchError::Write { path: path.clone(), source })
}
