use {
    crate::serving::{mix_hashes, stable_hash, EndpointEntry},
    serde::{Deserialize, Serialize},
    std::fmt,
};

/// Name of unknown versions, which no version has.
const UNKNOWN_VERSION: &str = "\0";

/// Identifies a service and the version of its endpoints' software; the same on all boxes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct SoftwareTag(u64);

impl SoftwareTag {
    /// Tag of a version of a service's software.
    pub fn new(
        service: &str,
        software: &str,
    ) -> Self {
        SoftwareTag(mix_hashes(stable_hash(service), stable_hash(software)))
    }

    /// Stands for software of a service that is unknown. Streams may begin on it, but go on nowhere.
    pub fn unknown(service: &str) -> Self {
        SoftwareTag::new(service, UNKNOWN_VERSION)
    }

    /// Tag of an endpoint's software, known or unknown.
    pub fn of(entry: &EndpointEntry) -> Self {
        entry.software_tag
    }

    /// Tag of an endpoint's software, if it is known.
    pub fn known(entry: &EndpointEntry) -> Option<Self> {
        entry.known_software().map(|_| entry.software_tag)
    }
}

impl fmt::Display for SoftwareTag {
    fn fmt(
        &self,
        out: &mut fmt::Formatter<'_>,
    ) -> fmt::Result {
        write!(out, "{:016x}", self.0)
    }
}
