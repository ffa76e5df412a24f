//! The configuration in force at a node.

use std::sync::Arc;
use std::sync::MutexGuard;
use std::time::Duration;
use std::time::Instant;

use spokelift_platform::config::Version;

use crate::batch::config::Config;
use crate::batch::node::Node;
use crate::transport::clock;

/// A configuration, and since when it has been in force at this node.
pub(super) struct InForce {
    config: Arc<Config>,
    since: Instant,
}

impl Node {
    /// The configuration in force; `None` until one has been received.
    pub fn config(&self) -> Option<Arc<Config>> {
        self.in_force().as_ref().map(|in_force| in_force.config.clone())
    }

    fn in_force(&self) -> MutexGuard<'_, Option<InForce>> {
        self.config.lock().expect("no thread panics while it holds the configuration lock")
    }

    /// Version of the configuration in force; 0 if there is none.
    pub fn config_version(&self) -> Version {
        self.config().map_or(0, |config| config.version)
    }

    /// How long that configuration has been in force at this node; `None` if there is none.
    pub fn config_age(&self) -> Option<Duration> {
        self.in_force().as_ref().map(|in_force| clock::since(in_force.since))
    }

    /// Puts a configuration in force and announces it to other nodes, unless the same or a newer
    /// version is in force already; returns whether it was put in force.
    pub fn set_config(&self, config: Config) -> bool {
        let mut in_force = self.in_force();
        let current = in_force.as_ref().map(|in_force| in_force.config.version);
        if current.is_some_and(|current| current >= config.version) {
            return false;
        }
        let version = config.version;
        if let Some(previous) = in_force.as_ref() {
            self.gossip.source().replace(&previous.config);
        }
        log::info!(
            version,
            queues = config.queues.len(),
            accounts = config.accounts().len();
            "configuration in force"
        );
        *in_force = Some(InForce { config: Arc::new(config), since: clock::now() });
        drop(in_force);
        self.announce_version(version);
        true
    }

    /// Whether the configuration in force has accounts: then the id of a job may be in use by that of
    /// another account.
    pub fn has_accounts(&self) -> bool {
        self.config().is_some_and(|config| !config.accounts().is_empty())
    }
}
