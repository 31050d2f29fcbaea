//! Finds the instance process that a loopback connection comes from.
//!
//! Instances connect to backend servers and to the platform without choosing a local address, so
//! all of them come from 127.0.0.1 and only the system knows the process behind a port.

use std::{
    fs,
    net::{IpAddr, SocketAddr},
    path::{Path, PathBuf},
    sync::{Arc, Mutex},
};

use pollenshed_standins::proxy::{Identify, peer_inode};
use serde_json::Value;

/// Identifies instances whose settings are in `folder` by the address that they listen on for peers.
pub fn identify(folder: &Path) -> Identify {
    let folder = folder.to_owned();
    // Looking through all processes for each connection takes longer than most connections last.
    let known = Mutex::new(Vec::new());
    Arc::new(move |source| {
        let socket = format!("socket:[{}]", peer_inode(source)?);
        let before = known.lock().unwrap().clone();
        find(&before, &socket).or_else(|| {
            let present = instances(&folder);
            let found = find(&present, &socket);
            *known.lock().unwrap() = present;
            found
        })
    })
}

/// A process folder and the settings of the instance.
type Instance = (PathBuf, PathBuf);

fn find(instances: &[Instance], socket: &str) -> Option<IpAddr> {
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
