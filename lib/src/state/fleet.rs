//! The agreed state: accounts, pools, services, boxes and plans.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::state::account::KeyHash;
use crate::state::fold::Verdict;
use crate::state::id::AccountId;
use crate::state::id::BoxId;
use crate::state::id::DaemonId;
use crate::state::id::HallId;
use crate::state::id::Incarnation;
use crate::state::id::Offset;
use crate::state::id::PlanId;
use crate::state::id::PoolId;
use crate::state::id::RackId;
use crate::state::id::RecordId;
use crate::state::id::ServiceKey;
use crate::state::plan::Plan;

/// The fold of the log up to [`Fleet::next`].
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Fleet {
    /// Offset of the first batch not yet applied.
    pub next: Offset,
    /// Offset of the last batch that changed configuration (accounts, pools, services).
    pub configured: Offset,
    /// Accounts by name.
    pub accounts: BTreeMap<AccountId, Account>,
    /// Pools by name.
    pub pools: BTreeMap<PoolId, Pool>,
    /// Services by account and name.
    pub services: BTreeMap<ServiceKey, Service>,
    /// Boxes that are in a pool, by name.
    pub boxes: BTreeMap<BoxId, Entry>,
    /// Plans by id; bounded by the rule in [`crate::state::fold`].
    pub plans: BTreeMap<PlanId, Plan>,
    /// Each daemon's last batch.
    pub writers: BTreeMap<DaemonId, Writer>,
    /// Verdicts of the latest records, oldest first.
    pub verdicts: VecDeque<(RecordId, Verdict)>,
    /// Offset of the last snapshot mark.
    pub marked: Offset,
}

/// A client account.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Account {
    /// Hashes of the keys that may send requests.
    pub caller_keys: Vec<KeyHash>,
    /// Hashes of the keys that may operate.
    pub operator_keys: Vec<KeyHash>,
    /// Slots that the account's jobs may take up on boxes, over all its services; none for no limit.
    pub quota_slots: Option<u32>,
    /// Offset of the last change; set by the fold.
    pub version: Offset,
}

/// A pool of boxes, owned by one account.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Pool {
    /// The owner.
    pub account: AccountId,
    /// Other accounts that may place services here.
    pub shared_with: BTreeSet<AccountId>,
    /// The availability budget.
    pub budget: Budget,
    /// Which measure comes first when a plan is made.
    #[serde(rename = "weigh")]
    pub objective: Objective,
    /// How long a box may take to become idle, in seconds.
    pub drain_limit_s: u32,
    /// Declared time one box's maintenance takes, in seconds.
    pub maintenance_s: u32,
    /// The boxes in the pool; kept by the fold, and the same as [`Entry::pool`] says.
    pub boxes: BTreeSet<BoxId>,
    /// Offset of the last change of the pool or of the set of its boxes.
    pub version: Offset,
}

/// How many boxes of a pool may be out of service at once, whatever the cause.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Budget {
    /// In the whole pool.
    pub max_out: u32,
    /// In one hall, if limited.
    pub max_out_per_hall: Option<u32>,
    /// In one rack, if limited.
    pub max_out_per_rack: Option<u32>,
}

/// Which measure comes first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Objective {
    /// Least capacity held back.
    #[default]
    Buffer,
    /// Shortest time.
    Rollout,
}

/// A service: a job that runs on boxes of one pool.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// The pool it runs on.
    pub pool: PoolId,
    /// Slots it uses on each box.
    pub slots: u32,
    /// Memory it uses on each box, in MB.
    pub memory_mb: u32,
    /// Replicas that must stay in service; a plan never goes below.
    pub min_up: u32,
    /// Boxes it runs on; kept by the fold.
    pub placed: BTreeSet<BoxId>,
    /// Boxes on which it is being started; no requests go there yet. Kept by the fold.
    pub starting: BTreeSet<BoxId>,
    /// Offset of the last change of the service or of its places.
    pub version: Offset,
}

/// What the box list says of a box, as it was when the box was claimed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Shape {
    /// Where it serves.
    pub addr: SocketAddr,
    /// Its hall.
    pub hall: HallId,
    /// Its rack.
    pub rack: RackId,
    /// How many requests it runs at a time.
    pub slots: u32,
    /// Its memory, in MB.
    pub memory_mb: u32,
}

/// A box that is in a pool.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// The one pool it belongs to.
    pub pool: PoolId,
    /// What it is.
    pub shape: Shape,
    /// The plan that has taken it out of service, with the offset of the permit.
    pub out: Option<(PlanId, Offset)>,
    /// Whether it does not answer.
    pub down: bool,
    /// Offset of the last change; fences commands to the box.
    pub version: Offset,
}

impl Service {
    /// Whether it runs, or is being started, anywhere.
    pub fn is_placed(&self) -> bool {
        !self.placed.is_empty() || !self.starting.is_empty()
    }

    /// Whether it runs, or is being started, on `target`.
    pub fn is_on(&self, target: &str) -> bool {
        self.placed.contains(target) || self.starting.contains(target)
    }
}

impl Pool {
    /// Whether `account` may place services here.
    pub fn is_open_to(&self, account: &str) -> bool {
        self.account.as_ref() == account || self.shared_with.contains(account)
    }
}

impl Entry {
    /// A box that has just come into `pool`.
    pub fn new(pool: PoolId, shape: Shape, version: Offset) -> Entry {
        Entry { pool, shape, out: None, down: false, version }
    }

    /// Whether requests may be sent to it.
    pub fn is_serving(&self) -> bool {
        self.out.is_none() && !self.down
    }
}

/// A daemon's last batch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Writer {
    /// Its latest life.
    pub incarnation: Incarnation,
    /// The last sequence applied from that life.
    pub sequence: u64,
}

impl Fleet {
    /// Services that run, or are being started, on `target`.
    pub fn jobs_on<'a>(&'a self, target: &'a str) -> impl Iterator<Item = &'a ServiceKey> {
        let on = self.services.iter().filter(move |(_, service)| service.is_on(target));
        on.map(|(key, _)| key)
    }

    /// Boxes of `pool` that are out of service for any cause.
    pub fn boxes_out<'a>(&'a self, pool: &'a Pool) -> impl Iterator<Item = (&'a BoxId, &'a Entry)> {
        let entries = pool.boxes.iter().filter_map(|id| Some((id, self.boxes.get(id)?)));
        entries.filter(|(_, entry)| !entry.is_serving())
    }

    /// Replicas of `service` on boxes that serve.
    pub fn replicas_up(&self, service: &Service) -> u32 {
        let entries = service.placed.iter().filter_map(|id| self.boxes.get(id));
        entries.filter(|entry| entry.is_serving()).count() as u32
    }

    /// An account's quota of slots, if it has one.
    pub fn quota_slots(&self, account: &str) -> Option<u32> {
        self.accounts.get(account)?.quota_slots
    }

    /// Slots that an account's jobs take up, over all its services.
    pub fn slots_used(&self, account: &str) -> u32 {
        let own = self.services.iter().filter(|(key, _)| key.0.as_ref() == account);
        let slots = own.map(|(_, service)| {
            let jobs = (service.placed.len() + service.starting.len()) as u32;
            jobs.saturating_mul(service.slots)
        });
        slots.fold(0, u32::saturating_add)
    }

    /// Slots of `target` not yet taken by a job, with the memory left in MB.
    pub fn free_resources(&self, target: &str, shape: &Shape) -> (u32, u32) {
        let mut slots = shape.slots;
        let mut memory_mb = shape.memory_mb;
        for key in self.jobs_on(target) {
            let service = &self.services[key];
            slots = slots.saturating_sub(service.slots);
            memory_mb = memory_mb.saturating_sub(service.memory_mb);
        }
        (slots, memory_mb)
    }

    /// The verdict on a record, if it is recent.
    pub fn verdict(&self, id: RecordId) -> Option<&Verdict> {
        let entry = self.verdicts.iter().rev().find(|(own, _)| *own == id);
        entry.map(|(_, verdict)| verdict)
    }
}
