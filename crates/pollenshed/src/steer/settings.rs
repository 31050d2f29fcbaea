//! Settings of an instance that steers requests on the users' platform: JSON with comments.

use std::{
    collections::BTreeMap,
    net::{IpAddr, SocketAddr},
    path::Path,
};

use eyre::{Result, WrapErr, ensure, eyre};
use pollenshed_platform::bounds;
use pollenshed_state::{
    ids::{FailureDomainName, InstanceName, RegionName},
    routes::Bounds,
};
use serde::Deserialize;

/// Settings of one instance. See docs/settings.md, "Settings of `pollenshed steer`".
#[derive(Debug, Clone)]
#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct SteerSettings {
    /// Name of this instance.
    pub instance: InstanceName,
    /// Failure domain of this instance.
    pub failure_domain: FailureDomainName,
    /// Region of each failure domain.
    pub failure_domains: BTreeMap<FailureDomainName, RegionName>,
    /// Address for the requests of callers.
    pub callers_address: SocketAddr,
    /// Address for lookups, with which callers find instances.
    pub lookup_address: SocketAddr,
    /// Address of the readiness check.
    pub ready_address: SocketAddr,
    /// IP address at which peers reach this instance.
    pub peer_ip: IpAddr,
    /// Port for heartbeats (UDP) and calls (TCP) of peers, the same on all instances.
    pub peer_port: u16,
    /// Address at which the metrics are scraped.
    pub metrics_address: SocketAddr,
    /// Address of the platform's store.
    pub store_address: SocketAddr,
    /// Addresses of other instances, for heartbeats before the store was read.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Memory limit of the process in MiB.
    pub memory_mb: u64,
    /// Limit of file descriptors of the process.
    pub max_descriptors: usize,
    /// Number of other instances up to which each exchanges heartbeats and loads with all of them. In
    /// a larger fleet one instance of each region assigns all requests of an object, see
    /// docs/platform.md, "Large regions".
    #[serde(default = "default_full_mesh_peers")]
    pub full_mesh_peers: usize,
    /// Whether the room of a service that is short of it goes to the most urgent requests first, and
    /// then fairly to the workspaces of a rank. See docs/design/room.md.
    #[serde(default)]
    pub orders_room: bool,
    /// Limits of the deployment, in the platform's format.
    #[serde(default)]
    pub bounds: BTreeMap<String, serde_json::Value>,
}

/// Default of [`SteerSettings::full_mesh_peers`]. With more peers, heartbeats to all of them take most
/// of the bytes between regions.
const DEFAULT_FULL_MESH_PEERS: usize = 70;

fn default_full_mesh_peers() -> usize {
    DEFAULT_FULL_MESH_PEERS
}

impl SteerSettings {
    /// Reads and validates the settings file.
    pub fn open(path: &Path) -> Result<SteerSettings> {
        let text = std::fs::read_to_string(path)
            .wrap_err_with(|| format!("cannot read {}", path.display()))?;
        SteerSettings::parse(&text).wrap_err_with(|| format!("{} is not accepted", path.display()))
    }

    /// Parses and validates settings.
    pub fn parse(text: &str) -> Result<SteerSettings> {
        let value = jsonc_parser::parse_to_serde_value(text, &Default::default())
            .map_err(|e| eyre!("{e}"))?
            .ok_or_else(|| eyre!("the file is empty"))?;
        let settings: SteerSettings = serde_path_to_error::deserialize(value)?;
        ensure!(
            settings.failure_domains.contains_key(&settings.failure_domain),
            "failure_domains does not contain {}",
            settings.failure_domain
        );
        let (_, invalid_names) = bounds::decode(&settings.bounds);
        ensure!(invalid_names.is_empty(), "bounds: invalid value for {}", invalid_names.join(", "));
        Ok(settings)
    }

    /// Returns the decoded limits of the deployment.
    pub fn bounds(&self) -> Bounds {
        bounds::decode(&self.bounds).0
    }

    /// Returns the region of this instance.
    pub fn region(&self) -> &RegionName {
        &self.failure_domains[&self.failure_domain]
    }

    /// Returns the address for heartbeats and calls of peers.
    pub fn peer_address(&self) -> SocketAddr {
        SocketAddr::new(self.peer_ip, self.peer_port)
    }
}
