use {
    super::{AcceptedChange, ChangeFailure},
    crate::{
        http::CallError,
        objects::ObjectClient,
        table::{CommitOutcome, RowWrite, TableClient, TableRow},
    },
    pitchhitch_core::{
        conf::{ChangeError, ChangeRecord, ConfigChange, ConfigHead, FleetConfig},
        retry::BackoffPolicy,
    },
    rand::{Rng, SeedableRng},
    rand_pcg::Pcg32,
    smol::Timer,
    std::time::{Duration, Instant},
    thiserror::Error,
};

/// Key of the table row with the head of the configuration.
pub const HEAD_KEY: &str = "config/head";

/// Why the configuration could not be read.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum ConfigError {
    /// A call to the platform failed.
    #[error(transparent)]
    Call(#[from] CallError),
    /// The stored data is invalid or incomplete.
    #[error("the stored configuration cannot be read: {reason}")]
    Damaged {
        /// Description of the defect.
        reason: String,
    },
}

/// A configuration change requested by an operator.
#[derive(Debug, Clone, PartialEq)]
pub struct ChangeRequest {
    /// Id of the change; the same for all retries.
    pub change_id: String,
    /// Operator who requests the change.
    pub operator: String,
    /// Time of the request, in seconds since the Unix epoch.
    pub at_secs: u64,
    /// The change itself.
    pub change: ConfigChange,
    /// Revision that the change is based on; `None` to change any revision.
    pub expected: Option<u64>,
}

/// Reads and changes the configuration in the table and the object store.
#[derive(Debug, Clone)]
pub struct ConfigStore {
    table: TableClient,
    objects: ObjectClient,
}

/// The current configuration and the recent changes that the head row still contains.
#[derive(Debug, Clone, PartialEq)]
pub struct CurrentConfig {
    /// The configuration.
    pub config: FleetConfig,
    /// Recent changes, oldest first.
    pub recent: Vec<ChangeRecord>,
}

#[derive(Debug, Clone)]
struct HeadRow {
    head: ConfigHead,
    version: u64,
}

fn damaged(error: impl std::fmt::Display) -> ConfigError {
    ConfigError::Damaged {
        reason: error.to_string(),
    }
}

impl ConfigStore {
    /// Creates a store on the two services.
    pub fn new(
        table: TableClient,
        objects: ObjectClient,
    ) -> Self {
        ConfigStore { table, objects }
    }

    /// The underlying table client.
    pub fn table(&self) -> &TableClient {
        &self.table
    }

    /// Reads the changes since `known`; returns `known` if it is the latest revision.
    ///
    /// # Errors
    /// [`ConfigError`] if the platform does not respond or the data is damaged.
    pub async fn refresh(
        &self,
        known: &FleetConfig,
    ) -> Result<CurrentConfig, ConfigError> {
        let row = self.read_head().await?;
        Ok(CurrentConfig {
            config: self.update_to_head(&row.head, known).await?,
            recent: row.head.tail.into(),
        })
    }

    async fn update_to_head(
        &self,
        head: &ConfigHead,
        known: &FleetConfig,
    ) -> Result<FleetConfig, ConfigError> {
        if head.revision() <= known.revision {
            return Ok(known.clone());
        }
        if known.revision >= head.base_revision {
            return head.apply_to(known).map_err(damaged);
        }
        let base = self.read_base(head).await?;
        head.apply_to(&base).map_err(damaged)
    }

    async fn read_head(&self) -> Result<HeadRow, ConfigError> {
        let row = self.table.read_row(HEAD_KEY).await?;
        parse_head(row)
    }

    async fn read_base(
        &self,
        head: &ConfigHead,
    ) -> Result<FleetConfig, ConfigError> {
        if head.base_revision == 0 {
            return Ok(FleetConfig::default());
        }
        let body = self.objects.get(&head.base_name).await?;
        let body = body.ok_or_else(|| damaged(format!("{} is missing", head.base_name)))?;
        serde_json::from_slice(&body).map_err(damaged)
    }

    /// Makes one change by compare-and-set on the head row, with retries until `timeout`.
    ///
    /// # Errors
    /// [`ChangeFailure`]: rejected, not accepted, or outcome unknown.
    pub async fn change(
        &self,
        request: &ChangeRequest,
        timeout: Duration,
        seed: u64,
    ) -> Result<AcceptedChange, ChangeFailure> {
        let started = Instant::now();
        let mut random = Pcg32::seed_from_u64(seed);
        let mut attempt = 0;
        let mut may_have_written = false;
        loop {
            attempt += 1;
            let outcome = self.try_change(request, random.gen()).await;
            let reason = match outcome {
                Ok(accepted) => return Ok(accepted),
                Err(AttemptError::Refused(error)) => return Err(error.into()),
                Err(AttemptError::Conflict) => "concurrent changes came first".into(),
                Err(AttemptError::ReadFailed(error)) => error.to_string(),
                Err(AttemptError::Unknown(error)) => {
                    may_have_written = true;
                    error.to_string()
                }
            };
            if started.elapsed() >= timeout {
                return Err(timeout_failure(request, may_have_written, reason));
            }
            let pause = BackoffPolicy::PLATFORM.delay(attempt, &mut random);
            Timer::after(Duration::from_micros(pause.0)).await;
        }
    }

    async fn try_change(
        &self,
        request: &ChangeRequest,
        seed: u64,
    ) -> Result<AcceptedChange, AttemptError> {
        let row = self.read_head().await.map_err(AttemptError::ReadFailed)?;
        if let Some(revision) = row.head.change_revision(&request.change_id) {
            return Ok(AcceptedChange {
                revision,
                repeated: true,
            });
        }
        let base = self.read_base(&row.head).await;
        let base = base.map_err(AttemptError::ReadFailed)?;
        let mut config = row.head.apply_to(&base).map_err(AttemptError::Refused)?;
        check_expected(request, config.revision)?;
        config
            .apply(&request.change)
            .map_err(AttemptError::Refused)?;
        let mut head = row.head.with_change(
            &request.change_id,
            &request.operator,
            request.at_secs,
            request.change.clone(),
        );
        if head.needs_compaction() {
            // The name is unique to this writer: the loser of a race must not overwrite the
            // document of the winner.
            let name = format!("config-base-{}-{seed:016x}", config.revision);
            if self.write_base(&name, &config).await.is_ok() {
                head = head.compacted(name);
            }
        }
        self.write_head(&row, &head, seed).await
    }

    /// Writes the base document of a compacted head; the head refers to it only once it is
    /// stored.
    async fn write_base(
        &self,
        name: &str,
        config: &FleetConfig,
    ) -> Result<(), ConfigError> {
        let body = serde_json::to_vec(config).map_err(damaged)?;
        Ok(self.objects.put(name, body).await?)
    }

    async fn write_head(
        &self,
        row: &HeadRow,
        head: &ConfigHead,
        seed: u64,
    ) -> Result<AcceptedChange, AttemptError> {
        let value =
            serde_json::to_string(head).map_err(|e| AttemptError::ReadFailed(damaged(e)))?;
        let write = RowWrite {
            key: HEAD_KEY.to_string(),
            expected: row.version,
            value: Some(value),
        };
        let timeout = Duration::from_secs(2);
        match self.table.commit_confirmed(&[write], timeout, seed).await {
            CommitOutcome::Done { .. } => Ok(AcceptedChange {
                revision: head.revision(),
                repeated: false,
            }),
            CommitOutcome::Conflict { .. } => Err(AttemptError::Conflict),
            CommitOutcome::Unknown { error } => Err(AttemptError::Unknown(error)),
        }
    }
}

enum AttemptError {
    Refused(ChangeError),
    Conflict,
    ReadFailed(ConfigError),
    Unknown(CallError),
}

fn check_expected(
    request: &ChangeRequest,
    found: u64,
) -> Result<(), AttemptError> {
    match request.expected {
        Some(wanted) if wanted != found => Err(AttemptError::Refused(ChangeError::Outdated {
            wanted,
            found,
        })),
        _ => Ok(()),
    }
}

fn timeout_failure(
    request: &ChangeRequest,
    may_have_written: bool,
    reason: String,
) -> ChangeFailure {
    if may_have_written {
        ChangeFailure::Unknown {
            change_id: request.change_id.clone(),
            reason,
        }
    } else {
        ChangeFailure::NotAccepted { reason }
    }
}

fn parse_head(row: Option<TableRow>) -> Result<HeadRow, ConfigError> {
    match row {
        None => Ok(HeadRow {
            head: ConfigHead::default(),
            version: 0,
        }),
        Some(row) => Ok(HeadRow {
            head: serde_json::from_str(&row.value).map_err(damaged)?,
            version: row.version,
        }),
    }
}
