use {
    crate::{control::ControlHandle, endpoint::EndpointClient},
    async_channel::{Receiver, Sender},
    pitchhitch_core::{
        kv_cache::PieceKey,
        role::{AgentEvent, MissingNotice, StoredNotice},
    },
    pitchhitch_process::{spawn_detached, MetricSet},
    pitchhitch_services::stores::{StoreClient, StoreError},
    pitchhitch_wire::messages::{DropPlan, ExportPlan, ImportPlan, PinnedPiece},
    smol::Timer,
    std::{
        collections::BTreeMap,
        net::SocketAddr,
        sync::{
            atomic::{AtomicU32, Ordering},
            Arc, Mutex, PoisonError,
        },
        time::Duration,
    },
};

/// Export plans that may wait; later ones are left out, which costs a recompute at most.
const MAX_QUEUED_EXPORTS: usize = 256;
/// Time limit of moving one piece.
const PIECE_TIMEOUT: Duration = Duration::from_secs(5);
/// How often a background export looks whether foreground imports are over.
const YIELD_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Longest time that a background export yields, in pauses.
const MAX_YIELD_POLLS: u32 = 200;

/// Carries pieces: imports at once, exports in the background.
#[derive(Debug, Clone)]
pub struct PieceTransfers {
    client: EndpointClient,
    handle: ControlHandle,
    metrics: Arc<MetricSet>,
    plans: Sender<ExportPlan>,
    importing: Arc<AtomicU32>,
    store_clients: Arc<Mutex<BTreeMap<SocketAddr, StoreClient>>>,
}

/// Counts an import as long as it lives.
struct ImportGuard(Arc<AtomicU32>);

impl Drop for ImportGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Checksum that store boxes keep with a piece. It covers the key, so that the
/// bytes of one piece never pass for another.
pub fn piece_checksum(
    key: PieceKey,
    bytes: &[u8],
) -> String {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&key.0.to_le_bytes());
    hasher.update(bytes);
    hasher.finalize().to_hex().to_string()
}

impl PieceTransfers {
    /// Starts the worker for exports.
    pub fn start(
        client: EndpointClient,
        handle: ControlHandle,
        metrics: Arc<MetricSet>,
    ) -> Self {
        let (plans, inbox) = async_channel::bounded(MAX_QUEUED_EXPORTS);
        let transfers = PieceTransfers {
            client,
            handle,
            metrics,
            plans,
            importing: Arc::default(),
            store_clients: Arc::default(),
        };
        spawn_detached(transfers.clone().run_exports(inbox));
        transfers
    }

    /// Imports pieces in order, up to the first that cannot be had; gives their number.
    pub async fn import(
        &self,
        plan: ImportPlan,
        version: &str,
    ) -> u32 {
        self.importing.fetch_add(1, Ordering::Relaxed);
        let _guard = ImportGuard(self.importing.clone());
        let store = self.store_client(plan.address);
        let mut imported = 0;
        for piece in &plan.pieces {
            if !self.import_one(&store, &plan.store, *piece, version).await {
                break;
            }
            imported += 1;
        }
        imported
    }

    async fn import_one(
        &self,
        store: &StoreClient,
        store_id: &str,
        piece: PinnedPiece,
        version: &str,
    ) -> bool {
        let key = piece.key;
        let result = store
            .get(key, piece.generation, |bytes| piece_checksum(key, bytes))
            .await;
        let sealed = match result {
            Ok(sealed) => sealed,
            Err(error) => {
                self.record_import_failure(store_id, piece, &error);
                return false;
            }
        };
        let length = sealed.bytes.len() as u64;
        self.metrics.count("link.import_bytes", length);
        match self.client.import_piece(key, version, sealed.bytes).await {
            Ok(()) => true,
            Err(error) => {
                let error = error.to_string();
                log::warn!(event = "import-refused", piece = key.to_string().as_str(), error = error.as_str(); "");
                false
            }
        }
    }

    fn record_import_failure(
        &self,
        store_id: &str,
        pinned: PinnedPiece,
        error: &StoreError,
    ) {
        let piece = pinned.key.to_string();
        let reason = error.to_string();
        log::info!(event = "import-failed", piece = piece.as_str(), store = store_id, reason = reason.as_str(); "");
        self.metrics.count("link.import_failed", 1);
        if matches!(error, StoreError::Missing | StoreError::Damaged { .. }) {
            self.handle.send_event(AgentEvent::Missing(MissingNotice {
                key: pinned.key,
                store: store_id.to_string(),
                generation: pinned.generation,
            }));
        }
    }

    /// Puts an export in line, if there is room.
    pub fn queue_export(
        &self,
        plan: ExportPlan,
    ) {
        let pieces = plan.pieces.len() as i32;
        self.handle.send_event(AgentEvent::ExportCountChanged(pieces));
        if self.plans.try_send(plan).is_err() {
            self.handle.send_event(AgentEvent::ExportCountChanged(-pieces));
            self.metrics.count("link.export_skipped", pieces as u64);
        }
    }

    async fn run_exports(
        self,
        inbox: Receiver<ExportPlan>,
    ) {
        while let Ok(plan) = inbox.recv().await {
            let store = self.store_client(plan.address);
            let mut succeeded = true;
            for key in &plan.pieces {
                if succeeded {
                    self.yield_to_imports().await;
                    succeeded = self.export_one(&store, &plan, *key).await;
                }
                self.handle.send_event(AgentEvent::ExportCountChanged(-1));
            }
        }
    }

    /// Foreground imports have the link first.
    async fn yield_to_imports(&self) {
        for _ in 0..MAX_YIELD_POLLS {
            if self.importing.load(Ordering::Relaxed) == 0 {
                return;
            }
            Timer::after(YIELD_POLL_INTERVAL).await;
        }
    }

    async fn export_one(
        &self,
        store: &StoreClient,
        plan: &ExportPlan,
        key: PieceKey,
    ) -> bool {
        let Ok(Some(bytes)) = self.client.export_piece(key).await else {
            return false;
        };
        let length = bytes.len() as u64;
        let checksum = piece_checksum(key, &bytes);
        match store.put(key, plan.tier, bytes, checksum).await {
            Ok(generation) => {
                self.metrics.count("link.export_bytes", length);
                self.handle.send_event(AgentEvent::Stored(StoredNotice {
                    key,
                    store: plan.store.clone(),
                    tier: plan.tier,
                    generation,
                    identity: plan.identity,
                }));
                true
            }
            Err(error) => {
                let reason = error.to_string();
                log::info!(event = "export-failed", piece = key.to_string().as_str(), store = plan.store.as_str(), reason = reason.as_str(); "");
                self.metrics.count("link.export_failed", 1);
                if error == StoreError::Full {
                    self.handle.send_event(AgentEvent::StoreFull {
                        store: plan.store.clone(),
                    });
                }
                false
            }
        }
    }

    /// Drops pieces and tells everybody that they are gone.
    pub async fn drop_pieces(
        &self,
        plan: DropPlan,
    ) {
        let store = self.store_client(plan.address);
        for piece in &plan.pieces {
            if store
                .delete_piece(piece.key, piece.generation)
                .await
                .is_err()
            {
                continue;
            }
            self.metrics.count("store.dropped", 1);
            self.handle.send_event(AgentEvent::Missing(MissingNotice {
                key: piece.key,
                store: plan.store.clone(),
                generation: piece.generation,
            }));
        }
    }

    fn store_client(
        &self,
        address: SocketAddr,
    ) -> StoreClient {
        let mut store_clients = self.store_clients.lock().unwrap_or_else(PoisonError::into_inner);
        let client = store_clients.entry(address);
        client
            .or_insert_with(|| StoreClient::new(address, PIECE_TIMEOUT))
            .clone()
    }
}
