//! Duration of the check of a large configuration document.

use std::fmt::Write;
use std::time::Instant;

use almondroad::config::check_document;

/// Builds a document with one finding per rate: its burst is smaller than the largest request.
fn document(organisations: usize) -> String {
    let mut text = String::from("{ \"teams\": {},\n\"organisations\": {},\n\"rates\": {\n");
    for i in 0..organisations {
        let _ = writeln!(
            text,
            "\"org-{i:05}\": {{ \"rate_tokens_per_s\": 1000, \"burst_tokens\": 4000 }},"
        );
    }
    text.push_str("},\n\"zones\": {}, \"models\": {}, \"endpoints\": {}, \"routes\": [] }\n");
    text
}

fn check_s(organisations: usize) -> f64 {
    let text = document(organisations);
    let started_at = Instant::now();
    let (_, findings) = check_document(&text);
    assert!(findings.len() >= organisations);
    started_at.elapsed().as_secs_f64()
}

/// Guards against a check whose duration grows quadratically with the document. An instance has one
/// thread, so a check that takes seconds makes it lose its leases. Ten times the organisations may
/// take 30 times as long: 10 times for linear growth, with a factor of 3 for noise. Quadratic
/// growth would take 100 times as long.
#[test]
fn time_of_a_check_grows_with_the_document() {
    let shortest_s =
        |organisations| (0..3).map(|_| check_s(organisations)).fold(f64::MAX, f64::min);
    let (small_s, large_s) = (shortest_s(1_100), shortest_s(11_000));
    assert!(large_s < 30.0 * small_s, "{small_s} s for 1,100 and {large_s} s for 11,000");
}
