use {crate::serving::ServedRoute, std::collections::HashMap};

/// Finds the route with the longest matching prefix. A lookup takes one hash access per slash of
/// the path, independent of the number of routes.
#[derive(Debug, Clone, Default)]
pub struct PathIndex {
    hosts: HashMap<String, HashMap<String, usize>>,
}

impl PathIndex {
    /// Builds an index; positions refer to `routes`.
    pub fn new(routes: &[ServedRoute]) -> Self {
        let mut index = PathIndex::default();
        for (position, route) in routes.iter().enumerate() {
            let host = index.hosts.entry(route.host.to_ascii_lowercase());
            host.or_default().insert(route.prefix.clone(), position);
        }
        index
    }

    /// Position of the route for a host and path, if any.
    pub fn find(
        &self,
        host: &str,
        path: &str,
    ) -> Option<usize> {
        let prefixes = self.hosts.get(&host.to_ascii_lowercase())?;
        let slashes = path.rmatch_indices('/');
        slashes
            .filter_map(|(at, _)| prefixes.get(&path[..=at]))
            .next()
            .copied()
    }
}
