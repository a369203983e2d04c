//! The store: what was written comes back, and whatever is not this member's whole record is told and never used.

use milletwing_group::log::Batch;
use milletwing_group_server::settings::Settings;
use milletwing_group_server::store::Store;
use milletwing_toy::Folder;
use std::path::Path;

fn text(store: &str) -> String {
    format!(
        r#"{{group: "g", member: 1, listen: "127.0.0.1:1", admin: "127.0.0.1:2", secret_file: "s",
  store: "{store}",
  members: {{"1": "127.0.0.1:1", "2": "127.0.0.1:3"}}}}"#
    )
}

fn settings(path: &Path) -> Settings {
    Settings::read(&text(&path.display().to_string()), |_| Ok(vec![b's'; 16])).unwrap()
}

fn error(settings: &Settings) -> String {
    Store::open(settings).err().expect("an error")
}

#[test]
fn what_was_written_comes_back_and_a_replaced_tail_does_not() {
    let folder = Folder::new("store-whole").unwrap();
    let settings = settings(&folder.0.join("a.redb"));
    let missing = error(&settings);
    assert!(missing.contains("group init") && missing.contains("group join"), "{missing}");
    Store::make(&settings, true).unwrap();
    assert!(Store::make(&settings, true).unwrap_err().contains("one already"));
    let (store, stored) = Store::open(&settings).unwrap();
    assert!(stored.snapshot.is_some() && stored.entries.is_empty());
    assert!(error(&settings).contains("already open"), "{}", error(&settings));
    let entries = |list: &[(u64, u8)]| list.iter().map(|(index, byte)| (*index, vec![*byte])).collect();
    store.write(&Batch { entries: entries(&[(2, 2), (3, 3), (4, 4)]), ..Batch::default() }).unwrap();
    store
        .write(&Batch { hard_state: Some(vec![9]), entries: entries(&[(3, 33)]), ..Batch::default() })
        .unwrap();
    let (id, series) = (store.id, store.series);
    drop(store);
    let (store, stored) = Store::open(&settings).unwrap();
    assert_eq!((stored.hard_state, stored.entries), (Some(vec![9]), vec![vec![2], vec![33]]));
    assert_eq!((store.id, store.series), (id, series + 1));
    store.write(&Batch { snapshot: Some((vec![7], 3)), ..Batch::default() }).unwrap();
    drop(store);
    let (_, stored) = Store::open(&settings).unwrap();
    assert_eq!((stored.snapshot, stored.entries), (Some(vec![7]), vec![vec![33]]));
}

#[test]
fn a_store_of_another_member_group_or_format_is_told() {
    let folder = Folder::new("store-other").unwrap();
    let settings = settings(&folder.0.join("a.redb"));
    Store::make(&settings, true).unwrap();
    let other = Settings { member: 2, ..settings.clone() };
    assert!(error(&other).contains("belongs to member 1, not to 2"), "{}", error(&other));
    let other = Settings { group: "h".into(), ..settings.clone() };
    assert!(error(&other).contains("belongs to group g, not to h"), "{}", error(&other));
    let stranger = Settings { member: 5, ..settings.clone() };
    let made =
        Store::make(&Settings { store: milletwing_group_server::settings::Keep::Memory, ..stranger }, true);
    assert!(made.is_err());
    // A newer version's store.
    let table: redb::TableDefinition<&str, &[u8]> = redb::TableDefinition::new("meta");
    let base = redb::Database::create(folder.0.join("a.redb")).unwrap();
    let write = base.begin_write().unwrap();
    let format = 2u64.to_be_bytes();
    let sealed = [crc32fast::hash(&format).to_be_bytes().as_slice(), &format].concat();
    write.open_table(table).unwrap().insert("format", sealed.as_slice()).unwrap();
    write.commit().unwrap();
    drop(base);
    assert!(error(&settings).contains("format 2; this version reads format 1"), "{}", error(&settings));
}

/// A byte turned anywhere, or an end cut off: never a store that is read as something else.
#[test]
fn a_damaged_or_torn_store_is_told_with_what_to_do() {
    let folder = Folder::new("store-torn").unwrap();
    let path = folder.0.join("a.redb");
    let settings = settings(&path);
    Store::make(&settings, true).unwrap();
    let (store, _) = Store::open(&settings).unwrap();
    let entries = (2..40u64).map(|index| (index, vec![index as u8; 200])).collect();
    store.write(&Batch { entries, hard_state: Some(vec![5; 20]), ..Batch::default() }).unwrap();
    drop(store);
    let (_, whole) = Store::open(&settings).unwrap();
    let bytes = std::fs::read(&path).unwrap();
    let mut told = 0;
    let stored = |bytes: &[u8]| {
        std::fs::write(&path, bytes).unwrap();
        Store::open(&settings).map(|(_, stored)| stored)
    };
    for at in (0..bytes.len()).step_by(bytes.len() / 60) {
        let mut turned = bytes.clone();
        turned[at] ^= 0x55;
        match stored(&turned) {
            Ok(read) => {
                assert_eq!((read.hard_state, read.entries), (whole.hard_state.clone(), whole.entries.clone()))
            }
            Err(why) => {
                told += 1;
                assert!(
                    why.contains("must not vote under its number") && why.contains("group join"),
                    "{why}"
                );
            }
        }
    }
    // Where an entry's own bytes are turned, its checksum tells.
    let place = bytes.windows(200).position(|part| part == [20u8; 200]).unwrap();
    let mut turned = bytes.clone();
    turned[place + 100] ^= 1;
    assert!(stored(&turned).is_err());
    for part in [1, 2, 3] {
        assert!(stored(&bytes[..bytes.len() * part / 4]).is_err(), "cut to {part} quarters");
    }
    assert!(told > 0);
}

#[test]
fn the_operators_file_is_checked_and_errors_name_field_and_line() {
    let read = |text: &str| Settings::read(text, |_| Ok(vec![b's'; 16])).map(|settings| settings.summary());
    let whole = text("memory");
    assert!(read(&whole).unwrap().contains("keeps its record in memory"));
    for (from, to, told) in [
        ("member: 1", "member: 0", "line 1: member"),
        ("127.0.0.1:2", "10.0.0.1:2", "line 1: admin: 10.0.0.1:2 is no loopback"),
        ("127.0.0.1:1\", admin", "nowhere\", admin", "listen: `nowhere`"),
        ("\"2\": ", "\"two\": ", "line 3: members: `two`"),
        ("members: {", "tick_ms: 1, members: {", "tick_ms: 1 is not from 5"),
        ("members: {", "grant_ms: 100, members: {", "grant_ms: 100 is not from 1000"),
        ("members: {", "clock_drift: 0.5, members: {", "clock_drift"),
        ("members: {", "nonsense: 1, members: {", "nonsense"),
        ("store: ", "", "line"),
    ] {
        let why = read(&whole.replace(from, to)).expect_err(to);
        assert!(why.contains(told), "{to}: {why}");
    }
    let short = Settings::read(&whole, |_| Ok(vec![b's'; 15])).unwrap_err();
    assert!(short.contains("secret_file") && short.contains("16 bytes"), "{short}");
    let gone = Settings::read(&whole, |_| Err("no such file".into())).unwrap_err();
    assert!(gone.contains("secret_file: no such file"), "{gone}");
    let shipped =
        std::fs::read_to_string(concat!(env!("CARGO_MANIFEST_DIR"), "/../../deploy/group.json5")).unwrap();
    assert!(read(&shipped).unwrap().contains("member 1 of group planta"));
}
