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

/// Maximum number of queued export plans. Further ones are skipped, which costs at most a
/// recomputation.
const MAX_QUEUED_EXPORTS: usize = 256;
/// Timeout of transferring one piece from or to a store box.
const PIECE_TIMEOUT: Duration = Duration::from_secs(5);
/// Interval at which a background export checks whether foreground imports have ended.
const YIELD_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Number of checks after which a background export proceeds despite running imports.
const MAX_YIELD_POLLS: u32 = 200;

/// Transfers pieces: imports in the foreground, exports in the background.
#[derive(Debug, Clone)]
pub struct PieceTransfers {
    client: EndpointClient,
    handle: ControlHandle,
    metrics: Arc<MetricSet>,
    export_plans: Sender<ExportPlan>,
    running_imports: Arc<AtomicU32>,
    store_clients: Arc<Mutex<BTreeMap<SocketAddr, StoreClient>>>,
}

/// Decrements the number of running imports when dropped.
struct ImportGuard(Arc<AtomicU32>);

impl Drop for ImportGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Checksum that store boxes store with a piece. It covers the key, so that the bytes of
/// one piece are never accepted for another.
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
    /// Starts the background worker for exports.
    pub fn start(
        client: EndpointClient,
        handle: ControlHandle,
        metrics: Arc<MetricSet>,
    ) -> Self {
        let (export_plans, inbox) = async_channel::bounded(MAX_QUEUED_EXPORTS);
        let transfers = PieceTransfers {
            client,
            handle,
            metrics,
            export_plans,
            running_imports: Arc::default(),
            store_clients: Arc::default(),
        };
        spawn_detached(transfers.clone().run_exports(inbox));
        transfers
    }

    /// Imports pieces in order, up to the first that fails, and returns their number.
    pub async fn import(
        &self,
        plan: ImportPlan,
        version: &str,
    ) -> u32 {
        self.running_imports.fetch_add(1, Ordering::Relaxed);
        let _guard = ImportGuard(self.running_imports.clone());
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

    /// Queues an export; skips it if the queue is full.
    pub fn queue_export(
        &self,
        plan: ExportPlan,
    ) {
        let pieces = plan.pieces.len() as i32;
        self.handle
            .send_event(AgentEvent::ExportCountChanged(pieces));
        if self.export_plans.try_send(plan).is_err() {
            self.handle
                .send_event(AgentEvent::ExportCountChanged(-pieces));
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

    /// Waits while foreground imports run, which have priority on the network link.
    async fn yield_to_imports(&self) {
        for _ in 0..MAX_YIELD_POLLS {
            if self.running_imports.load(Ordering::Relaxed) == 0 {
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

    /// Drops pieces from a store box and reports them as missing.
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
        let mut store_clients = self
            .store_clients
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let entry = store_clients.entry(address);
        entry
            .or_insert_with(|| StoreClient::new(address, PIECE_TIMEOUT))
            .clone()
    }
}
