//! Experiment `edits`.

use std::collections::BTreeSet;
use std::time::Duration;

use hyper::Method;
use hyper::StatusCode;
use hyper::header::{AUTHORIZATION, ETAG, HeaderValue, IF_MATCH};
use serde_json::Value;
use smol_str::SmolStr;
use tokio::task::JoinSet;
use tokio::time::Instant;

use crate::bench::check::quantile;
use crate::bench::fleet_document::BEARER_CREDENTIAL;
use crate::bench::report::{Bound, PRODUCT};
use crate::bench::{BenchError, Fleet, Options, Report};
use crate::http::{HttpClient, HttpError};

const GATEWAYS: usize = 9;
/// An accepted edit must be in force on all gateways within this time.
const IN_FORCE_LIMIT_MS: f64 = 3_000.0;
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(8);
const CALL_TIMEOUT: Duration = Duration::from_secs(10);
const POLL: Duration = Duration::from_millis(25);
/// Three concurrent edits per 250 ms are far more than the expected 7,100 changes a day, and stay
/// below the write rate that the platform accepts.
const ROUND_PERIOD: Duration = Duration::from_millis(250);
/// The section that each operator edits. Two operators edit the same one.
const SECTIONS: [&str; 3] = ["rates", "rates", "zones"];

/// The response to an edit, and the marker that the document must contain if it was accepted.
pub(super) struct Edit {
    pub status: u16,
    code: String,
    version: u64,
    marker: String,
    accepted_at: Instant,
}

/// Operators concurrently edit the same and different sections through different gateways.
pub async fn run(options: &Options, report: &mut Report) -> Result<(), BenchError> {
    let fleet = super::small_fleet(options).gateways(GATEWAYS).start().await?;
    let addresses = fleet.addresses();
    let end = Instant::now() + options.load;
    let mut edits = Vec::new();
    let mut in_force_ms = Vec::new();
    let mut round = 0;
    let mut rounds = tokio::time::interval(ROUND_PERIOD);
    while round < 2 || Instant::now() < end {
        rounds.tick().await;
        let answers = send_concurrent_edits(&addresses, round).await?;
        let accepted = answers.iter().filter(|edit| edit.status == 200);
        for edit in accepted {
            in_force_ms.push(wait_until_in_force(&addresses, edit).await);
        }
        edits.extend(answers);
        round += 1;
    }
    report_edits(&edits, &in_force_ms, report);
    report_documents(&fleet, &edits, report).await
}

/// Sends one edit per operator, based on the same version and through different gateways.
async fn send_concurrent_edits(
    addresses: &[SmolStr],
    round: usize,
) -> Result<Vec<Edit>, BenchError> {
    let mut operators = JoinSet::new();
    for (i, section) in SECTIONS.iter().enumerate() {
        let address = addresses[(round * SECTIONS.len() + i) % addresses.len()].clone();
        let client = HttpClient::new(address);
        let (base, text) = read_section(&client, section).await?;
        // Each edit adds a unique comment, so that a lost edit is detected.
        let marker = format!("// edit {i} of round {round}\n");
        let edited = text.replacen('{', &format!("{{ {marker}"), 1);
        operators
            .spawn_local(async move { put_section(client, section, base, edited, marker).await });
    }
    let mut edits = Vec::new();
    while let Some(edit) = operators.join_next().await {
        if let Ok(edit) = edit {
            edits.push(edit?);
        }
    }
    Ok(edits)
}

pub(super) async fn read_section(
    client: &HttpClient,
    section: &str,
) -> Result<(HeaderValue, String), HttpError> {
    let path = format!("/admin/v1/sections/{section}");
    let mut request = client.request(Method::GET, &path, Default::default())?;
    request.headers_mut().insert(AUTHORIZATION, HeaderValue::from_static(BEARER_CREDENTIAL));
    let response = client.send(request, CALL_TIMEOUT).await?;
    let base = response.headers().get(ETAG).cloned();
    let text = client.read_body(response).await?;
    let base = base.unwrap_or(HeaderValue::from_static("\"0\""));
    Ok((base, String::from_utf8_lossy(&text).into_owned()))
}

pub(super) async fn put_section(
    client: HttpClient,
    section: &str,
    base: HeaderValue,
    text: String,
    marker: String,
) -> Result<Edit, HttpError> {
    let path = format!("/admin/v1/sections/{section}");
    let mut request = client.request(Method::PUT, &path, text.into())?;
    request.headers_mut().insert(AUTHORIZATION, HeaderValue::from_static(BEARER_CREDENTIAL));
    request.headers_mut().insert(IF_MATCH, base);
    let response = client.send(request, CALL_TIMEOUT).await?;
    let status: StatusCode = response.status();
    let accepted_at = Instant::now();
    let body = client.read_any_body(response).await?;
    let body: Value = serde_json::from_slice(&body).unwrap_or_default();
    Ok(Edit {
        status: status.as_u16(),
        code: body["error"]["code"].as_str().unwrap_or_default().to_owned(),
        version: body["version"].as_u64().unwrap_or_default(),
        marker,
        accepted_at,
    })
}

/// Returns the milliseconds from the acceptance of the edit until the last gateway has it in force.
async fn wait_until_in_force(addresses: &[SmolStr], edit: &Edit) -> f64 {
    let mut waits = JoinSet::new();
    for address in addresses.iter().cloned() {
        let (version, accepted_at) = (edit.version, edit.accepted_at);
        waits.spawn_local(async move {
            let client = HttpClient::new(address);
            while accepted_at.elapsed() < IN_FORCE_TIMEOUT {
                if read_version(&client).await.is_ok_and(|current| current >= version) {
                    return accepted_at.elapsed().as_millis() as f64;
                }
                tokio::time::sleep(POLL).await;
            }
            f64::INFINITY
        });
    }
    let mut longest = 0.0;
    while let Some(waited) = waits.join_next().await {
        longest = f64::max(longest, waited.unwrap_or(f64::INFINITY));
    }
    longest
}

async fn read_version(client: &HttpClient) -> Result<u64, HttpError> {
    let mut request = client.request(Method::GET, "/admin/v1/version", Default::default())?;
    request.headers_mut().insert(AUTHORIZATION, HeaderValue::from_static(BEARER_CREDENTIAL));
    let response = client.send(request, CALL_TIMEOUT).await?;
    let body = client.read_body(response).await?;
    let body: Value = serde_json::from_slice(&body).unwrap_or_default();
    Ok(body["version"].as_u64().unwrap_or_default())
}

fn report_edits(edits: &[Edit], in_force_ms: &[f64], report: &mut Report) {
    let none = Bound::AtMost(0.0);
    let accepted: Vec<&Edit> = edits.iter().filter(|edit| edit.status == 200).collect();
    let conflicts = edits.iter().filter(|e| e.status == 409 && e.code == "conflict").count();
    let others: Vec<&Edit> = edits
        .iter()
        .filter(|e| e.status != 200 && (e.status, &*e.code) != (409, "conflict"))
        .collect();
    for edit in others.iter().take(3) {
        report.progress(&format!("edit answered {} {}", edit.status, edit.code));
    }
    let versions: BTreeSet<u64> = accepted.iter().map(|edit| edit.version).collect();
    let shared = accepted.len() - versions.len();
    let longest = in_force_ms.iter().copied().fold(0.0, f64::max);
    let p95 = quantile(in_force_ms.to_vec(), 0.95);
    report.bounded("edits accepted", accepted.len() as f64, "edits", Bound::AtLeast(2.0));
    report.bounded("edits lost to a conflict", conflicts as f64, "edits", Bound::AtLeast(1.0));
    report.bounded("edits answered otherwise", others.len() as f64, "edits", none);
    report.bounded("edits accepted under one version", shared as f64, "edits", none);
    report.value(PRODUCT, "in force on all gateways p95", p95, "ms");
    let limit = Bound::AtMost(IN_FORCE_LIMIT_MS);
    report.bounded("in force on all gateways at most", longest, "ms", limit);
}

/// Compares the document of each gateway with the responses to the edits.
async fn report_documents(
    fleet: &Fleet,
    edits: &[Edit],
    report: &mut Report,
) -> Result<(), BenchError> {
    let mut lost = 0;
    let mut refused_in_force = 0;
    let mut documents = BTreeSet::new();
    for address in fleet.addresses() {
        let text = fleet.admin(&address, Method::GET, "document", Default::default()).await?;
        let text = String::from_utf8_lossy(&text).into_owned();
        for edit in edits {
            let is_in_force = text.contains(&edit.marker);
            lost += usize::from(edit.status == 200 && !is_in_force);
            refused_in_force += usize::from(edit.status == 409 && is_in_force);
        }
        documents.insert(text);
    }
    let none = Bound::AtMost(0.0);
    report.bounded("accepted edits lost or reverted", lost as f64, "edits", none);
    report.bounded("refused edits in force", refused_in_force as f64, "edits", none);
    report.bounded("different documents", documents.len() as f64, "texts", Bound::AtMost(1.0));
    Ok(())
}
