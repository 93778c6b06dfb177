use {super::ServedRoute, std::collections::HashMap};

/// Finds the route with the longest prefix in as many look-ups as a path has
/// slashes, however many routes there are.
#[derive(Debug, Clone, Default)]
pub struct PathIndex {
    hosts: HashMap<String, HashMap<String, usize>>,
}

impl PathIndex {
    /// An index over the routes; places are those in `routes`.
    pub fn new(routes: &[ServedRoute]) -> Self {
        let mut index = PathIndex::default();
        for (position, route) in routes.iter().enumerate() {
            let host = index.hosts.entry(route.host.to_ascii_lowercase());
            host.or_default().insert(route.prefix.clone(), position);
        }
        index
    }

    /// Place of the route for a path, if there is one.
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
