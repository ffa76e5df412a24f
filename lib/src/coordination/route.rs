//! The routing table: the endpoints of each service, and this daemon's part of their slots.
//!
//! An endpoint is a service on one box; its slots bound the requests that run there at a time. They
//! are divided statically among the configured daemons, so a target never gets more requests than
//! it has slots, whichever daemons are live.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::RwLock;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use rand::RngExt;
use tokio::sync::Notify;
use tokio::time::timeout;

use crate::protocol::call::Reason;
use crate::state::fleet::Entry;
use crate::state::fleet::Fleet;
use crate::state::fleet::Service;
use crate::state::hash;
use crate::state::id::AccountId;
use crate::state::id::BoxId;
use crate::state::id::DaemonId;
use crate::state::id::HallId;
use crate::state::id::ServiceId;
use crate::state::id::ServiceKey;
use crate::transport::clock;

/// How long an endpoint is avoided after a failed attempt.
const AVOID_DURATION: Duration = Duration::from_secs(1);
/// How long an endpoint gets no requests after its box said that it is leaving. By then the box
/// list shows it as leaving.
const LEAVING_DURATION: Duration = Duration::from_secs(5);
/// Longest time after which a waiting request checks again for a free slot.
const RECHECK_INTERVAL: Duration = Duration::from_millis(50);

/// The routing table. Follows the fleet and the box list.
pub struct Routes {
    own_id: DaemonId,
    daemons: Vec<DaemonId>,
    queue_limit: u32,
    table: RwLock<Table>,
    inflight: Arc<AtomicU32>,
}

#[derive(Default)]
struct Table {
    routes: HashMap<AccountId, HashMap<ServiceId, Arc<Route>>>,
    endpoints: HashMap<(BoxId, ServiceKey), Arc<Endpoint>>,
    out_of_service: BTreeSet<BoxId>,
    leaving: Arc<BTreeSet<BoxId>>,
}

/// The endpoints of one service, and the number of requests that wait for a slot.
pub struct Route {
    endpoints: RwLock<Arc<[Arc<Endpoint>]>>,
    slot_freed: Notify,
    waiting_requests: AtomicU32,
}

/// One service on one box, with the slots that this daemon may use.
pub struct Endpoint {
    /// The box.
    pub target: BoxId,
    /// Its address.
    pub addr: SocketAddr,
    hall: HallId,
    slots: u32,
    own_slots: u32,
    used_slots: Arc<AtomicU32>,
    /// Whether it is in the current table.
    is_routed: AtomicBool,
    /// Whether the box list says that its box is leaving.
    is_listed_leaving: AtomicBool,
    restrictions: Mutex<Restrictions>,
}

/// Until when an endpoint is avoided, and until when it gets no requests.
#[derive(Default)]
struct Restrictions {
    avoid_until: Option<Instant>,
    leaving_until: Option<Instant>,
}

/// A slot in use; dropping it frees the slot.
pub struct Slot {
    endpoint: Arc<Endpoint>,
    route: Arc<Route>,
    inflight: Arc<AtomicU32>,
}

impl Slot {
    /// The endpoint that the slot belongs to.
    pub fn endpoint(&self) -> &Endpoint {
        &self.endpoint
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.endpoint.used_slots.fetch_sub(1, Ordering::SeqCst);
        self.inflight.fetch_sub(1, Ordering::SeqCst);
        self.route.slot_freed.notify_one();
    }
}

impl Endpoint {
    /// Takes a slot, if one is free and the endpoint is available. Returns whether it did.
    ///
    /// The slot is counted before the availability is checked. Code that makes the endpoint
    /// unavailable reads the count afterwards, so it sees every request that passed.
    fn try_take_slot(&self) -> bool {
        let add_one = |used: u32| (used < self.own_slots).then_some(used + 1);
        if self.used_slots.try_update(Ordering::SeqCst, Ordering::SeqCst, add_one).is_err() {
            return false;
        }
        if self.is_available() {
            return true;
        }
        self.used_slots.fetch_sub(1, Ordering::SeqCst);
        false
    }

    /// Whether it has the address of `entry` and this number of slots, so that it can be kept.
    fn matches_entry(&self, entry: &Entry, slots: u32) -> bool {
        self.addr == entry.shape.addr && self.slots == slots
    }

    /// Sort key of the choice of an endpoint, lowest first: avoided, in another hall, used slots.
    fn cost(&self, hall: &str) -> (bool, bool, u32) {
        (self.is_avoided(), self.hall.as_ref() != hall, self.used_slots.load(Ordering::SeqCst))
    }

    /// Whether new requests may be sent to it.
    fn is_available(&self) -> bool {
        self.is_routed.load(Ordering::SeqCst)
            && !self.is_listed_leaving.load(Ordering::SeqCst)
            && !self.is_leaving()
    }

    fn is_leaving(&self) -> bool {
        let restrictions =
            self.restrictions.lock().expect("no thread panics while it holds the lock");
        restrictions.leaving_until.is_some_and(|until| clock::now() < until)
    }

    fn is_avoided(&self) -> bool {
        let restrictions =
            self.restrictions.lock().expect("no thread panics while it holds the lock");
        restrictions.avoid_until.is_some_and(|until| clock::now() < until)
    }

    /// Prefers other endpoints for `AVOID_DURATION`.
    pub fn mark_avoided(&self) {
        let mut restrictions =
            self.restrictions.lock().expect("no thread panics while it holds the lock");
        restrictions.avoid_until = Some(clock::now() + AVOID_DURATION);
    }

    /// Sends no more requests here for `LEAVING_DURATION`, since the box reported that it is leaving.
    pub fn mark_leaving(&self) {
        let mut restrictions =
            self.restrictions.lock().expect("no thread panics while it holds the lock");
        restrictions.leaving_until = Some(clock::now() + LEAVING_DURATION);
    }
}

impl Route {
    fn new() -> Route {
        let empty: Arc<[Arc<Endpoint>]> = Arc::new([]);
        Route {
            endpoints: RwLock::new(empty),
            slot_freed: Notify::new(),
            waiting_requests: AtomicU32::new(0),
        }
    }

    fn endpoints(&self) -> Arc<[Arc<Endpoint>]> {
        self.endpoints.read().expect("no thread panics while it holds the lock").clone()
    }
}

/// Counts a request as waiting until dropped.
struct WaitGuard<'a>(&'a Route);

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        self.0.waiting_requests.fetch_sub(1, Ordering::SeqCst);
    }
}

impl Routes {
    /// An empty table for daemon `own_id` of `daemons`.
    pub fn new(own_id: DaemonId, daemons: Vec<DaemonId>, queue_limit: u32) -> Routes {
        Routes { own_id, daemons, queue_limit, table: RwLock::default(), inflight: Arc::default() }
    }

    /// Requests in flight to targets.
    pub fn inflight(&self) -> u32 {
        self.inflight.load(Ordering::SeqCst)
    }

    /// The route of a service; `None` if the account has no such service.
    pub fn find_route(&self, account: &str, service: &str) -> Option<Arc<Route>> {
        let table = self.table.read().expect("no thread panics while it holds the table lock");
        table.routes.get(account)?.get(service).cloned()
    }

    /// Boxes that are out of service and still run requests of this daemon.
    pub fn busy_boxes(&self) -> Vec<BoxId> {
        let table = self.table.read().expect("no thread panics while it holds the table lock");
        if table.out_of_service.is_empty() {
            return Vec::new();
        }
        let busy = |endpoint: &&Arc<Endpoint>| {
            endpoint.used_slots.load(Ordering::SeqCst) > 0
                && table.out_of_service.contains(&endpoint.target)
        };
        let busy = table.endpoints.values().filter(busy).map(|endpoint| endpoint.target.clone());
        let distinct: BTreeSet<BoxId> = busy.collect();
        distinct.into_iter().collect()
    }

    /// Rebuilds the table from the fleet. Endpoints that remain keep their used slots.
    pub fn rebuild(&self, fleet: &Fleet) {
        let mut table = self.table.write().expect("no thread panics while it holds the table lock");
        let mut next = Table { leaving: table.leaving.clone(), ..Table::default() };
        for (key, service) in &fleet.services {
            let endpoints = self.endpoints_of(&table, fleet, key, service);
            for endpoint in &endpoints {
                next.endpoints.insert((endpoint.target.clone(), key.clone()), endpoint.clone());
            }
            let route = table.route_for(key);
            *route.endpoints.write().expect("no thread panics while it holds the lock") =
                endpoints.into();
            route.slot_freed.notify_waiters();
            next.routes.entry(key.0.clone()).or_default().insert(key.1.clone(), route);
        }
        let out = fleet.boxes.iter().filter(|(_, entry)| !entry.is_serving());
        next.out_of_service = out.map(|(id, _)| id.clone()).collect();
        table.retire_missing(&mut next);
        *table = next;
    }

    /// The endpoints of a service on boxes that serve, reusing those of the current table.
    fn endpoints_of(
        &self,
        table: &Table,
        fleet: &Fleet,
        key: &ServiceKey,
        service: &Service,
    ) -> Vec<Arc<Endpoint>> {
        let mut endpoints = Vec::with_capacity(service.placed.len());
        for target in &service.placed {
            let entry = fleet.boxes.get(target).filter(|entry| entry.is_serving());
            let Some(entry) = entry else {
                continue;
            };
            let id = (target.clone(), key.clone());
            let previous = table.endpoints.get(&id);
            let endpoint =
                match previous.filter(|previous| previous.matches_entry(entry, service.slots)) {
                    Some(endpoint) => endpoint.clone(),
                    None => Arc::new(self.new_endpoint(&id, entry, service.slots, previous)),
                };
            endpoint.is_listed_leaving.store(table.leaving.contains(target), Ordering::SeqCst);
            endpoint.is_routed.store(true, Ordering::SeqCst);
            endpoints.push(endpoint);
        }
        endpoints
    }

    /// A new endpoint. Requests still in flight to the one that it replaces count as used slots.
    fn new_endpoint(
        &self,
        id: &(BoxId, ServiceKey),
        entry: &Entry,
        slots: u32,
        previous: Option<&Arc<Endpoint>>,
    ) -> Endpoint {
        Endpoint {
            target: id.0.clone(),
            addr: entry.shape.addr,
            hall: entry.shape.hall.clone(),
            slots,
            own_slots: self.own_slots(id, slots),
            used_slots: previous.map(|previous| previous.used_slots.clone()).unwrap_or_default(),
            is_routed: AtomicBool::new(true),
            is_listed_leaving: AtomicBool::new(false),
            restrictions: Mutex::default(),
        }
    }

    /// This daemon's part of a job's slots on a box. The slots are divided equally, and the
    /// remainder goes to the daemons that rank first for the job and the box.
    fn own_slots(&self, id: &(BoxId, ServiceKey), slots: u32) -> u32 {
        let daemons = self.daemons.len() as u32;
        let key = format!("{}/{}/{}", id.0, id.1.0, id.1.1);
        let rank = hash::rank(key.as_bytes(), self.own_id, &self.daemons) as u32;
        slots / daemons + u32::from(rank < slots % daemons)
    }

    /// Sets the boxes that are leaving by the box list; they get no more requests.
    pub fn set_leaving(&self, leaving: &Arc<BTreeSet<BoxId>>) {
        let mut table = self.table.write().expect("no thread panics while it holds the table lock");
        table.leaving = leaving.clone();
        for endpoint in table.endpoints.values() {
            endpoint.is_listed_leaving.store(leaving.contains(&endpoint.target), Ordering::SeqCst);
        }
    }

    /// Takes a slot for a request, waiting for one until `deadline`.
    ///
    /// Endpoints on boxes of `tried` are skipped. Fails with `NoTarget` if no endpoint is
    /// available, with `QueueFull` if too many requests wait already, and with `Busy` at the
    /// deadline.
    pub async fn acquire_slot(
        &self,
        route: &Arc<Route>,
        hall: &str,
        tried: &[BoxId],
        deadline: Instant,
    ) -> Result<Slot, Reason> {
        if let Some(slot) = self.try_acquire_slot(route, hall, tried)? {
            return Ok(slot);
        }
        let waiting = route.waiting_requests.fetch_add(1, Ordering::SeqCst);
        let _guard = WaitGuard(route);
        if waiting >= self.queue_limit {
            return Err(Reason::QueueFull);
        }
        loop {
            let left = deadline.saturating_duration_since(clock::now());
            if left.is_zero() {
                return Err(Reason::Busy);
            }
            // Another request may take the slot of a notification, so the wait is bounded.
            let _ = timeout(left.min(RECHECK_INTERVAL), route.slot_freed.notified()).await;
            if let Some(slot) = self.try_acquire_slot(route, hall, tried)? {
                return Ok(slot);
            }
        }
    }

    /// Takes a slot of the best available endpoint: not avoided, then in this daemon's hall, then
    /// with the fewest used slots; at random among equal ones. `None` if no slot is free.
    fn try_acquire_slot(
        &self,
        route: &Arc<Route>,
        hall: &str,
        tried: &[BoxId],
    ) -> Result<Option<Slot>, Reason> {
        let endpoints = route.endpoints();
        let usable = |endpoint: &&Arc<Endpoint>| {
            endpoint.is_available() && !tried.contains(&endpoint.target)
        };
        let mut choices: Vec<&Arc<Endpoint>> = endpoints.iter().filter(usable).collect();
        if choices.is_empty() {
            return Err(Reason::NoTarget);
        }
        let start = rand::rng().random_range(0..choices.len());
        choices.rotate_left(start);
        choices.sort_by_cached_key(|endpoint| endpoint.cost(hall));
        for endpoint in choices {
            if endpoint.try_take_slot() {
                self.inflight.fetch_add(1, Ordering::SeqCst);
                let endpoint = endpoint.clone();
                let inflight = self.inflight.clone();
                return Ok(Some(Slot { endpoint, route: route.clone(), inflight }));
            }
        }
        Ok(None)
    }
}

impl Table {
    fn route_for(&self, key: &ServiceKey) -> Arc<Route> {
        let existing = self.routes.get(&key.0).and_then(|own| own.get(&key.1));
        existing.cloned().unwrap_or_else(|| Arc::new(Route::new()))
    }

    /// Makes the endpoints that are not in `next` unavailable. Those with used slots are added to
    /// it, unless another endpoint has replaced them there.
    fn retire_missing(&self, next: &mut Table) {
        for (id, endpoint) in &self.endpoints {
            let is_kept = next.endpoints.get(id).is_some_and(|other| Arc::ptr_eq(other, endpoint));
            if is_kept {
                continue;
            }
            endpoint.is_routed.store(false, Ordering::SeqCst);
            if endpoint.used_slots.load(Ordering::SeqCst) > 0 {
                next.endpoints.entry(id.clone()).or_insert_with(|| endpoint.clone());
            }
        }
    }
}
