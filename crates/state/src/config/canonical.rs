use super::document::Config;
use crate::ids::Digest;

impl Config {
    /// Returns the same configuration with its lists in canonical order.
    ///
    /// Regions, failure domains, services and backend servers are sorted by name, methods by text,
    /// ranks by urgency, and drains by kind and name. Operations keep their order, because the
    /// first match applies.
    pub fn canonical(&self) -> Config {
        let mut config = self.clone();
        config.regions.sort_by(|a, b| a.name.cmp(&b.name));
        for region in &mut config.regions {
            region.failure_domains.sort();
        }
        config.ranks.sort_by_key(|policy| policy.rank);
        config.services.sort_by(|a, b| a.name.cmp(&b.name));
        for service in &mut config.services {
            service.backend_servers.sort_by(|a, b| a.name.cmp(&b.name));
            for operation in &mut service.operations {
                operation.methods.sort();
            }
        }
        config.drains.sort();
        config
    }

    /// Serializes the canonical form, which has the same bytes for equal configurations.
    ///
    /// The form is described in `docs/configuration.md`: every field in the documented order,
    /// lists as in [`Config::canonical`], two spaces of indentation and a newline at the end.
    ///
    /// # Panics
    ///
    /// Never, because the document holds only text, numbers, booleans and lists of them.
    pub fn canonical_json(&self) -> String {
        let mut text = serde_json::to_string_pretty(&self.canonical())
            .expect("a document without maps always serializes");
        text.push('\n');
        text
    }

    /// Returns the digest of the canonical form, under which the configuration is stored.
    pub fn digest(&self) -> Digest {
        Digest::of(self.canonical_json().as_bytes())
    }
}
