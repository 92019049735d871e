//! The host of an object: the forms in which clients may name it, in reads, in purges and on disk.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use glenfall::cache::disk::DiskCache;
use glenfall::cache::ObjectKey;
use glenfall::shield::Shield;
use glenfall::watch_client::{WatchClient, WatchHandler};
use glenfall_control_plane::messages::{ProxyRole, Purge};
use hyper::header::HeaderMap;

use crate::proxies::pool;
use crate::purge_order::{wait_until, System, PATH};
use crate::support::{copy_files, run_local, settings, Folder};

const POLL_INTERVAL: Duration = Duration::from_millis(20);
const MAX_POLLS: usize = 100;

/// The forms of one host; clients send the port unless it is 80 (RFC 9110, 7.2).
const FORMS: [&str; 5] = ["h", "h:8161", "h:80", "H", "H:9"];

/// Guards against a copy that a purge by hostname and path misses, as its clients name the host in another form.
#[test]
fn a_purge_by_hostname_covers_the_object_in_each_form_of_its_host() {
    for purged_form in FORMS {
        run_local(async {
            let system = System::start().await;
            system.release();
            for form in FORMS {
                assert_eq!(system.read_as(0, form).await.expect("a read"), "1", "{form}");
            }
            assert_eq!(system.origin.requests.get(), 1, "one object, whose copy serves all forms");
            system.origin.version.set(2);
            system.purge(Purge::Object { hostname: purged_form.into(), path: PATH.into() }, 0);
            for form in FORMS {
                assert_eq!(system.read_as(0, form).await.expect("a read"), "2", "{form}, {purged_form}");
            }
            assert_eq!(system.origin.requests.get(), 2);
        });
    }
}

fn keys_on_disk(folder: &Folder) -> Vec<String> {
    let copy = Folder::new("object-host-copy");
    copy_files(folder, &copy);
    let (_disk_cache, rows) = DiskCache::open(&copy, 64).expect("a disk cache");
    let rows = rows.blocking_recv().expect("the rows");
    let mut keys: Vec<String> = rows.iter().map(|row| format!("{}{}", row.key.host, row.key.path)).collect();
    keys.sort();
    keys
}

/// Guards against rows of earlier versions, whose keys no purge by hostname covers and no removal names.
#[test]
fn a_row_whose_key_no_request_can_have_is_removed_from_the_disk() {
    let folder = Folder::new("object-host");
    let (disk_cache, mut writer, _rows) = DiskCache::prepare(&folder, 64);
    for host in ["h", "h:80", "H"] {
        let key = ObjectKey { service: "s".into(), host: host.into(), path: "/a".into() };
        disk_cache.put(&key, &HeaderMap::new(), &["t".into()], &Bytes::from_static(b"b"), Duration::ZERO);
    }
    drop(disk_cache);
    writer.run();
    drop(writer);
    assert_eq!(keys_on_disk(&folder), ["H/a", "h/a", "h:80/a"]);
    run_local(async {
        let mut settings = settings("");
        settings.state_dir = Some(folder.to_path_buf());
        settings.req_limits.disk_mb = 64;
        let node_settings = Rc::new(settings);
        let watch_client = WatchClient::new(Rc::clone(&node_settings), ProxyRole::Shield);
        let shield = Shield::new(&node_settings, watch_client, pool());
        let found_on_disk =
            || shield.counters().iter().any(|(name, count)| name == "found_on_disk" && *count == 1);
        shield.connection_changed(true);
        wait_until(found_on_disk).await;
    });
    // The writer thread removes rows some time after they were read.
    for _ in 0..MAX_POLLS {
        if keys_on_disk(&folder).len() == 1 {
            break;
        }
        std::thread::sleep(POLL_INTERVAL);
    }
    assert_eq!(keys_on_disk(&folder), ["h/a"]);
}
