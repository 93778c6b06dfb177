use {
    super::{Deployment, CALL_TIMEOUT},
    pitchhitch_core::conf::{ConfigChange, ModelConf, OrganisationConf, ServiceConf, VersionConf},
    pitchhitch_services::{
        boxes::{BoxRecord, ListedRole},
        config::{ChangeRequest, ConfigStore},
        objects::ObjectClient,
        table::TableClient,
    },
    std::sync::atomic::{AtomicU32, Ordering},
};

static NEXT_CHANGE_NUMBER: AtomicU32 = AtomicU32::new(0);

/// Boxes, weights and configuration on the stand-in platform.
impl Deployment {
    pub(super) fn list_boxes(&self) {
        for entry_box in &self.entry_boxes {
            self.platform.state.list_box(BoxRecord {
                id: entry_box.id.clone(),
                role: ListedRole::Entry,
                group: String::new(),
                failure_domain: entry_box.failure_domain.clone(),
                address: entry_box.beacons,
                leaving: false,
            });
        }
        self.platform.state.list_box(BoxRecord {
            id: format!("{}-store", self.shape.name),
            role: ListedRole::Store,
            group: self.engine_group(),
            failure_domain: self.shape.failure_domains[0].clone(),
            address: self.store.address,
            leaving: false,
        });
        self.platform
            .state
            .add_weights(&self.shape.model, &self.shape.version);
    }

    /// A client of the configuration store.
    pub fn config_store(&self) -> ConfigStore {
        ConfigStore::new(
            TableClient::new(self.platform.address, CALL_TIMEOUT),
            ObjectClient::new(self.platform.address, CALL_TIMEOUT),
        )
    }

    /// Makes one configuration change and returns its revision.
    ///
    /// # Errors
    /// When the store does not accept it.
    pub async fn change(
        &self,
        change: ConfigChange,
    ) -> anyhow::Result<u64> {
        let number = NEXT_CHANGE_NUMBER.fetch_add(1, Ordering::Relaxed);
        let request = ChangeRequest {
            change_id: format!("testbed-{number}"),
            operator: "testbed".to_string(),
            at_secs: 0,
            change,
            expected: None,
        };
        let accepted = self
            .config_store()
            .change(&request, CALL_TIMEOUT, u64::from(number))
            .await;
        Ok(accepted?.revision)
    }

    pub(super) async fn write_config(&self) -> anyhow::Result<()> {
        for number in 1..=self.shape.organisations {
            let name = self.shape.organisation_name(number);
            let key = self.shape.api_key(&name);
            let conf = OrganisationConf {
                key_hashes: vec![blake3::hash(key.as_bytes()).to_hex().to_string()],
                weights: self.shape.weights,
                limits: self.shape.limits,
                ..OrganisationConf::default()
            };
            let conf = Some(conf);
            self.change(ConfigChange::Organisation { name, conf })
                .await?;
        }
        let versions = [(self.shape.version.clone(), VersionConf::default())];
        let model = ModelConf {
            active: self.shape.version.clone(),
            versions: versions.into_iter().collect(),
            token_bytes: self.shape.token_bytes,
        };
        let name = self.shape.model.clone();
        self.change(ConfigChange::Model {
            name,
            conf: Some(model),
        })
        .await?;
        let name = self.shape.service.clone();
        let conf = Some(ServiceConf {
            prefix: self.shape.service_prefix.clone(),
        });
        self.change(ConfigChange::Service { name, conf }).await?;
        Ok(())
    }
}
