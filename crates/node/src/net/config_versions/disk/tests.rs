use super::{load, replace, ACTIVE_FILE};
use pipitlever_config_versions::file_format::encode;
use pipitlever_config_versions::minimum_version::StoredVersion;
use std::fs;

/// Guards against a damaged file that is regarded as missing: a file that is truncated or corrupted
/// at any byte yields an error that names the file.
#[test]
fn a_damaged_file_is_an_error_with_its_name() {
    let folder = std::env::temp_dir().join(format!("pipitlever-versions-{}", std::process::id()));
    fs::create_dir_all(&folder).unwrap();
    assert_eq!(load::<StoredVersion>(&folder, ACTIVE_FILE).unwrap(), None);
    let stored = StoredVersion {
        minimum_version: 7,
        version: None,
        content: b"{}".to_vec(),
    };
    replace(&folder, ACTIVE_FILE, &encode(&stored)).unwrap();
    assert_eq!(
        load::<StoredVersion>(&folder, ACTIVE_FILE).unwrap(),
        Some(stored.clone())
    );
    let bytes = fs::read(folder.join(ACTIVE_FILE)).unwrap();
    for at in 0..bytes.len() {
        let mut corrupted = bytes.clone();
        corrupted[at] ^= 1;
        for damaged in [&bytes[..at], &corrupted] {
            fs::write(folder.join(ACTIVE_FILE), damaged).unwrap();
            let loaded = load::<StoredVersion>(&folder, ACTIVE_FILE);
            assert!(
                loaded
                    .as_ref()
                    .is_err_and(|error| error.to_string().contains(ACTIVE_FILE)),
                "{at}: {loaded:?}"
            );
        }
    }
    // The temporary file of an interrupted write is ignored.
    replace(&folder, ACTIVE_FILE, &encode(&stored)).unwrap();
    fs::write(folder.join("acting.new"), b"partial content").unwrap();
    assert_eq!(
        load::<StoredVersion>(&folder, ACTIVE_FILE).unwrap(),
        Some(stored)
    );
    fs::remove_dir_all(&folder).unwrap();
}
