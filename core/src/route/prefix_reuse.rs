use {
    super::{EndpointKey, ImportOffer, StoreKey},
    crate::kv_cache::{PieceDirectory, PieceHolder, PieceKey, StoreTier},
};

#[derive(Debug, Clone, Copy)]
struct EndpointPrefix {
    endpoint: EndpointKey,
    pieces: u32,
}

/// Number of consecutive leading pieces of a prompt that each holder has.
#[derive(Debug, Clone, Default)]
pub struct PrefixReuse {
    endpoints: Vec<EndpointPrefix>,
    offers: Vec<ImportOffer>,
}

impl PrefixReuse {
    /// Looks up the pieces of a prompt in the directory.
    pub fn find(
        directory: &PieceDirectory,
        pieces: &[PieceKey],
    ) -> PrefixReuse {
        let mut reuse = PrefixReuse::default();
        for (depth, key) in pieces.iter().enumerate() {
            if !reuse.extend(depth as u32, directory.holders(*key)) {
                break;
            }
        }
        reuse
    }

    /// Adds the holders of the piece at `depth`; returns false if this extends no prefix.
    fn extend(
        &mut self,
        depth: u32,
        holders: impl Iterator<Item = PieceHolder>,
    ) -> bool {
        let mut extended = false;
        for holder in holders {
            extended |= match holder {
                PieceHolder::Endpoint(endpoint) => self.extend_endpoint(depth, endpoint),
                PieceHolder::Store(copy) => self.extend_store(depth, copy.store, copy.tier),
            };
        }
        extended
    }

    fn extend_endpoint(
        &mut self,
        depth: u32,
        endpoint: EndpointKey,
    ) -> bool {
        if depth == 0 {
            self.endpoints.push(EndpointPrefix {
                endpoint,
                pieces: 1,
            });
            return true;
        }
        let known_prefix = self.endpoints.iter_mut().find(|p| p.endpoint == endpoint);
        match known_prefix {
            Some(known_prefix) if known_prefix.pieces == depth => {
                known_prefix.pieces += 1;
                true
            }
            _ => false,
        }
    }

    fn extend_store(
        &mut self,
        depth: u32,
        store: StoreKey,
        tier: StoreTier,
    ) -> bool {
        if depth == 0 {
            self.offers.push(ImportOffer {
                store,
                tier,
                pieces: 1,
            });
            return true;
        }
        let offer = self.offers.iter_mut().find(|o| o.store == store);
        match offer {
            Some(offer) if offer.pieces == depth => {
                offer.pieces += 1;
                offer.tier = offer.tier.max(tier);
                true
            }
            _ => false,
        }
    }

    /// Number of leading pieces that an endpoint holds.
    pub fn endpoint_pieces(
        &self,
        endpoint: EndpointKey,
    ) -> u32 {
        let known_prefix = self.endpoints.iter().find(|p| p.endpoint == endpoint);
        known_prefix.map_or(0, |p| p.pieces)
    }

    /// Import offers of the store boxes.
    pub fn offers(&self) -> &[ImportOffer] {
        &self.offers
    }
}
