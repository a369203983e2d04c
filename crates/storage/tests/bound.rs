//! The file stays small however many changes it has seen, and its content can be read back.

use milletwing_consensus::Batch;
use milletwing_storage::LogStore;

#[test]
fn file_stays_below_8_mib_after_ten_thousand_entries() {
    let path = std::env::temp_dir().join(format!("store-bound-{}.redb", std::process::id()));
    let _ = std::fs::remove_file(&path);
    let store = LogStore::open(&path, 1 << 20).unwrap();
    let entry = |index: u64| (index, vec![index as u8; 300]);
    for from in (1..=10_000).step_by(20) {
        let mut batch = Batch { entries: (from..from + 20).map(entry).collect(), ..Batch::default() };
        if from % 1_000 == 981 {
            // As in the control plane: a snapshot every thousand entries, with a quarter of them kept behind
            // it.
            batch.snapshot = Some((vec![7; 60_000], from + 20 - 250));
        }
        store.write(&batch).unwrap();
    }
    let size = std::fs::metadata(&path).unwrap().len();
    drop(store);
    let stored = LogStore::open(&path, 1 << 20).unwrap().load().unwrap();
    std::fs::remove_file(&path).unwrap();
    assert_eq!((stored.entries.len(), stored.snapshot.map(|it| it.len())), (250, Some(60_000)));
    assert!(size <= 8 << 20, "{size} bytes on disk");
}
