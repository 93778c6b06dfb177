use {
    super::{
        spawn_locked, ChildProcess, DeployedEndpoint, DeploymentShape, EndpointStandIn, EntryBox,
        FreePorts, ProgramSet,
    },
    crate::{
        engine::FakeEngine,
        fakes::{FakePlatform, RunCounter, StoreBox},
    },
    anyhow::Context,
    pitchhitch_entry::operators::{StatusReport, STATUS_PATH},
    pitchhitch_services::http::ServiceClient,
    serde_json::json,
    smol::Timer,
    std::{
        fs,
        path::{Path, PathBuf},
        process::{Output, Stdio},
        sync::atomic::{AtomicU32, Ordering},
        time::{Duration, Instant},
    },
};

/// Timeout of all waits for a condition.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(30);
pub(super) const POLL_INTERVAL: Duration = Duration::from_millis(20);
pub(super) const CALL_TIMEOUT: Duration = Duration::from_secs(5);
const LOG_ENV_VAR: &str = "PITCHHITCH_LOG";
pub(super) const BEACON_SECRET: &str = "secret of the testbed";

static NEXT_FOLDER_NUMBER: AtomicU32 = AtomicU32::new(0);

/// A running deployment. Its processes are killed and, unless `PITCHHITCH_KEEP` is
/// set, its folder is removed on drop.
#[derive(Debug)]
pub struct Deployment {
    /// Its shape.
    pub shape: DeploymentShape,
    /// The stand-in platform.
    pub platform: FakePlatform,
    /// The store box in the engines' group.
    pub store: StoreBox,
    /// Counts how often each request ran at the plain service.
    pub runs: RunCounter,
    /// Entry processes; `None` where one was stopped.
    pub entries: Vec<Option<ChildProcess>>,
    /// Boxes of the entry processes, in the same order.
    pub entry_boxes: Vec<EntryBox>,
    /// Endpoints and their agents.
    pub endpoints: Vec<DeployedEndpoint>,
    /// Folder of the settings files and logs.
    pub folder: PathBuf,
    programs: ProgramSet,
}

impl Deployment {
    /// Starts all processes and waits until every entry process is ready.
    ///
    /// # Errors
    /// When a process cannot be started or does not become ready.
    pub async fn start(
        shape: DeploymentShape,
        programs: ProgramSet,
    ) -> anyhow::Result<Self> {
        let number = NEXT_FOLDER_NUMBER.fetch_add(1, Ordering::Relaxed);
        let name = format!("pitchhitch-{}-{}-{number}", shape.name, std::process::id());
        let folder = std::env::temp_dir().join(name);
        fs::create_dir_all(&folder)?;
        let platform = FakePlatform::start()?;
        let store = StoreBox::start(shape.store)?;
        let mut deployment = Deployment {
            entry_boxes: EntryBox::allocate_all(&shape, &mut FreePorts::for_deployment()?)?,
            runs: RunCounter::default(),
            entries: Vec::new(),
            endpoints: Vec::new(),
            platform,
            store,
            folder,
            programs,
            shape,
        };
        deployment.list_boxes();
        deployment.write_operator_settings()?;
        deployment.write_config().await?;
        for number in 0..deployment.shape.engines {
            deployment.add_engine(number, false).await?;
        }
        for number in 0..deployment.shape.services {
            deployment.add_service(number, false).await?;
        }
        for index in 0..deployment.entry_boxes.len() {
            let entry = deployment.start_entry(index)?;
            deployment.entries.push(Some(entry));
        }
        deployment.wait_ready().await?;
        Ok(deployment)
    }

    /// Name of the engines' group.
    pub fn engine_group(&self) -> String {
        format!("{}-engines", self.shape.name)
    }

    pub(super) fn write_settings(
        &self,
        name: &str,
        settings: &serde_json::Value,
    ) -> anyhow::Result<()> {
        let text = serde_json::to_string_pretty(settings)?;
        Ok(fs::write(self.settings_file(name), text)?)
    }

    fn settings_file(
        &self,
        name: &str,
    ) -> PathBuf {
        self.folder.join(format!("{name}.json"))
    }

    /// Starts or restarts the agent of an endpoint.
    ///
    /// # Errors
    /// When it cannot be started.
    pub fn start_agent(
        &self,
        endpoint_id: &str,
    ) -> anyhow::Result<ChildProcess> {
        let mut command = self.programs.agent();
        command
            .arg("--settings")
            .arg(self.settings_file(endpoint_id));
        command.env(LOG_ENV_VAR, &self.shape.log_level);
        ChildProcess::start(command, &self.folder.join(format!("{endpoint_id}.log")))
    }

    /// Starts or restarts an entry process.
    ///
    /// # Errors
    /// When it cannot be started.
    pub fn start_entry(
        &self,
        index: usize,
    ) -> anyhow::Result<ChildProcess> {
        let entry_box = &self.entry_boxes[index];
        let settings = json!({
            "box_id": entry_box.id, "failure_domain": entry_box.failure_domain,
            "callers": entry_box.callers, "operators": entry_box.operators, "beacons": entry_box.beacons,
            "table": self.platform.address, "objects": self.platform.address,
            "boxes": self.platform.address, "beacon_secret": BEACON_SECRET,
            "traffic_threads": self.shape.entry_threads, "policy": self.shape.policy,
            "default_deadline_ms": self.shape.default_deadline_ms, "table_poll_ms": 300, "stop_notice_ms": 300,
        });
        self.write_settings(&entry_box.id, &settings)?;
        let mut command = self.programs.entry();
        command
            .arg("serve")
            .arg("--settings")
            .arg(self.settings_file(&entry_box.id));
        command.env(LOG_ENV_VAR, &self.shape.log_level);
        ChildProcess::start(command, &self.folder.join(format!("{}.log", entry_box.id)))
    }

    fn write_operator_settings(&self) -> anyhow::Result<()> {
        let settings = json!({
            "operator": "demo", "table": self.platform.address,
            "objects": self.platform.address, "weights": self.platform.address,
            "entry": self.entry_boxes[0].operators,
        });
        self.write_settings("operator", &settings)
    }

    /// Runs an operator command of the entry binary on this deployment.
    ///
    /// # Errors
    /// When it cannot be started.
    pub async fn run_command(
        &self,
        args: &[&str],
    ) -> anyhow::Result<Output> {
        let mut command = self.programs.entry();
        command
            .arg(args[0])
            .arg("--settings")
            .arg(self.settings_file("operator"));
        command.args(&args[1..]);
        command.stdout(Stdio::piped()).stderr(Stdio::piped());
        let ran = smol::unblock(move || spawn_locked(&mut command)?.wait_with_output()).await;
        ran.context("cannot run the operator command")
    }

    /// Requests the status report of an entry process.
    ///
    /// # Errors
    /// When it does not respond.
    pub async fn status(
        &self,
        index: usize,
    ) -> anyhow::Result<StatusReport> {
        let client = ServiceClient::new(self.entry_boxes[index].operators, CALL_TIMEOUT);
        Ok(client.get_json(STATUS_PATH).await?)
    }

    /// Waits until every running entry process is ready, has live reports of all
    /// endpoints with an agent, and knows its peers and a store box.
    ///
    /// # Errors
    /// After [`WAIT_TIMEOUT`].
    pub async fn wait_ready(&self) -> anyhow::Result<()> {
        let expected = self.endpoints.iter().filter(|e| e.agent.is_some()).count();
        let running = self.entries.iter().filter(|e| e.is_some()).count();
        let peers = running.saturating_sub(1);
        for index in 0..self.entry_boxes.len() {
            if self.entries.get(index).is_some_and(Option::is_none) {
                continue;
            }
            let what = format!(
                "{} to know {expected} endpoints",
                self.entry_boxes[index].id
            );
            self.wait_status(index, &what, |report| {
                let alive = report.endpoints.iter().filter(|e| e.alive).count();
                let all = alive == expected && report.peers.len() >= peers;
                report.ready && all && !report.stores.is_empty()
            })
            .await?;
        }
        Ok(())
    }

    /// Polls the status report of an entry process until a condition holds; returns
    /// that report.
    ///
    /// # Errors
    /// After [`WAIT_TIMEOUT`].
    pub async fn wait_status(
        &self,
        index: usize,
        what: &str,
        condition: impl Fn(&StatusReport) -> bool,
    ) -> anyhow::Result<StatusReport> {
        let started = Instant::now();
        loop {
            let report = self.status(index).await;
            match report {
                Ok(report) if condition(&report) => return Ok(report),
                other if started.elapsed() > WAIT_TIMEOUT => {
                    anyhow::bail!("timed out after {WAIT_TIMEOUT:?} waiting for {what}: {other:?}")
                }
                _ => Timer::after(POLL_INTERVAL).await,
            };
        }
    }

    /// The stand-in engines that run in this process.
    pub fn engines(&self) -> impl Iterator<Item = &FakeEngine> {
        self.endpoints.iter().filter_map(|e| match &e.stand_in {
            EndpointStandIn::Engine(engine) => Some(engine),
            EndpointStandIn::Service(_) | EndpointStandIn::External => None,
        })
    }

    /// Folder of the settings files and logs.
    pub fn folder(&self) -> &Path {
        &self.folder
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        self.entries.clear();
        self.endpoints.clear();
        if std::env::var_os("PITCHHITCH_KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}
