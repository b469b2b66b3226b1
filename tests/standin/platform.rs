//! Platform stand-in: table, object store, instance list and their faults.

use std::time::Duration;

use almondroad::standin::{PlatformFaults, PlatformSettings, PlatformStats};
use almondroad::store::{
    CommitOutcome, InstanceList, ListedInstance, ListedState, ObjectStore, StoreError, Table,
    Transaction,
};
use almondroad::units::{Incarnation, InstanceId, RegionId, ZoneId};
use tokio::time::sleep;

use crate::helpers::*;

/// Guards against a lost response to a write that took effect being reported as a rejection.
#[tokio::test]
async fn lost_answer_leaves_the_write_in_effect() {
    run(async {
        let (standin, client) = platform(PlatformSettings::default()).await;
        for hang in [false, true] {
            let faults = PlatformFaults {
                lose_answer_permille: 1000,
                lost_answers_hang: hang,
                ..PlatformFaults::default()
            };
            set_faults(&standin, &faults).await;
            let key = format!("k/{hang}");
            let lost = client.commit(&Transaction::default().put(&key, "v")).await;
            assert!(matches!(lost, Err(StoreError::Unanswered { .. })), "{lost:?}");
            set_faults(&standin, &PlatformFaults::default()).await;
            let rows = client.read(&[key]).await.unwrap();
            assert_eq!(rows[0].as_ref().unwrap().value, "v");
        }
    })
    .await;
}

/// Guards against two conflicting writes that both succeed, and against a partly applied
/// transaction.
#[tokio::test]
async fn a_broken_condition_is_a_conflict() {
    run(async {
        let (standin, client) = platform(PlatformSettings::default()).await;
        let create = Transaction::default().require("a", None).put("a", "1").put("b", "1");
        let applied = client.commit(&create).await.unwrap();
        let CommitOutcome::Applied { revision } = applied else { panic!("{applied:?}") };
        assert_eq!(client.commit(&create).await, Ok(CommitOutcome::Conflict { key: "a".into() }));
        let stale = Transaction::default().require("a", Some(revision + 1)).put("b", "2");
        assert!(matches!(client.commit(&stale).await, Ok(CommitOutcome::Conflict { .. })));
        let next = Transaction::default().require("a", Some(revision)).delete("a").put("c", "1");
        assert!(matches!(client.commit(&next).await, Ok(CommitOutcome::Applied { .. })));
        let rows = client.scan("", "", 10).await.unwrap();
        let found: Vec<_> = rows.iter().map(|(k, row)| (k.as_str(), row.value.as_str())).collect();
        assert_eq!(found, [("b", "1"), ("c", "1")]);
        let seen: PlatformStats = stats(&standin).await;
        assert_eq!(seen.conflicts, 2);
    })
    .await;
}

/// Guards against a delayed write that is dropped when the caller times out, and against stale
/// reads that continue after the fault was cleared.
#[tokio::test]
async fn late_writes_and_stale_reads() {
    run(async {
        let (standin, client) = platform(PlatformSettings::default()).await;
        client.commit(&Transaction::default().put("k", "old")).await.unwrap();
        let faults =
            PlatformFaults { apply_late_ms: 1200, stale_read: true, ..PlatformFaults::default() };
        set_faults(&standin, &faults).await;
        let late = client.commit(&Transaction::default().put("k", "new")).await;
        assert!(matches!(late, Err(StoreError::Unanswered { .. })), "{late:?}");
        sleep(Duration::from_millis(500)).await;
        let value = async || client.read(&["k".into()]).await.unwrap()[0].clone().unwrap().value;
        assert_eq!(value().await, "old");
        set_faults(&standin, &PlatformFaults::default()).await;
        assert_eq!(value().await, "new");
    })
    .await;
}

/// Guards against a rejection that is reported as an unknown outcome, and against exceeded limits.
#[tokio::test]
async fn a_platform_that_is_down_or_over_its_limit_refuses() {
    run(async {
        let settings = PlatformSettings { writes_per_s: 5, ..PlatformSettings::default() };
        let (standin, client) = platform(settings).await;
        let put = Transaction::default().put("lease/a", "1");
        set_faults(&standin, &PlatformFaults { down: true, ..PlatformFaults::default() }).await;
        assert!(matches!(client.commit(&put).await, Err(StoreError::Unavailable { .. })));
        set_faults(&standin, &PlatformFaults::default()).await;
        let mut applied = 0;
        for _ in 0..20 {
            applied += u64::from(client.commit(&put).await.is_ok());
        }
        let seen: PlatformStats = stats(&standin).await;
        assert_eq!(seen.by_prefix["lease"].writes, applied);
        assert_eq!(seen.throttled, 20 - applied);
        assert!(seen.per_second.iter().all(|(_, rows)| rows.writes <= 5), "{seen:?}");
    })
    .await;
}

/// Guards against objects stored under a wrong hash, and against an instance list without its lag.
#[tokio::test]
async fn objects_and_the_lagging_list() {
    run(async {
        let settings = PlatformSettings { list_lag_ms: 200, ..PlatformSettings::default() };
        let (_standin, client) = platform(settings).await;
        let hash = client.put("content".into()).await.unwrap();
        assert_eq!(client.get(hash).await.unwrap().unwrap(), "content");
        let missing = almondroad::units::ContentHash::of_bytes(b"other");
        assert_eq!(client.get(missing).await.unwrap(), None);
        let listed = ListedInstance {
            instance: InstanceId::new("gw-1"),
            incarnation: Incarnation(7),
            peer_address: "127.0.0.1:1".into(),
            http_address: "127.0.0.1:2".into(),
            zone: ZoneId::new("z1"),
            region: RegionId::new("khomas"),
            state: ListedState::Live,
        };
        client.register(&listed).await.unwrap();
        assert!(client.instances().await.unwrap().is_empty());
        sleep(Duration::from_millis(250)).await;
        assert_eq!(client.instances().await.unwrap(), [listed]);
    })
    .await;
}
