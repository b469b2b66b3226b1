use std::collections::BTreeMap;

use pico_args::Arguments;
use smol_str::{SmolStr, ToSmolStr};

use crate::cmd::fleet_status::{EndpointEntry, FleetStatus, InstanceEntry};
use crate::cmd::table::{print_text, render_table};
use crate::cmd::{CmdError, GatewayClient, Options};
use crate::config::{Document, Endpoint, EngineEndpoint, ServiceState, check_document};
use crate::units::ZoneId;
use crate::usage_error::UsageError;

pub(super) const USAGE: &str = "\
usage: almondroad status

Prints the live instances with their version in force, the owners of the shards, and the
endpoints. An endpoint is warm when warm-up allows all its slots, and cold before. Endpoints whose
role, model or adapters differ from the document are listed at the end with what they wait for.
With --json, prints the answer of the instance that was asked.
";

pub(super) async fn run(arguments: Arguments, options: &Options) -> Result<(), CmdError> {
    UsageError::check_empty(arguments)?;
    let gateway = GatewayClient::from_options(options)?;
    if options.is_json {
        print_text(&format!("{}\n", gateway.get_json("status").await?));
        return Ok(());
    }
    let mut status = FleetStatus::read(&gateway).await?;
    status.add_endpoints_of_other_owners(&gateway).await;
    let text = gateway.get_text(None).await?.text;
    let document = check_document(&text).0.unwrap_or_default();
    print_text(&render(&status, &document));
    Ok(())
}

fn render(status: &FleetStatus, document: &Document) -> String {
    let confirmed = if status.is_confirmed { "confirmed" } else { "NOT CONFIRMED" };
    let store = if status.has_store { "reachable" } else { "NOT REACHABLE" };
    format!(
        "{} answers: version {} {confirmed}, store {store}, {} requests in flight\n\n\
         instances:\n{}\nowners:\n{}\nendpoints:\n{}{}",
        status.instance,
        status.version,
        status.requests_in_flight,
        instances(status),
        owners(status),
        endpoints(status, document),
        changes(status),
    )
}

fn instances(status: &FleetStatus) -> String {
    let newest = status.instances.iter().filter_map(|entry| entry.version).max();
    let state = |entry: &InstanceEntry| match entry {
        InstanceEntry { is_leaving: true, .. } => "leaving",
        InstanceEntry { version: None, .. } => "unknown version",
        InstanceEntry { version, .. } if *version < newest => "lagging",
        _ => "live",
    };
    let rows = status.instances.iter().map(|entry| {
        vec![
            entry.instance.to_string(),
            entry.zone.to_string(),
            entry.http_address.to_string(),
            entry.version.map_or_else(|| "-".into(), |version| version.to_string()),
            format!("{}%", entry.load_permille.div_ceil(10)),
            state(entry).into(),
        ]
    });
    let columns = ["instance", "zone", "address", "version", "load", "state"];
    render_table(&columns, &rows.collect::<Vec<_>>())
}

fn owners(status: &FleetStatus) -> String {
    let mut shards: BTreeMap<&SmolStr, (Vec<&str>, Vec<&str>)> = BTreeMap::new();
    for entry in &status.holders {
        let (budgets, pools) = shards.entry(&entry.holder).or_default();
        match (entry.shard.strip_prefix("budget/"), entry.shard.strip_prefix("pool/")) {
            (Some(budget), _) => budgets.push(budget),
            (_, Some(pool)) => pools.push(pool),
            _ => {}
        }
    }
    let list = |names: Vec<&str>| if names.is_empty() { "-".into() } else { names.join(" ") };
    let rows = shards
        .into_iter()
        .map(|(owner, (budgets, pools))| vec![owner.to_string(), list(pools), list(budgets)]);
    render_table(&["instance", "pools", "budget shards"], &rows.collect::<Vec<_>>())
}

fn endpoints(status: &FleetStatus, document: &Document) -> String {
    let rows = document.endpoints.iter().map(|(id, endpoint)| {
        let reported = status.endpoints.iter().find(|entry| entry.endpoint == id.as_str());
        match endpoint {
            Endpoint::Engine(engine) => engine_row(id.to_smolstr(), engine, reported, document),
            Endpoint::Plain(plain) => vec![
                id.to_string(),
                plain.service.to_string(),
                plain.zone.to_string(),
                out_of_service(&plain.zone, plain.state, document).unwrap_or("in").into(),
            ],
        }
    });
    let columns = ["endpoint", "role or service", "zone", "state", "running", "slots allowed"];
    render_table(&columns, &rows.collect::<Vec<_>>())
}

/// A table of the endpoints that are to change; empty if there are none.
fn changes(status: &FleetStatus) -> String {
    let rows: Vec<Vec<String>> = status
        .endpoints
        .iter()
        .filter_map(|entry| Some(vec![entry.endpoint.to_string(), entry.change()?]))
        .collect();
    if rows.is_empty() {
        return String::new();
    }
    format!("\nchanges:\n{}", render_table(&["endpoint", "change"], &rows))
}

fn engine_row(
    id: SmolStr,
    engine: &EngineEndpoint,
    reported: Option<&EndpointEntry>,
    document: &Document,
) -> Vec<String> {
    let out = out_of_service(&engine.zone, engine.state, document);
    let state = match (out, reported) {
        (Some(out), _) => out,
        (None, None) => "no owner",
        (None, Some(EndpointEntry { is_up: false, .. })) => "down",
        (None, Some(EndpointEntry { is_changing: true, .. })) => "changing",
        (None, Some(entry)) if entry.slot_limit < engine.slots => "cold",
        (None, Some(_)) => "warm",
    };
    let (running, allowed) = match reported {
        Some(entry) => (
            entry.used_slots.to_string(),
            format!("{} of {}", entry.slot_limit.min(engine.slots), engine.slots),
        ),
        None => ("-".into(), "-".into()),
    };
    let current_role = reported.map(|entry| entry.role.clone()).filter(|role| !role.is_empty());
    let role = current_role.unwrap_or_else(|| engine.role.to_smolstr());
    let (role, zone) = (format!("{role} {}", engine.model), engine.zone.to_string());
    vec![id.to_string(), role, zone, state.into(), running, allowed]
}

fn out_of_service(zone: &ZoneId, state: ServiceState, document: &Document) -> Option<&'static str> {
    let zone_state = document.zones.get(zone).map(|zone| zone.state);
    match (state, zone_state) {
        (ServiceState::Out, _) => Some("out"),
        (_, Some(ServiceState::Out)) => Some("zone out"),
        _ => None,
    }
}
