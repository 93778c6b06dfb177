//! Encodes the parts of a digest grouped by cache namespace: most belong to one or two namespaces,
//! and a namespace tag takes as many bytes as the rest of a part.

use {
    super::DigestPart,
    pitchhitch_core::serving::{NamespaceTag, PartId},
    serde::{Deserialize, Deserializer, Serialize, Serializer},
};

/// Serializes parts; the order within a namespace is preserved.
pub(super) fn serialize<S: Serializer>(
    parts: &[DigestPart],
    serializer: S,
) -> Result<S::Ok, S::Error> {
    let mut groups: Vec<(NamespaceTag, Vec<(PartId, u32)>)> = Vec::new();
    for part in parts {
        let group = groups
            .iter_mut()
            .find(|(namespace, _)| *namespace == part.namespace);
        match group {
            Some((_, parts)) => parts.push((part.id, part.tokens)),
            None => groups.push((part.namespace, vec![(part.id, part.tokens)])),
        }
    }
    groups.serialize(serializer)
}

/// Deserializes the output of [`serialize`].
pub(super) fn deserialize<'de, D: Deserializer<'de>>(
    deserializer: D
) -> Result<Vec<DigestPart>, D::Error> {
    let groups: Vec<(NamespaceTag, Vec<(PartId, u32)>)> = Vec::deserialize(deserializer)?;
    let parts = groups.into_iter().flat_map(|(namespace, parts)| {
        let part = move |(id, tokens)| DigestPart {
            namespace,
            id,
            tokens,
        };
        parts.into_iter().map(part)
    });
    Ok(parts.collect())
}
