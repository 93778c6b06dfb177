use {
    crate::traffic::{EndpointLink, KeyIndex, TrafficView},
    arc_swap::ArcSwap,
    pitchhitch_core::{
        place::ReuseModel,
        route::{EndpointArena, EndpointKey, RouteTable},
    },
    slotmap::SecondaryMap,
    std::{collections::BTreeMap, sync::Arc},
};

/// Publishes the view that the traffic threads read, and owns the links that they use.
#[derive(Debug)]
pub struct ViewPublisher {
    view: Arc<ArcSwap<TrafficView>>,
    links: BTreeMap<String, Arc<EndpointLink>>,
    arena: Arc<EndpointArena>,
    links_by_key: Arc<SecondaryMap<EndpointKey, Arc<EndpointLink>>>,
    keys: Arc<KeyIndex>,
    revision: u64,
}

impl ViewPublisher {
    /// A publisher that stores its views in `view`.
    pub fn new(view: Arc<ArcSwap<TrafficView>>) -> Self {
        ViewPublisher {
            view,
            links: BTreeMap::new(),
            arena: Arc::default(),
            links_by_key: Arc::default(),
            keys: Arc::default(),
            revision: 0,
        }
    }

    /// The link of an endpoint; created if missing.
    pub fn get_or_insert_link(
        &mut self,
        endpoint_id: &str,
    ) -> Arc<EndpointLink> {
        let link = self.links.entry(endpoint_id.to_string());
        link.or_insert_with(|| Arc::new(EndpointLink::new(endpoint_id)))
            .clone()
    }

    /// The link of an endpoint, if there is one.
    pub fn find_link(
        &self,
        endpoint_id: &str,
    ) -> Option<Arc<EndpointLink>> {
        self.links.get(endpoint_id).cloned()
    }

    /// Removes the link of an endpoint that no longer exists.
    pub fn remove_link(
        &mut self,
        endpoint_id: &str,
    ) {
        self.links.remove(endpoint_id);
    }

    /// Publishes a new view. The links are indexed again only if the endpoints have changed, and
    /// the bearer keys only if the configuration has.
    pub fn publish(
        &mut self,
        table: Arc<RouteTable>,
        reuse_model: Arc<ReuseModel>,
        entry_count: u32,
        ready: bool,
    ) {
        if !Arc::ptr_eq(&self.arena, &table.endpoints) {
            self.arena = table.endpoints.clone();
            self.index_links();
        }
        if self.revision != table.config.revision {
            self.revision = table.config.revision;
            self.keys = Arc::new(KeyIndex::build(&table.config));
        }
        self.view.store(Arc::new(TrafficView {
            table,
            reuse_model,
            links: self.links_by_key.clone(),
            keys: self.keys.clone(),
            entry_count,
            ready,
        }));
    }

    fn index_links(&mut self) {
        let mut links_by_key = SecondaryMap::with_capacity(self.arena.capacity());
        for (key, state) in self.arena.iter() {
            if let Some(link) = self.links.get(&state.id) {
                links_by_key.insert(key, link.clone());
            }
        }
        self.links_by_key = Arc::new(links_by_key);
    }
}
