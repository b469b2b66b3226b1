//! A burst of generations at twice what the engines' memory bears, placed by several instances
//! that tell each other their loads every 150 ms, against engines that know their memory.

use almondroad::balance::{Balancer, Load};
use almondroad::catalog::EndpointRole;
use almondroad::clock::Instant;
use almondroad::units::EndpointId;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use super::support::{ENGINE, at, balancer, decode, endpoint, service};

const INSTANCES: usize = 8;
const ENGINES: usize = 11;
const SEED: u64 = 20_261_204;
/// Requests a second, and the time for which each holds its memory.
const ARRIVALS_PER_S: u64 = 60;
const RUN_MS: u64 = 3_000;
const DAY_MS: u64 = 12_000;

struct Running {
    instance: usize,
    engine: EndpointId,
    load: Load,
    ends_at: Instant,
}

#[derive(Default)]
struct Outcome {
    started: u64,
    /// Prompts that were read before the engine refused the generation.
    read_in_vain: u64,
}

/// Plays the burst. With `is_held`, the engine is asked for its memory before the prompt is read.
fn play(is_held: bool) -> Outcome {
    let engines: Vec<_> =
        (0..ENGINES).map(|n| endpoint(&format!("d{n}"), "a", Some(EndpointRole::Decode))).collect();
    let mut instances: Vec<Balancer> = (0..INSTANCES).map(|_| balancer(&engines)).collect();
    let mut running: Vec<Running> = Vec::new();
    let mut rng = StdRng::seed_from_u64(SEED);
    let mut outcome = Outcome::default();
    for ms in 0..DAY_MS {
        let now = at(ms);
        running.retain(|run| {
            let is_over = run.ends_at <= now;
            if is_over {
                instances[run.instance].release_load(&run.engine, &run.load);
            }
            !is_over
        });
        if ms % 150 == 0 {
            exchange(&mut instances, now);
        }
        if rng.random_range(0..1_000) >= ARRIVALS_PER_S {
            continue;
        }
        let instance = rng.random_range(0..INSTANCES);
        let tokens = rng.random_range(1_500..6_500);
        let service = service();
        let Ok(placement) = instances[instance].choose_decode(&decode(&service, tokens), now)
        else {
            continue;
        };
        let engine = placement.endpoint.id.clone();
        let used: u64 = running
            .iter()
            .filter(|run| run.engine == engine)
            .map(|run| run.load.memory_tokens)
            .sum();
        if used + tokens > ENGINE.kv_capacity.get() {
            outcome.read_in_vain += u64::from(!is_held);
            instances[instance].endpoint_mut(&engine).unwrap().record_full(now);
            continue;
        }
        let load = Load { requests: 1, prompt_tokens: 0, memory_tokens: tokens };
        instances[instance].start_request(&engine, &load, now);
        running.push(Running { instance, engine, load, ends_at: now.plus_ms(RUN_MS) });
        outcome.started += 1;
    }
    outcome
}

fn exchange(instances: &mut [Balancer], now: Instant) {
    let told: Vec<_> = instances.iter().map(|instance| instance.local_loads(now)).collect();
    for (to, instance) in instances.iter_mut().enumerate() {
        for (from, loads) in told.iter().enumerate().filter(|(from, _)| *from != to) {
            instance.set_peer_loads([10, 0, 0, from as u8].into(), loads.clone(), now);
        }
    }
}

/// Guards against prompts that are read for nothing, the largest price of nmha-router scale-1:
/// instances with the same old view count on the same memory, so that only the engine's own
/// reservation keeps them apart.
#[test]
fn reservations_at_the_engine_keep_a_burst_from_reading_prompts_in_vain() {
    let told_only = play(false);
    let held = play(true);
    assert!(told_only.read_in_vain > 0, "the pattern no longer brings the fault about");
    assert_eq!(held.read_in_vain, 0);
    let bearable = ENGINES as u64 * ENGINE.kv_capacity.get() / 4_000 * DAY_MS / RUN_MS;
    let arrivals = ARRIVALS_PER_S * DAY_MS / 1_000;
    let floor = bearable.min(arrivals) * 8 / 10;
    assert!(held.started > floor, "{} of {arrivals} started, seed {SEED}", held.started);
}
