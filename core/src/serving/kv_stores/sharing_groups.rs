use {
    crate::serving::{CacheNamespace, Organisation, SharingGroup},
    std::{
        collections::{BTreeMap, BTreeSet, HashMap},
        rc::Rc,
    },
};

/// Newest weight versions of a model whose groups are kept.
const MAX_KEPT_VERSIONS: usize = 16;

/// Decides which organisations share cached parts.
///
/// Engines do not tell who made a part, so every member of a group may have made each part of the
/// group's namespace. An organisation that becomes isolated was such a member: the group must not be
/// used any more, by anyone. Only members use a group, and only while none of them is isolated. Both
/// follow from the configuration in force alone, so boxes that know different configurations, or have
/// just started, never share what they must not.
///
/// For efficiency, a box keeps the group with which it began to use a version of weights while the
/// group is valid: organisations that are added or removed cost the others no cached parts.
#[derive(Debug, Clone, Default)]
pub struct SharingGroups {
    current: Rc<SharingGroup>,
    /// Groups by model and version of the weights.
    kept: HashMap<String, BTreeMap<u64, Rc<SharingGroup>>>,
}

impl SharingGroups {
    /// Applies the organisations of a new configuration; returns the number of weight versions whose
    /// group has become invalid.
    pub fn apply(
        &mut self,
        organisations: &[Organisation],
    ) -> usize {
        let names = |is_isolated: bool| -> BTreeSet<String> {
            let matching = organisations
                .iter()
                .filter(|organisation| organisation.is_isolated == is_isolated);
            matching
                .map(|organisation| organisation.name.clone())
                .collect()
        };
        let current = SharingGroup::new(names(false));
        if current != *self.current {
            self.current = Rc::new(current);
        }
        let isolated = names(true);
        let mut replaced = 0;
        for group in self.kept.values_mut().flat_map(BTreeMap::values_mut) {
            if isolated.iter().any(|name| group.contains(name)) {
                *group = self.current.clone();
                replaced += 1;
            }
        }
        replaced
    }

    /// Organisations that share cached parts by the configuration in force.
    pub fn current(&self) -> &SharingGroup {
        &self.current
    }

    /// Namespace of the parts that requests of an organisation may use under some weights. One that
    /// is isolated, or no longer configured, has a namespace of its own.
    pub fn namespace(
        &mut self,
        model: &str,
        version: u64,
        organisation: Option<&str>,
    ) -> CacheNamespace {
        let is_sharing = organisation.is_none_or(|name| self.current.contains(name));
        if !is_sharing {
            return CacheNamespace {
                version,
                model: model.to_string(),
                organisation: organisation.map(str::to_string),
                group: 0,
            };
        }
        let kept = self.group_of(model, version);
        let is_member = organisation.is_none_or(|name| kept.contains(name));
        let group = if is_member { &kept } else { &self.current };
        CacheNamespace {
            version,
            model: model.to_string(),
            organisation: None,
            group: group.tag(),
        }
    }

    fn group_of(
        &mut self,
        model: &str,
        version: u64,
    ) -> Rc<SharingGroup> {
        if let Some(group) = self.kept.get(model).and_then(|kept| kept.get(&version)) {
            return group.clone();
        }
        let kept = self.kept.entry(model.to_string()).or_default();
        kept.insert(version, self.current.clone());
        if kept.len() > MAX_KEPT_VERSIONS {
            kept.pop_first();
        }
        self.current.clone()
    }
}
