//! Fetching a version of the configuration from another node.

use std::net::SocketAddr;
use std::sync::MutexGuard;
use std::time::Duration;

use crate::batch::config::payload::Manifest;
use crate::batch::config::payload::unpack;
use crate::batch::config::transfer::Download;
use crate::batch::config::transfer::Fetched;
use crate::batch::config::transfer::OlderNodes;
use crate::batch::config::transfer::Part;
use crate::batch::config::transfer::PartReply;
use crate::batch::config::transfer::PartRequest;
use crate::batch::config::transfer::Progress;
use crate::batch::node::Node;
use crate::batch::peer::PeerError;
use crate::batch::peer::Reply;
use crate::batch::peer::Request;
use crate::transport::clock;

/// How long a node that closed the connection on a request for a part, and then sent its whole
/// configuration, is asked for no parts: it is of a build that does not know them.
const OLDER_NODE_PERIOD: Duration = Duration::from_secs(60);

impl Node {
    /// Fetches the configuration of another node and puts it in force, if it is newer. What has
    /// arrived of it stays for the next sender if this one fails.
    pub(super) async fn fetch_config(&self, from: SocketAddr) -> Fetched {
        if self.is_older_node(from) {
            self.fetch_whole_config(from).await;
            return Fetched::Ended;
        }
        let mut is_difference_usable = true;
        loop {
            let request = self.part_request(is_difference_usable);
            match self.peers.ask(from, Request::ConfigPart(request)).await {
                Ok(Reply::ConfigPart(PartReply::Part(part))) => match self.accept_part(*part) {
                    Accepted::Unfinished => {}
                    Accepted::Unusable if is_difference_usable => is_difference_usable = false,
                    Accepted::InForce | Accepted::Other | Accepted::Unusable => {
                        return Fetched::Ended;
                    }
                },
                Ok(Reply::ConfigPart(PartReply::Busy(others))) => return Fetched::Busy(others),
                Ok(_) => {
                    log::debug!("no newer configuration at {from}");
                    return Fetched::Ended;
                }
                Err(PeerError::Closed) => {
                    if self.fetch_whole_config(from).await {
                        self.older_nodes().insert(from, clock::now());
                    }
                    return Fetched::Ended;
                }
                Err(error) => {
                    self.directory.mark_unresponsive(from);
                    log::debug!("no configuration from {from}: {error}");
                    return Fetched::Ended;
                }
            }
        }
    }

    fn part_request(&self, is_difference_usable: bool) -> PartRequest {
        let in_force = self.config_version();
        let base = Some(in_force).filter(|version| *version > 0 && is_difference_usable);
        let mut download = self.download();
        let is_outdated = |download: &mut Download| download.version() <= in_force;
        download.take_if(is_outdated);
        let part = download.as_mut().and_then(Download::next_part);
        PartRequest { from: self.settings.peer_addr(), in_force, base, part }
    }

    fn accept_part(&self, part: Part) -> Accepted {
        let version = part.manifest.version;
        if version <= self.config_version() {
            return Accepted::InForce;
        }
        let progress = Download::accept(&mut self.download(), part, clock::now());
        match progress {
            Progress::Unfinished => Accepted::Unfinished,
            Progress::Other => Accepted::Other,
            Progress::Complete(manifest, bytes) => self.unpack_config(&manifest, &bytes),
        }
    }

    fn unpack_config(&self, manifest: &Manifest, bytes: &[u8]) -> Accepted {
        let in_force = self.config();
        match unpack(manifest, bytes, in_force.as_deref()) {
            Ok(config) => {
                let kind = if manifest.base.is_some() { "difference" } else { "whole" };
                self.counters.count("batch.config.from-peer");
                self.counters.count(&format!("batch.config.from-peer.{kind}"));
                self.set_config(config);
                Accepted::InForce
            }
            Err(error) => {
                self.counters.count("batch.config.unusable");
                log::warn!(version = manifest.version, base = manifest.base; "cannot use a configuration from a peer: {error}");
                Accepted::Unusable
            }
        }
    }

    /// Fetches the whole configuration in one answer; returns whether the node answered.
    async fn fetch_whole_config(&self, from: SocketAddr) -> bool {
        match self.peers.ask(from, Request::Config(self.config_version())).await {
            Ok(Reply::Config(Some(config))) => {
                self.counters.count("batch.config.from-peer");
                self.set_config(*config);
                true
            }
            Ok(_) => {
                log::debug!("no newer configuration at {from}");
                true
            }
            Err(error) => {
                self.directory.mark_unresponsive(from);
                log::debug!("no configuration from {from}: {error}");
                false
            }
        }
    }

    fn is_older_node(&self, addr: SocketAddr) -> bool {
        let mut older_nodes = self.older_nodes();
        older_nodes.retain(|_, since| clock::since(*since) < OLDER_NODE_PERIOD);
        older_nodes.contains_key(&addr)
    }

    fn older_nodes(&self) -> MutexGuard<'_, OlderNodes> {
        self.gossip.older_nodes.lock().expect("no thread panics while it holds the nodes lock")
    }

    fn download(&self) -> MutexGuard<'_, Option<Download>> {
        self.gossip.download.lock().expect("no thread panics while it holds the download lock")
    }
}

/// What became of a part.
enum Accepted {
    /// Further parts are missing.
    Unfinished,
    /// That version or a newer one is in force.
    InForce,
    /// Another payload of the same or a newer version is under way.
    Other,
    /// The payload was complete but cannot be unpacked here.
    Unusable,
}
