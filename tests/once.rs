//! Deletion of expired claim rows of at-most-once calls, against the platform stand-in.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use almondroad::gateway::budget_shard;
use almondroad::http::HttpClient;
use almondroad::once::{ClaimRow, ClaimState, ExpirySweep, SweepProgress};
use almondroad::standin::{PlatformFaults, PlatformSettings, Standin, start_platform};
use almondroad::store::{HttpStore, Table, Transaction};
use almondroad::units::{AttemptId, ContentHash, Incarnation, InstanceId, OrganisationId};
use hyper::Method;

const DAY_S: u64 = 86_400;
const NOW_S: u64 = 1_000 * DAY_S;
const RETENTION_S: u64 = 7 * DAY_S;
const TEST_TIMEOUT: Duration = Duration::from_secs(20);

async fn run(test: impl Future<Output = ()>) {
    tokio::task::LocalSet::new().run_until(tokio::time::timeout(TEST_TIMEOUT, test)).await.unwrap();
}

async fn platform() -> (Standin, HttpStore) {
    let listen = SocketAddr::from(([127, 0, 0, 1], 0));
    let standin = start_platform(listen, PlatformSettings::default()).await.unwrap();
    let store = HttpStore::new(standin.address());
    (standin, store)
}

fn organisation() -> OrganisationId {
    OrganisationId::new("mandeville")
}

/// An organisation of a different shard, whose rows sort after those of `organisation()`.
fn organisation_of_other_shard() -> OrganisationId {
    let names = (0..100).map(|i| OrganisationId::new(format!("negril-{i}")));
    names.into_iter().find(|name| budget_shard(name) != budget_shard(&organisation())).unwrap()
}

fn claim_text(age_s: u64) -> String {
    let row = ClaimRow {
        attempt: AttemptId {
            instance: InstanceId::new("gw-1"),
            incarnation: Incarnation(7),
            sequence: age_s,
        },
        request_hash: ContentHash::of_bytes(b""),
        claimed_at_unix_s: NOW_S - age_s,
        state: ClaimState::Claimed,
    };
    serde_json::to_string(&row).unwrap()
}

/// Writes a claim of the given age and returns its key.
async fn claim(table: &HttpStore, organisation: &OrganisationId, age_s: u64) -> String {
    let key = ClaimRow::table_key(organisation, &age_s.to_string());
    table.commit(&Transaction::default().put(&key, claim_text(age_s))).await.unwrap();
    key
}

async fn keys(table: &HttpStore) -> BTreeSet<String> {
    table.scan("once/", "", 1000).await.unwrap().into_iter().map(|(key, _)| key).collect()
}

fn sweep() -> ExpirySweep {
    ExpirySweep::new(budget_shard(&organisation()), "")
}

/// Runs batches until the end of the rows and returns the number of rows deleted by each batch.
async fn sweep_all(sweep: &mut ExpirySweep, table: &HttpStore) -> Vec<usize> {
    let mut batches = Vec::new();
    while let SweepProgress::Deleted(count) = sweep.run_batch(table, NOW_S, || true).await.unwrap()
    {
        batches.push(count);
    }
    batches
}

/// Guards against expired rows that are never deleted, rows deleted too early or by an instance
/// that does not hold their shard, and batches larger than `BATCH_SIZE`.
#[tokio::test]
async fn expired_rows_of_the_own_shard_are_deleted_in_small_batches() {
    run(async {
        let (_standin, table) = platform().await;
        let mut kept = BTreeSet::new();
        for age_s in [0, 60, 6 * DAY_S, RETENTION_S - 1, RETENTION_S, RETENTION_S + DAY_S - 1] {
            kept.insert(claim(&table, &organisation(), age_s).await);
        }
        for extra_s in 0..30 {
            claim(&table, &organisation(), RETENTION_S + DAY_S + extra_s).await;
            kept.insert(
                claim(&table, &organisation_of_other_shard(), RETENTION_S + DAY_S + extra_s).await,
            );
        }
        let before = keys(&table).await;
        let mut sweep = sweep();
        sweep.run_batch(&table, NOW_S, || false).await.unwrap();
        assert_eq!(keys(&table).await, before, "deleted without the lease");
        let mut batches = sweep_all(&mut sweep, &table).await;
        batches.extend(sweep_all(&mut sweep, &table).await);
        assert!(batches.iter().all(|count| *count <= ExpirySweep::BATCH_SIZE), "{batches:?}");
        assert_eq!(batches.iter().sum::<usize>(), 30, "{batches:?}");
        assert_eq!(keys(&table).await, kept);
    })
    .await;
}

/// Guards against a sweep that skips rows after a table outage, and against a deletion that is
/// applied late and removes a newer claim with the same key.
#[tokio::test]
async fn a_sweep_goes_on_after_an_outage_and_deletes_no_new_claim() {
    run(async {
        let (standin, table) = platform().await;
        for extra_s in 0..8 {
            claim(&table, &organisation(), RETENTION_S + DAY_S + extra_s).await;
        }
        let control = HttpClient::new(standin.address());
        let set_faults = async |faults: PlatformFaults| {
            let () =
                control.call(Method::POST, "/standin/faults", &faults, TEST_TIMEOUT).await.unwrap();
        };
        let mut sweep = sweep();
        set_faults(PlatformFaults { down: true, ..PlatformFaults::default() }).await;
        sweep.run_batch(&table, NOW_S, || true).await.unwrap_err();
        set_faults(PlatformFaults { apply_late_ms: 1_500, ..PlatformFaults::default() }).await;
        sweep.run_batch(&table, NOW_S, || true).await.unwrap_err();
        set_faults(PlatformFaults::default()).await;
        let key = keys(&table).await.pop_first().unwrap();
        table.commit(&Transaction::default().put(&key, claim_text(0))).await.unwrap();
        tokio::time::sleep(Duration::from_millis(700)).await;
        sweep_all(&mut sweep, &table).await;
        assert_eq!(keys(&table).await, BTreeSet::from([key]));
    })
    .await;
}
