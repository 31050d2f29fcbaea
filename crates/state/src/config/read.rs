use crate::{
    config::document::{
        BackendServer, Config, Drain, Network, Operation, Rank, RankPolicy, Region, Service,
        ShiftPolicy,
    },
    ids::RegionName,
    reader::{FromDocument, Node, Reader, parse_string, read_struct},
};

read_struct!(Config { format, user, regions, network, ranks, services } optional { drains });
read_struct!(Region { name, failure_domains } optional {});
read_struct!(Network {
    between_failure_domains_us,
    between_regions_us,
    to_clients_us,
    region_link_bits_per_s,
    region_link_share_percent,
} optional {});
read_struct!(RankPolicy { rank, min_share_percent, deadline_ms } optional {});
read_struct!(Service {
    name,
    operations,
    max_request_bytes,
    max_answer_bytes,
    max_upload_bytes,
    shift,
    retry_budget_percent,
    backend_servers,
} optional {});
read_struct!(Operation { methods, path_prefix, rank, idempotent } optional {});
read_struct!(ShiftPolicy { cap_percent, cold_cap_percent, interval_ms } optional {});
read_struct!(BackendServer { name, failure_domain, address, slots, connections } optional {});

impl FromDocument for Rank {
    fn placeholder() -> Rank {
        Rank::Deferrable
    }

    fn read(reader: &mut Reader<'_>, node: &Node<'_>) -> Rank {
        parse_string(reader, node, "\"urgent\", \"standard\" or \"deferrable\"")
            .unwrap_or_else(Rank::placeholder)
    }
}

const DRAIN_SYNTAX: &str =
    "one of {\"backend_server\": NAME}, {\"failure_domain\": NAME} and {\"region\": NAME}";

impl FromDocument for Drain {
    fn placeholder() -> Drain {
        Drain::Region(RegionName::placeholder())
    }

    fn read(reader: &mut Reader<'_>, node: &Node<'_>) -> Drain {
        let fields = reader.read_fields(node, &["backend_server", "failure_domain", "region"]);
        let Some(object) = node.value.as_object() else { return Drain::placeholder() };
        let names: Vec<_> = object.properties.iter().map(|p| p.name.as_str()).collect();
        match names[..] {
            ["backend_server"] => {
                Drain::BackendServer(reader.read_required(&fields, "backend_server"))
            }
            ["failure_domain"] => {
                Drain::FailureDomain(reader.read_required(&fields, "failure_domain"))
            }
            ["region"] => Drain::Region(reader.read_required(&fields, "region")),
            // The unknown field was reported as such.
            [_] => {
                reader.mark_unreadable(node);
                Drain::placeholder()
            }
            _ => {
                let message = format!("a drain has one target, found {} fields", names.len());
                reader.report_unreadable(node, message, DRAIN_SYNTAX.to_owned());
                Drain::placeholder()
            }
        }
    }
}
