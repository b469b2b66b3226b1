//! `almondroad-bench demo`: sends one request through gateway, prefill and decode endpoint.

use crate::bench::{BenchError, Caller, Deployment, FleetBuilder, Programs, Prompt};
use crate::standin::expected_token;

const PROMPT: &str = "Fitting history: two linen suits, one taken in at the waist. \
                      Suggest a pose and sizing note for the window display.";
const MAX_TOKENS: u64 = 48;

/// Starts the stand-ins and three gateways, sends one streamed completion and prints the answer.
pub async fn run() -> Result<(), BenchError> {
    let programs = Programs::from_current_exe().map_err(BenchError::Runtime)?;
    let deployment = Deployment::Association;
    println!("starting a platform, 2 prefill and 2 decode engines, a plain service, 3 gateways");
    let fleet = FleetBuilder::new(programs, deployment)
        .gateways(3)
        .engines(2, 2)
        .plain_services(1)
        .slices(1)
        .start()
        .await?;
    let address = fleet.addresses()[0].clone();
    println!("POST http://{address}/v1/completions\n> {PROMPT}");
    let caller = Caller::default();
    let prompt = Prompt::new(deployment.organisations()[0], PROMPT, MAX_TOKENS);
    let record = caller.complete(&address, &prompt).await;
    println!("< {}", record.text);
    let expected: String =
        (0..record.output_tokens).map(|index| expected_token(PROMPT, index)).collect();
    println!(
        "{} tokens, first token after {} ms, {:.1} ms between tokens, answer {}",
        record.output_tokens,
        record.first_token_ms.unwrap_or(0),
        record.mean_gap_ms(),
        if record.is_complete() && record.text == expected { "whole" } else { "NOT WHOLE" },
    );
    if record.is_complete() && record.text == expected {
        return Ok(());
    }
    println!("the request ended with {:?}", record.ending);
    Err(BenchError::BoundMissed)
}
