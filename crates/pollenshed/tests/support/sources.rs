//! Finds the instance process that made a loopback connection.
//!
//! Instances connect to backend servers and to the platform without choosing a local address, so
//! all of them come from 127.0.0.1, and only the kernel knows which process holds a port.

use std::{
    fs,
    net::{IpAddr, SocketAddr},
    path::{Path, PathBuf},
    sync::{Arc, Mutex},
};

use pollenshed_standins::proxy::{Identify, peer_inode};
use serde_json::Value;

/// Returns a function that identifies instances whose settings are in `folder` by the address on
/// which they listen for peers.
pub fn identify(folder: &Path) -> Identify {
    let folder = folder.to_owned();
    // The processes are cached, because scanning all of them takes longer than most connections
    // last.
    let cache = Mutex::new(Vec::new());
    Arc::new(move |source| {
        let socket = format!("socket:[{}]", peer_inode(source)?);
        let cached = cache.lock().unwrap().clone();
        find_peer_ip(&cached, &socket).or_else(|| {
            let current = instances(&folder);
            let found = find_peer_ip(&current, &socket);
            *cache.lock().unwrap() = current;
            found
        })
    })
}

/// The `/proc` folder of an instance and its settings file.
type Instance = (PathBuf, PathBuf);

fn find_peer_ip(instances: &[Instance], socket: &str) -> Option<IpAddr> {
    let (_, settings) = instances.iter().find(|(process, _)| has_open(process, socket))?;
    peer_ip(settings)
}

/// Returns the processes that were started with settings in `folder`.
fn instances(folder: &Path) -> Vec<Instance> {
    let processes = fs::read_dir("/proc").into_iter().flatten().flatten().map(|e| e.path());
    let settings = processes.filter_map(|process| {
        let command = fs::read_to_string(process.join("cmdline")).ok()?;
        let file = PathBuf::from(command.split('\0').nth(2)?);
        (file.parent()? == folder).then_some((process, file))
    });
    settings.collect()
}

fn has_open(process: &Path, socket: &str) -> bool {
    let files = fs::read_dir(process.join("fd")).into_iter().flatten().flatten();
    files.filter_map(|f| fs::read_link(f.path()).ok()).any(|f| f.as_os_str() == socket)
}

fn peer_ip(settings: &Path) -> Option<IpAddr> {
    let settings: Value = serde_json::from_str(&fs::read_to_string(settings).ok()?).ok()?;
    let address: SocketAddr = settings["peer_address"].as_str()?.parse().ok()?;
    Some(address.ip())
}
