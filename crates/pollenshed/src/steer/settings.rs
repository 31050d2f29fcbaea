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
    /// This instance.
    pub instance: InstanceName,
    /// Failure domain that it is in.
    pub failure_domain: FailureDomainName,
    /// Region of each failure domain.
    pub failure_domains: BTreeMap<FailureDomainName, RegionName>,
    /// Where callers send requests.
    pub callers_address: SocketAddr,
    /// Where callers ask which instances to use.
    pub lookup_address: SocketAddr,
    /// Where the readiness check is answered.
    pub ready_address: SocketAddr,
    /// Address of this instance for its peers.
    pub peer_ip: IpAddr,
    /// Port for gossip and calls of peers, alike in all instances.
    pub peer_port: u16,
    /// Where the metrics are read.
    pub metrics_address: SocketAddr,
    /// The platform's store.
    pub store_address: SocketAddr,
    /// Addresses of other instances that may be reached before the store was read.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Memory that the process may use.
    pub memory_mb: u64,
    /// Descriptors that the process may use.
    pub max_descriptors: usize,
    /// Bounds of the deployment as the platform writes them.
    #[serde(default)]
    pub bounds: BTreeMap<String, serde_json::Value>,
}

impl SteerSettings {
    /// Reads and checks the settings file.
    pub fn open(path: &Path) -> Result<SteerSettings> {
        let text = std::fs::read_to_string(path)
            .wrap_err_with(|| format!("cannot read {}", path.display()))?;
        SteerSettings::parse(&text).wrap_err_with(|| format!("{} is not accepted", path.display()))
    }

    /// Reads and checks settings.
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
        let (_, unread) = bounds::decode(&settings.bounds);
        ensure!(unread.is_empty(), "bounds: {} can't be read", unread.join(", "));
        Ok(settings)
    }

    /// Returns the bounds of the deployment.
    pub fn bounds(&self) -> Bounds {
        bounds::decode(&self.bounds).0
    }

    /// Returns the region of this instance.
    pub fn region(&self) -> &RegionName {
        &self.failure_domains[&self.failure_domain]
    }

    /// Returns the address for gossip and for calls of peers.
    pub fn peer_address(&self) -> SocketAddr {
        SocketAddr::new(self.peer_ip, self.peer_port)
    }
}
