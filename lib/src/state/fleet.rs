//! The replicated state: accounts, pools, services, boxes and plans.

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
    /// Position of the last batch that changed configuration (accounts, pools, services).
    pub configured: Offset,
    /// Accounts by name.
    pub accounts: BTreeMap<AccountId, Account>,
    /// Pools by name.
    pub pools: BTreeMap<PoolId, Pool>,
    /// Services by account and name.
    pub services: BTreeMap<ServiceKey, Service>,
    /// Boxes that are in a pool, by name.
    pub boxes: BTreeMap<BoxId, Entry>,
    /// Plans by id; [`crate::state::fold`] limits their number.
    pub plans: BTreeMap<PlanId, Plan>,
    /// Each daemon's last batch.
    pub writers: BTreeMap<DaemonId, Writer>,
    /// Verdicts of the latest records, oldest first.
    pub verdicts: VecDeque<(RecordId, Verdict)>,
    /// Position of the last snapshot mark.
    pub marked: Offset,
}

/// A client account.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Account {
    /// Hashes of the keys of callers.
    pub caller_keys: Vec<KeyHash>,
    /// Hashes of the keys of operators.
    pub operator_keys: Vec<KeyHash>,
    /// Maximum number of slots that the account's jobs may use, over all its services; `None` for no
    /// limit.
    pub quota_slots: Option<u32>,
    /// Position of the last change; set by the fold.
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
    /// Which measure comes first when a plan is computed.
    #[serde(rename = "weigh")]
    pub objective: Objective,
    /// Drain timeout of a box, in seconds.
    pub drain_limit_s: u32,
    /// Declared duration of the maintenance of one box, in seconds.
    pub maintenance_s: u32,
    /// The boxes in the pool; maintained by the fold, consistent with [`Entry::pool`].
    pub boxes: BTreeSet<BoxId>,
    /// Position of the last change of the pool or of the set of its boxes.
    pub version: Offset,
}

/// How many boxes of a pool may be out of service at once, whatever the cause.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Budget {
    /// Limit for the whole pool.
    pub max_out: u32,
    /// Limit for each hall; `None` for no limit.
    pub max_out_per_hall: Option<u32>,
    /// Limit for each rack; `None` for no limit.
    pub max_out_per_rack: Option<u32>,
}

/// The measure that a plan minimizes first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Objective {
    /// Capacity held back.
    #[default]
    Buffer,
    /// Duration of the roll-out.
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
    /// Minimum number of replicas in service; a plan never goes below it.
    pub min_up: u32,
    /// Boxes it runs on; maintained by the fold.
    pub placed: BTreeSet<BoxId>,
    /// Boxes on which it is being started; they get no requests yet. Maintained by the fold.
    pub starting: BTreeSet<BoxId>,
    /// Position of the last change of the service or of the boxes it runs on.
    pub version: Offset,
}

/// Properties of a box from the box list, as of the time the box was claimed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Shape {
    /// Address at which it serves requests.
    pub addr: SocketAddr,
    /// Its hall.
    pub hall: HallId,
    /// Its rack.
    pub rack: RackId,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Its memory, in MB.
    pub memory_mb: u32,
}

/// A box that is in a pool.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// The pool it belongs to.
    pub pool: PoolId,
    /// Its properties.
    pub shape: Shape,
    /// The plan that has taken it out of service, with the position of the permit.
    pub out: Option<(PlanId, Offset)>,
    /// Whether it is unresponsive.
    pub down: bool,
    /// Position of the last change; fencing token of commands to the box.
    pub version: Offset,
}

impl Service {
    /// Whether it runs, or is being started, on any box.
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
    /// A box that is in service and was added to `pool` at `version`.
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
    /// Its latest incarnation.
    pub incarnation: Incarnation,
    /// The last sequence number applied from that incarnation.
    pub sequence: u64,
}

impl Fleet {
    /// Services that run, or are being started, on `target`.
    pub fn jobs_on<'a>(&'a self, target: &'a str) -> impl Iterator<Item = &'a ServiceKey> {
        let running = self.services.iter().filter(move |(_, service)| service.is_on(target));
        running.map(|(key, _)| key)
    }

    /// Boxes of `pool` that are out of service, whatever the cause.
    pub fn boxes_out<'a>(&'a self, pool: &'a Pool) -> impl Iterator<Item = (&'a BoxId, &'a Entry)> {
        let entries = pool.boxes.iter().filter_map(|id| Some((id, self.boxes.get(id)?)));
        entries.filter(|(_, entry)| !entry.is_serving())
    }

    /// Number of replicas of `service` on boxes that are in service.
    pub fn replicas_up(&self, service: &Service) -> u32 {
        let entries = service.placed.iter().filter_map(|id| self.boxes.get(id));
        entries.filter(|entry| entry.is_serving()).count() as u32
    }

    /// An account's quota of slots; `None` if it has no limit or does not exist.
    pub fn quota_slots(&self, account: &str) -> Option<u32> {
        self.accounts.get(account)?.quota_slots
    }

    /// Slots that an account's jobs use, over all its services.
    pub fn slots_used(&self, account: &str) -> u32 {
        let own = self.services.iter().filter(|(key, _)| key.0.as_ref() == account);
        let slots = own.map(|(_, service)| {
            let jobs = (service.placed.len() + service.starting.len()) as u32;
            jobs.saturating_mul(service.slots)
        });
        slots.fold(0, u32::saturating_add)
    }

    /// Free slots and free memory, in MB, of `target`.
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

    /// The verdict on a record; `None` if it is not among the latest [`crate::state::fold::MAX_VERDICTS`].
    pub fn verdict(&self, id: RecordId) -> Option<&Verdict> {
        let entry = self.verdicts.iter().rev().find(|(record, _)| *record == id);
        entry.map(|(_, verdict)| verdict)
    }
}
